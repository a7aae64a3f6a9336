// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Jobs that could run and don't, and cancelled ones that run on.

#include <pathport/emulator/cell.h>

#include <algorithm>

namespace pathport::emulator {

namespace {

constexpr Millis watch_interval { 250 };
/// A job that stands for so long is a breach.
constexpr Millis longest_stand { 3000 };
/// So long before it, and during it, nothing may have disturbed the cell.
constexpr Millis calm_before { 4000 };
/// All nodes are in touch again so long after a disturbance (the platform's `contact_ms`).
constexpr Millis contact_time { 3000 };
/// A task of a cancelled job has ended so long after that (`cancel_ms`, `kill_grace_ms`).
constexpr Millis cancel_time { 3000 };
constexpr Millis kill_grace { 400 };

} // namespace

void Cell::note_disturbance(Millis span, Millis settles_in)
{
    const Millis until = world.now() + span;
    m_trouble_until = std::max(m_trouble_until, until);
    m_disturbed_until = std::max(m_disturbed_until, until + settles_in);
}

void Cell::watch_jobs()
{
    look_at_jobs();
    world.after(watch_interval, [this] { watch_jobs(); });
}

void Cell::look_at_jobs()
{
    const bool calm = world.now() - m_disturbed_until >= calm_before;
    for (auto& [id, job] : m_jobs) {
        if (!calm)
            job.stalled_since = Millis(0);
        else
            look_at_job(id, job);
        look_at_canceled(id, job);
    }
}

void Cell::look_at_canceled(const std::string& id, ClientJob& job)
{
    if (!job.canceled || !workers.has_running_task(id))
        return;
    const Millis calm_since = m_trouble_until + contact_time;
    // The times don't add up: the later of both moments counts.
    const Millis due = std::max(job.canceled_at + cancel_time, calm_since);
    if (world.now() <= due + kill_grace)
        return;
    m_standing.push_back(std::to_string(world.now().count()) + ": " + id
                         + " runs on, cancelled at "
                         + std::to_string(job.canceled_at.count()) + ", calm since "
                         + std::to_string(calm_since.count()));
    job.canceled_at = world.now() + Millis(1000000); // Told once.
}

void Cell::look_at_job(const std::string& id, ClientJob& job)
{
    const bool owed
        = job.accepted && !job.cancel_requested && !is_spent(id, job) && !has_crashers(job);
    if (!owed || !workers.is_stalled(id, int(job.facts.size()))) {
        job.stalled_since = Millis(0);
        return;
    }
    if (job.stalled_since == Millis(0))
        job.stalled_since = world.now();
    if (world.now() - job.stalled_since < longest_stand)
        return;
    m_standing.push_back(std::to_string(world.now().count()) + ": " + id
                         + " could run and doesn't");
    job.stalled_since = world.now() + Millis(1000000); // Told once.
}

// A job that crashes workers may wait: it earns nothing.
bool Cell::has_crashers(const ClientJob& job)
{
    return std::any_of(job.facts.begin(), job.facts.end(), [](const StepModel& facts) {
        return facts.crashing_task_count > 0;
    });
}

bool Cell::is_spent(const std::string& id, const ClientJob& job) const
{
    for (size_t step = 0; step < job.facts.size(); ++step) {
        for (int i = 0; i < job.facts[step].count; ++i) {
            if (workers.may_be_given_up({ id, 0, int(step), i }))
                return true;
        }
    }
    return false;
}

void Cell::check_lasting(const std::string& id, const ClientJob& job,
                         std::vector<std::string>& wrong) const
{
    if (job.cancel_requested)
        return;
    for (size_t step = 0; step < job.facts.size(); ++step) {
        for (int i = 0; job.facts[step].lasting && i < job.facts[step].count; ++i) {
            const jobs::TaskId task { id, 0, int(step), i };
            if (!workers.is_running(task))
                wrong.push_back(task.to_string() + " lasts and doesn't run");
        }
    }
}

} // namespace pathport::emulator
