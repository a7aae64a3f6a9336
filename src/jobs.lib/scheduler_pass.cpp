// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A pass of the scheduler: which tasks go first, and which workers have room for them.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>
#include <tuple>

namespace pathport::jobs {

namespace {

/// What happens within this time is dealt with in one pass.
constexpr Millis pass_delay { 2 };
/// Passes take at most one part in so many of the time: with hundreds of steps that wait
/// they would take all that the exchange with workers, store and clients leaves.
constexpr int64_t pass_part = 4;
/// The pause that follows from that is no longer: urgent steps wait for it.
constexpr Millis longest_pass_pause { 25 };
/// A pass ends after this time even if candidates are left, so that leases and orders are
/// not held up by a long queue.
constexpr Millis longest_pass { 12 };
/// For so long a pass goes by urgency. What it has not reached by then follows by how long
/// ago it was looked at: steps that wait in vain would keep those behind them from room
/// that only these can use. The rest of a pass is short, since gangs need many looks.
constexpr Millis urgent_part { 10 };
/// Nothing is started on knowledge of cancellations that is older.
constexpr Millis stale_jobs { 2200 };
/// A less urgent step for which there was no room is looked at again after this time: with
/// hundreds of such steps, a look at each end of a task would take all of the processor.
constexpr Millis room_check_interval { 20 };
constexpr size_t clock_reading_interval = 4; ///< In candidates.
/// A member of a gang is not placed again later than so long before the others give up: its
/// order has to be recorded and to arrive, and the gang is stopped 0.7 s before.
constexpr Millis gang_refill_margin { 1200 };
/// A step of which nothing was placed for so long goes before the others of its priority
/// while room is ample, the oldest first.
constexpr Millis overdue_time { 1000 };
/// Room is ample while more than this share of it is free.
constexpr double ample_share = 0.5;

} // namespace

void Scheduler::schedule_pass()
{
    if (m_pass_due || m_phase != Phase::scheduling)
        return;
    m_pass_due = true;
    const Millis since = m_context.loop.now() - m_pass_begun;
    const Millis pause = std::min(longest_pass_pause,
                                  Millis(m_last_pass_time.count() * pass_part) - since);
    m_context.loop.after(std::max(pass_delay, pause), m_lifetime.wrap([this] {
        m_pass_due = false;
        pass();
    }));
}

void Scheduler::pass()
{
    if (m_phase != Phase::scheduling || !orders_allowed())
        return;
    // After a pause of this process, cancellations are read before anything is started.
    if (m_context.loop.now() - m_feed.known_at() > stale_jobs) {
        m_feed.poll_now();
        return;
    }
    if (!list_is_fresh()) {
        if (!m_stale_list_logged)
            log_event(LogLevel::warn, "worker_list_stale",
                      { { "age_ms", (m_context.loop.now() - m_workers_as_of).count() } });
        m_stale_list_logged = true;
        return; // The list's next reading causes a pass.
    }
    const Millis begun = m_context.loop.now();
    m_pass_begun = begun;
    refresh_rows();
    count_usage();
    std::vector<PendingStep> waiting = pending_steps();
    m_steps_waiting = waiting.size();
    renew_reservations(waiting);
    // Less urgent steps that were looked at just now are in one of the passes to come.
    const auto due
        = std::stable_partition(waiting.begin(), waiting.end(), [begun](const auto& entry) {
              return begun >= entry.step->next_placement_at;
          });
    const bool put_off = due != waiting.end();
    waiting.erase(due, waiting.end());
    const size_t urgent = place_until(waiting, 0, begun + urgent_part);
    std::stable_sort(waiting.begin() + static_cast<std::ptrdiff_t>(urgent), waiting.end(),
                     [](const PendingStep& left, const PendingStep& right) {
                         return left.step->placement_tried_at
                             < right.step->placement_tried_at;
                     });
    const size_t seen = place_until(waiting, urgent, begun + longest_pass);
    const bool cut_short = seen < waiting.size();
    m_last_pass_time = m_context.loop.now() - begun;
    ++m_load_counts.passes;
    m_load_counts.pass_time = m_load_counts.pass_time + m_last_pass_time;
    m_load_counts.cut_passes += cut_short ? 1 : 0;
    m_load_counts.steps_left += static_cast<int64_t>(waiting.size() - seen);
    if (cut_short)
        schedule_pass();
    if (put_off)
        schedule_recheck();
}

// Places candidates from `first` on until the time is over. Returns the first one that it
// did not look at.
size_t Scheduler::place_until(const std::vector<PendingStep>& waiting, size_t first,
                              Millis end)
{
    size_t next = first;
    while (next < waiting.size()) {
        waiting[next].step->placement_tried_at = m_pass_begun;
        place(waiting[next]);
        ++next;
        // Reading the clock costs more than many a candidate.
        if ((next - first) % clock_reading_interval == 0 && m_context.loop.now() > end)
            break;
    }
    return next;
}

// Steps that were not looked at in this pass are in one to come, also if nothing happens.
void Scheduler::schedule_recheck()
{
    if (m_recheck_due)
        return;
    m_recheck_due = true;
    m_context.loop.after(room_check_interval, m_lifetime.wrap([this] {
        m_recheck_due = false;
        schedule_pass();
    }));
}

std::vector<Scheduler::PendingStep> Scheduler::pending_steps()
{
    std::vector<PendingStep> found;
    for (auto& [id, job] : m_jobs) {
        if (job->closed() || awaits_unrecorded_runs(*job))
            continue;
        for (auto& [number, repeat] : job->repeats()) {
            for (Step& step : repeat.steps) {
                if (step.count(TaskPhase::waiting) > 0 && job->dependencies_met(step)
                    && (!step.spec->gang || gang_may_be_placed(step)))
                    found.push_back({ job.get(), &step });
            }
        }
    }
    const int64_t now_ms = m_context.store_clock_ms();
    const bool ample = free_share() > ample_share;
    for (PendingStep& candidate : found) {
        candidate.slack_ms = slack_ms(*candidate.job, now_ms);
        candidate.late = candidate.slack_ms < 0;
        candidate.overdue = is_overdue(candidate, ample);
    }
    const bool by_slack = uses(Mechanism::slack_order);
    const auto key = [by_slack](const PendingStep& candidate) {
        const AcceptedJob& job = candidate.job->accepted();
        const int64_t order = by_slack ? candidate.slack_ms : job.accepted_ms;
        return std::make_tuple(
            candidate.job->rank(), !candidate.overdue, by_slack && candidate.late,
            candidate.overdue ? candidate.step->idle_since.count() : order);
    };
    std::stable_sort(found.begin(), found.end(),
                     [&](const PendingStep& left, const PendingStep& right) {
                         return key(left) < key(right);
                     });
    return found;
}

// Where room is ample, what holds a step up is advice. By slack alone a step that is late
// goes behind all that can still be in time, for ever if advice is scarcer than they are:
// with one or two nodes of six left, 5 to 20 jobs stood while later ones came
// (scarce_advice_test).
bool Scheduler::is_overdue(const PendingStep& candidate, bool room_is_ample)
{
    Step& step = *candidate.step;
    if (step.placed() > 0) {
        step.idle_since = Millis(0);
        return false;
    }
    if (step.idle_since == Millis(0))
        step.idle_since = m_pass_begun;
    return room_is_ample && candidate.job->accepted().queue.advice
        && m_pass_begun - step.idle_since > overdue_time;
}

// Returns which share of the processors of the workers that can be used is free.
double Scheduler::free_share() const
{
    int64_t all = 0;
    int64_t free = 0;
    for (WorkerNumber number = 0; number < m_capacity_table.size(); ++number) {
        const CapacityRow& row = m_capacity_table.row(number);
        if (!row.open)
            continue;
        all += row.capacity.cpu_millis;
        free += row.free.cpu_millis;
    }
    return all == 0 ? 0 : double(free) / double(all);
}

// Returns how long the job may still wait and be done in its time, by its submitter's guess
// of its work; below 0 when it will be late anyhow.
int64_t Scheduler::slack_ms(JobRecord& job, int64_t now_ms)
{
    const int64_t due = job.accepted().accepted_ms + allowed_ms(job);
    return due - now_ms - job.remaining_chain_ms();
}

// Returns how long the job may take in all, by its submitter's guess of its work.
int64_t Scheduler::allowed_ms(JobRecord& job)
{
    const Queue& queue = job.accepted().queue;
    return static_cast<int64_t>(queue.stretch * double(job.longest_chain_ms()))
        + queue.slo_ms;
}

// A gang is placed whole, or a member that never started soon after the others. A member
// whose run has ended can't join that run again.
bool Scheduler::gang_may_be_placed(const Step& step) const
{
    const int placed = step.placed();
    if (placed == 0)
        return true;
    const Millis now = m_pass_begun;
    const Millis refill_time = m_context.bounds.gang_timeout - gang_refill_margin;
    return std::all_of(step.tasks.begin(), step.tasks.end(), [&](const Task& task) {
        if (task.phase == TaskPhase::waiting)
            return task.ended_run != step.gang_run;
        return (task.phase == TaskPhase::starting || task.phase == TaskPhase::running)
            && task.run == step.gang_run && now - task.placed_at < refill_time;
    });
}

bool Scheduler::is_eligible(const Worker& worker, const JobRecord& job,
                            const Step& step) const
{
    const WorkerInfo& info = worker.session->info();
    return worker.listed && worker.session->usable() && !info.draining
        && info.service == job.accepted().queue.service
        && (step.spec->label.empty() || info.has_label(step.spec->label));
}

PlacementOption Scheduler::option_on(const Worker& worker, const Step& step,
                                     const std::string& name) const
{
    PlacementOption room;
    room.worker = worker.session->id();
    room.rack = worker.rack;
    room.free = worker.session->info().capacity - worker.load.used();
    if (step.spec->max_per_worker > 0)
        room.step_tasks = worker.load.count_of_step(name);
    room.max_new_tasks = new_task_limit(worker);
    return room;
}

// A worker that surprised lately gets nothing for a while, then one task at a time, and
// then is trusted again: a gang might wait for it in vain otherwise.
int Scheduler::new_task_limit(const Worker& worker) const
{
    const Millis until = std::max(worker.held_until, worker.avoid_until);
    if (worker.isolated || m_pass_begun < until)
        return 0;
    if (m_pass_begun < worker.avoid_until + probation_time && worker.consecutive_faults > 0)
        return worker.load.empty() ? 1 : 0;
    return max_tasks_per_step;
}

int Scheduler::service_number(const std::string& service)
{
    const auto known = std::find(m_services.begin(), m_services.end(), service);
    const auto number = static_cast<int>(known - m_services.begin());
    if (known == m_services.end())
        m_services.push_back(service);
    return number;
}

void Scheduler::refresh_row(const Worker& worker)
{
    const WorkerInfo& info = worker.session->info();
    CapacityRow row;
    row.capacity = info.capacity;
    row.free = info.capacity - worker.load.used();
    row.service = service_number(info.service);
    row.max_new_tasks = new_task_limit(worker);
    row.open = worker.listed && worker.session->usable() && !info.draining;
    row.slow = is_slow(worker);
    m_capacity_table.set(worker.number, row);
}

// Rows follow what is placed and what workers report at once. What changes without either,
// a worker that falls silent or has been left alone for long enough, they follow so late;
// a look that finds room there in vain is corrected when the order is to be sent.
void Scheduler::refresh_rows()
{
    if (m_pass_begun - m_capacity_refreshed_at < room_check_interval)
        return;
    m_capacity_refreshed_at = m_pass_begun;
    for (Worker* worker : m_workers_by_number) {
        if (worker == nullptr)
            continue;
        refresh_suspects(*worker);
        refresh_row(*worker);
    }
}

// Returns the workers where tasks of the step failed or came to nothing.
std::vector<WorkerNumber> Scheduler::second_choices(const Step& step) const
{
    std::vector<WorkerNumber> workers;
    if (!uses(Mechanism::second_choices))
        return workers;
    const auto add = [&](const std::string& id) {
        const Worker* worker = find_worker(id);
        if (worker != nullptr)
            workers.push_back(worker->number);
    };
    for (const Task& task : step.tasks) {
        if (task.phase == TaskPhase::waiting && !task.failed_on.empty())
            add(task.failed_on);
    }
    for (const auto& [worker, until] : step.deprioritized_workers) {
        if (m_pass_begun < until)
            add(worker);
    }
    std::sort(workers.begin(), workers.end());
    return workers;
}

// Returns whether a task of the step has failed so lately that others should be found
// first, and there may be others: what has just failed leaves its room on the same worker,
// and its tickets, at hand. The time is that of an answer about further workers, for each
// failure.
bool Scheduler::avoids_second_choices(const JobRecord& job, const Step& step) const
{
    constexpr int answers = 2; // The present one of the queue may be under way.
    constexpr int workers_asked = 30;
    constexpr Millis way { 100 };
    const auto& rule = job.accepted().queue.advice;
    const double answer_ms
        = rule ? rule->decision_ms + rule->per_worker_ms * workers_asked : 0;
    const Millis patience = way + Millis(static_cast<int64_t>(answers * answer_ms));
    return std::any_of(step.tasks.begin(), step.tasks.end(), [&](const Task& task) {
        const auto failures = static_cast<int64_t>(task.failed_runs.size());
        return task.phase == TaskPhase::waiting && failures > 0
            && m_pass_begun - task.failed_at < Millis(patience.count() * failures);
    });
}

std::vector<PlacementOption> Scheduler::placement_options(const JobRecord& job,
                                                          const Step& step, int needed)
{
    const Millis now = m_pass_begun;
    const bool advised = job.accepted().queue.advice.has_value();
    if (advised && now >= step.advice.tickets_until)
        return {};
    const std::string key = step.name(job.id());
    const std::vector<WorkerNumber> second = second_choices(step);
    std::vector<PlacementOption> rooms;
    std::vector<PlacementOption> second_rooms;
    const auto consider = [&](WorkerNumber number) {
        const CapacityRow& row = m_capacity_table.row(number);
        const bool no_room = !row.open || !row.available_to(step)
            || tasks_that_fit_into(*step.spec, row.free, 1, row.max_new_tasks) == 0;
        if (no_room || !is_eligible(*m_workers_by_number[number], job, step))
            return;
        PlacementOption room = option_on(*m_workers_by_number[number], step, key);
        room.slow = row.slow && job.accepted().queue.priority == 0;
        if (tasks_that_fit(*step.spec, room) == 0)
            return;
        room.second_choice = std::binary_search(second.begin(), second.end(), number);
        (room.second_choice ? second_rooms : rooms).push_back(room);
    };
    if (advised) {
        for (const auto& [number, permission] : step.advice.workers) {
            if (permission.holds(now))
                consider(number);
        }
    } else {
        for (WorkerNumber number = 0; number < m_capacity_table.size(); ++number)
            consider(number);
    }
    // Where a task came to nothing before, it goes only when there is no other room.
    int fit = 0;
    for (const PlacementOption& room : rooms)
        fit += tasks_that_fit(*step.spec, room);
    if (fit < needed && !avoids_second_choices(job, step))
        rooms.insert(rooms.end(), second_rooms.begin(), second_rooms.end());
    return rooms;
}

void Scheduler::place(const PendingStep& candidate)
{
    JobRecord& job = *candidate.job;
    Step& step = *candidate.step;
    if (job.closed() || (step.has_crashes && give_up_exhausted(job, step)))
        return;
    const bool apart = step.has_crashes && !step.spec->gang;
    std::vector<size_t> suspects
        = apart ? suspects_to_try(job, step) : std::vector<size_t>();
    const int waiting = apart ? step.unsuspected_waiting() : step.count(TaskPhase::waiting);
    const int wanted = waiting + static_cast<int>(suspects.size());
    const int needed = tasks_within_bound(job, step, wanted);
    if (needed == 0)
        return;
    const int others = std::min(waiting, needed);
    if (needed - others < static_cast<int>(suspects.size()))
        suspects.resize(static_cast<size_t>(needed - others));
    std::vector<PlacementOption> rooms = placement_options(job, step, needed);
    if (step.has_crashes && step.spec->gang && gang_awaits_isolation(step, needed, rooms))
        return;
    int fit = 0;
    int first_fit = 0; // That of which is no second choice.
    for (const PlacementOption& room : rooms) {
        const int here = tasks_that_fit(*step.spec, room);
        fit += here;
        first_fit += room.second_choice ? 0 : here;
    }
    if (job.rank() > 0)
        step.next_placement_at = m_pass_begun + room_check_interval;
    if (step.spec->gang && fit < needed) {
        prepare_gang(job, step, needed);
        return;
    }
    if (first_fit < needed && !step.spec->gang && job.accepted().queue.advice)
        ask_for_independent(job, step, needed);
    place_suspects(job, step, suspects, rooms);
    if (fit == 0)
        return;
    const std::vector<Assignment> shares
        = choose_workers(*step.spec, others, step.spec->gang, rooms);
    if (shares.empty())
        return;
    step.next_placement_at = Millis(0);
    record_intent(job, step, step.waiting_tasks(!apart), shares);
}

// Tells in the log why a step has not started, for whoever asks about its job.
void Scheduler::log_wait_reason(const JobRecord& job, Step& step, Millis now)
{
    if (now - job.seen() <= min_explanation_interval || step.count(TaskPhase::waiting) == 0
        || !job.dependencies_met(step) || !m_explanations.acquire(now, step.wait_logged_at))
        return;
    step.wait_logged_at = now;
    int eligible = 0;
    int allowed = 0;
    int fit = 0;
    for (const auto& [id, worker] : m_workers) {
        if (!is_eligible(worker, job, step))
            continue;
        ++eligible;
        const auto known = step.advice.workers.find(worker.number);
        if (known == step.advice.workers.end() || !known->second.allowed)
            continue;
        ++allowed;
        fit += tasks_that_fit(*step.spec, option_on(worker, step, step.name(job.id())));
    }
    log_event(
        LogLevel::info, "step_waits",
        { { "job", job.id() },
          { "step", step.name(job.id()) },
          { "waiting", step.count(TaskPhase::waiting) },
          { "placed", step.placed() },
          { "eligible", eligible },
          { "asked", static_cast<int64_t>(step.advice.workers.size()) },
          { "allowed", allowed },
          { "fit", fit },
          { "suspected", step.count(TaskPhase::waiting) - step.unsuspected_waiting() },
          { "workspace", job.accepted().workspace },
          { "at_bound", step.at_bound ? "yes" : "no" },
          { "asking", step.advice.asking ? "yes" : "no" },
          { "idle_ms", step.idle_since == Millis(0) ? 0 : (now - step.idle_since).count() },
          { "held_back", awaits_unrecorded_runs(job) ? "yes" : "no" } });
}

} // namespace pathport::jobs
