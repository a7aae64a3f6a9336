// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a node exchanges with its peers beside requests: heartbeats that carry load, and
/// the configuration when the table can't be read. Also the reading of the box list.

#include "audit_archive.h"
#include "node.h"

#include <pathport/admission.h>
#include <pathport/log.h>

#include <algorithm>
#include <map>

namespace pathport {

namespace {
constexpr Millis box_list_pause { 1000 };
constexpr Millis audit_pause { 60000 };
constexpr Millis load_pause { 250 }; ///< Between looks at this node's own load.
} // namespace

Beat Node::make_own_beat(const std::string& to)
{
    const NodeRecord self = m_cell.self();
    Beat beat;
    beat.node = self.node;
    beat.incarnation = self.incarnation;
    beat.region = self.region;
    beat.config_revision = m_config.snapshot()->revision;
    beat.known = m_cell.known_version(to);
    const std::lock_guard<std::mutex> lock(m_load_mutex);
    m_own_load.fill(beat, m_cell.version_known_to(to));
    return beat;
}

void Node::update_own_load()
{
    std::vector<ShardSummary> shards = m_keeper.summaries();
    for (ShardSummary& shard : shards) {
        std::vector<ServiceLoad> loads = m_dispatcher.loads(shard.shard);
        for (const ServiceLoad& refused : shard.services) {
            const auto same
                = std::find_if(loads.begin(), loads.end(), [&](const auto& load) {
                      return load.service == refused.service;
                  });
            if (same == loads.end())
                loads.push_back(refused);
            else
                same->refused = refused.refused;
        }
        shard.services = loads;
    }
    m_cell.set_own(shards);
    const NodeRecord self = m_cell.self();
    for (const auto& row : m_cell.shard_rows()) {
        const ShardRecord& record = row.second.record;
        if (!admission_range_of(row.first) || record.owner != self.node
            || record.owner_incarnation != self.incarnation)
            continue;
        ShardSummary summary;
        summary.shard = row.first;
        summary.epoch = record.epoch;
        shards.push_back(summary);
    }
    const std::lock_guard<std::mutex> lock(m_load_mutex);
    m_own_load.update(shards, m_keeper.team_use());
}

void Node::beat_peers()
{
    // The peers' nodes by address; a seed's is not known before it answers.
    std::map<std::string, std::string> peers;
    for (const std::string& seed : m_settings.seeds)
        peers[seed] = "";
    for (const MemberView& member : m_cell.members())
        peers[member.record.peer_address] = member.record.node;
    peers.erase(m_settings.peers.to_string());
    for (const auto& peer : peers) {
        const std::string address = peer.first;
        const Millis sent = m_clock.now();
        m_hub->beat(address, make_own_beat(peer.second),
                    [this, address, sent](const std::optional<Beat>& answer) {
                        if (!answer || m_stopping)
                            return;
                        m_cell.observe_beat(*answer, address, sent);
                        if (answer->config_revision > m_config.snapshot()->revision)
                            fetch_config(address);
                    });
    }
}

void Node::fetch_config(const std::string& address)
{
    m_hub->config_since(address, m_config.snapshot()->revision,
                        [this](const std::optional<std::vector<ConfigRow>>& rows) {
                            if (rows && !m_stopping)
                                apply_config(*rows);
                        });
}

void Node::apply_config(const std::vector<ConfigRow>& rows)
{
    if (!m_config.apply(rows))
        return;
    const auto config = m_config.snapshot();
    m_metrics.set("pathport_config_revision", double(config->revision));
    log_event(LogLevel::info, "config_in_force", { { "revision", config->revision } });
    wake_keeper();
}

void Node::peer_loop()
{
    Millis next_beat = m_clock.now();
    while (!m_stopping) {
        // What this node has handed over counts as its own until the next owner tells of
        // it: replicas of a shard that nobody tells of would be placed anew elsewhere.
        if (!m_left)
            update_own_load();
        if (m_clock.now() >= next_beat) {
            beat_peers();
            next_beat = m_clock.now() + m_settings.peer_heartbeat;
        }
        std::unique_lock<std::mutex> lock(m_wake_mutex);
        m_wake.wait_for(lock, std::chrono::milliseconds(load_pause.count()),
                        [this] { return m_stopping.load(); });
    }
}

// The platform may answer slowly, so it has a thread of its own.
void Node::platform_loop()
{
    Millis next_move = m_clock.now() + audit_pause;
    while (!m_stopping) {
        read_boxes();
        if (m_clock.now() >= next_move) {
            move_old_audit();
            next_move = m_clock.now() + audit_pause;
        }
        std::unique_lock<std::mutex> lock(m_wake_mutex);
        m_wake.wait_for(lock, std::chrono::milliseconds(box_list_pause.count()),
                        [this] { return m_stopping.load(); });
    }
}

void Node::read_boxes()
{
    Failure reason;
    const auto boxes = m_box_list.read(reason);
    if (reason) {
        m_metrics.count("pathport_box_list_failures_total");
        log_event(LogLevel::warn, "box_list_failed", { { "reason", reason.detail() } });
    }
    if (boxes) {
        m_cell.set_boxes(*boxes);
        wake_keeper();
    }
}

// One node does it for all.
void Node::move_old_audit()
{
    const auto nodes = m_cell.owner_candidates();
    if (nodes.empty() || nodes.front().node != m_settings.node)
        return;
    Failure reason;
    const size_t moved = archive_audit(m_table, m_audit_lane, m_objects, audit_records_kept,
                                       audit_records_per_object, reason);
    if (moved > 0)
        log_event(LogLevel::info, "audit_archived", { { "records", uint64_t(moved) } });
    if (reason)
        log_event(LogLevel::warn, "audit_not_archived", { { "reason", reason.detail() } });
}

} // namespace pathport
