// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "advice_pool.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>

namespace pathport::jobs {

namespace {

/// Decision times from which a query counts as medium or slow. Each class uses separate
/// callers, since the advisor serves a caller's queries one after another.
constexpr double medium_decision_ms = 20;
constexpr double slow_decision_ms = 150;
/// One in this many callers serves fast queries, and as many serve medium ones.
constexpr size_t quick_fraction = 6;
/// Queries in flight per caller, except slow ones; the second one covers the round trip.
constexpr int max_in_flight = 2;
/// A query whose step has waited this long, and for which no caller is free, reserves the
/// callers of its class. A step may wait 3 s while capacity is free, and the answer takes
/// up to 0.7 s on the users' sites.
constexpr Millis overdue_wait { 1500 };
/// How long a caller without an answer is avoided.
constexpr Millis failed_caller_pause { 1000 };
constexpr Millis call_margin { 600 };
/// Half-life of the advisor time charged to a queue: about four answers of a slow queue, so
/// that a short burst of queries is soon forgotten.
constexpr double share_half_life_ms = 2000;

Millis timeout_of(const AdviceQuery& query)
{
    return Millis(static_cast<int64_t>(3 * query.advisor_ms())) + call_margin;
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

void AdvicePool::ask(AdviceQuery query, std::function<void(AdviceReply)> done)
{
    m_pending.push_back(PendingQuery { std::move(query), std::move(done) });
    dispatch();
}

// Returns the queue's use of advisor time, decayed to the present.
double AdvicePool::decayed_cost(const std::string& queue) const
{
    const auto found = m_queue_usage.find(queue);
    return found == m_queue_usage.end() ? 0 : decayed_cost(found->second);
}

double AdvicePool::decayed_cost(const AdvisorUsage& usage) const
{
    const double age = double((m_loop.now() - usage.at).count());
    return usage.cost_ms * std::exp2(-age / share_half_life_ms);
}

// A steady load of `l` callers accumulates to l * half-life / ln 2.
double AdvicePool::spare_callers() const
{
    const double urgent = decayed_cost(m_urgent_usage) * std::log(2.0) / share_half_life_ms;
    return backlog().callers - urgent;
}

// Queries of less urgent queues are charged more: priority 2 gets half of the time of
// priority 1 while both have queries waiting.
void AdvicePool::charge(const AdviceQuery& query)
{
    if (query.priority == 0)
        m_urgent_usage = AdvisorUsage { decayed_cost(m_urgent_usage) + query.advisor_ms(),
                                        m_loop.now() };
    const double cost = decayed_cost(query.queue) + query.priority * query.advisor_ms();
    m_queue_usage[query.queue] = AdvisorUsage { cost, m_loop.now() };
}

// Returns the indices of the waiting queries in the order of sending: priority 0 first,
// then the queues that have used the least of their share.
std::vector<size_t> AdvicePool::dispatch_order() const
{
    std::map<std::string, double> costs;
    for (const PendingQuery& entry : m_pending)
        costs.try_emplace(entry.query.queue, decayed_cost(entry.query.queue));
    std::vector<size_t> order(m_pending.size());
    std::iota(order.begin(), order.end(), size_t(0));
    const bool shared = m_mechanisms.uses(Mechanism::advice_shares);
    const auto key = [&](size_t index) {
        const AdviceQuery& query = m_pending[index].query;
        return std::make_tuple(query.priority > 0, shared ? costs[query.queue] : 0,
                               query.priority);
    };
    std::stable_sort(order.begin(), order.end(),
                     [&](size_t left, size_t right) { return key(left) < key(right); });
    return order;
}

// The first callers, which include this node, serve fast queries, the next ones medium and
// the rest slow ones.
AdvicePool::CallerRange AdvicePool::callers_for(LatencyClass query_class)
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
    const size_t usage = std::max<size_t>(1, usable.size() / quick_fraction);
    // With few callers the classes share them; the last one always serves slow queries. Of
    // two callers, the first serves medium queries as well, which would otherwise wait
    // behind slow ones while it idles.
    const size_t medium_begin = std::min(usage, usable.size() - 1);
    const size_t slow_begin = std::min(2 * usage, usable.size() - 1);
    const bool few = usable.size() <= 2;
    const size_t begins[] = { 0, few ? 0 : medium_begin, slow_begin };
    const size_t ends[] = { std::max<size_t>(1, medium_begin),
                            std::max(medium_begin + 1, slow_begin), usable.size() };
    range.begin = begins[static_cast<size_t>(query_class)];
    range.end = ends[static_cast<size_t>(query_class)];
    return range;
}

// An idle caller also serves queries of a faster class.
AdvicePool::Caller* AdvicePool::free_caller(LatencyClass query_class,
                                            const std::vector<Caller*>& reserved)
{
    const CallerRange range = callers_for(query_class);
    const int limit = query_class == LatencyClass::slow ? 1 : max_in_flight;
    const auto is_reserved = [&](const Caller* caller) {
        return std::find(reserved.begin(), reserved.end(), caller) != reserved.end();
    };
    Caller* best = nullptr;
    for (size_t i = range.begin; i < range.end; ++i) {
        Caller* const caller = range.usable[i];
        if (caller->in_flight < limit && !is_reserved(caller)
            && (best == nullptr || caller->cost_ms < best->cost_ms))
            best = caller;
    }
    for (size_t i = range.end; best == nullptr && i < range.usable.size(); ++i) {
        if (range.usable[i]->in_flight == 0 && !is_reserved(range.usable[i]))
            best = range.usable[i];
    }
    return best;
}

size_t AdvicePool::waiting_of(const std::string& queue) const
{
    const auto is_in_queue
        = [&queue](const PendingQuery& entry) { return entry.query.queue == queue; };
    return static_cast<size_t>(
        std::count_if(m_pending.begin(), m_pending.end(), is_in_queue));
}

AdviceBacklog AdvicePool::backlog() const
{
    AdviceBacklog backlog;
    for (const PendingQuery& entry : m_pending) {
        const LatencyClass query_class = latency_class(entry.query.rule);
        backlog.fast += query_class == LatencyClass::fast ? 1 : 0;
        backlog.medium += query_class == LatencyClass::medium ? 1 : 0;
        backlog.slow += query_class == LatencyClass::slow ? 1 : 0;
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

bool AdvicePool::is_overdue(const AdviceQuery& query) const
{
    return query.waiting_since > Millis(0)
        && m_loop.now() - query.waiting_since > overdue_wait;
}

// Sends the first query in order for which a caller is free; returns whether there was one.
// A slow query needs an idle caller, and where faster queries use the same callers there is
// none unless overdue queries reserve them: with one node left, queries that the advisor
// answers in 0.5 s were answered after 4.7 to 5.5 s (scarce_advice_test).
bool AdvicePool::dispatch_one()
{
    std::vector<Caller*> reserved;
    for (const size_t index : dispatch_order()) {
        const LatencyClass query_class = latency_class(m_pending[index].query.rule);
        Caller* caller = free_caller(query_class, reserved);
        if (caller == nullptr) {
            if (is_overdue(m_pending[index].query)) {
                const CallerRange range = callers_for(query_class);
                reserved.insert(reserved.end(),
                                range.usable.begin() + std::ptrdiff_t(range.begin),
                                range.usable.begin() + std::ptrdiff_t(range.end));
            }
            continue;
        }
        PendingQuery next = std::move(m_pending[index]);
        m_pending.erase(m_pending.begin() + static_cast<std::ptrdiff_t>(index));
        charge(next.query);
        send(*caller, std::move(next));
        return true;
    }
    return false;
}

void AdvicePool::send(Caller& caller, PendingQuery entry)
{
    ++caller.in_flight;
    caller.cost_ms += entry.query.advisor_ms();
    const std::string address = caller.address;
    const Millis timeout = timeout_of(entry.query);
    if (address.empty()) {
        m_advisor.ask(
            entry.query.step, entry.query.workers, timeout,
            m_lifetime.wrap(
                [this, address, entry](std::optional<std::vector<WorkerTicket>> tickets) {
                    finished(address, AdviceReply { std::move(tickets) }, entry);
                }));
        return;
    }
    PeerRequest request;
    request.topic = PeerTopic::advice;
    request.job = entry.query.step;
    request.workers = entry.query.workers;
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
            : std::max(0.0, caller.cost_ms - entry.query.advisor_ms());
        if (!reply.tickets)
            caller.avoid_until = m_loop.now() + failed_caller_pause;
    }
    entry.done(reply);
    dispatch();
}

} // namespace pathport::jobs
