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
/// A ticket is not used in the last part of its life.
constexpr Millis ticket_margin { 250 };
constexpr Millis advice_retry { 150 };
/// Workers named in one question.
constexpr int least_asked = 6;
constexpr int most_asked = 30;
/// Asked for beyond what is needed on average, since the advisor's choice varies.
constexpr double asked_reserve = 1.5;
constexpr double first_allowed_share = 0.5;
constexpr double share_learning = 0.1;
/// A member of a gang may be placed again so long after the others.
constexpr Millis gang_refill_time { 1800 };

std::string step_name(const JobRecord& job, const Step& step)
{
    return job.id() + "." + std::to_string(step.repeat) + "." + std::to_string(step.index);
}

bool ticket_holds(const Permission& permission, Millis now)
{
    return permission.allowed && now < permission.expires;
}

} // namespace

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
    ++m_counters.passes;
    m_reserved.clear();
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
    const auto key = [](const Candidate& candidate) {
        return std::make_tuple(candidate.job->accepted().queue.priority,
                               candidate.job->accepted().accepted_ms);
    };
    std::stable_sort(found.begin(), found.end(),
                     [&](const Candidate& left, const Candidate& right) {
                         return key(left) < key(right);
                     });
    return found;
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
    // A worker that surprised lately gets nothing for a while, and then one task at a time.
    if (worker.surprises >= 2) {
        const bool rests = m_parts.loop.now() < worker.avoid_until;
        room.at_most = rests || !worker.occupants.empty() ? 0 : 1;
    }
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
    if (fit < needed && job.accepted().queue.advice)
        ask_advice(job, step, needed);
    if (step.spec->gang && fit < needed) {
        reserve_for(job, step, needed);
        return false;
    }
    if (fit == 0)
        return false;
    const std::vector<Share> shares
        = choose_workers(*step.spec, needed, step.spec->gang, rooms);
    if (shares.empty())
        return false;
    intend(job, step, shares);
    return true;
}

// Keeps workers free of what comes after a gang that waits for room: those that it may use
// and that would hold the most of its members once less urgent tasks there have ended.
void Scheduler::reserve_for(const JobRecord& job, const Step& step, int needed)
{
    const std::string key = step_name(job, step);
    const int priority = job.accepted().queue.priority;
    std::vector<std::pair<int, std::string>> rooms;
    for (const auto& [id, worker] : m_workers) {
        if (!is_eligible(worker, job, step) || m_reserved.count(id) > 0)
            continue;
        if (job.accepted().queue.advice) {
            const auto known = step.advice.workers.find(id);
            if (known == step.advice.workers.end() || !known->second.allowed)
                continue;
        }
        WorkerRoom room = room_on(worker, key);
        for (const auto& [task, occupant] : worker.occupants) {
            if (occupant.priority > priority)
                room.free = room.free + occupant.need;
        }
        const int fit = tasks_that_fit(*step.spec, room);
        if (fit > 0)
            rooms.emplace_back(fit, id);
    }
    std::stable_sort(rooms.begin(), rooms.end(), [](const auto& left, const auto& right) {
        return left.first > right.first;
    });
    int reserved = 0;
    for (const auto& [fit, id] : rooms) {
        if (reserved >= needed)
            break;
        m_reserved.insert(id);
        reserved += fit;
    }
}

// Asks again about workers that are known to be allowed if they have the room; else about
// further ones.
void Scheduler::ask_advice(const JobRecord& job, Step& step, int needed)
{
    const Millis now = m_parts.loop.now();
    StepAdvice& advice = step.advice;
    if (advice.asking || now < advice.retry_at)
        return;
    const std::string key = step_name(job, step);
    std::vector<std::pair<int, std::string>> allowed;
    std::vector<std::pair<int, std::string>> unasked;
    int allowed_fit = 0;
    for (const auto& [id, worker] : m_workers) {
        if (!is_eligible(worker, job, step))
            continue;
        const int fit = std::min(needed, tasks_that_fit(*step.spec, room_on(worker, key)));
        if (fit == 0)
            continue;
        const auto known = advice.workers.find(id);
        if (known == advice.workers.end()) {
            unasked.emplace_back(fit, id);
        } else if (known->second.allowed) {
            allowed.emplace_back(fit, id);
            allowed_fit += fit;
        }
    }
    const auto roomiest = [](const auto& left, const auto& right) {
        return left.first > right.first;
    };
    std::stable_sort(allowed.begin(), allowed.end(), roomiest);
    std::stable_sort(unasked.begin(), unasked.end(), roomiest);
    AdviceQuestion question;
    const bool enough = allowed_fit >= needed || (unasked.empty() && !step.spec->gang);
    if (enough) {
        int fit = 0;
        for (const auto& [room, id] : allowed) {
            question.workers.push_back(id);
            fit += room;
            if (fit >= needed + 2 || question.workers.size() >= size_t(most_asked))
                break;
        }
    } else {
        const std::string& queue = job.accepted().queue.name;
        const double share
            = m_allowed_share.try_emplace(queue, first_allowed_share).first->second;
        double expected = allowed_fit;
        const double wanted = asked_reserve * needed;
        for (const auto& [room, id] : unasked) {
            if (question.workers.size() >= size_t(most_asked)
                || (expected >= wanted && question.workers.size() >= size_t(least_asked)))
                break;
            question.workers.push_back(id);
            expected += share * room;
        }
    }
    if (question.workers.empty())
        return;
    question.step = key;
    question.rule = *job.accepted().queue.advice;
    question.priority = job.accepted().queue.priority;
    advice.asking = true;
    auto came = m_lifetime.wrap([this, id = job.id(), repeat = step.repeat,
                                 index = step.index, asked = question.workers,
                                 now](const AdviceReply& reply) {
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
    double& share = m_allowed_share[job->accepted().queue.name];
    const double seen = double(reply.tickets->size()) / double(asked.size());
    share += share_learning * (seen - share);
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
        occupy(worker, { job.id(), step.repeat, step.index, static_cast<int>(i) },
               *step.spec, job.accepted().queue.priority);
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
            vacate(*worker, id);
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
    ++m_counters.starts;
    worker->session->start(id, task.run, job.accepted().spec.payload, checkpoint, task.ticket,
                           m_lifetime.wrap([this, id, name = task.worker,
                                            run = task.run](StartResult result,
                                                            OrderStatus status) {
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
    log_event(LogLevel::info, "task_start",
              { { "job", id.job },
                { "task", id.to_string() },
                { "run", run },
                { "worker", name },
                { "outcome", to_string(status) },
                { "there", result == StartResult::running ? "yes" : "no" } });
    if (result == StartResult::not_started) {
        ++m_counters.starts_refused;
        if (worker != nullptr && (present || task == nullptr || !task->placed()))
            vacate(*worker, id);
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
    const bool ended_already = worker == nullptr || worker->occupants.count(id.to_string()) == 0;
    if (!ended_already && (task == nullptr || job->closed()))
        worker->session->stop(id, run);
}

} // namespace pathport::jobs
