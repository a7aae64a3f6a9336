// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "queue_admission.h"

#include <algorithm>
#include <cmath>

namespace pathport::jobs {

namespace {

/// A queue closes when a step would wait for so long. A job may stand for 3 s where there
/// is room; what is accepted until all nodes know that the queue is closed takes up to half
/// a second of that, and an estimate errs. From 1.25 s on single jobs stood in cells of six
/// nodes that one was left of (scarce_advice_test).
constexpr Millis closing_wait { 1000 };
/// It closes also when a step has waited for so long, whatever the estimate says. How long
/// the oldest one has waited lags behind the backlog, so it says little of the next one.
constexpr Millis longest_wait { 2000 };
/// It opens again below this, so that it does not open and close with each question.
constexpr Millis opening_wait { 650 };
/// Callers come back after the time that the backlog takes, within these bounds: the wait
/// is an estimate, and a client's own time is some seconds.
constexpr Millis least_come_back { 1000 };
constexpr Millis most_come_back { 10000 };
/// At least this part of a caller is counted: the most urgent questions come in bursts.
constexpr double least_callers = 0.2;

double cost_of(const AdviceDemand& demand)
{
    return demand.steps * demand.query_ms;
}

// Returns how much of the advisor's time `other` takes until the backlog of `own` has been
// worked off. Priority 0 goes first; the others share the time, the less the higher their
// number (AdvicePool).
double taken_meanwhile(const AdviceDemand& own, const AdviceDemand& other)
{
    if (other.priority == 0)
        return cost_of(other);
    if (own.priority == 0)
        return 0;
    return std::min(cost_of(other), cost_of(own) * own.priority / other.priority);
}

} // namespace

void AdviceDemand::add_step(Millis waited, bool late)
{
    if (late)
        return;
    ++steps;
    oldest = std::max(oldest, waited);
}

void QueueAdmission::update(const std::vector<AdviceDemand>& demands, double callers)
{
    const double usable = std::max(least_callers, callers);
    std::vector<ClosedQueue> closed;
    m_waits.clear();
    for (const AdviceDemand& own : demands) {
        double cost = cost_of(own);
        for (const AdviceDemand& other : demands) {
            if (other.queue != own.queue)
                cost += taken_meanwhile(own, other);
        }
        const Millis by_cost(static_cast<int64_t>(std::ceil(cost / usable)));
        m_waits[own.queue] = by_cost;
        // The oldest step's question may be under way; its own time is no backlog.
        const Millis question(static_cast<int64_t>(own.query_ms));
        const bool overdue = own.oldest - question > longest_wait;
        const bool was_closed
            = std::any_of(m_closed.begin(), m_closed.end(), [&](const ClosedQueue& entry) {
                  return entry.queue == own.queue;
              });
        if (overdue || by_cost > (was_closed ? opening_wait : closing_wait))
            closed.push_back(
                { own.queue, std::clamp(by_cost, least_come_back, most_come_back) });
    }
    m_closed = std::move(closed);
}

Millis QueueAdmission::estimated_wait(const std::string& queue) const
{
    const auto found = m_waits.find(queue);
    return found == m_waits.end() ? Millis(0) : found->second;
}

} // namespace pathport::jobs
