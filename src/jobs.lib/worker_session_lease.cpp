// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The leases that a session gives, by the clock of the life that it deals with, and when
/// all of them have surely ended.

#include "worker_session.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

/// Left off the longest lease, since the worker's clock as we count it may run ahead.
constexpr Millis hold_margin { 150 };
/// A worker's clock may run slow by two hundredths.
constexpr int64_t slow_clock_percent = 102;
/// Beyond the lease's end, for the kill itself and for roundings.
constexpr Millis lapse_margin { 150 };

Millis longest_left(int64_t until, int64_t clock_ms)
{
    return max_local_duration(Millis(std::max<int64_t>(0, until - clock_ms)));
}

} // namespace

Millis max_local_duration(Millis span)
{
    return Millis(span.count() * slow_clock_percent / 100);
}

// The worker's clock is only a lower bound until an answer came, so nothing is leased then.
int64_t WorkerSession::lease_until() const
{
    if (m_clock_read_at == Millis(0))
        return 0;
    const int64_t present = m_worker_clock_ms + (m_loop.now() - m_clock_read_at).count();
    return present + (m_bounds.max_lease - hold_margin).count();
}

// What was sent may be carried out without an answer.
void WorkerSession::extend_lease_expiry(int64_t until)
{
    m_max_lease_until = std::max(m_max_lease_until, until);
    m_lease_expires_at
        = std::max(m_lease_expires_at,
                   m_clock_read_at + longest_left(m_max_lease_until, m_worker_clock_ms)
                       + lapse_margin);
}

void WorkerSession::update_clock(int64_t clock_ms, int64_t until)
{
    const Millis now = m_loop.now();
    m_worker_clock_ms = clock_ms;
    m_clock_read_at = now;
    m_max_lease_until = std::max(m_max_lease_until, until);
    // An earlier leader may have leased for longer; that is covered by the first value.
    m_lease_expires_at = std::max(
        m_lease_expires_at, now + longest_left(m_max_lease_until, clock_ms) + lapse_margin);
    m_expiry_notified = false;
}

void WorkerSession::check_lease_expiry()
{
    const Millis now = m_loop.now();
    if (m_expiry_notified || now <= m_lease_expires_at)
        return;
    m_expiry_notified = true;
    // A late order can't be carried out any more either: its lease has ended.
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
