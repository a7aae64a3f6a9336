// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Workers that are lost with what ran there.

#include "scheduler.h"

#include <pathport/log.h>

namespace pathport::jobs {

namespace {

/// Tasks that are named in the log for one lost worker.
constexpr int most_told = 24;

} // namespace

// Returns for how long the run is known to have been there before its worker was lost;
// nothing if an earlier leader started it.
std::optional<Millis> Scheduler::lived(const Worker& worker, const Task& task)
{
    if (task.adopted || task.phase == TaskPhase::in_doubt)
        return std::nullopt;
    return std::max(Millis(0), worker.session->known_as_of() - task.placed_at);
}

// Tells which tasks went down with the worker: what crashed it is among them, if one did.
void Scheduler::tell_of_lost(const Worker& worker, const char* reason)
{
    int told = 0;
    for (const auto& [name, occupant] : worker.load.occupants()) {
        const auto id = TaskId::parse(name);
        JobRecord* job = id ? find_job(id->job) : nullptr;
        const Task* task = job == nullptr ? nullptr : job->task(*id);
        const bool there = task != nullptr && task->placed() && task->run == occupant.run
            && task->phase != TaskPhase::intended;
        if (!there || ++told > most_told)
            continue;
        const auto span = lived(worker, *task);
        log_event(LogLevel::info, "task_lost_with_worker",
                  { { "job", id->job },
                    { "task", name },
                    { "run", occupant.run },
                    { "worker", worker.session->id() },
                    { "reason", reason },
                    { "listed", worker.listed ? "yes" : "no" },
                    { "lived_ms", span ? span->count() : -1 } });
    }
}

} // namespace pathport::jobs
