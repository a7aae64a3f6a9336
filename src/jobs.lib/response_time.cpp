// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "response_time.h"

#include <algorithm>
#include <cmath>

namespace pathport::jobs {

namespace {

/// Weights of an answer and the multiple of the deviation are those of RFC 6298.
constexpr double smoothing = 1.0 / 8;
constexpr double deviation_smoothing = 1.0 / 4;
constexpr double deviations = 4;
constexpr int most_doublings = 4;

} // namespace

ResponseTime::ResponseTime(Millis least, Millis most)
    : m_least(least)
    , m_most(most)
{
}

void ResponseTime::note(Millis took)
{
    const auto ms = double(took.count());
    m_missing = 0;
    if (!m_known) {
        m_known = true;
        m_smoothed_ms = ms;
        m_deviation_ms = ms / 2;
        return;
    }
    m_deviation_ms += deviation_smoothing * (std::abs(ms - m_smoothed_ms) - m_deviation_ms);
    m_smoothed_ms += smoothing * (ms - m_smoothed_ms);
}

void ResponseTime::note_missing()
{
    m_missing = std::min(m_missing + 1, most_doublings);
}

Millis ResponseTime::limit() const
{
    if (!m_known)
        return m_most;
    const Millis learned(
        static_cast<int64_t>(std::ceil(m_smoothed_ms + deviations * m_deviation_ms)));
    const int64_t limit = std::max(learned, m_least).count() << m_missing;
    return std::min(Millis(limit), m_most);
}

} // namespace pathport::jobs
