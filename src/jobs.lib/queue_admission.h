// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which queues take no further jobs because the advice that there is can't decide about
/// them in time.

#pragma once

#include <pathport/clock.h>
#include <pathport/jobs/peers.h>

#include <map>
#include <string>
#include <vector>

namespace pathport::jobs {

/// What waits for advice in one queue.
struct AdviceDemand {
    std::string queue;
    int priority = 0; ///< 0 goes first; the others share by it.
    int steps = 0; ///< Of which nothing is placed and no question was answered.
    Millis oldest; ///< How long the first of them has waited.
    double query_ms = 0; ///< What the advisor takes for a usual question.

    /// Adds a step that has waited for so long. A late one goes behind all that can be in
    /// time, so it tells nothing of how long a new one would wait.
    void add_step(Millis waited, bool late);
};

/// Closes a queue when what it has accepted would wait too long, and opens it again when
/// the backlog has gone. Less urgent queues close first, since the more urgent ones have
/// the larger share of the advice.
class QueueAdmission {
public:
    /// Takes what waits in all queues, and how many questions the advisor works on at a
    /// time, less what the most urgent queues take of that.
    void update(const std::vector<AdviceDemand>& demands, double callers);

    /// Returns the queues that are closed.
    const std::vector<ClosedQueue>& closed() const { return m_closed; }
    /// Returns how long a step that comes now to the queue is thought to wait.
    Millis estimated_wait(const std::string& queue) const;

private:
    std::vector<ClosedQueue> m_closed;
    std::map<std::string, Millis> m_waits; ///< By queue, those with demand only.
};

} // namespace pathport::jobs
