// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "advice_pool.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace pathport::jobs {

namespace {

/// A question of which the advisor's decision alone takes so long is medium or slow. Each
/// class goes through callers of its own, since the advisor serves a caller's questions one
/// after the other.
constexpr double medium_decision_ms = 20;
constexpr double slow_decision_ms = 150;
/// One in so many callers takes fast questions, and as many take medium ones.
constexpr size_t quick_fraction = 6;
/// Questions that one caller has under way unless they are slow; the second covers the way
/// there and back.
constexpr int quick_under_way = 2;
/// A question about a step that has waited for so long, and that finds no caller, has those
/// of its class kept for it. A step may stand for 3 s where there is room; the answer takes
/// up to 0.7 s on the users' sites.
constexpr Millis patience { 1500 };
/// How long a caller that gave no answer is left alone.
constexpr Millis failed_pause { 1000 };
constexpr Millis call_margin { 600 };
/// What a queue has had of the advisor's time counts half after this time: about four
/// answers of a slow queue, so that a short crowd of questions is soon forgotten.
constexpr double share_half_life_ms = 2000;

double cost_of(const AdviceQuery& question)
{
    return question.rule.decision_ms
        + question.rule.per_worker_ms * double(question.workers.size());
}

Millis timeout_of(const AdviceQuery& question)
{
    return Millis(static_cast<int64_t>(3 * cost_of(question))) + call_margin;
}

} // namespace

AdvicePool::AdvicePool(EventLoop& loop, Advisor& advisor, PeerClient& peers,
                       Mechanisms mechanisms)
    : m_loop(loop)
    , m_advisor(advisor)
    , m_peers(peers)
    , m_mechanisms(mechanisms)
{
    m_callers.push_back({});
}

void AdvicePool::set_peers(const std::vector<std::string>& addresses)
{
    std::vector<Caller> callers;
    callers.push_back(m_callers.front());
    if (!m_mechanisms.uses(Mechanism::advice_spread))
        return;
    for (const std::string& address : addresses) {
        const auto known
            = std::find_if(m_callers.begin() + 1, m_callers.end(),
                           [&](const Caller& caller) { return caller.address == address; });
        callers.push_back(known == m_callers.end() ? Caller { address, 0, 0, Millis(0) }
                                                   : *known);
    }
    m_callers = std::move(callers);
    dispatch();
}

AdvicePool::LatencyClass AdvicePool::latency_class(const AdviceRule& rule)
{
    if (rule.decision_ms >= slow_decision_ms)
        return LatencyClass::slow;
    return rule.decision_ms >= medium_decision_ms ? LatencyClass::medium
                                                  : LatencyClass::fast;
}

void AdvicePool::ask(AdviceQuery question, std::function<void(AdviceReply)> done)
{
    m_pending.push_back(PendingQuery { std::move(question), std::move(done) });
    dispatch();
}

// Returns what the queue has had of the advisor's time, as it counts at present.
double AdvicePool::decayed_cost(const std::string& queue) const
{
    const auto found = m_queue_usage.find(queue);
    return found == m_queue_usage.end() ? 0 : decayed_cost(found->second);
}

double AdvicePool::decayed_cost(const AdvisorUsage& share) const
{
    const double age = double((m_loop.now() - share.at).count());
    return share.cost_ms * std::exp2(-age / share_half_life_ms);
}

// A steady load of `l` callers adds up to l * half-life / ln 2.
double AdvicePool::spare_callers() const
{
    const double urgent = decayed_cost(m_urgent_usage) * std::log(2.0) / share_half_life_ms;
    return backlog().callers - urgent;
}

// The less urgent a queue, the dearer its questions: one of priority 2 gets half of the
// time that one of priority 1 gets while both have questions waiting.
void AdvicePool::charge(const AdviceQuery& question)
{
    if (question.priority == 0)
        m_urgent_usage = AdvisorUsage { decayed_cost(m_urgent_usage) + cost_of(question),
                                        m_loop.now() };
    const double cost
        = decayed_cost(question.queue) + question.priority * cost_of(question);
    m_queue_usage[question.queue] = AdvisorUsage { cost, m_loop.now() };
}

// Returns the indices of the waiting questions in the order in which they should be sent:
// those of priority 0, then those of the queues that had the least of their share.
std::vector<size_t> AdvicePool::dispatch_order() const
{
    std::map<std::string, double> costs;
    for (const PendingQuery& entry : m_pending)
        costs.try_emplace(entry.question.queue, decayed_cost(entry.question.queue));
    std::vector<size_t> order(m_pending.size());
    std::iota(order.begin(), order.end(), size_t(0));
    const bool shared = m_mechanisms.uses(Mechanism::advice_shares);
    const auto key = [&](size_t index) {
        const AdviceQuery& question = m_pending[index].question;
        return std::make_tuple(question.priority > 0, shared ? costs[question.queue] : 0,
                               question.priority);
    };
    std::stable_sort(order.begin(), order.end(),
                     [&](size_t left, size_t right) { return key(left) < key(right); });
    return order;
}

// The first callers, this node among them, take fast questions, the next ones medium ones,
// the rest slow ones.
AdvicePool::CallerRange AdvicePool::callers_for(LatencyClass pace)
{
    const Millis now = m_loop.now();
    CallerRange range;
    std::vector<Caller*>& usable = range.usable;
    for (Caller& caller : m_callers) {
        if (caller.avoid_until <= now)
            usable.push_back(&caller);
    }
    if (usable.empty())
        usable.push_back(&m_callers.front());
    const size_t share = std::max<size_t>(1, usable.size() / quick_fraction);
    // Few callers share the classes; the last one always takes slow questions. Of two, the
    // first one takes medium ones as well: beside the slow ones they would wait while it
    // idles.
    const size_t medium_begin = std::min(share, usable.size() - 1);
    const size_t slow_begin = std::min(2 * share, usable.size() - 1);
    const bool few = usable.size() <= 2;
    const size_t begins[] = { 0, few ? 0 : medium_begin, slow_begin };
    const size_t ends[] = { std::max<size_t>(1, medium_begin),
                            std::max(medium_begin + 1, slow_begin), usable.size() };
    range.begin = begins[static_cast<size_t>(pace)];
    range.end = ends[static_cast<size_t>(pace)];
    return range;
}

// A caller that is idle takes a faster question than its own.
AdvicePool::Caller* AdvicePool::free_caller(LatencyClass pace,
                                            const std::vector<Caller*>& held)
{
    const CallerRange range = callers_for(pace);
    const int limit = pace == LatencyClass::slow ? 1 : quick_under_way;
    const auto is_held = [&](const Caller* caller) {
        return std::find(held.begin(), held.end(), caller) != held.end();
    };
    Caller* best = nullptr;
    for (size_t i = range.begin; i < range.end; ++i) {
        Caller* const caller = range.usable[i];
        if (caller->in_flight < limit && !is_held(caller)
            && (best == nullptr || caller->cost_ms < best->cost_ms))
            best = caller;
    }
    for (size_t i = range.end; best == nullptr && i < range.usable.size(); ++i) {
        if (range.usable[i]->in_flight == 0 && !is_held(range.usable[i]))
            best = range.usable[i];
    }
    return best;
}

size_t AdvicePool::waiting_of(const std::string& queue) const
{
    const auto alike
        = [&queue](const PendingQuery& entry) { return entry.question.queue == queue; };
    return static_cast<size_t>(std::count_if(m_pending.begin(), m_pending.end(), alike));
}

AdviceBacklog AdvicePool::backlog() const
{
    AdviceBacklog backlog;
    for (const PendingQuery& entry : m_pending) {
        const LatencyClass pace = latency_class(entry.question.rule);
        backlog.fast += pace == LatencyClass::fast ? 1 : 0;
        backlog.medium += pace == LatencyClass::medium ? 1 : 0;
        backlog.slow += pace == LatencyClass::slow ? 1 : 0;
    }
    const Millis now = m_loop.now();
    for (const Caller& caller : m_callers)
        backlog.callers += caller.avoid_until <= now ? 1 : 0;
    return backlog;
}

void AdvicePool::dispatch()
{
    while (dispatch_one()) { }
}

bool AdvicePool::is_overdue(const AdviceQuery& question) const
{
    return question.waiting_since > Millis(0)
        && m_loop.now() - question.waiting_since > patience;
}

// Sends the first question in order for which there is a caller; returns whether one was.
// A slow question needs a caller that is idle. Where quicker ones use the same callers,
// there is none without the patience: with one node left, questions that the advisor
// answers in 0.5 s got their answers after 4.7 to 5.5 s (scarce_advice_test).
bool AdvicePool::dispatch_one()
{
    std::vector<Caller*> held;
    for (const size_t index : dispatch_order()) {
        const LatencyClass pace = latency_class(m_pending[index].question.rule);
        Caller* caller = free_caller(pace, held);
        if (caller == nullptr) {
            if (is_overdue(m_pending[index].question)) {
                const CallerRange range = callers_for(pace);
                held.insert(held.end(), range.usable.begin() + std::ptrdiff_t(range.begin),
                            range.usable.begin() + std::ptrdiff_t(range.end));
            }
            continue;
        }
        PendingQuery next = std::move(m_pending[index]);
        m_pending.erase(m_pending.begin() + static_cast<std::ptrdiff_t>(index));
        charge(next.question);
        send(*caller, std::move(next));
        return true;
    }
    return false;
}

void AdvicePool::send(Caller& caller, PendingQuery entry)
{
    ++caller.in_flight;
    caller.cost_ms += cost_of(entry.question);
    const std::string address = caller.address;
    const Millis timeout = timeout_of(entry.question);
    if (address.empty()) {
        m_advisor.ask(
            entry.question.step, entry.question.workers, timeout,
            m_lifetime.wrap(
                [this, address, entry](std::optional<std::vector<WorkerTicket>> tickets) {
                    finished(address, AdviceReply { std::move(tickets) }, entry);
                }));
        return;
    }
    PeerRequest request;
    request.topic = PeerTopic::advice;
    request.job = entry.question.step;
    request.workers = entry.question.workers;
    m_peers.send(
        address, request, timeout,
        m_lifetime.wrap([this, address, entry](PeerEnd end, const PeerAnswer& answer) {
            AdviceReply reply;
            if (end == PeerEnd::answered && answer.served)
                reply.tickets = answer.tickets;
            finished(address, reply, entry);
        }));
}

void AdvicePool::finished(const std::string& address, const AdviceReply& reply,
                          const PendingQuery& entry)
{
    for (Caller& caller : m_callers) {
        if (caller.address != address)
            continue;
        caller.in_flight = std::max(0, caller.in_flight - 1);
        caller.cost_ms = caller.in_flight == 0
            ? 0
            : std::max(0.0, caller.cost_ms - cost_of(entry.question));
        if (!reply.tickets)
            caller.avoid_until = m_loop.now() + failed_pause;
    }
    entry.done(reply);
    dispatch();
}

} // namespace pathport::jobs
