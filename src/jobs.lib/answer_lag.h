// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Estimates how late this process reads answers, from those that it received.

#pragma once

#include <pathport/clock.h>

namespace pathport::jobs {

/// Margin that is added to the time-outs of calls. A process that is short of processor
/// time reads answers late; if it took them for lost and repeated the calls, it would add
/// to its own load. The margin therefore follows the latest answers, including those
/// received after their calls timed out, and shrinks again while answers are on time.
class AnswerLag {
public:
    /// The margin lies between `min_margin` and `max_margin`.
    AnswerLag(Millis min_margin, Millis max_margin);

    /// Records an answer that arrived `lateness` after its call timed out; negative if it
    /// was on time.
    void add_sample(Millis lateness, Millis now);
    /// Returns how long to wait for an answer beyond its call's time-out.
    Millis margin() const;

private:
    Millis m_min;
    Millis m_max;
    double m_lateness_ms = 0; ///< Maximum lateness, decayed with each later answer.
    Millis m_noted; ///< When the last answer was recorded.
};

} // namespace pathport::jobs
