// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/callers/job_budget.h>

#include <algorithm>

namespace pathport::callers {

namespace {
/// What a workspace that has sent little may send at once, in seconds of its weight.
constexpr double saved_up_s = 2;
constexpr double second_ms = 1000;
} // namespace

bool JobBudget::try_consume(double weight, int64_t at_ms)
{
    const double most = std::max(1.0, weight * saved_up_s);
    const int64_t before = m_updated_at.value_or(at_ms);
    const int64_t now = std::max(before, at_ms);
    const double earned = weight * double(now - before) / second_ms;
    m_tokens = m_updated_at ? std::min(most, m_tokens + earned) : most;
    m_updated_at = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace pathport::callers
