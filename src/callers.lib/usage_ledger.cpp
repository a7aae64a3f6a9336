// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/callers/usage_ledger.h>

namespace pathport::callers {

UsageLedger::UsageLedger()
    : m_entries(2)
{
    m_numbers[""] = none;
}

WorkspaceNumber UsageLedger::number_of(const std::string& workspace)
{
    const auto [entry, added] = m_numbers.try_emplace(workspace, m_entries.size());
    if (added) {
        m_entries.emplace_back();
        m_entries.back().name = workspace;
    }
    return entry->second;
}

const std::string& UsageLedger::name_of(WorkspaceNumber workspace) const
{
    return m_entries[workspace].name;
}

void UsageLedger::configure(const Workspaces& workspaces)
{
    for (Entry& entry : m_entries) {
        entry.bound = Resources();
        entry.weight = 1;
    }
    for (const Workspace& workspace : workspaces.all()) {
        Entry& entry = m_entries[number_of(workspace.name)];
        entry.bound = workspace.bound;
        entry.weight = workspace.weight;
    }
}

const Resources& UsageLedger::bound_of(WorkspaceNumber workspace) const
{
    return m_entries[workspace].bound;
}

double UsageLedger::weight_of(WorkspaceNumber workspace) const
{
    return m_entries[workspace].weight;
}

void UsageLedger::charge(WorkspaceNumber workspace, const Resources& need)
{
    Resources& charged = m_entries[workspace].charged;
    charged = charged + need;
}

void UsageLedger::discharge(WorkspaceNumber workspace, const Resources& need)
{
    Resources& charged = m_entries[workspace].charged;
    charged = charged - need;
}

void UsageLedger::clear_in_doubt()
{
    for (Entry& entry : m_entries)
        entry.in_doubt = Resources();
}

void UsageLedger::add_in_doubt(WorkspaceNumber workspace, const Resources& need)
{
    Resources& in_doubt_sum = m_entries[workspace].in_doubt;
    in_doubt_sum = in_doubt_sum + need;
}

Resources UsageLedger::running(WorkspaceNumber workspace) const
{
    const Entry& entry = m_entries[workspace];
    return entry.charged + entry.in_doubt;
}

bool UsageLedger::is_bounded(WorkspaceNumber workspace) const
{
    const Resources& bound = m_entries[workspace].bound;
    return bound.cpu_millis > 0 || bound.memory_mb > 0 || bound.accelerators > 0;
}

Resources UsageLedger::available(const Entry& entry) const
{
    const Entry& anybody = m_entries[unknown];
    return entry.bound - entry.charged - entry.in_doubt - entry.reserved - anybody.charged
        - anybody.in_doubt;
}

int UsageLedger::tasks_allowed(WorkspaceNumber workspace, const Resources& need,
                               int max_count) const
{
    const Entry& entry = m_entries[workspace];
    return tasks_that_fit(need, available(entry), entry.bound, max_count);
}

void UsageLedger::clear_reservations()
{
    for (Entry& entry : m_entries)
        entry.reserved = Resources();
}

void UsageLedger::reserve(WorkspaceNumber workspace, const Resources& need)
{
    Resources& reserved_sum = m_entries[workspace].reserved;
    reserved_sum = reserved_sum + need;
}

} // namespace pathport::callers
