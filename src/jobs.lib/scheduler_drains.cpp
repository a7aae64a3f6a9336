// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Workers that get no new tasks: those that leave, and those of failure domains that the
/// operators drain.

#include "scheduler.h"

namespace pathport::jobs {

bool Scheduler::accepts_tasks(const Worker& worker) const
{
    const WorkerInfo& info = worker.session->info();
    return worker.listed && worker.session->usable() && !info.draining
        && !is_domain_drained(info.zone);
}

void Scheduler::drains_changed()
{
    refresh_drains();
    m_capacity_refreshed_at = Millis(0);
    schedule_pass();
}

void Scheduler::refresh_drains()
{
    static const auto none_drained = std::make_shared<const DrainedDomains>();
    m_drains = m_context.drains ? m_context.drains() : none_drained;
}

// While it is not known recently enough which domains are drained, all count as drained.
bool Scheduler::is_domain_drained(const std::string& domain) const
{
    return !m_drains || m_drains->contains(domain);
}

} // namespace pathport::jobs
