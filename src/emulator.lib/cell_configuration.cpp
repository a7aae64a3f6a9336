// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Detects nodes that apply a configuration too late or revert to an older one.

#include "node_process.h"

#include <pathport/emulator/cell.h>

#include <algorithm>

namespace pathport::emulator {

namespace {

constexpr Millis check_interval { 20 };
/// Time from the store's commit of a change until all nodes have to apply it (the
/// platform's `config_apply_ms`).
constexpr Millis apply_time { 2000 };
/// A node counts as in contact when it and the store were undisturbed for this long
/// (`contact_ms`). The two limits are not added: the later of both times applies.
constexpr Millis contact_time { 3000 };

} // namespace

void Cell::configure(const jobs::Configuration& configuration)
{
    store.configure(configuration);
    m_configurations.push_back({ configuration.version, world.now(),
                                 m_configurations.empty()
                                     ? std::vector<WorkspaceSetup>()
                                     : m_configurations.back().workspaces });
}

void Cell::drain_domain(const std::string& domain, bool drained)
{
    store.drain(domain, drained);
    if (drained)
        workers.note_drained(domain, world.now() + m_domain_drain_time);
    else
        workers.note_admitted(domain);
}

void Cell::note_contact_loss(Millis span)
{
    m_store_disturbance_end = std::max(m_store_disturbance_end, world.now() + span);
}

void Cell::note_contact_loss(const std::string& node, Millis span)
{
    Millis& until = m_node_disturbance_end[node];
    until = std::max(until, world.now() + span);
}

void Cell::watch_configurations()
{
    for (const auto& [name, process] : m_nodes) {
        if (process->loop.alive() && !process->loop.frozen())
            check_configuration(name, *process);
    }
    world.after(check_interval, [this] { watch_configurations(); });
}

Millis Cell::in_contact_since(const std::string& node, const NodeProcess& process) const
{
    const auto disturbance = m_node_disturbance_end.find(node);
    const Millis own
        = disturbance == m_node_disturbance_end.end() ? Millis(0) : disturbance->second;
    return std::max({ process.started, own, m_store_disturbance_end }) + contact_time;
}

int64_t Cell::required_version(const std::string& node, const NodeProcess& process) const
{
    int64_t required = 0;
    const Millis now = world.now();
    if (now <= in_contact_since(node, process))
        return required;
    for (const ConfigurationChange& change : m_configurations) {
        if (now > change.at + apply_time)
            required = std::max(required, change.version);
    }
    return required;
}

void Cell::check_configuration(const std::string& node, NodeProcess& process)
{
    const int64_t version = configuration_version(node);
    if (version < process.highest_version)
        record_configuration_violation(node, "reverts to", version,
                                       process.highest_version);
    process.highest_version = std::max(process.highest_version, version);
    const int64_t required = required_version(node, process);
    if (version >= required || required <= process.reported_version)
        return;
    process.reported_version = required; // Report it once.
    record_configuration_violation(node, "applies", version, required);
}

void Cell::record_configuration_violation(const std::string& node, const char* what,
                                          int64_t version, int64_t required)
{
    m_configuration_violations.push_back(std::to_string(world.now().count()) + ": " + node
                                         + " " + what + " configuration "
                                         + std::to_string(version) + " where version "
                                         + std::to_string(required) + " is required");
}

} // namespace pathport::emulator
