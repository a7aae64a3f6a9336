// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Nodes that go by an older configuration than they may, and such that go back to one.

#include "node_process.h"

#include <pathport/emulator/cell.h>

#include <algorithm>

namespace pathport::emulator {

namespace {

constexpr Millis look_interval { 20 };
/// A change is in force everywhere so long after the store has taken it (the platform's
/// `config_apply_ms`).
constexpr Millis apply_time { 2000 };
/// A node is in touch when it and the store were free of trouble for so long
/// (`contact_ms`). The two times don't add up: the later of both moments counts.
constexpr Millis contact_time { 3000 };

} // namespace

void Cell::configure(const jobs::Configuration& configuration)
{
    store.configure(configuration);
    m_changes.push_back({ configuration.version, world.now(),
                          m_changes.empty() ? std::vector<WorkspaceSetup>()
                                            : m_changes.back().workspaces });
}

void Cell::note_contact_loss(Millis span)
{
    m_core_trouble_until = std::max(m_core_trouble_until, world.now() + span);
}

void Cell::note_contact_loss(const std::string& node, Millis span)
{
    Millis& until = m_node_trouble_until[node];
    until = std::max(until, world.now() + span);
}

void Cell::watch_configurations()
{
    for (const auto& [name, process] : m_nodes) {
        if (process->loop.alive() && !process->loop.frozen())
            look_at_configuration(name, *process);
    }
    world.after(look_interval, [this] { watch_configurations(); });
}

Millis Cell::in_touch_since(const std::string& node, const NodeProcess& process) const
{
    const auto trouble = m_node_trouble_until.find(node);
    const Millis own = trouble == m_node_trouble_until.end() ? Millis(0) : trouble->second;
    return std::max({ process.started, own, m_core_trouble_until }) + contact_time;
}

int64_t Cell::owed_version(const std::string& node, const NodeProcess& process) const
{
    int64_t owed = 0;
    const Millis now = world.now();
    if (now <= in_touch_since(node, process))
        return owed;
    for (const ConfigurationChange& change : m_changes) {
        if (now > change.at + apply_time)
            owed = std::max(owed, change.version);
    }
    return owed;
}

void Cell::look_at_configuration(const std::string& node, NodeProcess& process)
{
    const int64_t version = configuration_version(node);
    if (version < process.seen_version)
        note_configuration(node, "goes back to", version, process.seen_version);
    process.seen_version = std::max(process.seen_version, version);
    const int64_t owed = owed_version(node, process);
    if (version >= owed || owed <= process.told_version)
        return;
    process.told_version = owed; // Told once.
    note_configuration(node, "goes by", version, owed);
}

void Cell::note_configuration(const std::string& node, const char* what, int64_t version,
                              int64_t owed)
{
    m_late_configurations.push_back(std::to_string(world.now().count()) + ": " + node + " "
                                    + what + " configuration " + std::to_string(version)
                                    + " where " + std::to_string(owed)
                                    + " has to be in force");
}

} // namespace pathport::emulator
