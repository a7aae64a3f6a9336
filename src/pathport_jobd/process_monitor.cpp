// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "process_monitor.h"

#include <pathport/log.h>
#include <pathport/process.h>

#include <algorithm>

namespace pathport {

namespace {

constexpr Millis sample_interval { 500 };
/// A sample delayed by more than this shows that the process was suspended or overloaded.
/// It equals the time-out of a heartbeat.
constexpr Millis max_normal_delay { 300 };
constexpr Millis report_interval { 5000 };
/// Load is logged only if a delay reached `min_logged_delay`, or the process used at least
/// 1/`logged_cpu_divisor` of a core.
constexpr Millis min_logged_delay { 20 };
constexpr int64_t logged_cpu_divisor = 50;

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
    m_next_sample = m_last_report + sample_interval;
    m_loop.after(sample_interval, [this] { sample(); });
}

void ProcessMonitor::sample()
{
    const Millis now = m_loop.now();
    const Millis delay = std::max(Millis(0), now - m_next_sample);
    m_max_delay = std::max(m_max_delay, delay);
    m_metrics.observe_seconds("pathport_loop_late_seconds", double(delay.count()) / 1000);
    if (delay > max_normal_delay)
        log_event(LogLevel::warn, "process_paused", { { "late_ms", delay.count() } });
    if (now - m_last_report >= report_interval)
        report();
    m_next_sample = now + sample_interval;
    m_loop.after(sample_interval, [this] { sample(); });
}

void ProcessMonitor::report()
{
    const Millis span = m_loop.now() - m_last_report;
    const Millis cpu = process_usage().cpu;
    const Millis used = cpu - m_cpu_at_last_report;
    if (m_max_delay >= min_logged_delay
        || used.count() * logged_cpu_divisor >= span.count())
        log_event(LogLevel::info, "process_load",
                  { { "span_ms", span.count() },
                    { "cpu_ms", used.count() },
                    { "late_ms", m_max_delay.count() } });
    m_last_report = m_loop.now();
    m_cpu_at_last_report = cpu;
    m_max_delay = Millis(0);
}

} // namespace pathport
