// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Preemption: a gang that would be late otherwise takes the place of less urgent tasks
/// whose progress is kept.

#include "scheduler.h"

#include <pathport/log.h>

#include <algorithm>

namespace pathport::jobs {

namespace {

/// A gang that can wait for longer than this does so.
constexpr int64_t patient_slack_ms = 4000;

} // namespace

std::vector<Scheduler::Victim> Scheduler::victims_on(const Worker& worker, int priority)
{
    std::vector<Victim> victims;
    for (const auto& [name, occupant] : worker.occupants) {
        const auto id = TaskId::parse(name);
        JobRecord* job = id ? find_job(id->job) : nullptr;
        Task* task = job == nullptr ? nullptr : job->task(*id);
        const bool stoppable = task != nullptr && occupant.priority > priority
            && task->phase == TaskPhase::running && task->run == occupant.run;
        if (!stoppable)
            continue;
        const StepSpec& spec = *job->step(id->repeat, id->step)->spec;
        if (spec.saves_progress && !spec.gang && !spec.lasting)
            victims.push_back({ *id, task, occupant.need });
    }
    return victims;
}

// Stops tasks on the workers that are kept for the gang, if that makes enough room there.
// Returns whether the room will come.
bool Scheduler::make_room(const JobRecord& job, const Step& step,
                          const std::vector<Prospect>& kept, int needed)
{
    const int priority = job.accepted().queue.priority;
    const int64_t slack = slack_ms(*find_job(job.id()), m_parts.store_clock_ms());
    if (slack < 0 || slack > patient_slack_ms)
        return false;
    std::vector<std::pair<Worker*, Victim>> chosen;
    int fit = 0;
    for (const Prospect& prospect : kept) {
        Worker& worker = *find_worker(prospect.worker);
        WorkerRoom room = room_on(worker, step.name(job.id()));
        int here = tasks_that_fit(*step.spec, room);
        for (const Victim& victim : victims_on(worker, priority)) {
            const int wanted = std::min(prospect.later_fit, needed - fit);
            if (here >= wanted)
                break;
            room.free = room.free + victim.need;
            here = tasks_that_fit(*step.spec, room);
            chosen.emplace_back(&worker, victim);
        }
        fit += here;
    }
    if (fit < needed)
        return false;
    for (const auto& [worker, victim] : chosen) {
        worker->session->stop(victim.id, victim.task->run);
        victim.task->phase = TaskPhase::stopping;
    }
    log_event(LogLevel::info, "preempted",
              { { "job", job.id() },
                { "stopped", static_cast<int64_t>(chosen.size()) },
                { "slack_ms", slack } });
    m_parts.metrics.count("pathport_preemptions_total", {}, double(chosen.size()));
    return true;
}

} // namespace pathport::jobs
