// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Workers that are silent. The head row tells the next leader when their last leases end,
/// so that it does not count the longest lease anew from its own claim; until the row
/// leaves a worker out, nothing is leased to it.

#include "scheduler.h"

#include <algorithm>

namespace pathport::jobs {

namespace {
/// A worker without a session is named for so long after its leases have ended: by then the
/// tasks that the rows of jobs still put there have been placed anew, or stand for want of
/// room in a full cell.
constexpr int64_t remembered_ms = 60000;
} // namespace

bool Scheduler::store_clock_known() const
{
    return m_context.store_clock != nullptr && m_context.store_clock->known();
}

// Returns when all that earlier leaders leased to the worker has ended. None of them
// renewed a lease there while the head row named the worker, so the time in that row holds
// for this leader as well. Counted anew from each claim, tasks stood for 8.8 s more a
// leader.
Millis Scheduler::earlier_leases_until(const std::string& worker) const
{
    const auto over = m_silent_workers.lease_end_ms(worker);
    if (!over || !store_clock_known())
        return m_earlier_leases_until;
    return std::min(m_earlier_leases_until, m_context.store_clock->reached_by(*over));
}

bool Scheduler::may_renew_lease(const WorkerSession& session) const
{
    return m_log.may_lease(session.id());
}

void Scheduler::worker_lost(WorkerSession&)
{
    m_log.write_soon();
}

// The worker has answered under this leader's fence: its session knows all leases since.
void Scheduler::note_answered(const WorkerSession& session)
{
    m_silent_workers.erase(session.id());
    retract_lapsed_loss(session.id());
    if (m_log.may_lease(session.id()))
        return;
    m_awaiting_lease.insert(session.id());
    m_log.write_soon();
}

void Scheduler::note_session_end(const WorkerSession& session, Millis lapses_at)
{
    if (!store_clock_known())
        return;
    const int64_t over = m_context.store_clock->latest_at(lapses_at);
    const auto known = m_silent_workers.lease_end_ms(session.id());
    m_silent_workers.set(session.id(), known ? std::min(*known, over) : over);
}

// Workers that are not listed, and at which an earlier leader may have left tasks, can't be
// looked at; the next leader is not to count anew for them either.
void Scheduler::note_unlisted()
{
    if (!m_workers_known || m_context.loop.now() >= m_earlier_leases_until)
        return;
    const int64_t over = m_context.store_clock->latest_at(m_earlier_leases_until);
    const auto note = [&](const std::string& worker) {
        const bool known = m_workers.count(worker) > 0 || m_silent_workers.contains(worker);
        if (!known && worker != any_worker)
            m_silent_workers.set(worker, over);
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
    // Until then this leader goes by them itself.
    if (now >= m_earlier_leases_until)
        m_silent_workers.erase_before(clock.latest_at(now) - remembered_ms);
    SilentWorkers silent = m_silent_workers;
    for (const auto& [id, worker] : m_workers) {
        if (worker.session->silent() && !silent.contains(id))
            silent.set(id, clock.latest_at(worker.session->lease_expires_at()));
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
            // The write was on its way when the worker answered.
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
