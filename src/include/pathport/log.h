// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Structured logs: one event a line, as `event key=value ...` or as a JSON object, written
/// by log4cxx. Writing never blocks: a line that standard output can't take at once is left
/// out and counted.

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pathport {

/// How severe an event is.
enum class LogLevel { debug, info, warn, error };

/// One named value of an event.
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

/// The form of the lines.
enum class LogForm {
    text, ///< `time level process=... event=... key=value`, to standard error.
    json, ///< One JSON object a line, to standard output.
};

/// Sets up the log of this process: events at `level` and above are written, with `process`
/// in each line.
void start_log(const std::string& process, LogLevel level, LogForm form = LogForm::text);

/// Returns the level that `name` stands for (debug, info, warn, error); info for other
/// names.
LogLevel log_level_from(std::string_view name);

/// Writes one event. Repeats of an event name within a second beyond
/// `max_log_repeats_per_second` at warn or error, or beyond `max_log_lines_per_second` at
/// info or debug, are dropped, and their count goes with the next one written.
void log_event(LogLevel level, std::string_view event,
               const std::vector<LogField>& fields = {});

/// Returns how many lines were left out because nothing read them fast enough.
int64_t dropped_log_lines();

/// How often a second one event name is written at warn or error.
constexpr int max_log_repeats_per_second = 5;
/// How often a second one event name is written at info or debug.
constexpr int max_log_lines_per_second = 600;

} // namespace pathport
