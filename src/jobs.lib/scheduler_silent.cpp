// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Silent workers. The head row tells the next leader when their last leases end, so that
/// it does not wait for the longest possible lease from its own claim on. A worker gets no
/// lease as long as the row names it.

#include "scheduler.h"

#include <algorithm>

namespace pathport::jobs {

namespace {
/// A worker without a session is named for this long after its leases have ended. By then
/// the tasks that job rows still assign to it have been placed anew, or are waiting for
/// capacity in a full cell.
constexpr int64_t retention_ms = 60000;
} // namespace

bool Scheduler::store_clock_known() const
{
    return m_context.store_clock != nullptr && m_context.store_clock->known();
}

// Returns when all leases that earlier leaders gave to the worker have ended. None of them
// renewed a lease there while the head row named the worker, so the time in that row holds
// for this leader as well. Restarting the wait at each claim delayed tasks by another 8.8 s
// per leader.
Millis Scheduler::earlier_leases_until(const std::string& worker) const
{
    const auto lease_end = m_silent_workers.lease_end_ms(worker);
    if (!lease_end || !store_clock_known())
        return m_earlier_leases_until;
    return std::min(m_earlier_leases_until, m_context.store_clock->reached_by(*lease_end));
}

bool Scheduler::may_renew_lease(const WorkerSession& session) const
{
    return m_log.may_lease(session.id());
}

void Scheduler::worker_lost(WorkerSession& session)
{
    m_silent_sessions.insert(session.id());
    m_log.write_soon();
}

// The worker has answered under this leader's fence, so its session knows all leases given
// since.
void Scheduler::note_answered(const WorkerSession& session)
{
    m_silent_workers.erase(session.id());
    m_silent_sessions.erase(session.id());
    retract_lapsed_loss(session.id());
    if (m_log.may_lease(session.id()))
        return;
    m_awaiting_lease.insert(session.id());
    m_log.write_soon();
}

void Scheduler::note_session_end(const WorkerSession& session, Millis expires_at)
{
    if (!store_clock_known())
        return;
    const int64_t lease_end = m_context.store_clock->latest_at(expires_at);
    const auto known = m_silent_workers.lease_end_ms(session.id());
    m_silent_workers.set(session.id(), known ? std::min(*known, lease_end) : lease_end);
}

// Workers that are not listed, and on which an earlier leader may have left tasks, cannot
// be polled. They are named as well, so that the next leader does not restart the wait for
// them.
void Scheduler::note_unlisted()
{
    if (!m_workers_known || m_context.loop.now() >= m_earlier_leases_until)
        return;
    const int64_t lease_end = m_context.store_clock->latest_at(m_earlier_leases_until);
    const auto note = [&](const std::string& worker) {
        const bool known = m_workers.count(worker) > 0 || m_silent_workers.contains(worker);
        if (!known && worker != any_worker)
            m_silent_workers.set(worker, lease_end);
    };
    for (const auto& [worker, tasks] : m_in_doubt)
        note(worker);
    for (const std::string& worker : m_unresolved)
        note(worker);
}

SilentWorkers Scheduler::silent_workers()
{
    if (!store_clock_known())
        return m_silent_workers;
    note_unlisted();
    const StoreClock& clock = *m_context.store_clock;
    const Millis now = m_context.loop.now();
    // Until then this leader uses the entries itself.
    if (now >= m_earlier_leases_until)
        m_silent_workers.erase_before(clock.latest_at(now) - retention_ms);
    SilentWorkers silent = m_silent_workers;
    for (const std::string& id : m_silent_sessions) {
        const Worker* worker = find_worker(id);
        if (worker != nullptr && worker->session->silent() && !silent.contains(id))
            silent.set(id, clock.latest_at(worker->session->lease_expires_at()));
    }
    return silent;
}

void Scheduler::head_written()
{
    std::set<std::string> waiting;
    waiting.swap(m_awaiting_lease);
    for (const std::string& id : waiting) {
        Worker* worker = find_worker(id);
        if (worker == nullptr || worker->session->silent())
            continue;
        if (!m_log.may_lease(id)) {
            // The write was in progress when the worker answered.
            m_awaiting_lease.insert(id);
            m_log.write_soon();
            continue;
        }
        worker->session->renew_lease();
        refresh_row(*worker);
        schedule_pass();
    }
}

} // namespace pathport::jobs
