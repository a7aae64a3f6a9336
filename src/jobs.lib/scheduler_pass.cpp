// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A pass of the scheduler: which tasks go first, and where they go. A choice is recorded
/// before the order is sent, so that a successor knows where each task may run.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace pathport::jobs {

namespace {

/// What happens within this time is dealt with in one pass.
constexpr Millis pass_delay { 2 };
/// Nothing is started on knowledge of cancellations that is older.
constexpr Millis stale_jobs { 2200 };
/// A ticket is not used in the last part of its life.
constexpr Millis ticket_margin { 250 };
constexpr Millis advice_retry { 150 };
constexpr Millis fruitless_pause { 120 };
/// How long a worker that was left alone gets one task at a time.
constexpr Millis trial_time { 2500 };
/// Workers named in one question.
constexpr int least_asked = 10;
constexpr int most_asked = 30;
/// Asked for beyond what is needed on average, since the advisor's choice varies.
constexpr double asked_reserve = 1.5;
constexpr double first_allowed_share = 0.5;
constexpr double share_learning = 0.1;
/// A member of a gang may be placed again so long after the others.
constexpr Millis gang_refill_time { 1800 };
/// Gangs for which advice is asked or workers are kept free at a time.
constexpr int most_gangs_prepared = 8;
/// At most one in so many workers is kept free for gangs whose room is not there yet.
constexpr size_t reserved_fraction = 4;
/// A step that has waited for so long is explained in the log, again and again.
constexpr Millis wait_explained_after { 2000 };

std::string step_name(const JobRecord& job, const Step& step)
{
    return job.id() + "." + std::to_string(step.repeat) + "." + std::to_string(step.index);
}

bool ticket_holds(const Permission& permission, Millis now)
{
    return permission.allowed && now < permission.expires;
}

} // namespace

bool Scheduler::fit_first(const Prospect& left, const Prospect& right)
{
    return left.fit > right.fit;
}

bool Scheduler::later_first(const Prospect& left, const Prospect& right)
{
    return left.later_fit > right.later_fit;
}

std::vector<std::string> Scheduler::names(const std::vector<Prospect>& prospects, int most)
{
    std::vector<std::string> workers;
    for (const Prospect& prospect : prospects) {
        if (workers.size() >= size_t(most))
            break;
        workers.push_back(prospect.worker);
    }
    return workers;
}

void Scheduler::schedule_pass()
{
    if (m_pass_due || m_phase != Phase::acting)
        return;
    m_pass_due = true;
    m_parts.loop.after(pass_delay, m_lifetime.wrap([this] {
        m_pass_due = false;
        pass();
    }));
}

void Scheduler::pass()
{
    if (m_phase != Phase::acting || !may_order())
        return;
    // After a pause of this process, cancellations are read before anything is started.
    if (m_parts.loop.now() - m_jobs_read > stale_jobs) {
        poll_jobs();
        return;
    }
    m_reserved.clear();
    m_gangs_prepared = 0;
    for (const Candidate& candidate : candidates())
        place(candidate);
}

std::vector<Scheduler::Candidate> Scheduler::candidates()
{
    std::vector<Candidate> found;
    for (auto& [id, job] : m_jobs) {
        if (job->closed() || holds_back(*job))
            continue;
        for (auto& [number, repeat] : job->repeats()) {
            for (Step& step : repeat.steps) {
                if (step.count(TaskPhase::waiting) > 0 && job->may_run(step)
                    && (!step.spec->gang || gang_may_be_placed(step)))
                    found.push_back({ job.get(), &step });
            }
        }
    }
    const int64_t now_ms = m_parts.store_clock_ms();
    for (Candidate& candidate : found) {
        candidate.slack_ms = slack_ms(*candidate.job, now_ms);
        candidate.late = candidate.slack_ms < 0;
    }
    const auto key = [](const Candidate& candidate) {
        return std::make_tuple(candidate.job->accepted().queue.priority, candidate.late,
                               candidate.slack_ms);
    };
    std::stable_sort(found.begin(), found.end(),
                     [&](const Candidate& left, const Candidate& right) {
                         return key(left) < key(right);
                     });
    return found;
}

// Returns how long the job may still wait and be done in its time, by its submitter's guess
// of its work; below 0 when it will be late anyhow.
int64_t Scheduler::slack_ms(JobRecord& job, int64_t now_ms)
{
    const AcceptedJob& accepted = job.accepted();
    const int64_t allowed
        = static_cast<int64_t>(accepted.queue.stretch * double(job.longest_chain_ms()))
        + accepted.queue.slo_ms;
    const int64_t due = accepted.accepted_ms + allowed;
    return due - now_ms - job.remaining_chain_ms();
}

// A gang is placed whole, or a member that never started soon after the others. A member
// whose run has ended can't join that run again.
bool Scheduler::gang_may_be_placed(const Step& step) const
{
    const int placed = step.placed();
    if (placed == 0)
        return true;
    const Millis now = m_parts.loop.now();
    return std::all_of(step.tasks.begin(), step.tasks.end(), [&](const Task& task) {
        if (task.phase == TaskPhase::waiting)
            return task.ended_run != step.gang_run;
        return (task.phase == TaskPhase::starting || task.phase == TaskPhase::running)
            && task.run == step.gang_run && now - task.placed_at < gang_refill_time;
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

WorkerRoom Scheduler::room_on(const Worker& worker, const std::string& key) const
{
    WorkerRoom room;
    room.worker = worker.session->id();
    room.rack = worker.session->info().rack();
    room.free = worker.session->info().capacity;
    for (const auto& [task, occupant] : worker.occupants)
        room.free = room.free - occupant.need;
    const auto count = worker.step_counts.find(key);
    room.of_step = count == worker.step_counts.end() ? 0 : count->second;
    // A worker that surprised lately gets nothing for a while, then one task at a time, and
    // then is trusted again: a gang might wait for it in vain otherwise.
    const Millis now = m_parts.loop.now();
    if (now < worker.avoid_until)
        room.at_most = 0;
    else if (now < worker.avoid_until + trial_time && worker.surprises > 0)
        room.at_most = worker.occupants.empty() ? 1 : 0;
    return room;
}

std::vector<WorkerRoom> Scheduler::rooms_for(const JobRecord& job, const Step& step,
                                             int needed)
{
    const Millis now = m_parts.loop.now();
    const bool advised = job.accepted().queue.advice.has_value();
    const std::string key = step_name(job, step);
    std::vector<WorkerRoom> rooms;
    std::vector<WorkerRoom> second_choice;
    for (const auto& [id, worker] : m_workers) {
        if (!is_eligible(worker, job, step) || m_reserved.count(id) > 0)
            continue;
        if (advised) {
            const auto permission = step.advice.workers.find(id);
            if (permission == step.advice.workers.end()
                || !ticket_holds(permission->second, now))
                continue;
        }
        WorkerRoom room = room_on(worker, key);
        if (tasks_that_fit(*step.spec, room) == 0)
            continue;
        const bool failed_here
            = std::any_of(step.tasks.begin(), step.tasks.end(), [&](const Task& task) {
                  return task.phase == TaskPhase::waiting && task.failed_on == id;
              });
        (failed_here ? second_choice : rooms).push_back(std::move(room));
    }
    // Where a task has failed before, it goes only when there is no other room.
    int fit = 0;
    for (const WorkerRoom& room : rooms)
        fit += tasks_that_fit(*step.spec, room);
    if (fit < needed)
        rooms.insert(rooms.end(), second_choice.begin(), second_choice.end());
    return rooms;
}

bool Scheduler::place(Candidate candidate)
{
    JobRecord& job = *candidate.job;
    Step& step = *candidate.step;
    const int needed = step.count(TaskPhase::waiting);
    const std::vector<WorkerRoom> rooms = rooms_for(job, step, needed);
    int fit = 0;
    for (const WorkerRoom& room : rooms)
        fit += tasks_that_fit(*step.spec, room);
    if (step.spec->gang && fit < needed) {
        prepare_gang(job, step, needed);
        return false;
    }
    if (fit < needed && job.accepted().queue.advice)
        ask_for_some(job, step, needed);
    if (fit == 0)
        return false;
    const std::vector<Share> shares
        = choose_workers(*step.spec, needed, step.spec->gang, rooms);
    if (shares.empty())
        return false;
    intend(job, step, shares);
    return true;
}

// Returns the workers that the step could use by what is known, and how many of its tasks
// each would hold.
std::vector<Scheduler::Prospect> Scheduler::prospects(const JobRecord& job,
                                                      const Step& step) const
{
    const std::string key = step_name(job, step);
    const int priority = job.accepted().queue.priority;
    std::vector<Prospect> found;
    for (const auto& [id, worker] : m_workers) {
        if (!is_eligible(worker, job, step) || m_reserved.count(id) > 0)
            continue;
        Prospect prospect;
        prospect.worker = id;
        WorkerRoom room = room_on(worker, key);
        prospect.fit = tasks_that_fit(*step.spec, room);
        for (const auto& [task, occupant] : worker.occupants) {
            if (occupant.priority > priority)
                room.free = room.free + occupant.need;
        }
        prospect.later_fit = tasks_that_fit(*step.spec, room);
        if (prospect.later_fit == 0)
            continue;
        const auto known = step.advice.workers.find(id);
        prospect.asked = known != step.advice.workers.end();
        prospect.allowed
            = !job.accepted().queue.advice || (prospect.asked && known->second.allowed);
        found.push_back(std::move(prospect));
    }
    return found;
}

// A gang waits for room, tickets or verdicts. Workers that it may use are kept free of what
// comes after it once they suffice, and tickets are only asked for when the room is there.
void Scheduler::prepare_gang(const JobRecord& job, Step& step, int needed)
{
    if (m_gangs_prepared >= most_gangs_prepared)
        return;
    ++m_gangs_prepared;
    if (step.advice.asking) {
        m_reserved.insert(step.advice.asked_for.begin(), step.advice.asked_for.end());
        return;
    }
    std::vector<Prospect> allowed;
    std::vector<Prospect> unasked;
    int fit = 0;
    int later_fit = 0;
    for (Prospect& prospect : prospects(job, step)) {
        if (prospect.allowed) {
            fit += prospect.fit;
            later_fit += prospect.later_fit;
            allowed.push_back(std::move(prospect));
        } else if (!prospect.asked) {
            unasked.push_back(std::move(prospect));
        }
    }
    const bool advised = job.accepted().queue.advice.has_value();
    const bool room_now = fit >= needed;
    if (!room_now && later_fit < needed && advised && !unasked.empty()) {
        std::stable_sort(unasked.begin(), unasked.end(), later_first);
        ask(job, step, names(unasked, most_asked));
        return;
    }
    // If all that it may use is not enough, keeping workers free would help nobody.
    if (later_fit < needed)
        return;
    // Workers with the most room now are free soonest.
    std::stable_sort(allowed.begin(), allowed.end(), fit_first);
    const size_t most_reserved = std::max<size_t>(1, m_workers.size() / reserved_fraction);
    size_t used = 0;
    int reserved = 0;
    while (used < allowed.size() && reserved < needed
           && (room_now || m_reserved.size() < most_reserved)) {
        reserved += room_now ? allowed[used].fit : allowed[used].later_fit;
        m_reserved.insert(allowed[used++].worker);
    }
    if (room_now && advised) {
        allowed.resize(used);
        ask(job, step, names(allowed, most_asked));
        if (step.advice.asking)
            step.advice.asked_for = names(allowed, most_asked);
    }
}

// Tasks that need not start together: asks again about workers that are known to be allowed
// if they have room for some, else about further ones.
void Scheduler::ask_for_some(const JobRecord& job, Step& step, int needed)
{
    if (step.advice.asking)
        return;
    std::vector<Prospect> allowed;
    std::vector<Prospect> unasked;
    int fit = 0;
    for (Prospect& prospect : prospects(job, step)) {
        prospect.fit = std::min(prospect.fit, needed);
        if (prospect.fit == 0)
            continue;
        if (prospect.allowed) {
            fit += prospect.fit;
            allowed.push_back(std::move(prospect));
        } else if (!prospect.asked) {
            unasked.push_back(std::move(prospect));
        }
    }
    if (fit >= needed || unasked.empty()) {
        std::stable_sort(allowed.begin(), allowed.end(), fit_first);
        size_t used = 0;
        int found = 0;
        while (used < allowed.size() && found < needed + 2)
            found += allowed[used++].fit;
        allowed.resize(used);
        ask(job, step, names(allowed, most_asked));
        return;
    }
    std::stable_sort(unasked.begin(), unasked.end(), fit_first);
    const double share
        = m_allowed_share.try_emplace(job.accepted().queue.name, first_allowed_share)
              .first->second;
    double expected = fit;
    size_t used = 0;
    while (used < unasked.size()
           && (used < size_t(least_asked) || expected < asked_reserve * needed))
        expected += share * unasked[used++].fit;
    unasked.resize(used);
    ask(job, step, names(unasked, most_asked));
}

// Tells in the log why a step has not started, for whoever asks about its job.
void Scheduler::explain_wait(const JobRecord& job, Step& step)
{
    const Millis now = m_parts.loop.now();
    const bool due = now - job.seen() > wait_explained_after
        && now - step.wait_explained > wait_explained_after;
    if (!due || step.count(TaskPhase::waiting) == 0 || !job.may_run(step))
        return;
    step.wait_explained = now;
    int eligible = 0;
    int allowed = 0;
    int fit = 0;
    for (const auto& [id, worker] : m_workers) {
        if (!is_eligible(worker, job, step))
            continue;
        ++eligible;
        const auto known = step.advice.workers.find(id);
        if (known == step.advice.workers.end() || !known->second.allowed)
            continue;
        ++allowed;
        fit += tasks_that_fit(*step.spec, room_on(worker, step_name(job, step)));
    }
    log_event(LogLevel::info, "step_waits",
              { { "job", job.id() },
                { "step", step_name(job, step) },
                { "waiting", step.count(TaskPhase::waiting) },
                { "placed", step.placed() },
                { "eligible", eligible },
                { "asked", static_cast<int64_t>(step.advice.workers.size()) },
                { "allowed", allowed },
                { "fit", fit },
                { "asking", step.advice.asking ? "yes" : "no" },
                { "held_back", holds_back(job) ? "yes" : "no" } });
}

void Scheduler::ask(const JobRecord& job, Step& step, std::vector<std::string> workers)
{
    const Millis now = m_parts.loop.now();
    if (workers.empty() || now < step.advice.retry_at)
        return;
    AdviceQuestion question;
    question.step = step_name(job, step);
    question.workers = std::move(workers);
    question.rule = *job.accepted().queue.advice;
    question.priority = job.accepted().queue.priority;
    step.advice.asking = true;
    step.advice.asked_for.clear();
    auto came
        = m_lifetime.wrap([this, id = job.id(), repeat = step.repeat, index = step.index,
                           asked = question.workers, now](const AdviceReply& reply) {
              advice_came(id, repeat, index, asked, now, reply);
          });
    m_parts.advice.ask(std::move(question), std::move(came));
}

void Scheduler::advice_came(const std::string& id, int repeat, int index,
                            const std::vector<std::string>& asked, Millis asked_at,
                            const AdviceReply& reply)
{
    JobRecord* job = find_job(id);
    Step* step = job == nullptr ? nullptr : job->step(repeat, index);
    if (step == nullptr)
        return;
    const Millis now = m_parts.loop.now();
    step->advice.asking = false;
    step->advice.asked_for.clear();
    if (!reply.tickets) {
        step->advice.retry_at = now + advice_retry;
        return;
    }
    const Millis valid(job->accepted().queue.advice->valid_ms);
    for (const std::string& worker : asked)
        step->advice.workers[worker] = Permission {};
    for (const WorkerTicket& ticket : reply.tickets.value())
        step->advice.workers[ticket.worker]
            = Permission { true, ticket.ticket, now + valid - ticket_margin };
    // An answer that helps to place nothing is not asked for again at once.
    step->advice.retry_at = now + fruitless_pause;
    double& share = m_allowed_share[job->accepted().queue.name];
    const double seen = double(reply.tickets->size()) / double(asked.size());
    share += share_learning * (seen - share);
    m_parts.metrics.observe_seconds("pathport_advice_seconds",
                                    double((now - asked_at).count()) / 1000);
    log_event(LogLevel::debug, "advice",
              { { "job", id },
                { "asked", static_cast<int64_t>(asked.size()) },
                { "allowed", static_cast<int64_t>(reply.tickets->size()) },
                { "after_ms", (now - asked_at).count() } });
    schedule_pass();
}

void Scheduler::intend(JobRecord& job, Step& step, const std::vector<Share>& shares)
{
    const bool refill = step.spec->gang && step.placed() > 0;
    step.advice.retry_at = Millis(0);
    const int64_t run = refill ? step.gang_run : ++m_last_run;
    step.gang_run = run;
    auto share = shares.begin();
    int left = share->count;
    for (size_t i = 0; i < step.tasks.size(); ++i) {
        Task& task = step.tasks[i];
        if (task.phase != TaskPhase::waiting)
            continue;
        while (left == 0) {
            if (++share == shares.end())
                break;
            left = share->count;
        }
        if (share == shares.end())
            break;
        --left;
        Worker& worker = *find_worker(share->worker);
        task.phase = TaskPhase::intended;
        task.worker = share->worker;
        task.run = run;
        task.placed_at = m_parts.loop.now();
        const auto permission = step.advice.workers.find(share->worker);
        if (permission != step.advice.workers.end())
            task.ticket = permission->second.ticket;
        occupy(worker, { job.id(), step.repeat, step.index, static_cast<int>(i) }, run,
               *step.spec, job.accepted().queue.priority);
    }
    if (!job.begun) {
        const Millis waited = m_parts.loop.now() - job.seen();
        m_parts.metrics.observe_seconds(
            "pathport_first_start_wait_seconds", double(waited.count()) / 1000,
            { { "priority", std::to_string(job.accepted().queue.priority) } });
    }
    job.begun = true;
    record(job, [this, id = job.id(), repeat = step.repeat, index = step.index, run] {
        send_intended(id, repeat, index, run);
    });
    // The store is slow, and the head row says that orders may precede their record.
    if (m_log.unrecorded())
        send_intended(job.id(), step.repeat, step.index, run);
}

void Scheduler::send_intended(const std::string& id, int repeat, int index, int64_t run)
{
    JobRecord* job = find_job(id);
    Step* step = job == nullptr ? nullptr : job->step(repeat, index);
    if (step == nullptr)
        return;
    for (size_t i = 0; i < step->tasks.size(); ++i) {
        const Task& task = step->tasks[i];
        if (task.phase == TaskPhase::intended && task.run == run)
            start_task(*job, *step, static_cast<int>(i));
    }
}

void Scheduler::start_task(JobRecord& job, Step& step, int index)
{
    Task& task = step.tasks[static_cast<size_t>(index)];
    const TaskId id { job.id(), step.repeat, step.index, index };
    Worker* worker = find_worker(task.worker);
    const Millis now = m_parts.loop.now();
    bool ticket_good = true;
    if (job.accepted().queue.advice) {
        const auto permission = step.advice.workers.find(task.worker);
        ticket_good = permission != step.advice.workers.end()
            && ticket_holds(permission->second, now);
    }
    if (worker == nullptr || job.closed() || !may_order() || !ticket_good
        || !is_eligible(*worker, job, step)) {
        if (worker != nullptr)
            vacate(*worker, id, task.run);
        release(task);
        schedule_pass();
        return;
    }
    std::string checkpoint = task.checkpoint;
    if (step.spec->gang) {
        // Every member brings the same one.
        checkpoint.clear();
        for (const Task& member : step.tasks) {
            if (!member.checkpoint.empty()) {
                checkpoint = member.checkpoint;
                break;
            }
        }
    }
    task.phase = TaskPhase::starting;
    worker->session->start(id, task.run, job.accepted().spec.payload, checkpoint,
                           task.ticket,
                           m_lifetime.wrap([this, id, name = task.worker, run = task.run](
                                               StartResult result, OrderStatus status) {
                               start_ended(id, name, run, result, status);
                           }));
}

void Scheduler::start_ended(const TaskId& id, const std::string& name, int64_t run,
                            StartResult result, OrderStatus status)
{
    Worker* worker = find_worker(name);
    JobRecord* job = find_job(id.job);
    Task* task = job == nullptr ? nullptr : job->task(id);
    const bool present = task != nullptr && task->phase == TaskPhase::starting
        && task->run == run && task->worker == name;
    m_parts.metrics.count("pathport_starts_total", { { "outcome", to_string(status) } });
    log_event(LogLevel::info, "task_start",
              { { "job", id.job },
                { "task", id.to_string() },
                { "run", run },
                { "worker", name },
                { "outcome", to_string(status) },
                { "there", result == StartResult::running ? "yes" : "no" } });
    if (result == StartResult::not_started) {
        if (worker != nullptr)
            vacate(*worker, id, run);
        if (!present)
            return;
        Step& step = *job->step(id.repeat, id.step);
        if (status == OrderStatus::bad_ticket)
            step.advice.workers.erase(name);
        if (status == OrderStatus::declined && worker != nullptr)
            note_surprise(*worker, id.job);
        release(*task);
        schedule_pass();
        return;
    }
    if (present) {
        task->phase = TaskPhase::running;
        task->percent = 0;
        task->percent_at = m_parts.loop.now();
        if (!job->closed())
            return;
        task->phase = TaskPhase::stopping;
    }
    const bool ended_already
        = worker == nullptr || worker->occupants.count(id.to_string()) == 0;
    if (!ended_already && (task == nullptr || job->closed()))
        worker->session->stop(id, run);
}

} // namespace pathport::jobs
