// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/log.h>

#include <pathport/clock.h>

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <climits>
#include <map>
#include <mutex>

namespace pathport {

namespace {

/// Limits the number of lines per second of each event name.
class EventRateLimiter {
public:
    /// Returns whether the event may be written. Sets `dropped` to the number of events
    /// dropped in the previous window if this one starts a new window, else to 0.
    bool admit(std::string_view event, int max_lines, Millis now, int64_t& dropped)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        Window& window = m_windows[std::string(event)];
        dropped = 0;
        if (now - window.start >= Millis(1000)) {
            dropped = window.dropped;
            window = Window { now, 0, 0 };
        }
        if (window.written >= max_lines) {
            ++window.dropped;
            return false;
        }
        ++window.written;
        return true;
    }

private:
    struct Window {
        Millis start;
        int written = 0;
        int64_t dropped = 0;
    };
    std::mutex m_mutex;
    std::map<std::string, Window> m_windows;
};

/// Output format and process name; set once, before the first event is logged.
struct LogSetup {
    LogForm form = LogForm::text;
    std::string process = "\"\""; ///< As a JSON string.
};

LogSetup& setup()
{
    static LogSetup instance;
    return instance;
}

std::atomic<int64_t>& dropped_lines()
{
    static std::atomic<int64_t> count { 0 };
    return count;
}

log4cxx::LoggerPtr& logger()
{
    static log4cxx::LoggerPtr instance = log4cxx::Logger::getLogger("pathport");
    return instance;
}

log4cxx::LevelPtr to_log4cxx(LogLevel level)
{
    switch (level) {
    case LogLevel::debug:
        return log4cxx::Level::getDebug();
    case LogLevel::info:
        return log4cxx::Level::getInfo();
    case LogLevel::warn:
        return log4cxx::Level::getWarn();
    case LogLevel::error:
        break;
    }
    return log4cxx::Level::getError();
}

// Quotes a value that contains whitespace, a quote or '=', and replaces its line breaks by
// spaces, so that each event stays on one line.
std::string quote_if_needed(const std::string& value)
{
    if (value.find_first_of(" \"\n\r\t=") == std::string::npos)
        return value;
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            text += '\\';
        text += (c == '\n' || c == '\r') ? ' ' : c;
    }
    return text + "\"";
}

/// Writes lines to a file descriptor; drops a line rather than wait for the reader.
class NonBlockingAppender : public log4cxx::AppenderSkeleton {
public:
    NonBlockingAppender(int descriptor, log4cxx::LayoutPtr layout)
        : m_descriptor(descriptor)
        , m_layout(std::move(layout))
    {
    }

    void close() override { }
    bool requiresLayout() const override { return false; }

protected:
    void append(const log4cxx::spi::LoggingEventPtr& event,
                log4cxx::helpers::Pool& pool) override
    {
        log4cxx::LogString line;
        m_layout->format(line, event, pool);
        std::string text;
        log4cxx::helpers::Transcoder::encode(line, text);
        // A pipe that poll() reports as writable takes up to PIPE_BUF bytes without
        // blocking, so longer lines are truncated.
        if (text.size() > PIPE_BUF) {
            text.resize(PIPE_BUF - 1);
            text += '\n';
        }
        pollfd entry { m_descriptor, POLLOUT, 0 };
        const bool writable = ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
        if (!writable || ::write(m_descriptor, text.data(), text.size()) < 0)
            dropped_lines().fetch_add(1);
    }

private:
    int m_descriptor;
    log4cxx::LayoutPtr m_layout;
};

std::string to_json_string(const std::string& value)
{
    return nlohmann::json(value).dump(-1, ' ', false,
                                      nlohmann::json::error_handler_t::replace);
}

std::string format_text(std::string_view event, const std::vector<LogField>& fields)
{
    std::string line = "event=" + std::string(event);
    for (const LogField& field : fields)
        line += " " + field.key() + "=" + quote_if_needed(field.value());
    return line;
}

const char* level_name(LogLevel level)
{
    switch (level) {
    case LogLevel::debug:
        return "debug";
    case LogLevel::info:
        return "info";
    case LogLevel::warn:
        return "warn";
    case LogLevel::error:
        break;
    }
    return "error";
}

std::string format_json(LogLevel level, std::string_view event,
                        const std::vector<LogField>& fields)
{
    std::string line = "{\"time_ms\":" + std::to_string(wall_time().count())
        + ",\"level\":\"" + level_name(level) + "\",\"process\":" + setup().process
        + ",\"event\":\"" + std::string(event) + "\"";
    for (const LogField& field : fields) {
        line += ",\"" + field.key()
            + "\":" + (field.is_number() ? field.value() : to_json_string(field.value()));
    }
    return line + "}";
}

} // namespace

int64_t dropped_log_lines()
{
    return dropped_lines().load();
}

void start_log(const std::string& process, LogLevel level, LogForm form)
{
    setup().form = form;
    setup().process = to_json_string(process);
    const bool json = form == LogForm::json;
    const std::string pattern
        = json ? "%m%n" : "%d{yyyy-MM-ddTHH:mm:ss.SSS} %p process=" + process + " %m%n";
    const auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
    const auto appender = std::make_shared<NonBlockingAppender>(
        json ? STDOUT_FILENO : STDERR_FILENO, layout);
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(to_log4cxx(level));
}

LogLevel log_level_from(std::string_view name)
{
    if (name == "debug")
        return LogLevel::debug;
    if (name == "warn")
        return LogLevel::warn;
    if (name == "error")
        return LogLevel::error;
    return LogLevel::info;
}

void log_event(LogLevel level, std::string_view event, const std::vector<LogField>& fields)
{
    static EventRateLimiter limiter;
    const log4cxx::LevelPtr log4cxx_level = to_log4cxx(level);
    if (!logger()->isEnabledFor(log4cxx_level))
        return;
    int64_t dropped = 0;
    const bool severe = level == LogLevel::warn || level == LogLevel::error;
    const int max_lines = severe ? max_log_repeats_per_second : max_log_lines_per_second;
    if (!limiter.admit(event, max_lines, SystemClock().now(), dropped))
        return;
    std::vector<LogField> all_fields = fields;
    if (dropped > 0)
        all_fields.emplace_back("repeats_dropped", dropped);
    const std::string line = setup().form == LogForm::json
        ? format_json(level, event, all_fields)
        : format_text(event, all_fields);
    logger()->forcedLog(log4cxx_level, line, LOG4CXX_LOCATION);
}

} // namespace pathport
