// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Structured logging through log4cxx: one event per line, as `event=NAME key=value ...` or
/// as a JSON object. Logging never blocks: a line that the output can't take at once is
/// dropped and counted.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pathport {

/// Severity of an event.
enum class LogLevel { debug, info, warn, error };

/// A key and its value in an event.
class LogField {
public:
    LogField(std::string_view key, std::string_view value)
        : m_key(key)
        , m_value(value)
    {
    }
    LogField(std::string_view key, const char* value)
        : LogField(key, std::string_view(value))
    {
    }
    LogField(std::string_view key, const std::string& value)
        : LogField(key, std::string_view(value))
    {
    }
    LogField(std::string_view key, int64_t value)
        : m_key(key)
        , m_value(std::to_string(value))
        , m_number(true)
    {
    }
    LogField(std::string_view key, int value)
        : LogField(key, static_cast<int64_t>(value))
    {
    }
    LogField(std::string_view key, uint64_t value)
        : m_key(key)
        , m_value(std::to_string(value))
        , m_number(true)
    {
    }

    const std::string& key() const { return m_key; }
    const std::string& value() const { return m_value; }
    bool is_number() const { return m_number; }

private:
    std::string m_key;
    std::string m_value;
    bool m_number = false;
};

/// Output format.
enum class LogForm {
    text, ///< `time level process=... event=... key=value`, to standard error.
    json, ///< One JSON object per line, to standard output.
};

/// Initializes logging for this process: events at `level` and above are written, each with
/// `process` as the process name.
void start_log(const std::string& process, LogLevel level, LogForm form = LogForm::text);

/// Parses a level name (debug, info, warn or error); returns LogLevel::info for any other
/// name.
LogLevel log_level_from(std::string_view name);

/// Logs one event. Events of one name are limited to `max_log_repeats_per_second` at warn
/// or error and to `max_log_lines_per_second` at info or debug. Further ones are dropped;
/// the first event of that name in a later second gives their number as `repeats_dropped`.
void log_event(LogLevel level, std::string_view event,
               const std::vector<LogField>& fields = {});

/// Returns the number of lines dropped because the output was not read fast enough.
int64_t dropped_log_lines();

/// Limit of lines per second for one event name at warn or error.
constexpr int max_log_repeats_per_second = 5;
/// Limit of lines per second for one event name at info or debug.
constexpr int max_log_lines_per_second = 600;

} // namespace pathport
