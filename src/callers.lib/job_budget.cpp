// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/callers/job_budget.h>

#include <algorithm>

namespace pathport::callers {

namespace {
/// Largest burst of a workspace, in seconds of its weight.
constexpr double burst_s = 2;
constexpr double ms_per_s = 1000;
} // namespace

bool JobBudget::try_consume(double weight, int64_t at_ms)
{
    const double max_tokens = std::max(1.0, weight * burst_s);
    const int64_t last = m_updated_at.value_or(at_ms);
    const int64_t now = std::max(last, at_ms);
    const double earned = weight * double(now - last) / ms_per_s;
    m_tokens = m_updated_at ? std::min(max_tokens, m_tokens + earned) : max_tokens;
    m_updated_at = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace pathport::callers
