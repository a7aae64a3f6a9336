// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "advice_account.h"

#include <tuple>

namespace pathport::jobs {

bool AdvisorTime::operator==(const AdvisorTime& other) const
{
    return std::tie(answered_ms, used_ms, unanswered_ms)
        == std::tie(other.answered_ms, other.used_ms, other.unanswered_ms);
}

AdvisorTime AdvisorTime::operator+(const AdvisorTime& other) const
{
    return { answered_ms + other.answered_ms, used_ms + other.used_ms,
             unanswered_ms + other.unanswered_ms };
}

AdvisorTime AdvisorTime::operator-(const AdvisorTime& other) const
{
    return { answered_ms - other.answered_ms, used_ms - other.used_ms,
             unanswered_ms - other.unanswered_ms };
}

void AdviceAccount::note_answer(const std::string& queue, double cost_ms, bool answered,
                                double& unused_ms)
{
    AdvisorTime& time = m_by_queue[queue];
    (answered ? time.answered_ms : time.unanswered_ms) += cost_ms;
    if (answered)
        unused_ms += cost_ms;
}

void AdviceAccount::note_placement(const std::string& queue, double& unused_ms)
{
    if (unused_ms > 0)
        m_by_queue[queue].used_ms += unused_ms;
    unused_ms = 0;
}

AdvisorTime AdviceAccount::total() const
{
    AdvisorTime sum;
    for (const auto& [queue, time] : m_by_queue)
        sum = sum + time;
    return sum;
}

} // namespace pathport::jobs
