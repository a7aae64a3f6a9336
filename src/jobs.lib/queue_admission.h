// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Decides which queues accept no further jobs because the advisor cannot answer their
/// queries in time.

#pragma once

#include <pathport/clock.h>
#include <pathport/jobs/peers.h>

#include <map>
#include <string>
#include <vector>

namespace pathport::jobs {

/// The demand for advice in one queue.
struct AdviceDemand {
    std::string queue;
    int priority = 0; ///< 0 goes first; the others share the advisor by priority.
    int steps = 0; ///< Steps with nothing placed and no query answered.
    Millis oldest; ///< How long the oldest of them has waited.
    double query_ms = 0; ///< Advisor time for a typical query.

    /// Adds a step that has waited for this long. A late step goes behind all that can
    /// still meet their deadlines, so its wait says nothing about that of a new one and it
    /// is ignored.
    void add_step(Millis waited, bool late);
};

/// Closes a queue when its accepted steps would wait too long, and opens it again when the
/// backlog is gone. Less urgent queues close first, since more urgent ones get a larger
/// share of the advisor.
class QueueAdmission {
public:
    /// Updates the closed queues from the demand of all queues and the number of queries
    /// that the advisor processes at a time, less those of the most urgent queues.
    void update(const std::vector<AdviceDemand>& demands, double callers);

    /// Returns the closed queues.
    const std::vector<ClosedQueue>& closed() const { return m_closed; }
    /// Returns the estimated wait of a step that enters the queue now.
    Millis estimated_wait(const std::string& queue) const;

private:
    std::vector<ClosedQueue> m_closed;
    std::map<std::string, Millis> m_waits; ///< By queue, only those with demand.
};

} // namespace pathport::jobs
