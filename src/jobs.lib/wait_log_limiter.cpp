// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "wait_log_limiter.h"

#include <algorithm>

namespace pathport::jobs {

void WaitLogLimiter::begin_round(size_t waiting, size_t workers)
{
    m_left = explanations_per_round;
    m_workers = workers;
    m_scans_left
        = std::min(m_scans_left + scans_per_round, std::max(workers, scans_per_round));
    const auto rounds = static_cast<int64_t>(waiting / explanations_per_round);
    m_interval = std::max(min_explanation_interval,
                          Millis(rounds * explanation_round_interval.count()));
}

bool WaitLogLimiter::acquire(Millis now, Millis last)
{
    if (m_left == 0 || m_scans_left < m_workers || now - last <= m_interval)
        return false;
    --m_left;
    m_scans_left -= m_workers;
    return true;
}

} // namespace pathport::jobs
