// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How a session stops runs: it repeats the order until the worker no longer lists them.

#include "worker_session.h"

#include <pathport/log.h>

#include <algorithm>
#include <limits>

namespace pathport::jobs {

namespace {

constexpr Millis stop_retry_interval { 500 };
/// A stop that takes longer is logged, and again after the same time: a kill takes 0.4 s at
/// most on the users' workers, and a lost order 0.5 s more.
constexpr Millis overdue_stop_time { 1500 };
/// Limit for a silent worker: polls need connections too, of which there are six per
/// worker.
constexpr int max_stops_while_silent = 2;

} // namespace

const char* to_string(StopReason reason)
{
    switch (reason) {
    case StopReason::job_closed:
        return "job_closed";
    case StopReason::preempted:
        return "preempted";
    case StopReason::gang_incomplete:
        return "gang_incomplete";
    case StopReason::stalled:
        return "stands_still";
    case StopReason::worker_draining:
        return "worker_drains";
    case StopReason::unknown_run:
        break;
    }
    return "unknown_run";
}

void WorkerSession::stop(const TaskId& task, int64_t run, StopReason reason)
{
    const RunKey key { task.to_string(), run };
    if (m_ended || m_stops.count(key) > 0)
        return;
    StopRequest request;
    request.task = task;
    request.run = run;
    request.reason = reason;
    request.requested_at = m_loop.now();
    request.overdue_logged_at = request.requested_at;
    m_stops[key] = request;
    log_event(LogLevel::info, "task_stop",
              { { "job", task.job },
                { "task", key.first },
                { "run", run },
                { "worker", id() },
                { "reason", to_string(reason) },
                { "silent", m_silent ? "yes" : "no" } });
    send_stop(key);
}

void WorkerSession::log_overdue_stop(StopRequest& request)
{
    const Millis now = m_loop.now();
    if (now - request.overdue_logged_at < overdue_stop_time)
        return;
    request.overdue_logged_at = now;
    log_event(LogLevel::warn, "task_stop_overdue",
              { { "job", request.task.job },
                { "task", request.task.to_string() },
                { "run", request.run },
                { "worker", id() },
                { "reason", to_string(request.reason) },
                { "sent", request.attempts },
                { "last_answer", to_string(request.last_status) },
                { "silent", m_silent ? "yes" : "no" },
                { "after_ms", (now - request.requested_at).count() } });
}

// Sends the stops that waited for a silent worker.
void WorkerSession::send_stops()
{
    std::vector<RunKey> keys;
    for (const auto& [key, stop] : m_stops)
        keys.push_back(key);
    for (const RunKey& key : keys)
        send_stop(key);
}

// Each run is asked to stop before any is asked again: nothing tells of the success of a
// stop while the worker is silent, so the first ones would be repeated for ever.
bool WorkerSession::may_stop_while_silent(const StopRequest& request) const
{
    return m_open_stops < max_stops_while_silent
        && std::none_of(m_stops.begin(), m_stops.end(), [&](const auto& entry) {
               return entry.second.sent_at < request.sent_at;
           });
}

// Sends a stop that has not been sent yet.
void WorkerSession::send_next_stop()
{
    const auto next = std::find_if(m_stops.begin(), m_stops.end(), [](const auto& entry) {
        return entry.second.attempts == 0;
    });
    if (next != m_stops.end())
        send_stop(RunKey(next->first));
}

void WorkerSession::send_stop(const RunKey& key)
{
    const auto entry = m_stops.find(key);
    if (m_ended || entry == m_stops.end())
        return;
    StopRequest& request = entry->second;
    m_loop.cancel(request.timer);
    request.timer = m_loop.after(stop_retry_interval,
                                 m_lifetime.wrap([this, key] { send_stop(key); }));
    log_overdue_stop(request);
    // Stops are sent while polls get no answer too: they may get through on another
    // connection.
    if (!m_listener.orders_allowed() || (m_silent && !may_stop_while_silent(request)))
        return;
    RunOrder order;
    order.task = request.task;
    order.run = request.run;
    order.fence = m_fence;
    ++request.attempts;
    request.sent_at = m_loop.now();
    ++m_open_stops;
    m_client.stop(
        m_info, order, m_response_time.timeout(),
        m_lifetime.wrap([this, key, fence = order.fence](const OrderAnswer& answer) {
            --m_open_stops;
            const auto open = m_stops.find(key);
            if (open != m_stops.end())
                open->second.last_status = answer.status;
            if (const auto evidence = evidence_of_end(answer.status))
                end_incarnation(*evidence);
            else if (answer.status == OrderStatus::stale_fence && fence < m_fence)
                send_stop(key);
            else if (m_silent)
                send_next_stop();
        }));
}

// Returns the stops whose runs were reported as ended before: the listener is not told of
// these again.
std::vector<WorkerSession::StopRequest>
WorkerSession::drop_ended_stops(const PollReport& report, const PollReport& fresh)
{
    std::vector<StopRequest> already_ended;
    if (m_stops.empty())
        return already_ended;
    for (const EndedTask& end : report.ended) {
        const std::string task = end.task.to_string();
        auto stop = m_stops.lower_bound({ task, std::numeric_limits<int64_t>::min() });
        while (stop != m_stops.end() && stop->first.first == task
               && stop->first.second <= end.run) {
            m_loop.cancel(stop->second.timer);
            if (!fresh.lists(stop->second.task, stop->second.run))
                already_ended.push_back(stop->second);
            stop = m_stops.erase(stop);
        }
    }
    return already_ended;
}

// A run that the report of a later poll does not list is gone: its end was reported before,
// or it never existed. Its stop would be repeated for ever.
void WorkerSession::drop_gone_stops(const PollReport& report, Millis sent_at)
{
    std::vector<StopRequest> gone;
    for (auto stop = m_stops.begin(); stop != m_stops.end();) {
        const StopRequest& request = stop->second;
        if (request.requested_at >= sent_at || report.lists(request.task, request.run)) {
            ++stop;
            continue;
        }
        m_loop.cancel(request.timer);
        gone.push_back(request);
        stop = m_stops.erase(stop);
    }
    for (const StopRequest& request : gone) {
        log_event(LogLevel::info, "stopped_run_gone",
                  { { "task", request.task.to_string() },
                    { "run", request.run },
                    { "worker", id() } });
        m_listener.run_gone(*this, request.task, request.run);
    }
}

} // namespace pathport::jobs
