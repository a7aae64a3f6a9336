// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "process_monitor.h"

#include <pathport/log.h>
#include <pathport/process.h>

#include <algorithm>

namespace pathport {

namespace {

constexpr Millis look_interval { 500 };
/// A look that is so late tells that the process stood still or had too much to do: as long
/// as a heartbeat waits for its answer.
constexpr Millis told_pause { 300 };
constexpr Millis tell_interval { 5000 };
/// A process that was never later, and used less of a core than this, is not told of.
constexpr Millis least_late { 20 };
constexpr int64_t least_cpu_part = 50;

} // namespace

ProcessMonitor::ProcessMonitor(EventLoop& loop, Metrics& metrics)
    : m_loop(loop)
    , m_metrics(metrics)
{
}

void ProcessMonitor::begin()
{
    m_last_report = m_loop.now();
    m_cpu_at_last_report = process_usage().cpu;
    m_next_sample = m_last_report + look_interval;
    m_loop.after(look_interval, [this] { sample(); });
}

void ProcessMonitor::sample()
{
    const Millis now = m_loop.now();
    const Millis late = std::max(Millis(0), now - m_next_sample);
    m_max_delay = std::max(m_max_delay, late);
    m_metrics.observe_seconds("pathport_loop_late_seconds", double(late.count()) / 1000);
    if (late > told_pause)
        log_event(LogLevel::warn, "process_paused", { { "late_ms", late.count() } });
    if (now - m_last_report >= tell_interval)
        report();
    m_next_sample = now + look_interval;
    m_loop.after(look_interval, [this] { sample(); });
}

void ProcessMonitor::report()
{
    const Millis span = m_loop.now() - m_last_report;
    const Millis cpu = process_usage().cpu;
    const Millis used = cpu - m_cpu_at_last_report;
    if (m_max_delay >= least_late || used.count() * least_cpu_part >= span.count())
        log_event(LogLevel::info, "process_load",
                  { { "span_ms", span.count() },
                    { "cpu_ms", used.count() },
                    { "late_ms", m_max_delay.count() } });
    m_last_report = m_loop.now();
    m_cpu_at_last_report = cpu;
    m_max_delay = Millis(0);
}

} // namespace pathport
