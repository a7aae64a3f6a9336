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
    return worker_now + (m_timeouts.max_lease - lease_margin).count();
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
