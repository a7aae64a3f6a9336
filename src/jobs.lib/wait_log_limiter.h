// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Limits how often the log explains why steps wait.

#pragma once

#include <pathport/clock.h>

#include <cstddef>

namespace pathport::jobs {

/// Distributes explanations over the waiting steps. Each explanation scans all workers, so
/// their rate is bounded: with hundreds of waiting steps, explaining each as often as a
/// single one would take a tenth of the time of an already busy leader.
class WaitLogLimiter {
public:
    /// Begins a round; `waiting` is the number of steps that wait at present,
    /// and `workers` the number of workers that an explanation scans.
    void begin_round(size_t waiting, size_t workers = 0);
    /// Returns whether a step last explained at `last` is to be explained now. If so, the
    /// explanation counts towards the limits of the round.
    bool acquire(Millis now, Millis last);

private:
    Millis m_interval;
    int m_left = 0; ///< In this round.
    size_t m_workers = 0; ///< Scanned by an explanation.
    size_t m_scans_left = 0; ///< Workers that may be scanned; saved up over the rounds.
};

/// Minimum time between two explanations of the same step.
constexpr Millis min_explanation_interval { 2000 };
/// Rounds occur five times a second.
constexpr int explanations_per_round = 4;
/// Workers that explanations scan in a round on average.
constexpr size_t scans_per_round = 1000;
constexpr Millis explanation_round_interval { 200 };

} // namespace pathport::jobs
