// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "configuration_tracker.h"

#include <pathport/jobs/job_node.h>
#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

constexpr Millis read_timeout { 2000 };
/// How long the store holds a watch back at most: what a change and the rest of a silent
/// watch's time may take together, 1 s for the hold and `late_time`, is less than half of
/// the 3 s after which a node counts as in touch. It costs a node a read of the store in a
/// second.
constexpr Millis longest_hold { 1000 };
/// A hold that is only to show whether there is something newer.
constexpr Millis shortest_hold { 50 };
/// A call that has no answer so long after it was due is late: far longer than a store in
/// order takes, and as long as a heartbeat waits. Connections go silent without a reset,
/// and answers are lost, so what is late is not waited for until it times out.
constexpr Millis late_time { 300 };
/// Calls that may be open at once: while the store is silent each takes up to 2.5 s, and
/// another one follows every 0.3 s, so that the first one after the silence comes at once.
constexpr int most_open = 8;
/// Pause after a call that the store refused.
constexpr Millis refused_pause { 400 };
/// Pause after a call that ended without an answer before it was late, as by a reset.
constexpr Millis lost_pause { 100 };
/// A node that has heard from the store within this time knows of all changes that have to
/// be in force: those have 2 s. It is more than a hold and a usual answer take.
constexpr Millis fresh_time { 1500 };
/// When a peer tells of something newer, the node's own watch is about to: both hear of it
/// within tens of milliseconds.
constexpr Millis told_wait { 100 };
/// A fetch from a peer that takes so long does not keep the next one from being sent.
constexpr Millis late_fetch { 500 };
constexpr Millis fetch_timeout { 2000 };
constexpr int most_fetches = 4;

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

Millis ConfigurationTracker::age() const
{
    return m_loop.now() - m_confirmed_at;
}

bool ConfigurationTracker::is_fresh() const
{
    return m_store_answered && age() <= fresh_time;
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

// Sends a call, and the next one when this one is late.
void ConfigurationTracker::send_next_call()
{
    if (m_open_calls == most_open) {
        schedule_next_call(late_time);
        return;
    }
    Call call;
    call.name = m_watch_version == 0 ? "read" : "watch";
    call.number = m_last_call.number + 1;
    call.sent = m_loop.now();
    call.hold = m_watch_version == 0 ? Millis(0) : next_hold();
    m_last_call = call;
    m_last_call_open = true;
    ++m_open_calls;
    schedule_next_call(call.hold + late_time);
    send(call);
}

// The answer comes before what this node knows is older than a hold.
Millis ConfigurationTracker::next_hold() const
{
    return std::clamp(longest_hold - age(), shortest_hold, longest_hold);
}

void ConfigurationTracker::send(const Call& call)
{
    auto done = m_lifetime.wrap([this, call](const DirectoryAnswer<Configuration>& answer) {
        on_answer(call, answer);
    });
    if (m_watch_version == 0)
        m_directory.read_configuration(read_timeout, std::move(done));
    else
        m_directory.watch_configuration(m_watch_version, call.hold, std::move(done));
}

void ConfigurationTracker::on_answer(const Call& call,
                                     const DirectoryAnswer<Configuration>& answer)
{
    m_metrics.count("pathport_config_calls_total",
                    { { "call", call.name }, { "outcome", to_string(answer.status) } });
    --m_open_calls;
    const bool newest = call.number == m_last_call.number;
    Millis pause;
    if (answer.status == StoreStatus::ok) {
        record_answer(call, answer);
        m_watch_version = std::max(m_watch_version, answer.version);
        if (answer.value)
            apply(*answer.value, call.name);
    } else if (answer.status == StoreStatus::history_lost) {
        m_watch_version = 0;
    } else {
        pause = answer.status == StoreStatus::refused ? refused_pause : lost_pause;
        if (newest)
            record_failure(call, to_string(answer.status));
    }
    if (!newest)
        return; // The newest call, or its end, brings about the next one.
    m_last_call_open = false;
    schedule_next_call(pause);
}

// The store answers without a change only after the whole hold, so that nothing was newer
// then; else that is known of the moment when it was asked.
void ConfigurationTracker::record_answer(const Call& call,
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
    m_store_answered = true;
    const bool held = !answer.value && m_loop.now() >= call.sent + call.hold;
    m_confirmed_at = std::max(m_confirmed_at, held ? call.sent + call.hold : call.sent);
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
    if (m_listener)
        m_listener(*m_current);
}

void ConfigurationTracker::note_peer_version(const std::string& address, int64_t version)
{
    if (version <= this->version() || address.empty())
        return;
    m_newer_peer = address;
    m_newest_peer_version = std::max(m_newest_peer_version, version);
    if (m_peer_check_pending)
        return;
    m_peer_check_pending = true;
    m_loop.after(told_wait, m_lifetime.wrap([this] { check_peer_version(); }));
}

// The store's link bears the answers to all nodes at once, a peer's may not: a
// configuration of some hundred queues takes 100 kB. The peer is asked when the store
// doesn't answer.
void ConfigurationTracker::check_peer_version()
{
    if (m_newest_peer_version <= version()) {
        m_peer_check_pending = false;
        return;
    }
    send_next_call();
    m_loop.after(late_time, m_lifetime.wrap([this] {
        m_peer_check_pending = false;
        if (m_newest_peer_version > version())
            fetch_from_peer();
    }));
}

void ConfigurationTracker::fetch_from_peer()
{
    const Millis now = m_loop.now();
    const bool waits = m_open_fetches > 0 && now - m_last_fetch_sent < late_fetch;
    if (waits || m_open_fetches == most_fetches)
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
