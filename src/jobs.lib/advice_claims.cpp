// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "advice_claims.h"

#include <algorithm>

namespace pathport::jobs {

void AdviceClaims::clear(size_t workers)
{
    m_workers = workers;
    m_claimed.clear();
}

void AdviceClaims::add(WorkerNumber worker, int rank, const Resources& amount)
{
    if (worker >= m_workers)
        return;
    std::vector<Resources>& claimed = m_claimed[rank];
    claimed.resize(m_workers);
    claimed[worker] = claimed[worker] + amount;
}

Resources AdviceClaims::unclaimed(WorkerNumber worker, int rank,
                                  const Resources& free) const
{
    Resources left = free;
    for (const auto& [claiming_rank, claimed] : m_claimed) {
        if (claiming_rank > rank)
            break;
        if (worker < claimed.size())
            left = left - claimed[worker];
    }
    // Free capacity may be negative where a worker's room has shrunk.
    const auto at_least_zero = [](int64_t amount) { return std::max<int64_t>(0, amount); };
    return { at_least_zero(left.cpu_millis), at_least_zero(left.memory_mb),
             at_least_zero(left.accelerators) };
}

} // namespace pathport::jobs
