// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Clients with keys: who is admitted, who is denied, and who learns of whose jobs.

#include "node_process.h"

#include <pathport/emulator/cell.h>

#include <algorithm>

namespace pathport::emulator {

namespace {

using jobs::ClientStatus;

constexpr Millis client_limit { 3000 };
/// An earlier bound may be in force so long after it was changed, and after trouble
/// (`config_apply_ms` and `contact_ms`).
constexpr Millis apply_time { 2000 };
constexpr Millis contact_time { 3000 };

int64_t higher(int64_t left, int64_t right)
{
    return left == 0 || right == 0 ? 0 : std::max(left, right);
}

} // namespace

std::string ConfigurationChange::key_owner(const std::string& key) const
{
    for (const WorkspaceSetup& facts : workspaces) {
        if (std::count(facts.keys.begin(), facts.keys.end(), key) > 0)
            return facts.workspace.name;
    }
    return {};
}

void Cell::configure_workspaces(const std::vector<WorkspaceSetup>& workspaces)
{
    jobs::Configuration changed = store.configuration();
    ++changed.version;
    changed.workspaces.emplace(callers::KeyHasher(world.random_below(1000000000)));
    for (const WorkspaceSetup& facts : workspaces) {
        changed.workspaces->add(facts.workspace);
        for (const std::string& key : facts.keys)
            changed.workspaces->add_key(key);
    }
    workers.bound_of = [this](const std::string& name) { return highest_bound(name); };
    m_changes.push_back({ changed.version, world.now(), workspaces });
    store.configure(changed);
}

// Nothing but the newest configuration is in force in calm; in trouble and a while after it
// earlier ones may be.
Resources Cell::highest_bound(const std::string& workspace) const
{
    Millis trouble_until = m_core_trouble_until;
    for (const auto& [node, until] : m_node_trouble_until)
        trouble_until = std::max(trouble_until, until);
    const Millis now = world.now();
    std::optional<Resources> bound;
    for (size_t i = 0; i < m_changes.size(); ++i) {
        const bool newest = i + 1 == m_changes.size();
        const bool over = !newest && now > m_changes[i + 1].at + apply_time
            && now > trouble_until + contact_time;
        if (over)
            continue;
        Resources here;
        for (const WorkspaceSetup& facts : m_changes[i].workspaces) {
            if (facts.workspace.name == workspace)
                here = facts.workspace.bound;
        }
        if (!bound)
            bound = here;
        bound = Resources { higher(bound->cpu_millis, here.cpu_millis),
                            higher(bound->memory_mb, here.memory_mb),
                            higher(bound->accelerators, here.accelerators) };
    }
    return bound.value_or(Resources());
}

std::string Cell::name_of(const NodeProcess& process) const
{
    for (const auto& [name, other] : m_nodes) {
        if (other.get() == &process)
            return name;
    }
    return {};
}

callers::Caller Cell::caller_of(const ClientJob& job) const
{
    return job.workspace.empty() ? callers::Caller() : callers::Caller::of(job.workspace);
}

// Returns who calls, as the node finds it; nothing when the node turns the call away.
std::optional<callers::Caller> Cell::admit(const std::string& node, NodeProcess& process,
                                           const jobs::Queue& queue, const std::string& key)
{
    if (m_changes.back().workspaces.empty())
        return callers::Caller();
    const auto configuration = process.node->configuration();
    if (!configuration)
        return std::nullopt;
    const std::vector<std::string> headers
        = key.empty() ? std::vector<std::string>() : std::vector<std::string> { key };
    const callers::CallerCheck check
        = process.node->check_caller(*configuration, queue, callers::PresentedKey(headers));
    check_admission(node, process, key, check);
    if (check.verdict != callers::CallerVerdict::admitted)
        return std::nullopt;
    return check.caller;
}

// What any configuration allows from the one that the node owes on to the newest is right.
void Cell::check_admission(const std::string& node, NodeProcess& process,
                           const std::string& key, const callers::CallerCheck& check)
{
    const int64_t owed = owed_version(node, process);
    std::set<std::string> holders;
    bool ever_held = false;
    for (const ConfigurationChange& change : m_changes) {
        const std::string holder = change.key_owner(key);
        ever_held = ever_held || !holder.empty();
        if (change.version >= owed && !change.workspaces.empty())
            holders.insert(holder);
    }
    const std::string& workspace = check.caller.workspace();
    if (check.verdict == callers::CallerVerdict::admitted
        && check.caller.workspaces_enabled()) {
        if (!ever_held)
            workers.note_violation(node + " admits the key " + key + " of nobody");
        else if (holders.count(workspace) == 0)
            workers.note_violation(node + " takes the key " + key + " for one of "
                                   + workspace);
    }
    if (check.verdict == callers::CallerVerdict::denied && holders.count("") == 0)
        workers.note_violation(node + " denies the key " + key + ", which is there");
}

void Cell::attempt_foreign_access(const std::string& id, const std::string& key)
{
    NodeProcess* process = any_running();
    // An id that nobody has handed in yet would become the other's.
    if (process == nullptr || m_jobs.count(id) == 0 || !m_jobs[id].accepted)
        return;
    const ClientJob& job = m_jobs[id];
    const auto caller = admit(name_of(*process), *process, job.queue, key);
    if (!caller || !caller->workspaces_enabled() || caller->workspace() == job.workspace
        || job.workspace.empty())
        return;
    const auto status_right = [](ClientStatus status) {
        return status != ClientStatus::ok && status != ClientStatus::id_taken;
    };
    process->node->query(
        id, world.now(), client_limit,
        [this, id, status_right](ClientStatus status, jobs::JobState) {
            if (!status_right(status))
                workers.note_violation("another workspace is told of " + id);
        },
        *caller);
    process->node->cancel(
        id, world.now(), client_limit,
        [this, id, status_right](ClientStatus status) {
            if (!status_right(status))
                workers.note_violation("another workspace cancels " + id);
        },
        *caller);
    process->node->submit(
        job.queue, id, job.spec, world.now(), client_limit,
        [this, id](ClientStatus status) {
            if (status == ClientStatus::ok && m_jobs[id].accepted)
                workers.note_violation("another workspace hands in " + id);
        },
        *caller);
}

} // namespace pathport::emulator
