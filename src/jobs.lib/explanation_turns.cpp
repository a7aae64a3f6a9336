// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "explanation_turns.h"

#include <algorithm>

namespace pathport::jobs {

void ExplanationTurns::begin_round(size_t waiting)
{
    m_left = explanations_in_round;
    const auto rounds = static_cast<int64_t>(waiting / explanations_in_round);
    m_interval
        = std::max(least_explanation_interval, Millis(rounds * explanation_round.count()));
}

bool ExplanationTurns::take(Millis now, Millis last)
{
    if (m_left == 0 || now - last <= m_interval)
        return false;
    --m_left;
    return true;
}

} // namespace pathport::jobs
