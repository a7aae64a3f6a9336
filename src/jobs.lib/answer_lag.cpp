// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "answer_lag.h"

#include <algorithm>
#include <cmath>

namespace pathport::jobs {

namespace {

/// A process that is late gets later still while its load lasts.
constexpr double reserve = 1.5;
/// What an answer tells fades by half in this time, so that a pause of the process is
/// forgotten within seconds; while the process stays late each answer tells it anew.
constexpr double half_life_ms = 500;
/// A single answer fades it by no more than this, however long it was waited for: silence
/// does not tell that answers are in time.
constexpr Millis longest_fading { 200 };

} // namespace

AnswerLag::AnswerLag(Millis least, Millis most)
    : m_min(least)
    , m_max(most)
{
}

void AnswerLag::add_sample(Millis beyond, Millis now)
{
    const Millis passed = std::min(now - m_noted, longest_fading);
    m_noted = now;
    m_lateness_ms *= std::exp2(-double(passed.count()) / half_life_ms);
    m_lateness_ms = std::max(m_lateness_ms, double(beyond.count()));
}

Millis AnswerLag::margin() const
{
    const Millis wanted(static_cast<int64_t>(std::ceil(reserve * m_lateness_ms)));
    return std::clamp(wanted, m_min, m_max);
}

} // namespace pathport::jobs
