// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "answer_lag.h"

#include <algorithm>
#include <cmath>

namespace pathport::jobs {

namespace {

/// A process that is late falls further behind while its load lasts.
constexpr double safety_factor = 1.5;
/// Half-life of an answer's lateness: a pause of the process is forgotten within seconds,
/// while a process that stays late renews the estimate with each answer.
constexpr double half_life_ms = 500;
/// Maximum time for which a single answer decays the estimate, however long it was waited
/// for: silence is no evidence that answers are on time.
constexpr Millis max_decay_time { 200 };

} // namespace

AnswerLag::AnswerLag(Millis min_margin, Millis max_margin)
    : m_min(min_margin)
    , m_max(max_margin)
{
}

void AnswerLag::add_sample(Millis lateness, Millis now)
{
    const Millis elapsed = std::min(now - m_noted, max_decay_time);
    m_noted = now;
    m_lateness_ms *= std::exp2(-double(elapsed.count()) / half_life_ms);
    m_lateness_ms = std::max(m_lateness_ms, double(lateness.count()));
}

Millis AnswerLag::margin() const
{
    const Millis needed(static_cast<int64_t>(std::ceil(safety_factor * m_lateness_ms)));
    return std::clamp(needed, m_min, m_max);
}

} // namespace pathport::jobs
