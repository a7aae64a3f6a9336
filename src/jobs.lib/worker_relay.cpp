// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "worker_relay.h"

#include <pathport/log.h>

namespace pathport::jobs {

namespace {

/// Maximum delay of answers that the leader acts on: ends and failed orders. All other
/// answers available go with them.
constexpr Millis urgent_delay { 10 };
/// Delay of mere confirmations, since nothing waits for them.
constexpr Millis confirmation_delay { 60 };
/// Interval at which running tasks are reported; they are also reported with each poll that
/// does not wait, since such polls resolve starts in doubt. They are most of a report, and
/// only checkpoints and whether a task has stalled (for seconds) follow from them.
constexpr Millis running_interval { 1000 };
/// A poll is repeated only after a wait that took this long, and for one that may.
constexpr Millis min_repeated_wait { 100 };
/// Time-out for a payload: the messages to its node and back, and the delay of a busy node.
constexpr Millis payload_timeout { 300 };
/// A leader that has sent nothing for this time has ended, or uses other relays.
constexpr Millis leader_timeout { 5000 };

WorkerInfo worker_of(const RelayedCall& call)
{
    WorkerInfo worker;
    worker.id = call.worker;
    worker.address = call.address;
    return worker;
}

} // namespace

WorkerRelay::WorkerRelay(EventLoop& loop, WorkerClient& workers, PeerClient& peers,
                         PayloadCache& payloads, std::string node, std::string incarnation)
    : m_loop(loop)
    , m_workers(workers)
    , m_peers(peers)
    , m_payloads(payloads)
    , m_node(std::move(node))
    , m_incarnation(std::move(incarnation))
{
}

PeerAnswer WorkerRelay::empty_answer() const
{
    PeerAnswer answer;
    answer.node = m_node;
    answer.incarnation = m_incarnation;
    answer.epoch = m_epoch;
    answer.served = true;
    return answer;
}

void WorkerRelay::refuse(const PeerRequest& request, const char* reason,
                         const PeerResponder& done) const
{
    log_event(LogLevel::warn, "relayed_calls_refused",
              { { "leader", request.node },
                { "epoch", request.epoch },
                { "newest_epoch", m_epoch },
                { "reason", reason } });
    PeerAnswer answer = empty_answer();
    answer.served = false;
    done(std::move(answer));
}

void WorkerRelay::handle(const PeerRequest& request, PeerResponder done)
{
    const auto calls = request.calls.empty() ? std::vector<RelayedCall>()
                                             : decode_relayed_calls(request.calls);
    if (!calls) {
        refuse(request, "malformed", done);
        return;
    }
    if (request.epoch < m_epoch) {
        refuse(request, "earlier_leader", done);
        return;
    }
    m_epoch = request.epoch;
    forget_silent_leaders();
    const std::string name = request.incarnation;
    Leader& leader = m_leaders[name];
    leader.epoch = request.epoch;
    leader.last_heard = m_loop.now();
    if (leader.held_responder)
        reply(leader);
    leader.held_responder = std::move(done);
    m_loop.cancel(leader.hold_timer);
    leader.hold_timer = m_loop.after(relay_poll_wait, m_lifetime.wrap([this, name] {
        const auto held = m_leaders.find(name);
        if (held != m_leaders.end() && held->second.held_responder)
            reply(held->second);
    }));
    if (!leader.answers.empty())
        reply(leader);
    for (const RelayedCall& call : *calls)
        make_call(name, call);
}

void WorkerRelay::forget_silent_leaders()
{
    for (auto entry = m_leaders.begin(); entry != m_leaders.end();) {
        const bool silent = m_loop.now() - entry->second.last_heard > leader_timeout;
        entry = silent && !entry->second.held_responder ? m_leaders.erase(entry)
                                                        : std::next(entry);
    }
}

void WorkerRelay::make_call(const std::string& leader, const RelayedCall& call)
{
    const WorkerInfo worker = worker_of(call);
    const auto done
        = m_lifetime.wrap([this, leader, number = call.number](const OrderAnswer& answer) {
              order_answered(leader, number, answer);
          });
    switch (call.kind) {
    case RelayedKind::start:
        start(leader, call);
        break;
    case RelayedKind::stop:
        m_workers.stop(worker, call.run, call.timeout, done);
        break;
    case RelayedKind::set_speed:
        m_workers.set_speed(worker, call.run, call.timeout, done);
        break;
    case RelayedKind::poll:
        send_poll(leader, { call, m_loop.now(), m_loop.now(), std::nullopt });
        break;
    }
}

void WorkerRelay::send_poll(const std::string& leader, HeldPoll poll)
{
    poll.sent_at = m_loop.now();
    const WorkerInfo worker = worker_of(poll.call);
    PollRequest order = poll.call.poll;
    const Millis left = poll.received_at + std::max(order.hold, order.wait) - poll.sent_at;
    const Millis unused = std::max(Millis(0), order.wait - left);
    order.wait = order.wait - unused;
    const Millis timeout = poll.call.timeout - unused;
    m_workers.poll(
        worker, order, timeout,
        m_lifetime.wrap([this, leader, poll = std::move(poll)](
                            OrderStatus status, std::optional<PollReport> report) {
            poll_answered(leader, poll, status, std::move(report));
        }));
}

// A repeated poll has the fence and the lease of its leader's call, so it grants nothing
// that the leader does not know of.
bool WorkerRelay::may_repeat(const std::string& name, const HeldPoll& poll,
                             const PollReport& report) const
{
    const auto leader = m_leaders.find(name);
    const Millis left = poll.received_at + poll.call.poll.hold - m_loop.now();
    // A worker that does not wait would be polled without pause.
    const bool waited = m_loop.now() - poll.sent_at >= min_repeated_wait;
    return report.ended.empty() && waited && left >= min_repeated_wait
        && leader != m_leaders.end() && leader->second.epoch == m_epoch;
}

void WorkerRelay::poll_answered(const std::string& leader, HeldPoll poll,
                                OrderStatus status, std::optional<PollReport> report)
{
    // The leader has raised the fence since, and learns of the worker by a later poll.
    const bool outdated = status == OrderStatus::stale_fence && poll.last_report;
    if (outdated) {
        answer_poll(leader, poll.call, OrderStatus::accepted, std::move(poll.last_report));
        return;
    }
    if (status == OrderStatus::accepted && report) {
        report->polled_after = poll.sent_at - poll.received_at;
        if (may_repeat(leader, poll, *report)) {
            poll.last_report = std::move(report);
            send_poll(leader, std::move(poll));
            return;
        }
    }
    answer_poll(leader, poll.call, status, std::move(report));
}

void WorkerRelay::start(const std::string& leader, RelayedCall call)
{
    const std::string& job = call.start.task.job;
    if (call.payload_omitted) {
        const std::string* payload = m_payloads.find(job);
        if (payload == nullptr) {
            fetch_payload(leader, call);
            return;
        }
        call.start.payload = *payload;
    } else {
        m_payloads.put(job, call.start.payload);
    }
    m_workers.start(
        worker_of(call), call.start, call.timeout,
        m_lifetime.wrap([this, leader, number = call.number](const OrderAnswer& answer) {
            order_answered(leader, number, answer);
        }));
}

void WorkerRelay::order_answered(const std::string& leader, int64_t number,
                                 const OrderAnswer& answer)
{
    RelayedAnswer relayed;
    relayed.number = number;
    relayed.status = answer.status;
    relayed.clock_ms = answer.clock_ms;
    const bool confirms = answer.status == OrderStatus::accepted;
    queue_answer(leader, std::move(relayed), confirms ? confirmation_delay : urgent_delay);
}

void WorkerRelay::answer_poll(const std::string& name, const RelayedCall& call,
                              OrderStatus status, std::optional<PollReport> report)
{
    const auto leader = m_leaders.find(name);
    if (leader == m_leaders.end())
        return;
    const Millis now = m_loop.now();
    const bool waited = call.poll.wait > Millis(0);
    const bool confirms
        = status == OrderStatus::accepted && report && report->ended.empty() && waited;
    Millis& reported_at = leader->second.running_reported_at[call.worker];
    if (report && waited && now - reported_at < running_interval) {
        report->running.clear();
        report->running_omitted = true;
    } else if (report) {
        reported_at = now;
    }
    RelayedAnswer relayed;
    relayed.number = call.number;
    relayed.status = status;
    relayed.report = std::move(report);
    queue_answer(name, std::move(relayed), confirms ? confirmation_delay : urgent_delay);
}

void WorkerRelay::fetch_payload(const std::string& leader, const RelayedCall& call)
{
    const std::string job = call.start.task.job;
    auto& waiting = m_waiting_starts[job];
    waiting.emplace_back(leader, call);
    if (waiting.size() > 1)
        return;
    if (call.payload_source.empty()) {
        payload_received(job, PeerEnd::refused, {});
        return;
    }
    PeerRequest request;
    request.topic = PeerTopic::job_payload;
    request.node = m_node;
    request.job = job;
    m_peers.send(call.payload_source, request, payload_timeout,
                 m_lifetime.wrap([this, job](PeerEnd end, const PeerAnswer& answer) {
                     payload_received(job, end, answer);
                 }));
}

void WorkerRelay::payload_received(const std::string& job, PeerEnd end,
                                   const PeerAnswer& answer)
{
    const auto found = m_waiting_starts.find(job);
    if (found == m_waiting_starts.end())
        return;
    const auto waiting = std::move(found->second);
    m_waiting_starts.erase(found);
    const bool has_payload = end == PeerEnd::answered && answer.served;
    if (has_payload)
        m_payloads.put(job, answer.row);
    for (const auto& [leader, call] : waiting) {
        if (has_payload) {
            RelayedCall complete = call;
            complete.start.payload = answer.row;
            complete.payload_omitted = false;
            start(leader, std::move(complete));
            continue;
        }
        RelayedAnswer missing;
        missing.number = call.number;
        missing.payload_missing = true;
        queue_answer(leader, std::move(missing), urgent_delay);
    }
}

void WorkerRelay::queue_answer(const std::string& name, RelayedAnswer answer, Millis delay)
{
    const auto found = m_leaders.find(name);
    if (found == m_leaders.end())
        return;
    Leader& leader = found->second;
    const Millis at = m_loop.now() + delay;
    const bool is_earlier = leader.answers.empty() || at < leader.reply_at;
    leader.answers.push_back(std::move(answer));
    if (!is_earlier)
        return;
    leader.reply_at = at;
    m_loop.after(delay, m_lifetime.wrap([this, name, at] {
        const auto waiting = m_leaders.find(name);
        if (waiting == m_leaders.end() || waiting->second.reply_at != at)
            return; // An earlier reply has sent the answers.
        if (waiting->second.held_responder && !waiting->second.answers.empty())
            reply(waiting->second);
    }));
}

void WorkerRelay::reply(Leader& leader)
{
    PeerAnswer answer = empty_answer();
    if (!leader.answers.empty())
        answer.calls = encode(leader.answers);
    leader.answers.clear();
    m_loop.cancel(leader.hold_timer);
    leader.hold_timer = 0;
    const auto done = std::move(leader.held_responder);
    leader.held_responder = nullptr;
    done(std::move(answer));
}

} // namespace pathport::jobs
