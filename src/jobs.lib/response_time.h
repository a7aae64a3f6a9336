// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Estimates the response time of a peer from its answers.

#pragma once

#include <pathport/clock.h>

#include <cstdint>

namespace pathport::jobs {

/// Computes the time-out for an answer: the smoothed response time plus four times its
/// smoothed deviation, as TCP does for retransmissions (RFC 6298), within bounds. Each
/// missing answer doubles the time-out until another answer comes, so that a peer that has
/// become slow is not repeatedly considered silent.
class ResponseTime {
public:
    /// `max_timeout` also applies until there is a sample.
    ResponseTime(Millis min_timeout, Millis max_timeout);

    /// Adds the response time of an answer.
    void add_sample(Millis elapsed);
    /// Notes that no answer came within timeout().
    void add_timeout();
    /// Returns how long to wait for an answer.
    Millis timeout() const;

private:
    Millis m_min_timeout;
    Millis m_max_timeout;
    bool m_has_sample = false;
    double m_smoothed_ms = 0;
    double m_deviation_ms = 0;
    int m_timeouts = 0; ///< Consecutive missing answers, up to a bound.
};

} // namespace pathport::jobs
