// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Checks the running resources of workspaces against the bounds that may be in force.

#include <pathport/emulator/workers.h>

namespace pathport::emulator {

namespace {

/// A start is a violation when the running total exceeds the bound by more than a tenth of
/// it plus one task.
constexpr int64_t overage_divisor = 10;

bool exceeds(int64_t running, int64_t bound, int64_t need)
{
    return bound > 0 && need > 0 && running > bound + bound / overage_divisor + need;
}

bool is_half(int64_t running, int64_t bound)
{
    return bound > 0 && 2 * running >= bound;
}

std::string text_of(const Resources& sum)
{
    return std::to_string(sum.cpu_millis) + "/" + std::to_string(sum.memory_mb) + "/"
        + std::to_string(sum.accelerators);
}

} // namespace

void Workers::set_owner(const std::string& job, const std::string& workspace)
{
    m_owners[job] = workspace;
}

const std::string& Workers::workspace_of(const std::string& job) const
{
    static const std::string none;
    const auto found = m_owners.find(job);
    return found == m_owners.end() ? none : found->second;
}

Resources Workers::running_for(const std::string& workspace) const
{
    Resources sum;
    for (const auto& [id, incarnation] : m_incarnations) {
        if (!incarnation.up)
            continue;
        for (const auto& [name, run] : incarnation.running) {
            if (workspace_of(run.task.job) == workspace)
                sum = sum + model_of(run.task).need;
        }
    }
    return sum;
}

void Workers::check_bound(const jobs::TaskId& started)
{
    const std::string& workspace = workspace_of(started.job);
    if (workspace.empty() || !bound_of)
        return;
    const Resources bound = bound_of(workspace);
    const Resources need = model_of(started).need;
    const Resources running = running_for(workspace);
    const bool over = exceeds(running.cpu_millis, bound.cpu_millis, need.cpu_millis)
        || exceeds(running.memory_mb, bound.memory_mb, need.memory_mb)
        || exceeds(running.accelerators, bound.accelerators, need.accelerators);
    if (over)
        note_violation("bound " + text_of(bound) + " of " + workspace + " exceeded by "
                       + started.to_string() + ", running total " + text_of(running));
}

bool Workers::fits_in_bound(const std::string& job, const Resources& need, int count) const
{
    const std::string& workspace = workspace_of(job);
    if (workspace.empty() || !bound_of)
        return true;
    const Resources bound = bound_of(workspace);
    const auto fits = [count](int64_t each, int64_t limit) {
        return limit <= 0 || each * count <= limit;
    };
    return fits(need.cpu_millis, bound.cpu_millis) && fits(need.memory_mb, bound.memory_mb)
        && fits(need.accelerators, bound.accelerators);
}

bool Workers::uses_half_of_bound(const std::string& job) const
{
    const std::string& workspace = workspace_of(job);
    if (workspace.empty() || !bound_of)
        return false;
    const Resources bound = bound_of(workspace);
    const Resources running = running_for(workspace);
    return is_half(running.cpu_millis, bound.cpu_millis)
        || is_half(running.memory_mb, bound.memory_mb)
        || is_half(running.accelerators, bound.accelerators);
}

} // namespace pathport::emulator
