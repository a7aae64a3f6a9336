// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Monitors the process for lack of processor time: the delay of its event loop and its
/// processor use. A process whose loop is late takes responses that it has not read yet for
/// missing ones, so its log has to allow telling the two apart.

#pragma once

#include <pathport/event_loop.h>
#include <pathport/metrics.h>

namespace pathport {

/// Reports the loop delay and the processor use of this process in the log and the metrics.
class ProcessMonitor {
public:
    /// Both arguments must outlive this object.
    ProcessMonitor(EventLoop& loop, Metrics& metrics);

    /// Starts the monitoring, which goes on as long as the loop runs.
    void begin();

private:
    void sample();
    void report();

    EventLoop& m_loop;
    Metrics& m_metrics;
    Millis m_next_sample; ///< When the next sample is due.
    Millis m_last_report; ///< When the load was last logged.
    Millis m_cpu_at_last_report; ///< Processor time used by then.
    Millis m_max_delay; ///< The largest delay of a sample since then.
};

} // namespace pathport
