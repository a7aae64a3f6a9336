// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "response_time.h"

#include <algorithm>
#include <cmath>

namespace pathport::jobs {

namespace {

/// Smoothing weights and deviation factor of RFC 6298.
constexpr double smoothing = 1.0 / 8;
constexpr double deviation_smoothing = 1.0 / 4;
constexpr double deviation_factor = 4;
constexpr int max_doublings = 4;

} // namespace

ResponseTime::ResponseTime(Millis min_timeout, Millis max_timeout)
    : m_min_timeout(min_timeout)
    , m_max_timeout(max_timeout)
{
}

void ResponseTime::add_sample(Millis elapsed)
{
    const auto ms = double(elapsed.count());
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
    m_timeouts = std::min(m_timeouts + 1, max_doublings);
}

Millis ResponseTime::timeout() const
{
    if (!m_has_sample)
        return m_max_timeout;
    const Millis learned(
        static_cast<int64_t>(std::ceil(m_smoothed_ms + deviation_factor * m_deviation_ms)));
    const int64_t limit = std::max(learned, m_min_timeout).count() << m_timeouts;
    return std::min(Millis(limit), m_max_timeout);
}

} // namespace pathport::jobs
