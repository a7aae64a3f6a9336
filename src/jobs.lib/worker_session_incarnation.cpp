// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How a session distinguishes its incarnation of a worker from the next one of the same
/// name, and how it ends.

#include "worker_session.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

// Returns the highest recorded end that the worker has to be told of, or 0. It is sent
// until a report shows that it was received: over a new connection it is not sent.
int64_t WorkerSession::ends_to_acknowledge() const
{
    return m_last_recorded_end > m_last_forgotten_end ? m_last_recorded_end : 0;
}

void WorkerSession::update_forgotten(const PollReport& report, int64_t acked)
{
    const bool lists_acked
        = std::any_of(report.ended.begin(), report.ended.end(),
                      [acked](const EndedTask& end) { return end.number <= acked; });
    if (!lists_acked)
        m_last_forgotten_end = std::max(m_last_forgotten_end, acked);
}

// A report is from this incarnation. So this incarnation was alive when it accepted a start
// before the poll was sent, and when it executed a start that it lists.
void WorkerSession::confirm_starts(const PollReport& report, Millis sent_at)
{
    for (auto start = m_unconfirmed_starts.begin(); start != m_unconfirmed_starts.end();) {
        const auto& [key, open] = *start;
        const bool accepted_before = open.accepted && *open.accepted <= sent_at;
        const bool confirmed = accepted_before || report.lists(open.task, key.second);
        start = confirmed ? m_unconfirmed_starts.erase(start) : std::next(start);
    }
}

std::vector<TaskRun> WorkerSession::unconfirmed_starts() const
{
    std::vector<TaskRun> starts;
    for (const auto& [key, open] : m_unconfirmed_starts)
        starts.push_back({ open.task, key.second });
    return starts;
}

void WorkerSession::mark_replaced()
{
    end_incarnation(EndEvidence::successor_listed);
}

void WorkerSession::end_incarnation(EndEvidence evidence)
{
    if (m_ended)
        return;
    m_ended = true;
    m_replaced = evidence != EndEvidence::other_worker_answered;
    m_loop.cancel(m_poll_timer);
    m_loop.cancel(m_watch_timer);
    log_event(
        LogLevel::info, "worker_life_over",
        { { "worker", id() },
          { "evidence", to_string(evidence) },
          { "draining", m_info.draining ? "yes" : "no" },
          { "lapses_in_ms", (m_lease_expires_at - m_loop.now()).count() },
          { "reborn", m_replaced ? "yes" : "no" },
          { "unconfirmed_starts", static_cast<int64_t>(m_unconfirmed_starts.size()) } });
    m_listener.incarnation_ended(*this, evidence);
}

} // namespace pathport::jobs
