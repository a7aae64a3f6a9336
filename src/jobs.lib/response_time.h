// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How long a peer's answers take, learned from those that came.

#pragma once

#include <pathport/clock.h>

#include <cstdint>

namespace pathport::jobs {

/// After which time an answer counts as missing: the smoothed time of answers and four
/// times their smoothed deviation, as TCP does for its retransmissions (RFC 6298), within
/// bounds. Each missing answer doubles the time until another answer comes, so that a peer
/// that has become slow is not taken for a silent one again and again.
class ResponseTime {
public:
    /// `most` also counts as long as nothing is known.
    ResponseTime(Millis least, Millis most);

    /// An answer came after `took`.
    void add_sample(Millis took);
    /// No answer came within limit().
    void add_timeout();
    /// Returns how long an answer should be waited for.
    Millis timeout() const;

private:
    Millis m_min_timeout;
    Millis m_max_timeout;
    bool m_has_sample = false;
    double m_smoothed_ms = 0;
    double m_deviation_ms = 0;
    int m_timeouts = 0; ///< In a row, up to a bound.
};

} // namespace pathport::jobs
