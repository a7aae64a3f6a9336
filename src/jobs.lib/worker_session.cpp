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

bool LookReport::lists(const TaskId& task, int64_t run) const
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
    case OrderStatus::other_life:
        return "other_life";
    case OrderStatus::reborn:
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
                             int64_t least_fence, WorkerBounds bounds, Millis unknown_until,
                             Mechanisms mechanisms)
    : m_loop(loop)
    , m_client(client)
    , m_listener(listener)
    , m_info(std::move(info))
    , m_bounds(bounds)
    , m_fence(std::max(epoch * fences_per_epoch + 1, least_fence))
    , m_mechanisms(mechanisms)
    , m_response(mechanisms.uses(Mechanism::learned_timeouts) ? least_answer_time
                                                              : most_answer_time,
                 most_answer_time)
    , m_lapse_at(unknown_until)
{
}

WorkerSession::~WorkerSession()
{
    m_loop.cancel(m_look_timer);
    for (const auto& [key, stop] : m_stops)
        m_loop.cancel(stop.timer);
}

// One that is listed again had not left: its entry had lapsed.
void WorkerSession::update(const WorkerInfo& info)
{
    m_info = info;
    m_left = false;
}

void WorkerSession::begin()
{
    look(false);
}

bool WorkerSession::has_open_order(const TaskId& task) const
{
    if (m_unanswered.count(task.to_string()) > 0)
        return true;
    return std::any_of(m_doubtful.begin(), m_doubtful.end(),
                       [&](const Doubt& doubt) { return doubt.task == task; });
}

void WorkerSession::schedule_look(Millis delay)
{
    const Millis at = m_loop.now() + delay;
    if (m_over || (m_look_timer != 0 && m_look_at <= at))
        return;
    m_loop.cancel(m_look_timer);
    m_look_at = at;
    m_look_timer = m_loop.after(delay, m_lifetime.wrap([this] {
        m_look_timer = 0;
        look(true);
    }));
}

void WorkerSession::look(bool may_wait)
{
    if (m_over)
        return;
    if (!m_listener.may_order()) {
        schedule_look(look_retry);
        return;
    }
    LookOrder order;
    order.fence = m_fence;
    order.seen_through = news_for_worker();
    // A silent worker's lease is left to run out: a renewal that may arrive would put off
    // the time from which its tasks can be placed elsewhere.
    // So it is while a successor would find that time in the head row.
    const bool renews = m_failed_looks == 0 && m_listener.may_lease(*this);
    order.hold_until = renews ? hold_until() : 0;
    order.wait = wait_of_look(may_wait);
    note_lease(order.hold_until);
    ++m_looks_open;
    const Millis asked = m_loop.now();
    m_look_started = asked;
    m_client.look(
        m_info, order, order.wait + m_response.limit(),
        m_lifetime.wrap([this, fence = order.fence, until = order.hold_until,
                         told = order.seen_through, asked, waited = order.wait > Millis(0)](
                            OrderStatus status, const std::optional<LookReport>& report) {
            --m_looks_open;
            if (!waited)
                note_response(status, asked);
            else if (status == OrderStatus::unknown)
                m_listener.answer_missing();
            if (status == OrderStatus::accepted && report)
                note_forgotten(*report, told);
            look_answered(status, report, fence, until, asked);
        }));
}

// A look that is to be answered at once waits for nothing. Nor does one after a look that
// failed: the worker may be another life, and only the answer tells.
Millis WorkerSession::wait_of_look(bool may_wait) const
{
    if (!may_wait || !settled() || m_recorded != m_listed || m_failed_looks > 0)
        return Millis(0);
    if (m_busy && m_mechanisms.uses(Mechanism::short_looks)
        && m_listener.answers_go_missing())
        return lossy_look_wait;
    return m_busy && m_mechanisms.uses(Mechanism::short_looks) ? busy_look_wait
                                                               : idle_look_wait;
}

void WorkerSession::note_response(OrderStatus status, Millis asked)
{
    if (status == OrderStatus::unknown || status == OrderStatus::unreachable) {
        m_response.note_missing();
        m_listener.answer_missing();
        return;
    }
    m_response.note(m_loop.now() - asked);
}

void WorkerSession::look_answered(OrderStatus status,
                                  const std::optional<LookReport>& report, int64_t fence,
                                  int64_t until, Millis asked)
{
    if (m_over)
        return;
    if (status == OrderStatus::other_life) {
        end_life();
        return;
    }
    if (status == OrderStatus::reborn) {
        end_reborn();
        return;
    }
    if (status == OrderStatus::stale_fence && fence == m_fence) {
        m_listener.fenced_off(*this);
        return;
    }
    if (status != OrderStatus::accepted || !report) {
        look_failed(status, asked);
        return;
    }
    const bool regained = m_silent;
    if (regained)
        log_event(LogLevel::info, "worker_regained", { { "worker", id() } });
    m_silent = false;
    m_refuses = false;
    m_failed_looks = 0;
    note_answer(report->clock_ms, until);
    const auto alive = m_lifetime.observe();
    report_arrived(*report, fence, asked);
    if (alive.expired() || m_over)
        return;
    if (regained)
        send_stops();
    // One look is open at a time, but for doubts, which the next look is to resolve.
    if (m_looks_open > 0 && m_doubtful.empty())
        return;
    // Ends that were just listed are recorded soon, and ends_recorded() then looks again.
    // Nor is there haste for one that the worker lists on: to be told, it needs a
    // connection.
    schedule_look(m_forgotten < m_listed ? unrecorded_pause : Millis(0));
}

void WorkerSession::look_failed(OrderStatus status, Millis asked)
{
    const Millis now = m_loop.now();
    ++m_failed_looks;
    m_refuses = status == OrderStatus::refused;
    if (!m_silent && m_failed_looks >= 2) {
        m_silent = true;
        log_event(LogLevel::warn, "worker_lost",
                  { { "worker", id() },
                    { "outcome", to_string(status) },
                    { "waited_ms", (now - asked).count() },
                    { "lapses_in_ms", (m_lapse_at - now).count() } });
        m_listener.lost(*this);
    }
    const auto alive = m_lifetime.observe();
    check_lapse();
    if (alive.expired() || m_over)
        return;
    if (m_looks_open > 0 && m_doubtful.empty())
        return;
    // A time-out would not tell: the worker may be cut off and go on until its lease ends.
    if (status == OrderStatus::refused && m_left) {
        end_life();
        return;
    }
    schedule_look(m_failed_looks == 1 ? first_look_retry : look_retry);
}

void WorkerSession::report_arrived(const LookReport& report, int64_t fence, Millis asked)
{
    m_fenced = true;
    confirm_starts(report, asked);
    resolve_doubts(report, fence);
    LookReport fresh;
    fresh.clock_ms = report.clock_ms;
    // Answers may pass each other, also those of one millisecond: what runs in an older one
    // may have ended since.
    const bool newest = report.clock_ms > m_reported_ms;
    if (!newest)
        tell_outdated(report);
    m_reported_ms = std::max(m_reported_ms, report.clock_ms);
    if (newest)
        fresh.running = report.running;
    fresh.running_left_out = report.running_left_out || !newest;
    const ReportStage stage
        = take_stage(report.lists_all_ends() && !fresh.running_left_out);
    for (const EndedTask& end : report.ended) {
        if (end.number > m_listed)
            fresh.ended.push_back(end);
    }
    if (!fresh.ended.empty())
        m_listed = fresh.ended.back().number;
    const std::vector<StopRequest> noted = drop_ended_stops(report, fresh);
    const bool whole = !fresh.running_left_out && report.lists_all_ends();
    if (whole)
        m_known_as_of = std::max(m_known_as_of, asked);
    const auto alive = m_lifetime.observe();
    m_listener.reported(*this, fresh, stage);
    if (alive.expired() || m_over)
        return;
    for (const StopRequest& request : noted)
        m_listener.run_gone(*this, request.task, request.run);
    if (whole)
        drop_gone_stops(report, asked);
}

// Reports cross now and then; a clock that stays behind is another one.
void WorkerSession::tell_outdated(const LookReport& report)
{
    const Millis now = m_loop.now();
    const int64_t behind_ms = m_reported_ms - report.clock_ms;
    if (behind_ms < crossing_time.count() || now - m_outdated_told < outdated_pause)
        return;
    m_outdated_told = now;
    log_event(LogLevel::warn, "worker_report_outdated",
              { { "worker", id() },
                { "clock_ms", report.clock_ms },
                { "behind_ms", behind_ms },
                { "running", static_cast<int64_t>(report.running.size()) },
                { "ended", static_cast<int64_t>(report.ended.size()) },
                { "listed", m_listed },
                { "recorded", m_recorded } });
}

ReportStage WorkerSession::take_stage(bool whole)
{
    if (m_reported_all)
        return ReportStage::later;
    m_reported_all = whole;
    return m_reported_all ? ReportStage::first_whole : ReportStage::first_part;
}

// Under a higher fence the worker does nothing for a late order, so what is neither there
// now nor among all its ends never will be.
void WorkerSession::resolve_doubts(const LookReport& report, int64_t fence)
{
    std::vector<std::pair<Doubt, StartResult>> resolved;
    for (auto doubt = m_doubtful.begin(); doubt != m_doubtful.end();) {
        const bool there = report.lists(doubt->task, doubt->run);
        const bool known = there || (report.lists_all_ends() && !report.running_left_out);
        if (doubt->fence >= fence || !known) {
            ++doubt;
            continue;
        }
        resolved.emplace_back(std::move(*doubt),
                              there ? StartResult::running : StartResult::not_started);
        doubt = m_doubtful.erase(doubt);
    }
    for (const auto& [doubt, result] : resolved) {
        m_unconfirmed.erase({ doubt.task.to_string(), doubt.run });
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
    order.hold_until = hold_until();
    order.fence = m_fence;
    order.checkpoint = checkpoint;
    order.ticket = ticket;
    note_lease(order.hold_until);
    ++m_unanswered[task.to_string()];
    m_unconfirmed[{ task.to_string(), run }] = { task, std::nullopt };
    Doubt open { task, run, m_fence, std::move(done) };
    const Millis asked = m_loop.now();
    m_client.start(
        m_info, order, m_response.limit(),
        m_lifetime.wrap([this, asked, open = std::move(open)](const OrderAnswer& answer) {
            note_response(answer.status, asked);
            start_answered(answer, open);
        }));
}

void WorkerSession::start_answered(const OrderAnswer& answer, Doubt order)
{
    const auto unanswered = m_unanswered.find(order.task.to_string());
    if (unanswered != m_unanswered.end() && --unanswered->second == 0)
        m_unanswered.erase(unanswered);
    if (m_over)
        return;
    const RunKey key { order.task.to_string(), order.run };
    switch (answer.status) {
    case OrderStatus::accepted:
        m_unconfirmed[key].accepted = m_loop.now();
        order.done(StartResult::running, answer.status);
        return;
    case OrderStatus::unknown: {
        m_doubtful.push_back(std::move(order));
        raise_fence();
        return;
    }
    case OrderStatus::other_life:
        end_life();
        return;
    case OrderStatus::reborn:
        end_reborn();
        return;
    case OrderStatus::stale_fence:
        if (order.fence == m_fence) {
            m_listener.fenced_off(*this);
            return;
        }
        break;
    case OrderStatus::refused:
    case OrderStatus::unreachable:
        schedule_look(Millis(0));
        break;
    default:
        break;
    }
    m_unconfirmed.erase(key);
    order.done(StartResult::not_started, answer.status);
}

void WorkerSession::raise_fence()
{
    // Orders under way with the present fence may be refused for it; they are placed anew.
    const bool raised
        = std::any_of(m_doubtful.begin(), m_doubtful.end(),
                      [&](const Doubt& doubt) { return doubt.fence == m_fence; });
    if (raised)
        ++m_fence;
    look(false);
}

void WorkerSession::pace(const TaskId& task, int64_t run, int percent)
{
    RunOrder order;
    order.task = task;
    order.run = run;
    order.fence = m_fence;
    order.percent = percent;
    m_client.pace(m_info, order, m_response.limit(), [](const OrderAnswer&) {});
}

void WorkerSession::ends_recorded(int64_t number)
{
    if (number <= m_recorded)
        return;
    m_recorded = number;
    if (m_recorded == m_listed)
        schedule_look(Millis(0));
}

} // namespace pathport::jobs
