// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/policy.h>

#include <pathport/ids.h>

namespace pathport {

uint64_t policy_class(const PolicyTask& task)
{
    const std::string fields = task.name + "/" + task.team + "/"
        + std::to_string(task.is_service) + "/" + std::to_string(task.priority) + "/"
        + std::to_string(task.stoppable) + "/" + std::to_string(task.resources.cpu_millis)
        + "/" + std::to_string(task.resources.memory_mb) + "/"
        + std::to_string(task.resources.accelerators);
    return stable_hash(fields);
}

double DefaultPolicy::rank(const PolicyTask& task) const
{
    return static_cast<double>(task.priority);
}

bool DefaultPolicy::may_share(const PolicyTask& /*task*/, const PolicyBox& /*box*/) const
{
    return true;
}

bool DefaultPolicy::may_stop(const PolicyTask& victim, const PolicyTask& task) const
{
    return victim.stoppable && !victim.is_service && task.priority >= urgent_priority
        && victim.priority < task.priority;
}

} // namespace pathport
