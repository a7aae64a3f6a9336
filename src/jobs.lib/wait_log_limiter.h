// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How often the log explains why steps wait.

#pragma once

#include <pathport/clock.h>

#include <cstddef>

namespace pathport::jobs {

/// Shares explanations out among the steps that wait. Each costs a look at all workers, so
/// their number in a second is bounded: with hundreds of steps that wait, explaining each
/// as often as a single one would take a tenth of the leader's time when it is short of it.
class WaitLogLimiter {
public:
    /// Begins a round; `waiting` steps wait at present.
    void begin_round(size_t waiting);
    /// Returns whether a step that was explained at `last` is to be explained now; if so,
    /// it has had its turn.
    bool acquire(Millis now, Millis last);

private:
    Millis m_interval;
    int m_left = 0; ///< In this round.
};

/// A step that waits is explained again after this time at the earliest.
constexpr Millis min_explanation_interval { 2000 };
/// Rounds come five times a second.
constexpr int explanations_per_round = 4;
constexpr Millis explanation_round_interval { 200 };

} // namespace pathport::jobs
