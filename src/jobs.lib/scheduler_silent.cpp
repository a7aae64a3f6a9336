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
    return m_parts.store_clock != nullptr && m_parts.store_clock->known();
}

// Returns when all that earlier leaders leased to the worker has ended. None of them
// renewed a lease there while the head row named the worker, so the time in that row holds
// for this leader as well. Counted anew from each claim, tasks stood for 8.8 s more a
// leader.
Millis Scheduler::unknown_until(const std::string& worker) const
{
    const auto over = m_unreached.over_ms(worker);
    if (!over || !store_clock_known())
        return m_unknown_until;
    return std::min(m_unknown_until, m_parts.store_clock->reached_by(*over));
}

bool Scheduler::may_lease(const WorkerSession& session) const
{
    return m_log.may_lease(session.id());
}

void Scheduler::lost(WorkerSession&)
{
    m_log.write_soon();
}

// The worker has answered under this leader's fence: its session knows all leases since.
void Scheduler::note_answered(const WorkerSession& session)
{
    m_unreached.erase(session.id());
    take_back_lapsed(session.id());
    if (m_log.may_lease(session.id()))
        return;
    m_lease_waits.insert(session.id());
    m_log.write_soon();
}

void Scheduler::note_ended(const WorkerSession& session, Millis lapses_at)
{
    if (!store_clock_known())
        return;
    const int64_t over = m_parts.store_clock->latest_at(lapses_at);
    const auto known = m_unreached.over_ms(session.id());
    m_unreached.set(session.id(), known ? std::min(*known, over) : over);
}

// Workers that are not listed, and at which an earlier leader may have left tasks, can't be
// looked at; the next leader is not to count anew for them either.
void Scheduler::note_unlisted()
{
    if (!m_workers_known || m_parts.loop.now() >= m_unknown_until)
        return;
    const int64_t over = m_parts.store_clock->latest_at(m_unknown_until);
    const auto note = [&](const std::string& worker) {
        const bool known = m_workers.count(worker) > 0 || m_unreached.names(worker);
        if (!known && worker != any_worker)
            m_unreached.set(worker, over);
    };
    for (const auto& [worker, tasks] : m_in_doubt)
        note(worker);
    for (const std::string& worker : m_unresolved)
        note(worker);
}

SilentWorkers Scheduler::silent_workers()
{
    if (!store_clock_known())
        return m_unreached;
    note_unlisted();
    const StoreClock& clock = *m_parts.store_clock;
    const Millis now = m_parts.loop.now();
    // Until then this leader goes by them itself.
    if (now >= m_unknown_until)
        m_unreached.forget_before(clock.latest_at(now) - remembered_ms);
    SilentWorkers silent = m_unreached;
    for (const auto& [id, worker] : m_workers) {
        if (worker.session->silent() && !silent.names(id))
            silent.set(id, clock.latest_at(worker.session->lapses_at()));
    }
    return silent;
}

void Scheduler::head_written()
{
    std::set<std::string> waiting;
    waiting.swap(m_lease_waits);
    for (const std::string& id : waiting) {
        Worker* worker = find_worker(id);
        if (worker == nullptr || worker->session->silent())
            continue;
        if (!m_log.may_lease(id)) {
            // The write was on its way when the worker answered.
            m_lease_waits.insert(id);
            m_log.write_soon();
            continue;
        }
        worker->session->renew_lease();
        refresh_row(*worker);
        schedule_pass();
    }
}

} // namespace pathport::jobs
