// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Leases that a session grants, by the clock of its incarnation, and when all of them have
/// certainly expired.

#include "worker_session.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

/// Subtracted from the longest lease, since our estimate of the worker's clock may run
/// ahead.
constexpr Millis lease_margin { 150 };
/// How far leases reach beyond the announced end of a worker. Polls of a busy worker renew
/// them twice in this time.
constexpr Millis leaving_lease { 500 };
/// Length of the leases of a worker that runs on after its announced end. It covers a poll
/// without an answer: its wait, its time-out, the pause and the poll after it.
constexpr Millis overdue_lease { 1300 };
/// A worker's clock may run 2% slow.
constexpr int64_t slow_clock_percent = 102;
/// Time after the lease's end for the kill itself and for rounding.
constexpr Millis expiry_margin { 150 };

Millis max_remaining(int64_t until, int64_t clock_ms)
{
    return max_local_duration(Millis(std::max<int64_t>(0, until - clock_ms)));
}

} // namespace

Millis max_local_duration(Millis span)
{
    return Millis(span.count() * slow_clock_percent / 100);
}

// The worker's clock is only a lower bound until an answer arrived, so no lease is granted
// then.
int64_t WorkerSession::lease_until() const
{
    if (m_clock_read_at == Millis(0))
        return 0;
    const int64_t worker_now = m_worker_clock_ms + (m_loop.now() - m_clock_read_at).count();
    Millis span = m_timeouts.max_lease - lease_margin;
    // When the worker has left, only the end of its leases shows that its runs are gone.
    if (m_announced_end) {
        const Millis left = until_announced_end();
        span = std::min(span, left > Millis(0) ? left + leaving_lease : overdue_lease);
    }
    return worker_now + span.count();
}

// An entry is read some time after it was written, so each one names the end too late; the
// earliest is closest. One without a remaining time names none.
void WorkerSession::note_announced_end()
{
    if (!m_info.draining) {
        m_announced_end.reset();
        return;
    }
    if (m_info.remaining_ms <= 0)
        return;
    const Millis now = m_loop.now();
    // The worker's clock is ahead of the known one, so this is not too early either.
    const bool dated = m_info.clock_ms > 0 && m_clock_read_at > Millis(0);
    const Millis written
        = dated ? m_clock_read_at + Millis(m_info.clock_ms - m_worker_clock_ms) : now;
    const Millis end = std::min(now, written) + Millis(m_info.remaining_ms);
    m_announced_end = m_announced_end ? std::min(*m_announced_end, end) : end;
}

Millis WorkerSession::until_announced_end() const
{
    return std::max(Millis(0), *m_announced_end - m_loop.now());
}

// An order that was sent may be executed without an answer.
void WorkerSession::extend_lease_expiry(int64_t until)
{
    m_max_lease_until = std::max(m_max_lease_until, until);
    m_lease_expires_at
        = std::max(m_lease_expires_at,
                   m_clock_read_at + max_remaining(m_max_lease_until, m_worker_clock_ms)
                       + expiry_margin);
}

void WorkerSession::update_clock(int64_t clock_ms, int64_t until)
{
    const Millis now = m_loop.now();
    m_worker_clock_ms = clock_ms;
    m_clock_read_at = now;
    m_max_lease_until = std::max(m_max_lease_until, until);
    // An earlier leader may have granted a longer lease; the initial value covers that.
    m_lease_expires_at
        = std::max(m_lease_expires_at,
                   now + max_remaining(m_max_lease_until, clock_ms) + expiry_margin);
    m_expiry_notified = false;
}

void WorkerSession::check_lease_expiry()
{
    const Millis now = m_loop.now();
    if (m_expiry_notified || now <= m_lease_expires_at)
        return;
    m_expiry_notified = true;
    // Late orders cannot be executed either: their lease has ended.
    m_uncertain_starts.clear();
    m_unconfirmed_starts.clear();
    for (const auto& [key, stop] : m_stops)
        m_loop.cancel(stop.timer);
    log_event(LogLevel::info, "worker_lease_lapsed",
              { { "worker", id() },
                { "open_stops", static_cast<int64_t>(m_stops.size()) },
                { "open_starts", static_cast<int64_t>(m_open_starts.size()) } });
    m_stops.clear();
    m_listener.lease_expired(*this);
}

} // namespace pathport::jobs
