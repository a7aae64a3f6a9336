// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "configuration_tracker.h"

#include <pathport/jobs/job_node.h>
#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

constexpr Millis call_timeout { 2000 };
/// How long the store holds a watch back. A watch whose connection went silent is given up
/// 1.5 s later, and this node learns of a change 0.4 s after that. With 20 s some node
/// lacked a change 5 s after such a moment in each of eight cells, with 2 s none did
/// (silent_paths_test; a change has 2 s, and nodes count as in touch after 3 s). It costs a
/// node a read of the store in 2 s, of the 2,000 a second that the users' store allows.
constexpr Millis watch_hold { 2000 };
constexpr Millis retry_pause { 400 };

const char* end_name(PeerEnd end)
{
    switch (end) {
    case PeerEnd::answered:
        return "answered";
    case PeerEnd::refused:
        return "refused";
    case PeerEnd::silent:
        break;
    }
    return "silent";
}

} // namespace

ConfigurationTracker::ConfigurationTracker(EventLoop& loop, Directory& directory,
                                           PeerClient& peers, Metrics& metrics,
                                           std::string node)
    : m_loop(loop)
    , m_directory(directory)
    , m_peers(peers)
    , m_metrics(metrics)
    , m_node(std::move(node))
    , m_heard(loop.now())
{
}

void ConfigurationTracker::begin()
{
    read();
}

Millis ConfigurationTracker::age() const
{
    return m_loop.now() - m_heard;
}

void ConfigurationTracker::read()
{
    const Call call { "read", m_loop.now(), Millis(0) };
    m_directory.read_configuration(
        call_timeout,
        m_lifetime.wrap([this, call](const DirectoryAnswer<Configuration>& answer) {
            answered(call, answer);
        }));
}

void ConfigurationTracker::watch(int64_t version)
{
    const Call call { "watch", m_loop.now(), watch_hold };
    m_directory.watch_configuration(
        version, watch_hold,
        m_lifetime.wrap([this, call](const DirectoryAnswer<Configuration>& answer) {
            answered(call, answer);
        }));
}

void ConfigurationTracker::answered(const Call& call,
                                    const DirectoryAnswer<Configuration>& answer)
{
    m_metrics.count("pathport_config_calls_total",
                    { { "call", call.name }, { "outcome", to_string(answer.status) } });
    if (answer.status != StoreStatus::ok) {
        note_failure(call, answer.status);
        const Millis pause
            = answer.status == StoreStatus::history_lost ? Millis(0) : retry_pause;
        m_loop.after(pause, m_lifetime.wrap([this] { read(); }));
        return;
    }
    note_heard(call, answer);
    if (answer.value)
        apply(*answer.value, call.name);
    watch(answer.version);
}

// The store answers without a change only after the whole hold, so that nothing was newer
// then; else that is known of the moment when it was asked.
void ConfigurationTracker::note_heard(const Call& call,
                                      const DirectoryAnswer<Configuration>& answer)
{
    if (!answer.unreadable.empty())
        log_event(LogLevel::warn, "configuration_unreadable",
                  { { "why", answer.unreadable },
                    { "store_version", answer.version },
                    { "in_force", version() } });
    if (m_failures > 0)
        log_event(LogLevel::info, "configuration_heard",
                  { { "call", call.name },
                    { "failures", m_failures },
                    { "age_ms", age().count() },
                    { "in_force", version() } });
    m_failures = 0;
    const bool held = !answer.value && m_loop.now() >= call.sent + call.hold;
    m_heard = std::max(m_heard, held ? call.sent + call.hold : call.sent);
}

void ConfigurationTracker::note_failure(const Call& call, StoreStatus status)
{
    ++m_failures;
    if (m_failures > 1 || status == StoreStatus::history_lost)
        return;
    log_event(LogLevel::warn, "configuration_not_heard",
              { { "call", call.name },
                { "outcome", to_string(status) },
                { "after_ms", (m_loop.now() - call.sent).count() },
                { "age_ms", age().count() },
                { "in_force", version() } });
}

void ConfigurationTracker::apply(const Configuration& configuration, const char* source)
{
    const int64_t present = version();
    if (configuration.version <= present)
        return;
    log_event(LogLevel::info, "configuration_applied",
              { { "version", configuration.version },
                { "before", present },
                { "queues", static_cast<int64_t>(configuration.queues.size()) },
                { "source", source },
                { "age_ms", age().count() } });
    m_current = std::make_shared<Configuration>(configuration);
}

void ConfigurationTracker::peer_has(const std::string& address, int64_t version)
{
    if (version > this->version())
        fetch(address, version);
}

void ConfigurationTracker::fetch(const std::string& address, int64_t version)
{
    if (m_fetching || address.empty())
        return;
    m_fetching = true;
    log_event(LogLevel::info, "configuration_fetch",
              { { "peer", address },
                { "version", version },
                { "in_force", this->version() },
                { "age_ms", age().count() } });
    PeerRequest request;
    request.topic = PeerTopic::configuration;
    request.node = m_node;
    const Millis asked = m_loop.now();
    m_peers.send(
        address, request, call_timeout,
        m_lifetime.wrap([this, address, asked](PeerEnd end, const PeerAnswer& answer) {
            m_fetching = false;
            fetched(address, asked, end, answer);
        }));
}

void ConfigurationTracker::fetched(const std::string& address, Millis asked, PeerEnd end,
                                   const PeerAnswer& answer)
{
    m_metrics.count("pathport_config_calls_total",
                    { { "call", "peer" }, { "outcome", end_name(end) } });
    const auto configuration = end == PeerEnd::answered && !answer.row.empty()
        ? decode_configuration(answer.row)
        : std::nullopt;
    if (configuration) {
        apply(*configuration, "peer");
        return;
    }
    log_event(LogLevel::warn, "configuration_not_fetched",
              { { "peer", address },
                { "end", end_name(end) },
                { "bytes", static_cast<int64_t>(answer.row.size()) },
                { "after_ms", (m_loop.now() - asked).count() } });
}

} // namespace pathport::jobs
