// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Detects stalled jobs, and cancelled jobs that keep running.

#include <pathport/emulator/cell.h>

#include <algorithm>

namespace pathport::emulator {

namespace {

constexpr Millis watch_interval { 250 };
/// A stall of this length is a violation.
constexpr Millis stall_limit { 3000 };
/// A stall counts only if the cell was undisturbed during it and for this long before.
constexpr Millis calm_period { 4000 };
/// Time after a disturbance until all nodes are in contact again (the platform's
/// `contact_ms`).
constexpr Millis contact_time { 3000 };
/// The tasks of a cancelled job have to end within these times (`cancel_ms` and
/// `kill_grace_ms`).
constexpr Millis cancel_time { 3000 };
constexpr Millis kill_grace { 400 };

} // namespace

void Cell::note_disturbance(Millis span, Millis settles_in)
{
    const Millis until = world.now() + span;
    m_disturbance_end = std::max(m_disturbance_end, until);
    m_settled_at = std::max(m_settled_at, until + settles_in);
}

void Cell::watch_jobs()
{
    check_jobs();
    world.after(watch_interval, [this] { watch_jobs(); });
}

void Cell::check_jobs()
{
    const bool calm = world.now() - m_settled_at >= calm_period;
    for (auto& [id, job] : m_jobs) {
        if (!calm)
            job.stalled_since = Millis(0);
        else
            check_stall(id, job);
        check_canceled(id, job);
    }
}

void Cell::check_canceled(const std::string& id, ClientJob& job)
{
    if (!job.canceled || !workers.has_running_task(id))
        return;
    const Millis calm_since = m_disturbance_end + contact_time;
    // The limits are not added: the later of both times applies.
    const Millis due = std::max(job.canceled_at + cancel_time, calm_since);
    if (world.now() <= due + kill_grace)
        return;
    m_liveness_violations.push_back(
        std::to_string(world.now().count()) + ": " + id + " is still running, cancelled at "
        + std::to_string(job.canceled_at.count()) + ", undisturbed since "
        + std::to_string(calm_since.count()));
    job.canceled_at = world.now() + Millis(1000000); // Report it once.
}

void Cell::check_stall(const std::string& id, ClientJob& job)
{
    const bool must_progress = job.accepted && !job.cancel_requested
        && !job_may_fail(id, job) && !has_crashing_tasks(job);
    if (!must_progress || !workers.is_stalled(id, int(job.step_models.size()))) {
        job.stalled_since = Millis(0);
        return;
    }
    if (job.stalled_since == Millis(0))
        job.stalled_since = world.now();
    if (world.now() - job.stalled_since < stall_limit)
        return;
    m_liveness_violations.push_back(std::to_string(world.now().count()) + ": " + id
                                    + " is stalled");
    job.stalled_since = world.now() + Millis(1000000); // Report it once.
}

// Jobs that crash workers are exempt from the liveness checks.
bool Cell::has_crashing_tasks(const ClientJob& job)
{
    return std::any_of(
        job.step_models.begin(), job.step_models.end(),
        [](const StepModel& step_model) { return step_model.crashing_task_count > 0; });
}

bool Cell::job_may_fail(const std::string& id, const ClientJob& job) const
{
    for (size_t step = 0; step < job.step_models.size(); ++step) {
        for (int i = 0; i < job.step_models[step].count; ++i) {
            if (workers.may_be_given_up({ id, 0, int(step), i }))
                return true;
        }
    }
    return false;
}

void Cell::check_lasting_tasks(const std::string& id, const ClientJob& job,
                               std::vector<std::string>& problems) const
{
    if (job.cancel_requested)
        return;
    for (size_t step = 0; step < job.step_models.size(); ++step) {
        if (!workers.has_allowed_worker(id, static_cast<int>(step)))
            continue;
        for (int i = 0; job.step_models[step].lasting && i < job.step_models[step].count;
             ++i) {
            const jobs::TaskId task { id, 0, int(step), i };
            if (!workers.is_running(task))
                problems.push_back(task.to_string()
                                   + " is a lasting task and is not running");
        }
    }
}

} // namespace pathport::emulator
