// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How much slack a job needs at its first start in order to be in time.

#pragma once

#include <pathport/clock.h>

#include <cstddef>
#include <vector>

namespace pathport::shortage {

/// Learns for one queue how much longer than their critical path its jobs take from their
/// first start to their end: tasks that are placed later, repeated or preempted, slow
/// workers, and estimates that were too low. Under overload the order of least slack alone
/// starts each job when its slack is used up, so that this delay makes most of them late.
class StartMargin {
public:
    /// Records a completed job. A negative excess, of an estimate that was too high, counts
    /// as none.
    void note_completion(Millis excess);
    /// Returns the excess within which most of the recent jobs stayed.
    Millis margin() const { return m_margin; }

private:
    std::vector<Millis> m_recent; ///< A ring of the latest excesses.
    size_t m_next = 0;
    Millis m_margin;
};

} // namespace pathport::shortage
