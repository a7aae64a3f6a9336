// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which nodes are alive, which shards belong to whom, and when a node may take or give
/// one. docs/design/ownership.md gives the reasons.

#pragma once

#include <pathport/clock.h>
#include <pathport/model.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pathport {

/// The spans of membership. A holder stops relying on its lease before others may judge it
/// dead, because its lease counts from the start of its renewal and `lease` is below
/// `dead_after`.
struct MembershipSpans {
    Millis lease { 1000 }; ///< How long a heartbeat to the table holds.
    Millis dead_after { 1800 }; ///< How long an unchanged counter is waited for.
    Millis promise { 1500 }; ///< How long a promise to a peer holds.
    Millis join_wait {
        10000
    }; ///< How long a new node takes nothing from nodes it never met.
};

/// What this node holds of one other node.
struct MemberView {
    NodeRecord record;
    int64_t row_version = 0;
    Millis changed; ///< Local time at which the counter was last seen to change.
    Millis changed_table_time; ///< The table's time of that observation.
    Millis heard; ///< Local time of the last direct heartbeat; 0 when there was none.
    Millis promised_until; ///< Local time until which this node takes nothing from it.
    bool met = false; ///< Whether its counter was ever seen to change, or it was heard.
};

/// The steps in which a node leaves the cell. Others take what a node owns that has left,
/// without its memory of it, so it must not leave while it is given something.
class Departure {
public:
    /// Returns the state that the next heartbeat writes, for a node that is or is not
    /// `leaving` and that owns nothing as far as it has read.
    NodeState next(bool leaving, bool owns_nothing) const;
    /// Notes that the table took a heartbeat with this state; what it read is known.
    void taken(NodeState written);
    /// Notes that the table refused the last step, since rows of shards have changed that
    /// this node has not read.
    void overtaken();

    /// Returns whether others can know that this node leaves.
    bool is_told() const { return m_told; }

private:
    bool m_told = false;
    bool m_left = false;
    bool m_must_read = false;
};

/// The nodes as this one sees them. Not safe from several threads at once.
class Membership {
public:
    Membership(std::string self, MembershipSpans spans, Millis now)
        : m_self(std::move(self))
        , m_spans(spans)
        , m_started(now)
    {
    }

    /// Takes in a node's row, as read from the table at local time `now`.
    void observe(const NodeRecord& record, int64_t row_version, Millis now,
                 Millis table_time);
    /// Takes in a direct heartbeat of `node`'s incarnation.
    void heard(const std::string& node, const std::string& incarnation, Millis now);

    /// Returns the span for which this node promises to take nothing from this incarnation
    /// of `node`, and records the promise. It is 0 when the node's row is stale although
    /// this node reads the table, so that a node which is cut off from the table alone
    /// loses its shards in the end.
    Millis promise_to(const std::string& node, const std::string& incarnation,
                      bool table_readable, Millis now);

    /// Returns whether the node has a live row or was heard of late.
    bool is_live(const std::string& node, Millis now) const;
    /// Returns whether this node may take the shards of `node`.
    bool may_take_from(const std::string& node, Millis now) const;
    /// Returns the other nodes that have not left.
    std::vector<MemberView> others() const;
    /// Returns the view of one node, or nothing.
    std::optional<MemberView> find(const std::string& node) const;
    /// Returns the nodes, this one included, that may be given shards: those whose rows
    /// change. A node that only peers hear of can't learn that it owns something.
    std::vector<NodeRecord> owners(const NodeRecord& self, Millis now) const;
    /// Returns the nodes that are alive, this one included.
    std::vector<NodeRecord> live(const NodeRecord& self, Millis now) const;

    const MembershipSpans& spans() const { return m_spans; }

private:
    bool is_stale(const MemberView& member, Millis now) const;
    template <typename Holds>
    std::vector<NodeRecord> with_self(const NodeRecord& self, Holds holds) const;

    std::string m_self;
    MembershipSpans m_spans;
    Millis m_started;
    std::map<std::string, MemberView> m_members;
};

/// One shard as the planner sees it.
struct ShardView {
    std::string shard;
    std::string region; ///< Empty when any region will do.
    std::optional<ShardRecord> record; ///< Nothing when it was never owned.
    int64_t row_version = 0;
};

/// A change of owner that this node should make.
struct OwnershipStep {
    ShardRecord record; ///< The row to write.
    int64_t row_version = 0; ///< The row's version that the change needs.
    std::string taken_from; ///< The dead node, when there is one.
    /// The owner so far is an earlier process of this node, which may still hold its lease.
    bool from_earlier_process = false;
};

/// Returns the steps of `self` towards balanced ownership: it takes shards that nobody owns
/// or whose owner is dead and that fall to it, and gives away what it has too many of, or
/// all when it leaves. `is_dead` holds the nodes from which this one may take.
std::vector<OwnershipStep> plan_ownership(const NodeRecord& self,
                                          const std::vector<NodeRecord>& owners,
                                          const std::map<std::string, bool>& is_dead,
                                          const std::vector<ShardView>& shards);

/// Most shards that are given away in one round to a node that has fewer.
constexpr int max_gifts_per_round = 4;

/// The time of the table, as this node can bound it. It serves as the one reference for the
/// age of request ids, so that no two machines' clocks are compared.
class TableTime {
public:
    /// Takes in an answer with the table's time, to a transaction that was sent at `sent`
    /// and answered at `received`, by this node's clock.
    void observe(Millis table_time, Millis sent, Millis received);

    /// Returns the earliest that the table's clock can show at local time `now`; nothing
    /// when the table was never reached.
    std::optional<Millis> earliest(Millis now) const;
    /// Returns the latest that the table's clock can show at local time `now`.
    std::optional<Millis> latest(Millis now) const;

private:
    bool m_known = false;
    Millis m_table_time;
    Millis m_sent;
    Millis m_received;
};

} // namespace pathport
