// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "worker_session.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

/// How long a look waits at the worker for an end. An end is heard of so late when the look
/// was lost, so where something runs it waits for less, and for less again while answers go
/// missing; the looks of a busy worker are answered sooner anyhow.
constexpr Millis idle_look_wait { 1800 };
constexpr Millis busy_look_wait { 500 };
constexpr Millis lossy_look_wait { 250 };
/// Bounds of the time after which an answer counts as missing: some passes of the scheduler
/// (12 ms each), which hold up both the call and the answer; and what was waited before the
/// time was learned.
constexpr Millis least_answer_time { 100 };
constexpr Millis most_answer_time { 400 };
/// Pause after a look that got no answer; the first pause is shorter.
constexpr Millis look_retry { 250 };
constexpr Millis first_look_retry { 60 };
/// Pause between looks while ends wait to be recorded, since a look does not wait for
/// further ends then: about the time in which an end should be known.
constexpr Millis unrecorded_pause { 120 };
/// Answers that cross on different connections are not further apart.
constexpr Millis crossing_time { 2000 };
/// Pause between two lines on reports that come out of their order.
constexpr Millis outdated_pause { 2000 };
/// Fences of one epoch; each session raises its own within them.
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
                             int64_t least_fence, WorkerTimeouts bounds,
                             Millis unknown_until, Mechanisms mechanisms)
    : m_loop(loop)
    , m_client(client)
    , m_listener(listener)
    , m_info(std::move(info))
    , m_bounds(bounds)
    , m_fence(std::max(epoch * fences_per_epoch + 1, least_fence))
    , m_mechanisms(mechanisms)
    , m_response_time(mechanisms.uses(Mechanism::learned_timeouts) ? least_answer_time
                                                                   : most_answer_time,
                      most_answer_time)
    , m_lease_expires_at(unknown_until)
{
}

WorkerSession::~WorkerSession()
{
    m_loop.cancel(m_poll_timer);
    for (const auto& [key, stop] : m_stops)
        m_loop.cancel(stop.timer);
}

// One that is listed again had not left: its entry had lapsed.
void WorkerSession::update(const WorkerInfo& info)
{
    m_info = info;
    m_left = false;
}

void WorkerSession::start_polling()
{
    poll(false);
}

bool WorkerSession::has_open_order(const TaskId& task) const
{
    if (m_open_starts.count(task.to_string()) > 0)
        return true;
    return std::any_of(m_uncertain_starts.begin(), m_uncertain_starts.end(),
                       [&](const UncertainStart& doubt) { return doubt.task == task; });
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

void WorkerSession::poll(bool may_wait)
{
    if (m_ended)
        return;
    if (!m_listener.orders_allowed()) {
        schedule_poll(look_retry);
        return;
    }
    PollRequest order;
    order.fence = m_fence;
    order.acked_through = ends_to_acknowledge();
    // A silent worker's lease is left to run out: a renewal that may arrive would put off
    // the time from which its tasks can be placed elsewhere.
    // So it is while a successor would find that time in the head row.
    const bool renews = m_failed_polls == 0 && m_listener.may_renew_lease(*this);
    order.lease_until = renews ? lease_until() : 0;
    order.wait = poll_wait(may_wait);
    extend_lease_expiry(order.lease_until);
    ++m_open_polls;
    const Millis asked = m_loop.now();
    m_poll_started = asked;
    m_client.poll(m_info, order, order.wait + m_response_time.timeout(),
                  m_lifetime.wrap(
                      [this, fence = order.fence, until = order.lease_until,
                       told = order.acked_through, asked, waited = order.wait > Millis(0)](
                          OrderStatus status, const std::optional<PollReport>& report) {
                          --m_open_polls;
                          if (!waited)
                              record_response(status, asked);
                          else if (status == OrderStatus::unknown)
                              m_listener.call_timed_out();
                          if (status == OrderStatus::accepted && report)
                              update_forgotten(*report, told);
                          poll_answered(status, report, fence, until, asked);
                      }));
}

// A look that is to be answered at once waits for nothing. Nor does one after a look that
// failed: the worker may be another life, and only the answer tells.
Millis WorkerSession::poll_wait(bool may_wait) const
{
    if (!may_wait || !settled() || m_last_recorded_end != m_last_listed_end
        || m_failed_polls > 0)
        return Millis(0);
    if (m_busy && m_mechanisms.uses(Mechanism::short_looks)
        && m_listener.has_recent_timeouts())
        return lossy_look_wait;
    return m_busy && m_mechanisms.uses(Mechanism::short_looks) ? busy_look_wait
                                                               : idle_look_wait;
}

void WorkerSession::record_response(OrderStatus status, Millis asked)
{
    if (status == OrderStatus::unknown || status == OrderStatus::unreachable) {
        m_response_time.add_timeout();
        m_listener.call_timed_out();
        return;
    }
    m_response_time.add_sample(m_loop.now() - asked);
}

void WorkerSession::poll_answered(OrderStatus status,
                                  const std::optional<PollReport>& report, int64_t fence,
                                  int64_t until, Millis asked)
{
    if (m_ended)
        return;
    if (status == OrderStatus::wrong_incarnation) {
        end_incarnation();
        return;
    }
    if (status == OrderStatus::replaced) {
        end_replaced();
        return;
    }
    if (status == OrderStatus::stale_fence && fence == m_fence) {
        m_listener.fenced_off(*this);
        return;
    }
    if (status != OrderStatus::accepted || !report) {
        poll_failed(status, asked);
        return;
    }
    const bool regained = m_silent;
    if (regained)
        log_event(LogLevel::info, "worker_regained", { { "worker", id() } });
    m_silent = false;
    m_refuses_connections = false;
    m_failed_polls = 0;
    update_clock(report->clock_ms, until);
    const auto alive = m_lifetime.observe();
    handle_report(*report, fence, asked);
    if (alive.expired() || m_ended)
        return;
    if (regained)
        send_stops();
    // One look is open at a time, but for doubts, which the next look is to resolve.
    if (m_open_polls > 0 && m_uncertain_starts.empty())
        return;
    // Ends that were just listed are recorded soon, and ends_recorded() then looks again.
    // Nor is there haste for one that the worker lists on: to be told, it needs a
    // connection.
    schedule_poll(m_last_forgotten_end < m_last_listed_end ? unrecorded_pause : Millis(0));
}

void WorkerSession::poll_failed(OrderStatus status, Millis asked)
{
    const Millis now = m_loop.now();
    ++m_failed_polls;
    m_refuses_connections = status == OrderStatus::refused;
    if (!m_silent && m_failed_polls >= 2) {
        m_silent = true;
        log_event(LogLevel::warn, "worker_lost",
                  { { "worker", id() },
                    { "outcome", to_string(status) },
                    { "waited_ms", (now - asked).count() },
                    { "lapses_in_ms", (m_lease_expires_at - now).count() } });
        m_listener.worker_lost(*this);
    }
    const auto alive = m_lifetime.observe();
    check_lease_expiry();
    if (alive.expired() || m_ended)
        return;
    if (m_open_polls > 0 && m_uncertain_starts.empty())
        return;
    // A time-out would not tell: the worker may be cut off and go on until its lease ends.
    if (status == OrderStatus::refused && m_left) {
        end_incarnation();
        return;
    }
    schedule_poll(m_failed_polls == 1 ? first_look_retry : look_retry);
}

void WorkerSession::handle_report(const PollReport& report, int64_t fence, Millis asked)
{
    m_fenced = true;
    confirm_starts(report, asked);
    resolve_uncertain_starts(report, fence);
    PollReport fresh;
    fresh.clock_ms = report.clock_ms;
    // Answers may pass each other, also those of one millisecond: what runs in an older one
    // may have ended since.
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
    const std::vector<StopRequest> noted = drop_ended_stops(report, fresh);
    const bool whole = !fresh.running_omitted && report.lists_all_ends();
    if (whole)
        m_last_full_report = std::max(m_last_full_report, asked);
    const auto alive = m_lifetime.observe();
    m_listener.report_received(*this, fresh, stage);
    if (alive.expired() || m_ended)
        return;
    for (const StopRequest& request : noted)
        m_listener.run_gone(*this, request.task, request.run);
    if (whole)
        drop_gone_stops(report, asked);
}

// Reports cross now and then; a clock that stays behind is another one.
void WorkerSession::log_outdated_report(const PollReport& report)
{
    const Millis now = m_loop.now();
    const int64_t behind_ms = m_last_report_clock_ms - report.clock_ms;
    if (behind_ms < crossing_time.count() || now - m_outdated_logged_at < outdated_pause)
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

ReportStage WorkerSession::advance_stage(bool whole)
{
    if (m_fully_reported)
        return ReportStage::subsequent;
    m_fully_reported = whole;
    return m_fully_reported ? ReportStage::first_complete : ReportStage::first_partial;
}

// Under a higher fence the worker does nothing for a late order, so what is neither there
// now nor among all its ends never will be.
void WorkerSession::resolve_uncertain_starts(const PollReport& report, int64_t fence)
{
    std::vector<std::pair<UncertainStart, StartResult>> resolved;
    for (auto doubt = m_uncertain_starts.begin(); doubt != m_uncertain_starts.end();) {
        const bool there = report.lists(doubt->task, doubt->run);
        const bool known = there || (report.lists_all_ends() && !report.running_omitted);
        if (doubt->fence >= fence || !known) {
            ++doubt;
            continue;
        }
        resolved.emplace_back(std::move(*doubt),
                              there ? StartResult::running : StartResult::not_started);
        doubt = m_uncertain_starts.erase(doubt);
    }
    for (const auto& [doubt, result] : resolved) {
        m_unconfirmed_starts.erase({ doubt.task.to_string(), doubt.run });
        doubt.done(result, OrderStatus::unknown);
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
    const Millis asked = m_loop.now();
    m_client.start(
        m_info, order, m_response_time.timeout(),
        m_lifetime.wrap([this, asked, open = std::move(open)](const OrderAnswer& answer) {
            record_response(answer.status, asked);
            start_answered(answer, open);
        }));
}

void WorkerSession::start_answered(const OrderAnswer& answer, UncertainStart order)
{
    const auto unanswered = m_open_starts.find(order.task.to_string());
    if (unanswered != m_open_starts.end() && --unanswered->second == 0)
        m_open_starts.erase(unanswered);
    if (m_ended)
        return;
    const RunKey key { order.task.to_string(), order.run };
    switch (answer.status) {
    case OrderStatus::accepted:
        m_unconfirmed_starts[key].accepted = m_loop.now();
        order.done(StartResult::running, answer.status);
        return;
    case OrderStatus::unknown: {
        m_uncertain_starts.push_back(std::move(order));
        raise_fence();
        return;
    }
    case OrderStatus::wrong_incarnation:
        end_incarnation();
        return;
    case OrderStatus::replaced:
        end_replaced();
        return;
    case OrderStatus::stale_fence:
        if (order.fence == m_fence) {
            m_listener.fenced_off(*this);
            return;
        }
        break;
    case OrderStatus::refused:
    case OrderStatus::unreachable:
        schedule_poll(Millis(0));
        break;
    default:
        break;
    }
    m_unconfirmed_starts.erase(key);
    order.done(StartResult::not_started, answer.status);
}

void WorkerSession::raise_fence()
{
    // Orders under way with the present fence may be refused for it; they are placed anew.
    const bool raised
        = std::any_of(m_uncertain_starts.begin(), m_uncertain_starts.end(),
                      [&](const UncertainStart& doubt) { return doubt.fence == m_fence; });
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
