// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Clients with API keys: checks of admission and of isolation between workspaces.

#include "node_process.h"

#include <pathport/emulator/cell.h>

#include <algorithm>

namespace pathport::emulator {

namespace {

using jobs::ClientStatus;

constexpr Millis client_limit { 3000 };
/// An earlier bound may be in force for apply_time after a change (`config_apply_ms`), and
/// for contact_time after a disturbance (`contact_ms`).
constexpr Millis apply_time { 2000 };
constexpr Millis contact_time { 3000 };

int64_t higher(int64_t left, int64_t right)
{
    return left == 0 || right == 0 ? 0 : std::max(left, right);
}

} // namespace

// The delay is determined when the reply is sent, as by the server that sets Retry-After.
void Cell::note_refusal(const NodeProcess& process, const std::string& id)
{
    ClientJob& job = m_jobs[id];
    ++job.refusals;
    job.retry_after = process.node->retry_after_refusal(job.queue, job.spec, id);
}

std::string ConfigurationChange::key_owner(const std::string& key) const
{
    for (const WorkspaceSetup& setup : workspaces) {
        if (std::count(setup.keys.begin(), setup.keys.end(), key) > 0)
            return setup.workspace.name;
    }
    return {};
}

void Cell::configure_workspaces(const std::vector<WorkspaceSetup>& workspaces)
{
    jobs::Configuration changed = store.configuration();
    ++changed.version;
    changed.workspaces.emplace(callers::KeyHasher(world.random_below(1000000000)));
    for (const WorkspaceSetup& setup : workspaces) {
        changed.workspaces->add(setup.workspace);
        for (const std::string& key : setup.keys)
            changed.workspaces->add_key(key);
    }
    workers.bound_of = [this](const std::string& name) { return highest_bound(name); };
    m_configurations.push_back({ changed.version, world.now(), workspaces });
    store.configure(changed);
}

// Only the newest configuration may be in force, except during and shortly after a
// disturbance, when earlier ones may be as well.
Resources Cell::highest_bound(const std::string& workspace) const
{
    Millis disturbed_until = m_store_disturbance_end;
    for (const auto& [node, until] : m_node_disturbance_end)
        disturbed_until = std::max(disturbed_until, until);
    const Millis now = world.now();
    std::optional<Resources> bound;
    for (size_t i = 0; i < m_configurations.size(); ++i) {
        const bool newest = i + 1 == m_configurations.size();
        const bool superseded = !newest && now > m_configurations[i + 1].at + apply_time
            && now > disturbed_until + contact_time;
        if (superseded)
            continue;
        Resources bound_here;
        for (const WorkspaceSetup& setup : m_configurations[i].workspaces) {
            if (setup.workspace.name == workspace)
                bound_here = setup.workspace.bound;
        }
        if (!bound)
            bound = bound_here;
        bound = Resources { higher(bound->cpu_millis, bound_here.cpu_millis),
                            higher(bound->memory_mb, bound_here.memory_mb),
                            higher(bound->accelerators, bound_here.accelerators) };
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

// Returns the caller as the node identifies it, or nothing when it denies the call.
std::optional<callers::Caller> Cell::admit(const std::string& node, NodeProcess& process,
                                           const jobs::Queue& queue, const std::string& key)
{
    if (m_configurations.back().workspaces.empty())
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

// The node may follow any configuration from the required version to the newest.
void Cell::check_admission(const std::string& node, NodeProcess& process,
                           const std::string& key, const callers::CallerCheck& check)
{
    const int64_t required = required_version(node, process);
    std::set<std::string> owners;
    bool ever_owned = false;
    for (const ConfigurationChange& change : m_configurations) {
        const std::string owner = change.key_owner(key);
        ever_owned = ever_owned || !owner.empty();
        if (change.version >= required && !change.workspaces.empty())
            owners.insert(owner);
    }
    const std::string& workspace = check.caller.workspace();
    if (check.verdict == callers::CallerVerdict::admitted
        && check.caller.workspaces_enabled()) {
        if (!ever_owned)
            workers.note_violation(node + " admits the key " + key
                                   + ", which no workspace has ever owned");
        else if (owners.count(workspace) == 0)
            workers.note_violation(node + " attributes the key " + key
                                   + " to the wrong workspace " + workspace);
    }
    if (check.verdict == callers::CallerVerdict::denied && owners.count("") == 0)
        workers.note_violation(node + " denies the key " + key + ", which is valid");
}

void Cell::attempt_foreign_access(const std::string& id, const std::string& key)
{
    NodeProcess* process = random_running_node();
    // An id that is not in use yet would be taken by the other workspace.
    if (process == nullptr || m_jobs.count(id) == 0 || !m_jobs[id].accepted)
        return;
    const ClientJob& job = m_jobs[id];
    const auto caller = admit(name_of(*process), *process, job.queue, key);
    if (!caller || !caller->workspaces_enabled() || caller->workspace() == job.workspace
        || job.workspace.empty())
        return;
    const auto is_denied = [](ClientStatus status) {
        return status != ClientStatus::ok && status != ClientStatus::id_taken;
    };
    process->node->query(
        id, world.now(), client_limit,
        [this, id, is_denied](ClientStatus status, jobs::JobState) {
            if (!is_denied(status))
                workers.note_violation("another workspace can query " + id);
        },
        *caller);
    process->node->cancel(
        id, world.now(), client_limit,
        [this, id, is_denied](ClientStatus status) {
            if (!is_denied(status))
                workers.note_violation("another workspace can cancel " + id);
        },
        *caller);
    process->node->submit(
        job.queue, id, job.spec, world.now(), client_limit,
        [this, id](ClientStatus status) {
            if (status == ClientStatus::ok && m_jobs[id].accepted)
                workers.note_violation("another workspace can submit " + id);
        },
        *caller);
}

} // namespace pathport::emulator
