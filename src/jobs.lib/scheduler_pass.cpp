// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A scheduling pass: orders the steps that wait and finds workers with enough capacity for
/// them.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>
#include <tuple>

namespace pathport::jobs {

namespace {

/// Events within this time are handled by one pass.
constexpr Millis pass_delay { 2 };
/// Passes may take at most 1/4 of the time. With hundreds of waiting steps they would
/// otherwise use up all the time left by communication with workers, store and clients.
constexpr int64_t pass_time_divisor = 4;
/// Upper bound on the resulting pause, since urgent steps wait for it.
constexpr Millis max_pass_pause { 25 };
/// A pass ends after this time even if steps are left, so that a long queue does not delay
/// leases and orders.
constexpr Millis max_pass_time { 12 };
/// For this long a pass follows the order of urgency. The remaining steps follow, least
/// recently tried first: otherwise steps that cannot be placed would keep those behind them
/// from capacity that only these can use. The rest of a pass is short, since gangs need
/// many attempts.
constexpr Millis urgent_pass_time { 10 };
/// A lower-priority step that found no capacity is retried after this time: with hundreds
/// of such steps, a retry at the end of every task would take a whole processor.
constexpr Millis capacity_retry_interval { 20 };
constexpr size_t clock_reading_interval = 4; ///< In steps.
/// A member of a gang is placed again only if at least this much time is left before the
/// other members give up: its order has to be recorded and delivered, and the gang is
/// stopped 0.7 s before they give up.
constexpr Millis gang_refill_margin { 1200 };
/// A step with nothing placed for this long goes before the others of its priority while
/// capacity is ample, the longest waiting first.
constexpr Millis overdue_time { 1000 };
/// Capacity is ample while more than this share of it is free.
constexpr double ample_share = 0.5;

} // namespace

void Scheduler::schedule_pass()
{
    if (m_pass_due || m_phase != Phase::scheduling)
        return;
    m_pass_due = true;
    const Millis since = m_context.loop.now() - m_pass_begun;
    const Millis pause = std::min(
        max_pass_pause, Millis(m_last_pass_time.count() * pass_time_divisor) - since);
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
    const Millis feed_age = m_context.loop.now() - m_feed.known_at();
    if (feed_age > max_feed_age) {
        if (!m_stale_feed_logged)
            log_event(LogLevel::warn, "job_feed_stale", { { "age_ms", feed_age.count() } });
        m_stale_feed_logged = true;
        m_feed.poll_now();
        return;
    }
    m_stale_feed_logged = false;
    if (!list_is_fresh()) {
        if (!m_stale_list_logged)
            log_event(LogLevel::warn, "worker_list_stale",
                      { { "age_ms", (m_context.loop.now() - m_workers_as_of).count() } });
        m_stale_list_logged = true;
        return; // The next read of the list triggers a pass.
    }
    const Millis begun = m_context.loop.now();
    m_pass_begun = begun;
    refresh_rows();
    count_usage();
    const bool more_repeats = begin_due_repeats();
    std::vector<PendingStep> waiting = pending_steps();
    m_steps_waiting = waiting.size();
    renew_reservations(waiting);
    collect_claims(waiting);
    advance_held_back(waiting);
    choose_longest_waiting(waiting);
    // Lower-priority steps tried a moment ago are left to a later pass.
    const auto due
        = std::stable_partition(waiting.begin(), waiting.end(), [begun](const auto& entry) {
              return begun >= entry.step->next_placement_at;
          });
    const bool deferred = due != waiting.end() || more_repeats;
    waiting.erase(due, waiting.end());
    // Tickets expire while a pass does not come to their steps, and then the step has to
    // ask again.
    if (m_cut_short)
        std::stable_partition(waiting.begin(), waiting.end(),
                              [this](const auto& entry) { return may_start(entry); });
    const size_t urgent = place_until(waiting, 0, begun + urgent_pass_time);
    std::stable_sort(waiting.begin() + static_cast<std::ptrdiff_t>(urgent), waiting.end(),
                     [](const PendingStep& left, const PendingStep& right) {
                         return left.step->placement_tried_at
                             < right.step->placement_tried_at;
                     });
    const size_t seen = place_until(waiting, urgent, begun + max_pass_time);
    m_cut_short = seen < waiting.size();
    m_last_pass_time = m_context.loop.now() - begun;
    ++m_load_counts.passes;
    m_load_counts.pass_time = m_load_counts.pass_time + m_last_pass_time;
    m_load_counts.cut_passes += m_cut_short ? 1 : 0;
    m_load_counts.steps_left += static_cast<int64_t>(waiting.size() - seen);
    if (m_cut_short)
        schedule_pass();
    if (deferred)
        schedule_recheck();
}

// Places steps from index `first` on until `end`. Returns the index of the first step that
// was not tried.
size_t Scheduler::place_until(const std::vector<PendingStep>& waiting, size_t first,
                              Millis end)
{
    size_t next = first;
    while (next < waiting.size()) {
        waiting[next].step->placement_tried_at = m_pass_begun;
        place(waiting[next]);
        ++m_load_counts.steps_tried;
        ++next;
        // Reading the clock takes longer than trying many of the steps.
        if ((next - first) % clock_reading_interval == 0 && m_context.loop.now() > end)
            break;
    }
    return next;
}

// Schedules another pass for steps that this one did not try, even if no event occurs.
void Scheduler::schedule_recheck()
{
    if (m_recheck_due)
        return;
    m_recheck_due = true;
    m_context.loop.after(capacity_retry_interval, m_lifetime.wrap([this] {
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
                if (step.has(TaskPhase::waiting) && job->dependencies_met(step)
                    && (!step.spec->gang || gang_may_be_placed(step)))
                    found.emplace_back(job.get(), &step);
            }
        }
    }
    const int64_t now_ms = m_context.store_clock_ms();
    const bool ample = capacity_is_ample();
    for (PendingStep& pending : found) {
        pending.deadline = deadline_of(*pending.job, now_ms);
        pending.prospect = shortage::prospect_of(pending.deadline);
        pending.overdue = is_overdue(pending, ample);
    }
    const bool by_slack = uses(Mechanism::slack_order);
    const bool least_late_first = by_slack && uses(Mechanism::late_order);
    const auto key = [by_slack, least_late_first](const PendingStep& pending) {
        const shortage::Deadline& deadline = pending.deadline;
        int group = by_slack && deadline.slack_ms < 0 ? 1 : 0;
        int64_t order = by_slack ? deadline.slack_ms : deadline.accepted_ms;
        if (least_late_first && !pending.overdue) {
            group = static_cast<int>(pending.prospect);
            order = shortage::order_within(deadline);
        }
        return std::make_tuple(pending.job->rank(), !pending.overdue, group,
                               pending.overdue ? pending.step->idle_since.count() : order);
    };
    std::stable_sort(found.begin(), found.end(),
                     [&](const PendingStep& left, const PendingStep& right) {
                         return key(left) < key(right);
                     });
    return found;
}

// With ample capacity, a step waits only for advice. If ordered by slack alone, a late step
// goes behind all steps that can still meet their deadlines, and waits forever if there is
// not enough advice for those: with one or two of six nodes left, 5 to 20 jobs were never
// started while later ones ran (scarce_advice_test).
bool Scheduler::is_overdue(const PendingStep& pending, bool capacity_is_ample)
{
    Step& step = *pending.step;
    if (step.placed() > 0) {
        step.idle_since = Millis(0);
        return false;
    }
    if (step.idle_since == Millis(0))
        step.idle_since = m_pass_begun;
    return capacity_is_ample && pending.job->accepted().queue.advice
        && m_pass_begun - step.idle_since > overdue_time;
}

// Returns the free share of the processors of all usable workers.
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

bool Scheduler::capacity_is_ample() const
{
    return free_share() > ample_share;
}

// Returns how long the job can still wait and meet its deadline, by the submitter's
// estimate of its work; negative if it will be late in any case.
int64_t Scheduler::slack_ms(JobRecord& job, int64_t now_ms) const
{
    return allowed_ms(job) - waited_ms(job, now_ms) - job.remaining_chain_ms();
}

// Returns for how long the job may have run: since it was accepted or, of a schedule, since
// the first of the repeats in progress was due.
int64_t Scheduler::waited_ms(const JobRecord& job, int64_t now_ms) const
{
    const JobSpec& spec = job.accepted().spec;
    if (!spec.has_schedule() || job.repeats().empty())
        return now_ms - job.accepted().accepted_ms;
    return m_context.wall_ms() - spec.due_ms(job.repeats().begin()->first);
}

shortage::Deadline Scheduler::deadline_of(JobRecord& job, int64_t now_ms) const
{
    shortage::Deadline deadline;
    deadline.allowed_ms = allowed_ms(job);
    deadline.slack_ms = slack_ms(job, now_ms);
    // A job that would have no value even with the whole cell to itself must not delay
    // others that can be in time.
    const int64_t alone_ms = job.remaining_ms(capacity_of(job.accepted().queue.service));
    if (alone_ms > shortage::late_multiple * deadline.allowed_ms)
        deadline.slack_ms = deadline.allowed_ms - waited_ms(job, now_ms) - alone_ms;
    deadline.accepted_ms = job.accepted().accepted_ms;
    const auto learned = m_start_margins.find(job.accepted().queue.name);
    if (!job.begun && learned != m_start_margins.end())
        deadline.margin_ms = learned->second.margin().count();
    return deadline;
}

// Returns the capacity of all workers of the service that accept tasks; zero if none is
// known.
Resources Scheduler::capacity_of(const std::string& service) const
{
    const auto known = std::find(m_services.begin(), m_services.end(), service);
    const auto number = static_cast<size_t>(known - m_services.begin());
    return number < m_service_capacity.size() ? m_service_capacity[number] : Resources();
}

// Returns the total time the job may take, by the submitter's estimate of its work.
int64_t Scheduler::allowed_ms(JobRecord& job)
{
    const Queue& queue = job.accepted().queue;
    return static_cast<int64_t>(queue.stretch * double(job.longest_chain_ms()))
        + queue.slo_ms;
}

// A gang is placed as a whole, or completed by a member that never started, soon after the
// others. A member whose run has ended cannot rejoin that run.
bool Scheduler::gang_may_be_placed(const Step& step) const
{
    const int placed = step.placed();
    if (placed == 0)
        return true;
    const Millis now = m_pass_begun;
    const Millis refill_time = m_context.bounds.gang_timeout - gang_refill_margin;
    // No run is known that an untouched member could join.
    if (step.tasks.untouched() > 0 && step.gang_run == 0)
        return false;
    return !step.tasks.any_record([&](const Task& task) {
        if (task.phase == TaskPhase::waiting)
            return task.ended_run == step.gang_run;
        const bool awaits_others
            = (task.phase == TaskPhase::starting || task.phase == TaskPhase::running)
            && task.run == step.gang_run && now - task.placed_at < refill_time;
        return !awaits_others;
    });
}

bool Scheduler::is_eligible(const Worker& worker, const JobRecord& job,
                            const Step& step) const
{
    const WorkerInfo& info = worker.session->info();
    return accepts_tasks(worker) && info.service == job.accepted().queue.service
        && (step.spec->label.empty() || info.has_label(step.spec->label));
}

PlacementOption Scheduler::option_on(const Worker& worker, const Step& step,
                                     const std::string& name) const
{
    PlacementOption option;
    option.worker = worker.session->id();
    option.rack = worker.rack;
    option.free = worker.session->info().capacity - worker.load.used();
    if (step.spec->max_per_worker > 0)
        option.step_tasks = worker.load.count_of_step(name);
    option.max_new_tasks = new_task_limit(worker);
    return option;
}

// A worker with recent faults gets no tasks for a while, then one at a time, and is then
// trusted again: otherwise a gang could wait for it in vain.
int Scheduler::new_task_limit(const Worker& worker) const
{
    const Millis until = std::max(worker.reserved_until, worker.avoid_until);
    if (worker.isolated || m_pass_begun < until)
        return 0;
    if (m_pass_begun < worker.avoid_until + probation_time && worker.consecutive_faults > 0)
        return worker.load.empty() ? 1 : 0;
    return max_tasks_per_step;
}

void Scheduler::note_examined(size_t workers)
{
    m_load_counts.workers_examined += static_cast<int64_t>(workers);
    m_context.loop.note_work(workers);
}

int Scheduler::service_number(const std::string& service)
{
    const auto known = std::find(m_services.begin(), m_services.end(), service);
    const auto number = static_cast<int>(known - m_services.begin());
    if (known == m_services.end())
        m_services.push_back(service);
    return number;
}

CapacityRow Scheduler::row_of(const Worker& worker)
{
    const WorkerInfo& info = worker.session->info();
    CapacityRow row;
    row.capacity = info.capacity;
    row.free = info.capacity - worker.load.used();
    row.service = service_number(info.service);
    row.max_new_tasks = new_task_limit(worker);
    row.open = accepts_tasks(worker);
    row.slow = is_slow(worker);
    return row;
}

void Scheduler::refresh_row(const Worker& worker)
{
    if (m_capacity_table.set(worker.number, row_of(worker)))
        update_pools(worker);
}

void Scheduler::update_pools(const Worker& worker)
{
    m_pools.update(worker.number, m_capacity_table.row(worker.number), worker.load,
                   worker.session->info().labels);
}

// Rows are updated at once on placement and on reports. Other changes, such as a worker
// that falls silent or whose avoidance period ends, reach them with this delay; a placement
// based on an outdated row is corrected before its order is sent.
void Scheduler::refresh_rows()
{
    refresh_drains();
    if (m_pass_begun - m_capacity_refreshed_at < capacity_retry_interval)
        return;
    m_capacity_refreshed_at = m_pass_begun;
    for (Worker* worker : m_workers_by_number) {
        if (worker == nullptr)
            continue;
        refresh_suspects(*worker);
        refresh_row(*worker);
    }
    m_service_capacity.assign(m_services.size(), Resources());
    for (WorkerNumber number = 0; number < m_capacity_table.size(); ++number) {
        const CapacityRow& row = m_capacity_table.row(number);
        if (row.open)
            m_service_capacity[size_t(row.service)]
                = m_service_capacity[size_t(row.service)] + row.capacity;
    }
}

// Returns the workers where tasks of the step failed or could not be started.
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
    for (const auto& [index, task] : step.tasks.records()) {
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

// Returns whether a task of the step has failed so recently that other workers should be
// found first, if there may be any: the failed task leaves free capacity and valid tickets
// on the same worker. The time allowed per failure is that of an answer about further
// workers.
bool Scheduler::avoids_second_choices(const JobRecord& job, const Step& step) const
{
    constexpr int answers = 2; // The queue's current query may be in progress.
    constexpr int workers_asked = 30;
    constexpr Millis round_trip { 100 };
    const auto& rule = job.accepted().queue.advice;
    const double answer_ms
        = rule ? rule->decision_ms + rule->per_worker_ms * workers_asked : 0;
    const Millis avoidance_time
        = round_trip + Millis(static_cast<int64_t>(answers * answer_ms));
    return step.tasks.any_record([&](const Task& task) {
        const auto failures = static_cast<int64_t>(task.failed_runs.size());
        return task.phase == TaskPhase::waiting && failures > 0
            && m_pass_begun - task.failed_at < Millis(avoidance_time.count() * failures);
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
    std::vector<PlacementOption> options;
    std::vector<PlacementOption> second_options;
    const auto consider = [&](WorkerNumber number) {
        note_examined(1);
        const CapacityRow& row = m_capacity_table.row(number);
        const bool no_capacity = !row.open || !row.available_to(step)
            || tasks_that_fit_into(*step.spec, row.free, 1, row.max_new_tasks) == 0;
        if (no_capacity || !is_eligible(*m_workers_by_number[number], job, step))
            return;
        PlacementOption option = option_on(*m_workers_by_number[number], step, key);
        option.slow = row.slow && job.accepted().queue.priority == 0;
        if (tasks_that_fit(*step.spec, option) == 0)
            return;
        option.second_choice = std::binary_search(second.begin(), second.end(), number);
        (option.second_choice ? second_options : options).push_back(option);
    };
    if (advised) {
        std::vector<WorkerNumber> allowed
            = allowed_with_room(step, pool_for(job, step).free);
        std::sort(allowed.begin(), allowed.end());
        for (const WorkerNumber number : allowed) {
            if (step.advice.workers.at(number).holds(now))
                consider(number);
        }
    } else {
        // A step that is particular about its workers chooses among all that have room.
        const bool takes_any = !step.has_crashes && !step.spec->same_rack
            && step.spec->preferred_rack.empty();
        int fit = 0; // On workers without drawbacks.
        pool_for(job, step).free.visit_tightest(*step.spec, [&](WorkerNumber number) {
            const size_t known = options.size();
            consider(number);
            if (options.size() > known && !options.back().slow)
                fit += tasks_that_fit(*step.spec, options.back());
            return !takes_any || fit < needed;
        });
    }
    // Workers where a task was unsuccessful before are used only if there is no other
    // capacity.
    int fit = 0;
    for (const PlacementOption& option : options)
        fit += tasks_that_fit(*step.spec, option);
    if (fit < needed && !avoids_second_choices(job, step))
        options.insert(options.end(), second_options.begin(), second_options.end());
    return options;
}

// Returns whether the step has valid tickets, or needs none.
bool Scheduler::may_start(const PendingStep& pending) const
{
    return !pending.job->accepted().queue.advice
        || m_pass_begun < pending.step->advice.tickets_until;
}

// Returns whether nothing of the step can be started and no query sent before the advisor
// answers or a delay has passed. Steps of bounded workspaces are tried in any case, since
// they set capacity aside.
bool Scheduler::only_awaits_advisor(const JobRecord& job, const Step& step) const
{
    const StepAdvice& advice = step.advice;
    return job.accepted().queue.advice && job.workspace == callers::UsageLedger::none
        && !step.has_crashes && m_pass_begun >= advice.tickets_until
        && (advice.asking() || m_pass_begun < advice.retry_at);
}

void Scheduler::note_advisor_wait(const JobRecord& job, Step& step) const
{
    step.at_bound = false;
    step.advice.held_back = false;
    if (job.rank() > 0)
        step.next_placement_at = m_pass_begun + capacity_retry_interval;
    if (step.spec->gang)
        step.gang_wait = step.advice.asking() ? GangWait::answer : GangWait::retry_delay;
}

void Scheduler::place(const PendingStep& pending)
{
    JobRecord& job = *pending.job;
    Step& step = *pending.step;
    if (job.closed() || (step.has_crashes && give_up_exhausted(job, step)))
        return;
    if (only_awaits_advisor(job, step)) {
        note_advisor_wait(job, step);
        return;
    }
    const bool separates_suspects = step.has_crashes && !step.spec->gang;
    std::vector<int> suspects
        = separates_suspects ? suspects_to_try(job, step) : std::vector<int>();
    const int waiting
        = separates_suspects ? step.unsuspected_waiting() : step.count(TaskPhase::waiting);
    const int wanted = waiting + static_cast<int>(suspects.size());
    const int needed = tasks_within_bound(job, step, wanted);
    if (needed == 0)
        return;
    const int others = std::min(waiting, needed);
    if (needed - others < static_cast<int>(suspects.size()))
        suspects.resize(static_cast<size_t>(needed - others));
    std::vector<PlacementOption> options = placement_options(job, step, needed);
    if (step.has_crashes && step.spec->gang && gang_awaits_isolation(step, needed, options))
        return;
    int fit = 0;
    int preferred_fit = 0; // The part of it that is not on second choices.
    for (const PlacementOption& option : options) {
        const int here = tasks_that_fit(*step.spec, option);
        fit += here;
        preferred_fit += option.second_choice ? 0 : here;
    }
    if (job.rank() > 0)
        step.next_placement_at = m_pass_begun + capacity_retry_interval;
    if (step.spec->gang && fit < needed) {
        step.gang_wait = prepare_gang(job, step, needed);
        return;
    }
    if (preferred_fit < needed && !step.spec->gang && job.accepted().queue.advice)
        ask_for_independent(job, step, needed);
    place_suspects(job, step, suspects, options);
    if (fit == 0)
        return;
    const std::vector<Assignment> assignments
        = choose_workers(*step.spec, others, step.spec->gang, options);
    if (assignments.empty())
        return;
    step.next_placement_at = Millis(0);
    step.gang_wait = GangWait::none;
    int assigned = 0;
    for (const Assignment& assignment : assignments)
        assigned += assignment.count;
    record_intent(job, step, step.waiting_tasks(!separates_suspects, assigned),
                  assignments);
}

} // namespace pathport::jobs
