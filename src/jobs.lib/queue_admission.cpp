// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "queue_admission.h"

#include <algorithm>
#include <cmath>

namespace pathport::jobs {

namespace {

/// A queue closes when a step would wait this long. A job may wait 3 s while capacity is
/// free; jobs accepted before all nodes know that the queue is closed use up to 0.5 s of
/// that, and the estimate has an error. From 1.25 s on, single jobs were never started in
/// cells of six nodes of which one was left (scarce_advice_test).
constexpr Millis closing_wait { 1000 };
/// A queue also closes when a step has waited this long, whatever the estimate. The age of
/// the oldest step lags behind the backlog, so it says little about the next one.
constexpr Millis max_step_wait { 2000 };
/// A queue opens again below this wait, so that it does not open and close with each query.
constexpr Millis opening_wait { 650 };
/// Callers return after the time that the backlog takes, within these bounds: the wait is
/// an estimate, and a client's own deadline is some seconds.
constexpr Millis min_retry_delay { 1000 };
constexpr Millis max_retry_delay { 10000 };
/// At least this part of a caller is assumed, since the most urgent queries come in bursts.
constexpr double min_callers = 0.2;

double cost_of(const AdviceDemand& demand)
{
    return demand.steps * demand.query_ms;
}

// Returns how much of the advisor's time `other` takes until the backlog of `own` is done.
// Priority 0 goes first; the others share the time, with smaller shares for higher numbers
// (AdvicePool).
double interfering_cost(const AdviceDemand& own, const AdviceDemand& other)
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
    const double usable = std::max(min_callers, callers);
    std::vector<ClosedQueue> closed;
    m_waits.clear();
    for (const AdviceDemand& own : demands) {
        double cost = cost_of(own);
        for (const AdviceDemand& other : demands) {
            if (other.queue != own.queue)
                cost += interfering_cost(own, other);
        }
        const Millis estimate(static_cast<int64_t>(std::ceil(cost / usable)));
        m_waits[own.queue] = estimate;
        // The oldest step's query may be in flight; its own duration is not part of the
        // backlog.
        const Millis query(static_cast<int64_t>(own.query_ms));
        const bool overdue = own.oldest - query > max_step_wait;
        const bool was_closed
            = std::any_of(m_closed.begin(), m_closed.end(), [&](const ClosedQueue& entry) {
                  return entry.queue == own.queue;
              });
        if (overdue || estimate > (was_closed ? opening_wait : closing_wait))
            closed.push_back(
                { own.queue, std::clamp(estimate, min_retry_delay, max_retry_delay) });
    }
    m_closed = std::move(closed);
}

Millis QueueAdmission::estimated_wait(const std::string& queue) const
{
    const auto found = m_waits.find(queue);
    return found == m_waits.end() ? Millis(0) : found->second;
}

} // namespace pathport::jobs
