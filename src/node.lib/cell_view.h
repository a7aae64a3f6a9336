// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a node knows of the cell: its nodes, who owns which shard, the boxes, and the loads
/// that peers report.

#pragma once

#include "load_state.h"

#include <pathport/membership.h>
#include <pathport/peer.h>
#include <pathport/router.h>
#include <pathport/table.h>

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace pathport {

/// What the heartbeats of a peer said.
struct PeerReport {
    std::string incarnation;
    std::string region;
    PeerLoad load;
    int64_t knows = 0; ///< Version of this node's load that the peer holds.
    int64_t beats = 0; ///< How many have come.
    std::string address;
    Millis received;
    Millis promise_since; ///< Since when, without a gap, the peer takes nothing from this
                          ///< node.
    Millis promise_until; ///< Until when.
};

/// A shard's row with its version.
struct ShardRow {
    ShardRecord record;
    int64_t version = 0;
};

/// The cell as this node sees it. Safe from any thread.
class CellView : public RouteView {
public:
    CellView(const Clock& clock, const NodeRecord& self, MembershipSpans spans);

    /// Takes in what a heartbeat to the table read; `sent` and `received` are local times.
    void observe(const TableResult& result, Millis sent, Millis received);
    /// Renews the lease from the heartbeat that was sent at `sent`. Call it once what this
    /// node holds agrees with the rows that the heartbeat read: a lease over shards that
    /// were lost meanwhile would be worse than none.
    void renew_lease(Millis sent);
    /// Takes in a peer's heartbeat, asked for at `sent`.
    void observe_beat(const Beat& beat, const std::string& address, Millis sent);
    /// Takes in the row of a shard that this node has just written.
    void observe_shard(const ShardRecord& record, int64_t version);
    /// Notes that the last heartbeat to the table failed.
    void table_failed();
    /// Replaces the box list.
    void set_boxes(const std::vector<BoxInfo>& boxes);
    /// Replaces what this node says of its own shards.
    void set_own(const std::vector<ShardSummary>& summaries);
    /// Notes that this node is leaving; it is given nothing from here on.
    void set_leaving();

    std::vector<Route> routes(const std::string& service) const override;
    std::optional<AdmissionOwner> admission_owner(int range) const override;

    NodeRecord self() const;
    std::vector<BoxInfo> boxes() const;
    /// Returns a number that is raised with each new box list.
    int64_t boxes_version() const;
    std::map<std::string, ShardRow> shard_rows() const;
    std::vector<MemberView> members() const;
    std::vector<NodeRecord> live_nodes() const;
    /// Returns the nodes that may be given shards.
    std::vector<NodeRecord> owner_candidates() const;
    /// Returns the shards with their regions, as the planner needs them.
    std::vector<ShardView> shard_views() const;
    /// Returns from which nodes this one may take shards now.
    std::map<std::string, bool> dead_nodes() const;
    /// Returns the summaries of all shards, own ones included, each under its highest
    /// epoch.
    std::vector<ShardSummary> summaries() const;
    /// Returns what teams hold on other nodes.
    std::map<std::string, Resources> used_elsewhere() const;
    /// Returns the version of the load of `node` that is held here.
    int64_t known_version(const std::string& node) const;
    /// Returns the version of this node's load that `node` holds.
    int64_t version_known_to(const std::string& node) const;
    /// Returns the peers' address of a node, or nothing.
    std::optional<std::string> address_of(const std::string& node) const;
    /// Returns the promise that goes to `node` with a heartbeat.
    Millis promise_to(const std::string& node, const std::string& incarnation);

    /// Returns whether the last heartbeat to the table succeeded.
    bool table_reachable() const;
    /// Returns whether the configuration held here is surely the one in force: the table
    /// was read within `limit`, or more than half of the nodes were heard of within it.
    bool is_current(Millis limit) const;
    /// Returns the earliest time that the table can show, provided that this node surely
    /// still owns what it owns: by its lease, or by promises of all other nodes.
    std::optional<Millis> lease_point() const;
    /// Returns a barrier for ids that a dead node may have admitted, at most `taken_at`.
    Millis barrier_after(const std::string& node, Millis taken_at) const;
    /// Returns the table's time as far as it is known.
    std::optional<Millis> table_time() const;

private:
    bool peer_is_fresh(const PeerReport& report, Millis now) const;
    void extend_lease();

    const Clock& m_clock;
    mutable std::mutex m_mutex;
    NodeRecord m_self;
    Membership m_membership;
    TableTime m_table_time;
    Millis m_last_beat_sent; ///< Of the last heartbeat that the table took; 0 for none.
    Millis m_lease_until; ///< Local time up to which nobody can have taken a shard of this
                          ///< node.
    bool m_table_reachable = false;
    std::map<std::string, ShardRow> m_shards;
    std::vector<BoxInfo> m_boxes;
    int64_t m_boxes_version = 0;
    std::map<std::string, PeerReport> m_peers; ///< By node.
    std::map<std::string, ShardSummary> m_own;
};

} // namespace pathport
