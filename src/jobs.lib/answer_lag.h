// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How much later than due answers are read here, learned from those that came.

#pragma once

#include <pathport/clock.h>

namespace pathport::jobs {

/// How long an answer is waited for beyond the time that its call may take. A process that
/// is short of processor time reads answers late; taken for lost, they would be asked for
/// again, which is one more load on it. So the wait follows the latest answers, also those
/// that came after their calls were given up, and shrinks again while answers are in time.
class AnswerLag {
public:
    /// The wait is at least `least` and at most `most`.
    AnswerLag(Millis least, Millis most);

    /// An answer came `beyond` the time of its call; below zero when it was in time.
    void add_sample(Millis beyond, Millis now);
    /// Returns how long an answer should be waited for beyond the time of its call.
    Millis margin() const;

private:
    Millis m_min;
    Millis m_max;
    double m_lateness_ms = 0; ///< The latest answer of all, faded by those since.
    Millis m_noted; ///< When the last one came.
};

} // namespace pathport::jobs
