// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "configuration_tracker.h"

#include <pathport/jobs/job_node.h>
#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

constexpr Millis read_timeout { 2000 };
/// The longest long poll. A silent watch is noticed after this time and `late_after`, which
/// together are less than half of the 3 s after which a node counts as in touch. It costs
/// one store read per second and node.
constexpr Millis max_poll_time { 1000 };
/// The long poll of a call that only checks for a newer version.
constexpr Millis min_poll_time { 50 };
/// A call not answered so long after it was due is late: far longer than a healthy store
/// takes, and equal to the time-out of a heartbeat. Since connections may go silent without
/// a reset and answers may be lost, the next call doesn't wait for the late one's time-out.
constexpr Millis late_after { 300 };
/// Limit of open calls. While the store is silent a call takes up to 2.5 s and another one
/// is sent every 0.3 s, so that one is sent soon after the store recovers.
constexpr int max_open_calls = 8;
/// Delay before the next call after the store refused one.
constexpr Millis refused_retry_delay { 400 };
/// Delay after a call that failed before it was late, for example by a reset connection.
constexpr Millis lost_retry_delay { 100 };
/// Greatest age of a fresh configuration. A change has to be in force within 2 s, so a node
/// with a lower age has all of them. It is longer than a long poll with a normal answer.
constexpr Millis max_fresh_age { 1500 };
/// Delay before a newer version reported by a peer is acted on: usually the node's own
/// watch is answered within tens of milliseconds of the peer's.
constexpr Millis peer_check_delay { 100 };
/// A fetch from a peer that takes longer does not prevent the next one.
constexpr Millis fetch_late_after { 500 };
constexpr Millis fetch_timeout { 2000 };
constexpr int max_open_fetches = 4;

const char* to_text(PeerEnd end)
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
    , m_drains(std::make_shared<DrainedDomains>())
    , m_confirmed_at(loop.now())
{
}

void ConfigurationTracker::begin()
{
    send_next_call();
}

void ConfigurationTracker::on_applied(std::function<void(const Configuration&)> listener)
{
    m_listener = std::move(listener);
}

void ConfigurationTracker::on_drains_changed(std::function<void()> listener)
{
    m_drains_listener = std::move(listener);
}

Millis ConfigurationTracker::age() const
{
    return m_loop.now() - m_confirmed_at;
}

bool ConfigurationTracker::is_fresh() const
{
    return m_store_answered && age() <= max_fresh_age;
}

void ConfigurationTracker::schedule_next_call(Millis pause)
{
    m_loop.cancel(m_timer);
    m_timer = m_loop.after(pause, m_lifetime.wrap([this] {
        if (m_last_call_open)
            record_failure(m_last_call, "late");
        send_next_call();
    }));
}

// Sends a call, and schedules the next one for the time at which this one is late.
void ConfigurationTracker::send_next_call()
{
    if (m_open_calls == max_open_calls) {
        schedule_next_call(late_after);
        return;
    }
    Call call;
    call.is_read = m_watch_version == 0;
    call.name = call.is_read ? "read" : "watch";
    call.number = m_last_call.number + 1;
    call.sent = m_loop.now();
    call.poll_time = m_watch_version == 0 ? Millis(0) : next_poll_time();
    m_last_call = call;
    m_last_call_open = true;
    ++m_open_calls;
    schedule_next_call(call.poll_time + late_after);
    send(call);
}

// Long polls get shorter with the configuration's age, so that an answer is due before the
// age exceeds the longest poll.
Millis ConfigurationTracker::next_poll_time() const
{
    return std::clamp(max_poll_time - age(), min_poll_time, max_poll_time);
}

void ConfigurationTracker::send(const Call& call)
{
    auto done = m_lifetime.wrap(
        [this, call](const OperatorAnswer& answer) { on_answer(call, answer); });
    if (m_watch_version == 0)
        m_directory.read_configuration(read_timeout, std::move(done));
    else
        m_directory.watch_configuration(m_watch_version, call.poll_time, std::move(done));
}

void ConfigurationTracker::on_answer(const Call& call, const OperatorAnswer& answer)
{
    m_metrics.count("pathport_config_calls_total",
                    { { "call", call.name }, { "outcome", to_string(answer.status) } });
    --m_open_calls;
    const bool is_last_call = call.number == m_last_call.number;
    Millis pause;
    if (answer.status == StoreStatus::ok) {
        record_answer(call, answer);
        m_watch_version = std::max(m_watch_version, answer.version);
        if (answer.value)
            apply(*answer.value, call.name);
        apply_drains(call.is_read ? m_drains->after_read(answer.drains, answer.version)
                                  : m_drains->after_changes(answer.drains, answer.version),
                     call.name);
    } else if (answer.status == StoreStatus::history_lost) {
        m_watch_version = 0;
    } else {
        pause = answer.status == StoreStatus::refused ? refused_retry_delay
                                                      : lost_retry_delay;
        if (is_last_call)
            record_failure(call, to_string(answer.status));
    }
    if (!is_last_call)
        return; // The next call is scheduled by the last call or its answer.
    m_last_call_open = false;
    schedule_next_call(pause);
}

// The store answers without a change only after the full long poll, which confirms that
// there was no newer version at its end. Any other answer confirms it for the time of the
// call only.
void ConfigurationTracker::record_answer(const Call& call, const OperatorAnswer& answer)
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
    m_store_answered = true;
    const bool polled_in_full = !answer.value && m_loop.now() >= call.sent + call.poll_time;
    m_confirmed_at
        = std::max(m_confirmed_at, polled_in_full ? call.sent + call.poll_time : call.sent);
}

void ConfigurationTracker::record_failure(const Call& call, const char* outcome)
{
    ++m_failures;
    if (m_failures > 1)
        return;
    log_event(LogLevel::warn, "configuration_not_heard",
              { { "call", call.name },
                { "outcome", outcome },
                { "after_ms", (m_loop.now() - call.sent).count() },
                { "age_ms", age().count() },
                { "in_force", version() } });
}

void ConfigurationTracker::apply(const Configuration& configuration, const char* source)
{
    const int64_t previous = version();
    if (configuration.version <= previous)
        return;
    log_event(LogLevel::info, "configuration_applied",
              { { "version", configuration.version },
                { "before", previous },
                { "queues", static_cast<int64_t>(configuration.queues.size()) },
                { "source", source },
                { "age_ms", age().count() } });
    m_current = std::make_shared<Configuration>(configuration);
    if (m_listener)
        m_listener(*m_current);
}

void ConfigurationTracker::apply_drains(DrainedDomains drains, const char* source)
{
    const bool changed = drains.domains() != m_drains->domains();
    m_drains = std::make_shared<DrainedDomains>(std::move(drains));
    if (!changed)
        return;
    std::string names;
    for (const std::string& domain : m_drains->domains())
        names += (names.empty() ? "" : ",") + domain;
    log_event(LogLevel::info, "drained_domains",
              { { "domains", names },
                { "store_version", m_drains->version() },
                { "source", source },
                { "age_ms", age().count() } });
    if (m_drains_listener)
        m_drains_listener();
}

void ConfigurationTracker::note_peer_version(const std::string& address, int64_t version,
                                             int64_t drains_changed_at)
{
    const bool newer = version > this->version() || drains_changed_at > m_drains->version();
    if (!newer || address.empty())
        return;
    m_newer_peer = address;
    m_newest_peer_version = std::max(m_newest_peer_version, version);
    m_newest_peer_drains = std::max(m_newest_peer_drains, drains_changed_at);
    if (m_peer_check_pending)
        return;
    m_peer_check_pending = true;
    m_loop.after(peer_check_delay, m_lifetime.wrap([this] { check_peer_version(); }));
}

// Calls the store first, and fetches from the peer only when the store doesn't answer: a
// configuration with some hundred queues takes 100 kB, and a peer's link may not carry
// answers to all nodes at once as the store's does.
bool ConfigurationTracker::peer_is_newer() const
{
    return m_newest_peer_version > version() || m_newest_peer_drains > m_drains->version();
}

void ConfigurationTracker::check_peer_version()
{
    if (!peer_is_newer()) {
        m_peer_check_pending = false;
        return;
    }
    send_next_call();
    m_loop.after(late_after, m_lifetime.wrap([this] {
        m_peer_check_pending = false;
        if (peer_is_newer())
            fetch_from_peer();
    }));
}

void ConfigurationTracker::fetch_from_peer()
{
    const Millis now = m_loop.now();
    const bool fetch_pending
        = m_open_fetches > 0 && now - m_last_fetch_sent < fetch_late_after;
    if (fetch_pending || m_open_fetches == max_open_fetches)
        return;
    ++m_open_fetches;
    m_last_fetch_sent = now;
    log_event(LogLevel::info, "configuration_fetch",
              { { "peer", m_newer_peer },
                { "version", m_newest_peer_version },
                { "in_force", version() },
                { "age_ms", age().count() } });
    PeerRequest request;
    request.topic = PeerTopic::configuration;
    request.node = m_node;
    m_peers.send(m_newer_peer, request, fetch_timeout,
                 m_lifetime.wrap([this, address = m_newer_peer,
                                  now](PeerEnd end, const PeerAnswer& answer) {
                     --m_open_fetches;
                     on_fetched(address, now, end, answer);
                 }));
}

void ConfigurationTracker::on_fetched(const std::string& address, Millis asked, PeerEnd end,
                                      const PeerAnswer& answer)
{
    m_metrics.count("pathport_config_calls_total",
                    { { "call", "peer" }, { "outcome", to_text(end) } });
    if (end == PeerEnd::answered)
        apply_drains(m_drains->merged_with(answer.drains), "peer");
    const auto configuration = end == PeerEnd::answered && !answer.row.empty()
        ? decode_configuration(answer.row)
        : std::nullopt;
    if (configuration) {
        apply(*configuration, "peer");
        return;
    }
    log_event(LogLevel::warn, "configuration_not_fetched",
              { { "peer", address },
                { "end", to_text(end) },
                { "bytes", static_cast<int64_t>(answer.row.size()) },
                { "after_ms", (m_loop.now() - asked).count() } });
}

} // namespace pathport::jobs
