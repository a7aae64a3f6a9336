// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How short a process is of processor time: how late its event loop runs, and what it
/// uses. A process that runs late takes answers that it has not read yet for missing ones,
/// so its log has to tell the two apart.

#pragma once

#include <pathport/event_loop.h>
#include <pathport/metrics.h>

namespace pathport {

/// Watches the process of a loop, and tells of it in the log and the metrics.
class ProcessMonitor {
public:
    /// Both outlive this object.
    ProcessMonitor(EventLoop& loop, Metrics& metrics);

    /// Begins; goes on as long as the loop runs.
    void begin();

private:
    void sample();
    void report();

    EventLoop& m_loop;
    Metrics& m_metrics;
    Millis m_next_sample; ///< When the next look should be.
    Millis m_last_report; ///< When the log last told of it.
    Millis m_cpu_at_last_report; ///< Processor time used by then.
    Millis m_max_delay; ///< The latest look since then.
};

} // namespace pathport
