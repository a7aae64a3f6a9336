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

/// Counts how often each event name was written within the present second.
class RepeatLimit {
public:
    /// Returns whether the event may be written; sets `dropped` to how many were not.
    bool admit(std::string_view event, int most, Millis now, int64_t& dropped)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        Window& window = m_windows[std::string(event)];
        dropped = 0;
        if (now - window.start >= Millis(1000)) {
            dropped = window.dropped;
            window = Window { now, 0, 0 };
        }
        if (window.written >= most) {
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

/// How lines are written; set once, before the first line.
struct LogSetup {
    LogForm form = LogForm::text;
    std::string process = "\"\""; ///< Quoted for JSON.
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

// A value with a blank, a quote or a line break is quoted, so that a line stays one event.
std::string quoted(const std::string& value)
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

/// Appends lines to a descriptor without ever waiting for its reader.
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
        // A pipe that can be written to takes this much without blocking.
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

std::string json_text(const std::string& value)
{
    return nlohmann::json(value).dump(-1, ' ', false,
                                      nlohmann::json::error_handler_t::replace);
}

std::string as_text(std::string_view event, const std::vector<LogField>& fields)
{
    std::string line = "event=" + std::string(event);
    for (const LogField& field : fields)
        line += " " + field.key() + "=" + quoted(field.value());
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

std::string as_json(LogLevel level, std::string_view event,
                    const std::vector<LogField>& fields)
{
    std::string line = "{\"time_ms\":" + std::to_string(wall_time().count())
        + ",\"level\":\"" + level_name(level) + "\",\"process\":" + setup().process
        + ",\"event\":\"" + std::string(event) + "\"";
    for (const LogField& field : fields) {
        line += ",\"" + field.key()
            + "\":" + (field.is_number() ? field.value() : json_text(field.value()));
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
    setup().process = json_text(process);
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
    static RepeatLimit limit;
    const log4cxx::LevelPtr target = to_log4cxx(level);
    if (!logger()->isEnabledFor(target))
        return;
    int64_t dropped = 0;
    const bool severe = level == LogLevel::warn || level == LogLevel::error;
    const int most = severe ? max_log_repeats_per_second : max_log_lines_per_second;
    if (!limit.admit(event, most, SystemClock().now(), dropped))
        return;
    std::vector<LogField> all = fields;
    if (dropped > 0)
        all.emplace_back("repeats_dropped", dropped);
    const std::string line
        = setup().form == LogForm::json ? as_json(level, event, all) : as_text(event, all);
    logger()->forcedLog(target, line, LOG4CXX_LOCATION);
}

} // namespace pathport
