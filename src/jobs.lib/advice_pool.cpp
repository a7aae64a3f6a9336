// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "advice_pool.h"

#include <algorithm>

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
/// How long a caller that gave no answer is left alone.
constexpr Millis failed_pause { 1000 };
constexpr Millis call_margin { 600 };

double cost_of(const AdviceQuestion& question)
{
    return question.rule.decision_ms
        + question.rule.per_worker_ms * double(question.workers.size());
}

Millis timeout_of(const AdviceQuestion& question)
{
    return Millis(static_cast<int64_t>(3 * cost_of(question))) + call_margin;
}

} // namespace

AdvicePool::AdvicePool(EventLoop& loop, Advisor& advisor, PeerClient& peers)
    : m_loop(loop)
    , m_advisor(advisor)
    , m_peers(peers)
{
    m_callers.push_back({});
}

void AdvicePool::set_peers(const std::vector<std::string>& addresses)
{
    std::vector<Caller> callers;
    callers.push_back(m_callers.front());
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

AdvicePool::Pace AdvicePool::pace_of(const AdviceRule& rule)
{
    if (rule.decision_ms >= slow_decision_ms)
        return Pace::slow;
    return rule.decision_ms >= medium_decision_ms ? Pace::medium : Pace::fast;
}

void AdvicePool::ask(AdviceQuestion question, std::function<void(AdviceReply)> done)
{
    const auto behind
        = std::find_if(m_waiting.begin(), m_waiting.end(), [&](const Waiting& entry) {
              return entry.question.priority > question.priority;
          });
    m_waiting.insert(behind, Waiting { std::move(question), std::move(done) });
    dispatch();
}

// The first callers, this node among them, take fast questions, the next ones medium ones,
// the rest slow ones. One that is idle takes a faster question than its own.
AdvicePool::Caller* AdvicePool::free_caller(Pace pace)
{
    const Millis now = m_loop.now();
    std::vector<Caller*> usable;
    for (Caller& caller : m_callers) {
        if (caller.avoid_until <= now)
            usable.push_back(&caller);
    }
    if (usable.empty())
        usable.push_back(&m_callers.front());
    const size_t share = std::max<size_t>(1, usable.size() / quick_fraction);
    // Few callers share the classes; the last one always takes slow questions.
    const size_t medium_begin = std::min(share, usable.size() - 1);
    const size_t slow_begin = std::min(2 * share, usable.size() - 1);
    const size_t begins[] = { 0, medium_begin, slow_begin };
    const size_t ends[] = { std::max<size_t>(1, medium_begin),
                            std::max(medium_begin + 1, slow_begin), usable.size() };
    const auto own = static_cast<size_t>(pace);
    const int limit = pace == Pace::slow ? 1 : quick_under_way;
    Caller* best = nullptr;
    for (size_t i = begins[own]; i < ends[own]; ++i) {
        if (usable[i]->under_way < limit
            && (best == nullptr || usable[i]->cost_ms < best->cost_ms))
            best = usable[i];
    }
    for (size_t i = ends[own]; best == nullptr && i < usable.size(); ++i) {
        if (usable[i]->under_way == 0)
            best = usable[i];
    }
    return best;
}

size_t AdvicePool::waiting_like(const AdviceRule& rule) const
{
    const Pace pace = pace_of(rule);
    const auto alike
        = [pace](const Waiting& entry) { return pace_of(entry.question.rule) == pace; };
    return static_cast<size_t>(std::count_if(m_waiting.begin(), m_waiting.end(), alike));
}

AdviceBacklog AdvicePool::backlog() const
{
    AdviceBacklog backlog;
    for (const Waiting& entry : m_waiting) {
        const Pace pace = pace_of(entry.question.rule);
        backlog.fast += pace == Pace::fast ? 1 : 0;
        backlog.medium += pace == Pace::medium ? 1 : 0;
        backlog.slow += pace == Pace::slow ? 1 : 0;
    }
    const Millis now = m_loop.now();
    for (const Caller& caller : m_callers)
        backlog.callers += caller.avoid_until <= now ? 1 : 0;
    return backlog;
}

void AdvicePool::dispatch()
{
    for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
        Caller* caller = free_caller(pace_of(entry->question.rule));
        if (caller == nullptr) {
            ++entry;
            continue;
        }
        Waiting next = std::move(*entry);
        entry = m_waiting.erase(entry);
        send(*caller, std::move(next));
    }
}

void AdvicePool::send(Caller& caller, Waiting entry)
{
    ++caller.under_way;
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
                          const Waiting& entry)
{
    for (Caller& caller : m_callers) {
        if (caller.address != address)
            continue;
        caller.under_way = std::max(0, caller.under_way - 1);
        caller.cost_ms = caller.under_way == 0
            ? 0
            : std::max(0.0, caller.cost_ms - cost_of(entry.question));
        if (!reply.tickets)
            caller.avoid_until = m_loop.now() + failed_pause;
    }
    entry.done(reply);
    dispatch();
}

} // namespace pathport::jobs
