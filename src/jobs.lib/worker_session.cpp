// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "worker_session.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

/// How long a poll waits at the worker for a task to end. After a lost poll an end is
/// learned of that much later, so polls are shorter where something runs, and shorter still
/// while answers get lost. Polls of a busy worker are answered sooner anyway.
constexpr Millis idle_poll_wait { 1800 };
constexpr Millis busy_poll_wait { 500 };
constexpr Millis lossy_poll_wait { 250 };
/// How long a relay may keep back reports of a busy worker in which no task has ended, and
/// poll again itself. Progress is reported so often, twice within the time after which a
/// task counts as stalled.
constexpr Millis busy_poll_hold { 1300 };
/// Polls in the time of the longest lease, so that some may be lost.
constexpr int64_t min_polls_per_lease = 4;
/// Bounds of the answer time-out. The lower one covers some passes of the scheduler (12 ms
/// each), which delay both the call and the answer; the upper one also applies until
/// response times are known.
constexpr Millis min_answer_timeout { 100 };
constexpr Millis max_answer_timeout { 400 };
/// Wait at a busy worker whose announced end is near, so that its short leases are renewed
/// in time.
constexpr Millis leaving_poll_wait { 200 };
/// Pause after a poll without an answer; the first pause is shorter.
constexpr Millis poll_retry_delay { 250 };
constexpr Millis first_poll_retry_delay { 60 };
/// Pause between polls while ends wait to be recorded, since such polls return at once:
/// about the time within which an end should be known.
constexpr Millis unrecorded_poll_interval { 120 };
/// Upper bound of that pause, if records take long.
constexpr Millis max_unrecorded_poll_interval { 1000 };
/// Interval of the polls of a watched worker.
constexpr Millis watch_interval { 100 };
/// Maximum age difference of answers that overtake each other on different connections.
constexpr Millis max_reordering { 2000 };
/// Minimum interval between log lines on outdated reports.
constexpr Millis outdated_log_interval { 2000 };
/// Fences per epoch; each session raises its own within them.
constexpr int64_t fences_per_epoch = int64_t(1) << 20;

} // namespace

bool PollReport::lists(const TaskId& task, int64_t run) const
{
    const auto is_run
        = [&](const auto& entry) { return entry.task == task && entry.run == run; };
    return std::any_of(running.begin(), running.end(), is_run)
        || std::any_of(ended.begin(), ended.end(), is_run);
}

const char* to_string(OrderStatus status)
{
    switch (status) {
    case OrderStatus::accepted:
        return "accepted";
    case OrderStatus::stale_fence:
        return "stale_fence";
    case OrderStatus::old_run:
        return "old_run";
    case OrderStatus::too_late:
        return "too_late";
    case OrderStatus::no_room:
        return "no_room";
    case OrderStatus::bad_ticket:
        return "bad_ticket";
    case OrderStatus::declined:
        return "declined";
    case OrderStatus::wrong_incarnation:
        return "other_life";
    case OrderStatus::replaced:
        return "reborn";
    case OrderStatus::refused:
        return "refused";
    case OrderStatus::unreachable:
        return "unreachable";
    case OrderStatus::unknown:
        break;
    }
    return "unknown";
}

WorkerSession::WorkerSession(EventLoop& loop, WorkerClient& client,
                             SessionListener& listener, WorkerInfo info, int64_t epoch,
                             int64_t min_fence, WorkerTimeouts timeouts,
                             Millis unknown_until, Mechanisms mechanisms)
    : m_loop(loop)
    , m_client(client)
    , m_listener(listener)
    , m_info(std::move(info))
    , m_timeouts(timeouts)
    , m_fence(std::max(epoch * fences_per_epoch + 1, min_fence))
    , m_mechanisms(mechanisms)
    , m_response_time(mechanisms.uses(Mechanism::learned_timeouts) ? min_answer_timeout
                                                                   : max_answer_timeout,
                      max_answer_timeout)
    , m_lease_expires_at(unknown_until)
{
    note_announced_end();
}

WorkerSession::~WorkerSession()
{
    m_loop.cancel(m_poll_timer);
    m_loop.cancel(m_watch_timer);
    for (const auto& [key, stop] : m_stops)
        m_loop.cancel(stop.timer);
}

void WorkerSession::update(const WorkerInfo& info)
{
    m_info = info;
    note_announced_end();
}

void WorkerSession::start_polling()
{
    poll(false);
}

bool WorkerSession::has_open_order(const TaskId& task) const
{
    if (m_open_starts.count(task.to_string()) > 0)
        return true;
    return std::any_of(
        m_uncertain_starts.begin(), m_uncertain_starts.end(),
        [&](const UncertainStart& uncertain) { return uncertain.task == task; });
}

void WorkerSession::schedule_poll(Millis delay)
{
    const Millis at = m_loop.now() + delay;
    if (m_ended || (m_poll_timer != 0 && m_poll_at <= at))
        return;
    m_loop.cancel(m_poll_timer);
    m_poll_at = at;
    m_poll_timer = m_loop.after(delay, m_lifetime.wrap([this] {
        m_poll_timer = 0;
        poll(true);
    }));
}

void WorkerSession::watch_until(Millis until)
{
    m_watch_until = std::max(m_watch_until, until);
    if (m_watch_timer == 0 && m_failed_polls == 0)
        poll(false);
    schedule_watch();
}

// These polls do not wait, so that each lists what runs, and are sent beside one that does.
// A worker that does not answer is polled again anyway.
void WorkerSession::schedule_watch()
{
    if (m_ended || m_watch_timer != 0 || m_loop.now() >= m_watch_until)
        return;
    m_watch_timer = m_loop.after(watch_interval, m_lifetime.wrap([this] {
        m_watch_timer = 0;
        if (m_failed_polls == 0)
            poll(false);
        schedule_watch();
    }));
}

void WorkerSession::poll(bool may_wait)
{
    if (m_ended)
        return;
    if (!m_listener.orders_allowed()) {
        schedule_poll(poll_retry_delay);
        return;
    }
    PollRequest order;
    order.fence = m_fence;
    order.acked_through = ends_to_acknowledge();
    // A silent worker's lease is left to expire: a renewal that may arrive would postpone
    // the time from which its tasks can be placed elsewhere. Nor is it renewed while a
    // successor would find that expiry time in the head row.
    const bool renews = m_failed_polls == 0 && m_listener.may_renew_lease(*this);
    order.lease_until = renews ? lease_until() : 0;
    order.wait = poll_wait(may_wait);
    order.hold = poll_hold(order.wait);
    extend_lease_expiry(order.lease_until);
    ++m_open_polls;
    const Millis sent_at = m_loop.now();
    m_poll_started = sent_at;
    m_client.poll(
        m_info, order, order.wait + m_response_time.timeout(),
        m_lifetime.wrap([this, fence = order.fence, until = order.lease_until,
                         acked = order.acked_through, sent_at,
                         waited = order.wait > Millis(0)](
                            OrderStatus status, const std::optional<PollReport>& report) {
            --m_open_polls;
            if (!waited)
                record_response(status, sent_at);
            else if (status == OrderStatus::unknown)
                m_listener.call_timed_out();
            if (status == OrderStatus::accepted && report)
                update_forgotten(*report, acked);
            poll_answered(status, report, fence, until, sent_at);
        }));
}

// A poll that must be answered at once does not wait for ends. Nor does one after a failed
// poll: another incarnation may have taken over, and only the answer tells.
Millis WorkerSession::poll_wait(bool may_wait) const
{
    if (!may_wait || !settled() || m_last_recorded_end != m_last_listed_end
        || m_failed_polls > 0)
        return Millis(0);
    if (m_busy && m_announced_end && until_announced_end() < busy_poll_wait)
        return leaving_poll_wait;
    if (m_busy && m_mechanisms.uses(Mechanism::short_looks)
        && m_listener.has_recent_timeouts())
        return lossy_poll_wait;
    return m_busy && m_mechanisms.uses(Mechanism::short_looks) ? busy_poll_wait
                                                               : idle_poll_wait;
}

// The short leases of a worker that is about to end have to be renewed in time.
Millis WorkerSession::poll_hold(Millis wait) const
{
    if (wait == Millis(0) || m_announced_end)
        return wait;
    const Millis longest(m_timeouts.max_lease.count() / min_polls_per_lease);
    return std::max(wait, std::min(busy_poll_hold, longest));
}

void WorkerSession::record_response(OrderStatus status, Millis sent_at)
{
    if (status == OrderStatus::unknown || status == OrderStatus::unreachable) {
        m_response_time.add_timeout();
        m_listener.call_timed_out();
        return;
    }
    m_response_time.add_sample(m_loop.now() - sent_at);
}

void WorkerSession::poll_answered(OrderStatus status,
                                  const std::optional<PollReport>& report, int64_t fence,
                                  int64_t until, Millis sent_at)
{
    if (m_ended)
        return;
    if (const auto evidence = evidence_of_end(status)) {
        end_incarnation(*evidence);
        return;
    }
    if (status == OrderStatus::stale_fence && fence == m_fence) {
        m_listener.fenced_off(*this);
        return;
    }
    if (status != OrderStatus::accepted || !report) {
        poll_failed(status, sent_at);
        return;
    }
    const bool recovered = m_silent;
    if (recovered)
        log_event(LogLevel::info, "worker_regained", { { "worker", id() } });
    m_silent = false;
    m_down_since.reset();
    m_failed_polls = 0;
    update_clock(report->clock_ms, until);
    const auto alive = m_lifetime.observe();
    handle_report(*report, fence, sent_at + report->polled_after);
    if (alive.expired() || m_ended)
        return;
    if (recovered)
        send_stops();
    // One poll is in flight at a time, except while starts are in doubt, which the next
    // poll is to resolve.
    if (m_open_polls > 0 && m_uncertain_starts.empty())
        return;
    // New ends are recorded soon, and ends_recorded() then polls again. There is no hurry
    // either when the worker still lists recorded ends: acknowledging them needs an
    // established connection.
    schedule_poll(m_last_forgotten_end < m_last_listed_end ? unrecorded_poll_delay()
                                                           : Millis(0));
}

// Polls that come before the record return the same ends. The short leases of a worker that
// is about to end have to be renewed in time.
Millis WorkerSession::unrecorded_poll_delay() const
{
    if (m_announced_end)
        return unrecorded_poll_interval;
    const Millis record_time = m_listener.record_time();
    return std::clamp(record_time + record_time, unrecorded_poll_interval,
                      max_unrecorded_poll_interval);
}

void WorkerSession::poll_failed(OrderStatus status, Millis sent_at)
{
    const Millis now = m_loop.now();
    ++m_failed_polls;
    if (!m_down_since)
        m_down_since = now;
    if (!m_silent && m_failed_polls >= 2) {
        m_silent = true;
        log_event(LogLevel::warn, "worker_lost",
                  { { "worker", id() },
                    { "outcome", to_string(status) },
                    { "waited_ms", (now - sent_at).count() },
                    { "draining", m_info.draining ? "yes" : "no" },
                    { "lapses_in_ms", (m_lease_expires_at - now).count() } });
        m_listener.worker_lost(*this);
    }
    const auto alive = m_lifetime.observe();
    check_lease_expiry();
    if (alive.expired() || m_ended)
        return;
    if (m_open_polls > 0 && m_uncertain_starts.empty())
        return;
    schedule_poll(m_failed_polls == 1 ? first_poll_retry_delay : poll_retry_delay);
}

void WorkerSession::handle_report(const PollReport& report, int64_t fence, Millis sent_at)
{
    m_fenced = true;
    confirm_starts(report, sent_at);
    resolve_uncertain_starts(report, fence);
    PollReport fresh;
    fresh.clock_ms = report.clock_ms;
    // Answers may overtake each other, even within one millisecond: a run listed in an
    // older one may have ended since.
    const bool newest = report.clock_ms > m_last_report_clock_ms;
    if (!newest)
        log_outdated_report(report);
    m_last_report_clock_ms = std::max(m_last_report_clock_ms, report.clock_ms);
    if (newest)
        fresh.running = report.running;
    fresh.running_omitted = report.running_omitted || !newest;
    const ReportStage stage
        = advance_stage(report.lists_all_ends() && !fresh.running_omitted);
    for (const EndedTask& end : report.ended) {
        if (end.number > m_last_listed_end)
            fresh.ended.push_back(end);
    }
    if (!fresh.ended.empty())
        m_last_listed_end = fresh.ended.back().number;
    const std::vector<StopRequest> already_ended = drop_ended_stops(report, fresh);
    const bool complete = !fresh.running_omitted && report.lists_all_ends();
    if (complete)
        m_last_full_report = std::max(m_last_full_report, sent_at);
    const auto alive = m_lifetime.observe();
    m_listener.report_received(*this, fresh, stage);
    if (alive.expired() || m_ended)
        return;
    for (const StopRequest& request : already_ended)
        m_listener.run_gone(*this, request.task, request.run);
    if (complete)
        drop_gone_stops(report, sent_at);
}

// Reports overtake each other occasionally; a clock that stays behind belongs to another
// incarnation.
void WorkerSession::log_outdated_report(const PollReport& report)
{
    const Millis now = m_loop.now();
    const int64_t behind_ms = m_last_report_clock_ms - report.clock_ms;
    if (behind_ms < max_reordering.count()
        || now - m_outdated_logged_at < outdated_log_interval)
        return;
    m_outdated_logged_at = now;
    log_event(LogLevel::warn, "worker_report_outdated",
              { { "worker", id() },
                { "clock_ms", report.clock_ms },
                { "behind_ms", behind_ms },
                { "running", static_cast<int64_t>(report.running.size()) },
                { "ended", static_cast<int64_t>(report.ended.size()) },
                { "listed", m_last_listed_end },
                { "recorded", m_last_recorded_end } });
}

ReportStage WorkerSession::advance_stage(bool complete)
{
    if (m_fully_reported)
        return ReportStage::subsequent;
    m_fully_reported = complete;
    return m_fully_reported ? ReportStage::first_complete : ReportStage::first_partial;
}

// Under a higher fence the worker rejects late orders, so a run that is neither listed as
// running now nor among all ends will never exist.
void WorkerSession::resolve_uncertain_starts(const PollReport& report, int64_t fence)
{
    std::vector<std::pair<UncertainStart, StartResult>> resolved;
    for (auto uncertain = m_uncertain_starts.begin();
         uncertain != m_uncertain_starts.end();) {
        const bool is_listed = report.lists(uncertain->task, uncertain->run);
        const bool known
            = is_listed || (report.lists_all_ends() && !report.running_omitted);
        if (uncertain->fence >= fence || !known) {
            ++uncertain;
            continue;
        }
        resolved.emplace_back(std::move(*uncertain),
                              is_listed ? StartResult::running : StartResult::not_started);
        uncertain = m_uncertain_starts.erase(uncertain);
    }
    for (const auto& [uncertain, result] : resolved) {
        m_unconfirmed_starts.erase({ uncertain.task.to_string(), uncertain.run });
        uncertain.done(result, OrderStatus::unknown);
    }
}

void WorkerSession::start(const TaskId& task, int64_t run, const std::string& payload,
                          const std::string& checkpoint, const std::string& ticket,
                          std::function<void(StartResult, OrderStatus)> done)
{
    StartOrder order;
    order.task = task;
    order.run = run;
    order.payload = payload;
    order.lease_until = lease_until();
    order.fence = m_fence;
    order.checkpoint = checkpoint;
    order.ticket = ticket;
    extend_lease_expiry(order.lease_until);
    ++m_open_starts[task.to_string()];
    m_unconfirmed_starts[{ task.to_string(), run }] = { task, std::nullopt };
    UncertainStart open { task, run, m_fence, std::move(done) };
    const Millis sent_at = m_loop.now();
    m_client.start(m_info, order, m_response_time.timeout(),
                   [this, alive = m_lifetime.observe(), sent_at,
                    open = std::move(open)](const OrderAnswer& answer) {
                       if (alive.expired()) {
                           report_late_acceptance(answer, open);
                           return;
                       }
                       record_response(answer.status, sent_at);
                       start_answered(answer, open);
                   });
}

// Nothing waits for the outcome of an order once its incarnation has ended, but an accepted
// one shows that its run existed.
void WorkerSession::report_late_acceptance(const OrderAnswer& answer,
                                           const UncertainStart& order)
{
    if (answer.status == OrderStatus::accepted)
        order.done(StartResult::running, answer.status);
}

void WorkerSession::start_answered(const OrderAnswer& answer, UncertainStart order)
{
    const auto unanswered = m_open_starts.find(order.task.to_string());
    if (unanswered != m_open_starts.end() && --unanswered->second == 0)
        m_open_starts.erase(unanswered);
    if (m_ended) {
        report_late_acceptance(answer, order);
        return;
    }
    const RunKey key { order.task.to_string(), order.run };
    if (answer.status == OrderStatus::accepted) {
        m_unconfirmed_starts[key].accepted = m_loop.now();
        order.done(StartResult::running, answer.status);
        return;
    }
    if (const auto evidence = evidence_of_end(answer.status)) {
        end_incarnation(*evidence);
        return;
    }
    if (answer.status == OrderStatus::stale_fence && order.fence == m_fence) {
        m_listener.fenced_off(*this);
        return;
    }
    switch (effect_of(answer.status)) {
    case CallEffect::uncertain:
        m_uncertain_starts.push_back(std::move(order));
        raise_fence();
        return;
    case CallEffect::none:
        schedule_poll(Millis(0));
        break;
    case CallEffect::answered:
        break;
    }
    m_unconfirmed_starts.erase(key);
    order.done(StartResult::not_started, answer.status);
}

void WorkerSession::raise_fence()
{
    // Orders in flight with the current fence may be rejected because of this; they are
    // placed again.
    const bool raised = std::any_of(
        m_uncertain_starts.begin(), m_uncertain_starts.end(),
        [&](const UncertainStart& uncertain) { return uncertain.fence == m_fence; });
    if (raised)
        ++m_fence;
    poll(false);
}

void WorkerSession::set_speed(const TaskId& task, int64_t run, int percent)
{
    RunOrder order;
    order.task = task;
    order.run = run;
    order.fence = m_fence;
    order.percent = percent;
    m_client.set_speed(m_info, order, m_response_time.timeout(), [](const OrderAnswer&) {});
}

void WorkerSession::ends_recorded(int64_t number)
{
    if (number <= m_last_recorded_end)
        return;
    m_last_recorded_end = number;
    if (m_last_recorded_end == m_last_listed_end)
        schedule_poll(Millis(0));
}

} // namespace pathport::jobs
