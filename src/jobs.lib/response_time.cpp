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
    : m_min_timeout(least)
    , m_max_timeout(most)
{
}

void ResponseTime::add_sample(Millis took)
{
    const auto ms = double(took.count());
    m_timeouts = 0;
    if (!m_has_sample) {
        m_has_sample = true;
        m_smoothed_ms = ms;
        m_deviation_ms = ms / 2;
        return;
    }
    m_deviation_ms += deviation_smoothing * (std::abs(ms - m_smoothed_ms) - m_deviation_ms);
    m_smoothed_ms += smoothing * (ms - m_smoothed_ms);
}

void ResponseTime::add_timeout()
{
    m_timeouts = std::min(m_timeouts + 1, most_doublings);
}

Millis ResponseTime::timeout() const
{
    if (!m_has_sample)
        return m_max_timeout;
    const Millis learned(
        static_cast<int64_t>(std::ceil(m_smoothed_ms + deviations * m_deviation_ms)));
    const int64_t limit = std::max(learned, m_min_timeout).count() << m_timeouts;
    return std::min(Millis(limit), m_max_timeout);
}

} // namespace pathport::jobs
