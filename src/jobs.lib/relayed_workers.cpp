// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "relayed_workers.h"

#include "call_evidence.h"
#include "worker_relay.h"

#include <pathport/log.h>

#include <algorithm>
#include <iterator>

namespace pathport::jobs {

namespace {

/// Orders to one relay within this time share a message, together with polls that wait
/// there anyway. A message costs a leader as much as a call that it makes itself.
constexpr Millis order_batch_delay { 20 };
/// Maximum delay of a waiting poll. An end that it would report is learned of that much
/// later.
constexpr Millis poll_batch_delay { 60 };
/// Time for a message to a relay and back, with the batching delays of the relay and of
/// this node.
constexpr Millis relay_margin { 250 };
/// Longest wait for an answer beyond the time-out of its call, however far this node lags
/// behind: a worker may be down.
constexpr Millis max_margin { 5000 };
/// A relay is considered lost if it does not answer within this time beyond the time that
/// it may hold a message.
constexpr Millis relay_timeout { 600 };
/// A lost relay is not used for this time.
constexpr Millis lost_relay_pause { 2000 };
/// A relay is considered lost at once if it has sent nothing for this time while a call
/// given to it since is overdue.
constexpr Millis unheard_timeout { 500 };
constexpr Millis sweep_interval { 50 };
/// Interval of load updates; the last interval counts for half of the smoothed load.
constexpr Millis load_interval { 500 };
/// Minimum interval between log lines on late or missing answers.
constexpr Millis answer_log_interval { 2000 };
/// Bytes of a call without its payload, in the direction that has more of them, with HTTP
/// headers (from the log's link_traffic at 175 starts and 350 polls a second).
constexpr double order_bytes = 400;
constexpr double poll_bytes = 450;
/// Number of jobs whose acceptors are remembered: half a minute of jobs at the users'
/// largest site. Orders of a forgotten job carry its payload.
constexpr size_t max_acceptors = 5000;

// Returns how much longer than a single poll a relay may keep its answer back.
Millis hold_beyond_wait(const RelayedCall& call)
{
    if (call.kind != RelayedKind::poll)
        return Millis(0);
    return std::max(Millis(0), call.poll.hold - call.poll.wait);
}

// Adapts `done` to the answer to a relayed order.
std::function<void(RelayedAnswer)> order_done(std::function<void(OrderAnswer)> done)
{
    return [done = std::move(done)](const RelayedAnswer& answer) {
        done(OrderAnswer { answer.status, answer.clock_ms });
    };
}

} // namespace

RelayedWorkers::RelayedWorkers(EventLoop& loop, WorkerClient& direct, PeerClient& peers,
                               NodeCapacity own, PeerRequest identity)
    : m_loop(loop)
    , m_direct(direct)
    , m_peers(peers)
    , m_own_capacity(own)
    , m_message_template(std::move(identity))
    , m_lag(relay_margin, max_margin)
{
    m_message_template.topic = PeerTopic::worker_calls;
    // Relays need none of these fields, and there are hundreds of messages a second.
    m_message_template.address.clear();
    m_message_template.cpu_millicores = 0;
    m_message_template.link_bytes_per_s = 0;
}

void RelayedWorkers::begin_epoch(int64_t epoch, const CallLoad& expected,
                                 const std::vector<std::string>& peers)
{
    end_epoch();
    m_message_template.epoch = epoch;
    m_leads = true;
    m_load = expected;
    m_load_updated_at = m_loop.now();
    std::vector<RelayNode> nodes;
    for (const std::string& peer : peers)
        nodes.push_back({ peer, m_own_capacity });
    set_nodes(std::move(nodes));
    sweep();
}

void RelayedWorkers::end_epoch()
{
    m_leads = false;
    m_epoch_lifetime = Lifetime();
    m_nodes.clear();
    m_relays.clear();
    m_routes.clear();
    m_relay_states.clear();
    m_pending.clear();
    m_expired.clear();
    m_lag = AnswerLag(relay_margin, max_margin);
    m_sweep_due = Millis(0);
    m_load = CallLoad();
    m_recent_load = CallLoad();
}

void RelayedWorkers::set_nodes(std::vector<RelayNode> nodes)
{
    if (nodes == m_nodes)
        return;
    m_nodes = std::move(nodes);
    update_relays();
}

void RelayedWorkers::note_acceptor(const std::string& job, const std::string& address)
{
    if (!m_acceptors.emplace(job, address).second)
        return;
    m_acceptor_order.push_back(job);
    if (m_acceptor_order.size() <= max_acceptors)
        return;
    m_acceptors.erase(m_acceptor_order.front());
    m_acceptor_order.pop_front();
}

void RelayedWorkers::start(const WorkerInfo& worker, const StartOrder& order,
                           Millis timeout, std::function<void(OrderAnswer)> done)
{
    RelayedCall call;
    call.kind = RelayedKind::start;
    call.timeout = timeout;
    call.start = order;
    submit(worker, std::move(call), order_bytes + double(order.payload.size()),
           order_done(std::move(done)));
}

void RelayedWorkers::stop(const WorkerInfo& worker, const RunOrder& order, Millis timeout,
                          std::function<void(OrderAnswer)> done)
{
    RelayedCall call;
    call.kind = RelayedKind::stop;
    call.timeout = timeout;
    call.run = order;
    submit(worker, std::move(call), order_bytes, order_done(std::move(done)));
}

void RelayedWorkers::set_speed(const WorkerInfo& worker, const RunOrder& order,
                               Millis timeout, std::function<void(OrderAnswer)> done)
{
    RelayedCall call;
    call.kind = RelayedKind::set_speed;
    call.timeout = timeout;
    call.run = order;
    submit(worker, std::move(call), order_bytes, order_done(std::move(done)));
}

void RelayedWorkers::poll(const WorkerInfo& worker, const PollRequest& order,
                          Millis timeout,
                          std::function<void(OrderStatus, std::optional<PollReport>)> done)
{
    RelayedCall call;
    call.kind = RelayedKind::poll;
    call.timeout = timeout;
    call.poll = order;
    submit(worker, std::move(call), poll_bytes,
           [done = std::move(done)](const RelayedAnswer& answer) {
               done(answer.status, answer.report);
           });
}

void RelayedWorkers::submit(const WorkerInfo& worker, RelayedCall call, double bytes,
                            Done done)
{
    call.worker = worker.id;
    call.address = worker.address;
    ++m_recent_load.calls;
    m_recent_load.bytes += bytes;
    const RelayNode* relay = route(worker.id);
    if (relay == nullptr) {
        call_directly(call, std::move(done));
        return;
    }
    call.number = ++m_last_number;
    const Millis now = m_loop.now();
    const Millis own_end = now + call.timeout + hold_beyond_wait(call);
    omit_payload(call);
    enqueue(relay->address,
            { std::move(call), std::move(done), relay->address, now, own_end });
}

void RelayedWorkers::call_directly(const RelayedCall& call, Done done)
{
    WorkerInfo worker;
    worker.id = call.worker;
    worker.address = call.address;
    const auto answered = [done](const OrderAnswer& answer) {
        RelayedAnswer own;
        own.status = answer.status;
        own.clock_ms = answer.clock_ms;
        done(std::move(own));
    };
    switch (call.kind) {
    case RelayedKind::start:
        m_direct.start(worker, call.start, call.timeout, answered);
        break;
    case RelayedKind::stop:
        m_direct.stop(worker, call.run, call.timeout, answered);
        break;
    case RelayedKind::set_speed:
        m_direct.set_speed(worker, call.run, call.timeout, answered);
        break;
    case RelayedKind::poll:
        m_direct.poll(worker, call.poll, call.timeout,
                      [done](OrderStatus status, std::optional<PollReport> report) {
                          RelayedAnswer own;
                          own.status = status;
                          own.report = std::move(report);
                          done(std::move(own));
                      });
        break;
    }
}

// The load of the last interval and the smoothed load before it have equal weight. The set
// of relays changes only when the current ones do not suffice or some are gone, since each
// change moves workers.
void RelayedWorkers::update_relays()
{
    const double seconds = double((m_loop.now() - m_load_updated_at).count()) / 1000;
    if (seconds > 0) {
        m_load.calls = (m_load.calls + m_recent_load.calls / seconds) / 2;
        m_load.bytes = (m_load.bytes + m_recent_load.bytes / seconds) / 2;
        m_recent_load = CallLoad();
        m_load_updated_at = m_loop.now();
    }
    std::vector<RelayNode> chosen;
    if (m_leads && should_relay(m_load, m_own_capacity, !m_relays.empty()))
        chosen = choose_relays(m_load, m_nodes);
    const bool all_available
        = std::all_of(m_relays.begin(), m_relays.end(), [this](const RelayNode& relay) {
              return std::find(m_nodes.begin(), m_nodes.end(), relay) != m_nodes.end();
          });
    const bool suffices
        = all_available && m_relays.size() >= chosen.size() && !chosen.empty();
    if (chosen == m_relays || suffices)
        return;
    log_event(LogLevel::info, "worker_relays",
              { { "epoch", m_message_template.epoch },
                { "before", static_cast<int64_t>(m_relays.size()) },
                { "relays", static_cast<int64_t>(chosen.size()) },
                { "nodes", static_cast<int64_t>(m_nodes.size()) },
                { "calls_per_s", static_cast<int64_t>(m_load.calls) },
                { "bytes_per_s", static_cast<int64_t>(m_load.bytes) } });
    m_relays = std::move(chosen);
    m_routes.clear();
}

bool RelayedWorkers::usable(const RelayNode& node)
{
    return m_relay_states[node.address].avoid_until <= m_loop.now();
}

std::string RelayedWorkers::first_relay()
{
    for (const RelayNode& relay : m_relays) {
        if (usable(relay))
            return relay.address;
    }
    return {};
}

// Returns the relay for a worker, or nullptr when this node makes the call. The workers of
// a lost relay are divided among the other nodes until it may be used again. When all seem
// lost, this node is probably the one that cannot be reached, and making their calls itself
// would add to its load.
const RelayNode* RelayedWorkers::route(const std::string& worker)
{
    if (m_relays.empty())
        return nullptr;
    const auto [known, added] = m_routes.try_emplace(worker, 0);
    if (added)
        known->second = relay_index_for(worker, m_relays);
    const RelayNode& assigned = m_relays[known->second];
    if (usable(assigned))
        return &assigned;
    std::vector<RelayNode> others;
    std::copy_if(m_nodes.begin(), m_nodes.end(), std::back_inserter(others),
                 [this](const RelayNode& node) { return usable(node); });
    if (others.empty())
        return &assigned;
    const std::string& address = others[relay_index_for(worker, others)].address;
    return &*std::find_if(m_nodes.begin(), m_nodes.end(),
                          [&](const RelayNode& node) { return node.address == address; });
}

void RelayedWorkers::omit_payload(RelayedCall& call) const
{
    if (call.kind != RelayedKind::start || call.start.payload.empty())
        return;
    const auto acceptor = m_acceptors.find(call.start.task.job);
    if (acceptor == m_acceptors.end())
        return;
    call.payload_omitted = true;
    call.payload_source = acceptor->second;
}

void RelayedWorkers::enqueue(const std::string& address, PendingCall pending)
{
    Relay& relay = m_relay_states[address];
    ++relay.pending_calls;
    relay.queued.push_back(pending.call.number);
    const bool waits
        = pending.call.kind == RelayedKind::poll && pending.call.poll.wait > Millis(0);
    const Millis delay = waits ? poll_batch_delay : order_batch_delay;
    const Millis at = m_loop.now() + delay;
    m_pending.emplace(pending.call.number, std::move(pending));
    if (relay.batch_due && relay.batch_at <= at)
        return;
    relay.batch_due = true;
    relay.batch_at = at;
    m_loop.after(delay, m_epoch_lifetime.wrap([this, address, at] {
        const Relay& due = m_relay_states[address];
        if (due.batch_due && due.batch_at == at)
            send_batch(address);
    }));
}

// While a relay has calls of this node, one message is left unanswered there for it to
// answer.
void RelayedWorkers::send_batch(const std::string& address)
{
    Relay& relay = m_relay_states[address];
    relay.batch_due = false;
    Message message;
    std::vector<RelayedCall> calls;
    for (const int64_t number : relay.queued) {
        const auto found = m_pending.find(number);
        if (found == m_pending.end())
            continue; // It has expired.
        message.calls.push_back(number);
        calls.push_back(found->second.call);
        if (found->second.call.payload_omitted)
            calls.back().start.payload.clear();
    }
    relay.queued.clear();
    if (calls.empty() && (!relay.open_messages.empty() || relay.pending_calls == 0))
        return;
    PeerRequest request = m_message_template;
    if (!calls.empty())
        request.calls = encode(calls);
    message.number = ++m_last_message;
    message.sent = m_loop.now();
    relay.open_messages.insert(message.number);
    // The answer may lie unread as long as others did.
    const Millis lateness = m_lag.margin() - relay_margin;
    m_peers.send(address, request, relay_poll_wait + relay_timeout + lateness,
                 m_epoch_lifetime.wrap(
                     [this, address, message](PeerEnd end, const PeerAnswer& answer) {
                         batch_answered(address, message, end, answer);
                     }));
}

void RelayedWorkers::batch_answered(const std::string& address, const Message& message,
                                    PeerEnd end, const PeerAnswer& answer)
{
    Relay& relay = m_relay_states[address];
    relay.open_messages.erase(message.number);
    if (effect_of(end) == CallEffect::none
        || (end == PeerEnd::answered && !answer.served)) {
        handle_lost_relay(address, message.calls,
                          end == PeerEnd::answered ? "declined" : "refused");
        return;
    }
    if (end == PeerEnd::silent) {
        message_unanswered(address, message);
        return;
    }
    relay.last_heard = m_loop.now();
    // A relay answers the earlier message when the next one arrives, so earlier messages
    // have been answered or lost.
    relay.open_messages.erase(relay.open_messages.begin(),
                              relay.open_messages.upper_bound(message.number));
    if (!relay.incarnation.empty() && relay.incarnation != answer.incarnation)
        handle_lost_relay(address, {}, "another_process");
    relay.incarnation = answer.incarnation;
    const auto answers = answer.calls.empty() ? std::vector<RelayedAnswer>()
                                              : decode_relayed_answers(answer.calls);
    if (!answers) {
        handle_lost_relay(address, {}, "malformed");
        return;
    }
    const auto alive = m_epoch_lifetime.observe();
    for (const RelayedAnswer& one : *answers) {
        handle_answer(one);
        if (alive.expired())
            return;
    }
    keep_message_open(address);
}

// A connection may fail silently while the relay keeps serving: a relay that has answered
// since is alive. The calls of the lost message end at their own deadlines; those of later
// messages go on. Otherwise each lost message would fail all calls at the relay and take it
// out of use for 2 s (relayed_workers_test).
void RelayedWorkers::message_unanswered(const std::string& address, const Message& message)
{
    if (m_relay_states[address].last_heard <= message.sent) {
        handle_lost_relay(address, {}, "silent");
        return;
    }
    log_event(LogLevel::info, "relay_message_lost",
              { { "relay", address },
                { "calls", static_cast<int64_t>(message.calls.size()) },
                { "heard_ms_ago",
                  (m_loop.now() - m_relay_states[address].last_heard).count() } });
    keep_message_open(address);
}

void RelayedWorkers::keep_message_open(const std::string& address)
{
    const Relay& relay = m_relay_states[address];
    if (relay.open_messages.empty() && relay.pending_calls > 0 && !relay.batch_due)
        send_batch(address);
}

std::optional<RelayedWorkers::PendingCall> RelayedWorkers::remove_pending(int64_t number)
{
    const auto found = m_pending.find(number);
    if (found == m_pending.end())
        return std::nullopt;
    PendingCall pending = std::move(found->second);
    m_pending.erase(found);
    Relay& relay = m_relay_states[pending.relay];
    relay.pending_calls -= relay.pending_calls > 0 ? 1 : 0;
    return pending;
}

void RelayedWorkers::handle_answer(const RelayedAnswer& answer)
{
    const Millis now = m_loop.now();
    auto pending = remove_pending(answer.number);
    if (!pending) {
        const auto given_up = m_expired.find(answer.number);
        if (given_up == m_expired.end())
            return; // Its relay was considered lost.
        ++m_answer_counts.late;
        m_lag.add_sample(now - given_up->second, now);
        m_expired.erase(given_up);
        return;
    }
    ++m_answer_counts.in_time;
    m_lag.add_sample(now - pending->deadline, now);
    if (answer.payload_missing)
        call_directly(pending->call, std::move(pending->done));
    else
        pending->done(answer);
}

// Calls that were certainly not sent are made again elsewhere. All others may have been
// executed, or may be yet.
void RelayedWorkers::handle_lost_relay(const std::string& address,
                                       const std::vector<int64_t>& unsent,
                                       const char* reason)
{
    Relay& relay = m_relay_states[address];
    relay.avoid_until = m_loop.now() + lost_relay_pause;
    relay.incarnation.clear();
    std::vector<int64_t> not_sent = unsent;
    not_sent.insert(not_sent.end(), relay.queued.begin(), relay.queued.end());
    relay.queued.clear();
    std::vector<int64_t> in_doubt;
    for (const auto& [number, pending] : m_pending) {
        if (pending.relay == address
            && std::find(not_sent.begin(), not_sent.end(), number) == not_sent.end())
            in_doubt.push_back(number);
    }
    log_event(LogLevel::warn, "relay_lost",
              { { "relay", address },
                { "reason", reason },
                { "not_sent", static_cast<int64_t>(not_sent.size()) },
                { "in_doubt", static_cast<int64_t>(in_doubt.size()) } });
    const auto alive = m_epoch_lifetime.observe();
    for (const int64_t number : not_sent) {
        auto pending = remove_pending(number);
        const RelayNode* other = pending ? route(pending->call.worker) : nullptr;
        if (other != nullptr && other->address != address) {
            pending->relay = other->address;
            enqueue(other->address, std::move(*pending));
        } else if (pending) {
            call_directly(pending->call, std::move(pending->done));
        }
    }
    for (const int64_t number : in_doubt) {
        auto pending = remove_pending(number);
        if (pending)
            pending->done(RelayedAnswer());
        if (alive.expired())
            return;
    }
}

// Returns whether other relays have answered since a call was given to its relay. If not,
// this node is probably the one that receives nothing.
bool RelayedWorkers::other_relays_answered(const PendingCall& pending) const
{
    return std::any_of(m_relay_states.begin(), m_relay_states.end(), [&](const auto& link) {
        return link.first != pending.relay && link.second.last_heard > pending.submitted_at;
    });
}

// Ends overdue calls, and detects relays that have sent nothing since they were given one
// of them.
void RelayedWorkers::sweep()
{
    if (!m_leads)
        return;
    const Millis now = m_loop.now();
    // Answers that have arrived lie unread as long as this timer did.
    if (m_sweep_due > Millis(0) && now - m_sweep_due >= sweep_interval)
        m_lag.add_sample(now - m_sweep_due, now);
    m_sweep_due = now + sweep_interval;
    m_loop.after(sweep_interval, m_epoch_lifetime.wrap([this] { sweep(); }));
    if (now - m_load_updated_at >= load_interval)
        update_relays();
    const Millis margin = m_lag.margin();
    std::vector<int64_t> overdue;
    std::vector<std::string> silent;
    for (const auto& [number, pending] : m_pending) {
        if (now < pending.deadline + margin)
            continue;
        overdue.push_back(number);
        const bool unheard = m_relay_states[pending.relay].last_heard < pending.submitted_at
            && now - pending.submitted_at > unheard_timeout
            && other_relays_answered(pending);
        if (unheard
            && std::find(silent.begin(), silent.end(), pending.relay) == silent.end())
            silent.push_back(pending.relay);
    }
    m_answer_counts.missing += static_cast<int64_t>(overdue.size());
    log_answer_counts();
    const auto alive = m_epoch_lifetime.observe();
    for (const std::string& relay : silent) {
        handle_lost_relay(relay, {}, "no_answers");
        if (alive.expired())
            return;
    }
    for (const int64_t number : overdue) {
        expire_call(number);
        if (alive.expired())
            return;
    }
    forget_expired(now);
}

void RelayedWorkers::expire_call(int64_t number)
{
    auto pending = remove_pending(number);
    if (!pending)
        return;
    m_expired[number] = pending->deadline;
    pending->done(RelayedAnswer());
}

void RelayedWorkers::forget_expired(Millis now)
{
    while (!m_expired.empty() && now - m_expired.begin()->second > max_margin + max_margin)
        m_expired.erase(m_expired.begin());
}

// Late answers show that this node or a relay is slow; missing ones were lost.
void RelayedWorkers::log_answer_counts()
{
    if (m_loop.now() - m_answers_logged_at < answer_log_interval)
        return;
    m_answers_logged_at = m_loop.now();
    if (m_answer_counts.late + m_answer_counts.missing > 0)
        log_event(LogLevel::info, "relayed_answers",
                  { { "epoch", m_message_template.epoch },
                    { "in_time", m_answer_counts.in_time },
                    { "late", m_answer_counts.late },
                    { "missing", m_answer_counts.missing } });
    m_answer_counts = AnswerCounts();
}

} // namespace pathport::jobs
