// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/ids.h>
#include <pathport/membership.h>

#include <algorithm>
#include <tuple>

namespace pathport {

namespace {

// How many shards each possible owner has. Shards that are tied to a region and those that
// are not (admission ranges) are balanced apart, since they cost different things.
class Counts {
public:
    Counts(const std::vector<NodeRecord>& owners, const std::vector<ShardView>& shards)
        : m_owners(owners)
    {
        for (const NodeRecord& node : owners) {
            m_tied[node.node] = 0;
            m_free[node.node] = 0;
        }
        for (const ShardView& shard : shards) {
            if (shard.record && counts_of(shard).count(shard.record->owner) > 0)
                ++counts_of(shard)[shard.record->owner];
        }
    }

    // The owners of the shard's own region, or all when there are none.
    std::vector<NodeRecord> candidates(const ShardView& shard) const
    {
        std::vector<NodeRecord> near;
        for (const NodeRecord& node : m_owners) {
            if (shard.region.empty() || node.region == shard.region)
                near.push_back(node);
        }
        return near.empty() ? m_owners : near;
    }

    // The candidate with the fewest shards; ties go by a hash, so that each node finds the
    // same one.
    std::optional<NodeRecord> least_loaded(const ShardView& shard)
    {
        std::optional<NodeRecord> best;
        for (const NodeRecord& node : candidates(shard)) {
            if (!best || key(shard, node) < key(shard, *best))
                best = node;
        }
        return best;
    }

    int64_t count(const ShardView& shard, const std::string& node)
    {
        return counts_of(shard)[node];
    }

    void move(const ShardView& shard, const std::string& from, const std::string& to)
    {
        if (counts_of(shard).count(from) > 0)
            --counts_of(shard)[from];
        ++counts_of(shard)[to];
    }

private:
    std::map<std::string, int64_t>& counts_of(const ShardView& shard)
    {
        return shard.region.empty() ? m_free : m_tied;
    }

    std::tuple<int64_t, uint64_t> key(const ShardView& shard, const NodeRecord& node)
    {
        return { counts_of(shard)[node.node], stable_hash(shard.shard + "/" + node.node) };
    }

    const std::vector<NodeRecord>& m_owners;
    std::map<std::string, int64_t> m_tied;
    std::map<std::string, int64_t> m_free;
};

bool is_orphan(const ShardView& shard, const std::map<std::string, bool>& is_dead)
{
    if (!shard.record)
        return true;
    const auto dead = is_dead.find(shard.record->owner);
    return dead != is_dead.end() && dead->second;
}

OwnershipStep step_to(const ShardView& shard, const NodeRecord& owner)
{
    OwnershipStep step;
    const int64_t epoch = shard.record ? shard.record->epoch : 0;
    step.record = { shard.shard, owner.node, owner.incarnation, epoch + 1 };
    step.row_version = shard.row_version;
    return step;
}

bool is_in(const std::vector<NodeRecord>& nodes, const std::string& node)
{
    return std::any_of(nodes.begin(), nodes.end(),
                       [&](const NodeRecord& n) { return n.node == node; });
}

} // namespace

std::vector<OwnershipStep> plan_ownership(const NodeRecord& self,
                                          const std::vector<NodeRecord>& owners,
                                          const std::map<std::string, bool>& is_dead,
                                          const std::vector<ShardView>& shards)
{
    std::vector<OwnershipStep> steps;
    if (owners.empty())
        return steps;
    Counts counts(owners, shards);
    for (const ShardView& shard : shards) {
        const bool own_old = shard.record && shard.record->owner == self.node
            && shard.record->owner_incarnation != self.incarnation;
        if (own_old && self.state == NodeState::live) {
            // An earlier incarnation of this node; nobody else needs to wait for it.
            steps.push_back(step_to(shard, self));
            steps.back().from_earlier_process = true;
            continue;
        }
        if (!is_orphan(shard, is_dead))
            continue;
        const auto heir = counts.least_loaded(shard);
        counts.move(shard, shard.record ? shard.record->owner : "", heir->node);
        if (heir->node != self.node)
            continue;
        OwnershipStep step = step_to(shard, self);
        step.taken_from = shard.record ? shard.record->owner : "";
        steps.push_back(step);
    }
    int gifts = 0;
    for (const ShardView& shard : shards) {
        const bool is_mine = shard.record && shard.record->owner == self.node
            && shard.record->owner_incarnation == self.incarnation;
        if (!is_mine)
            continue;
        const auto heir = counts.least_loaded(shard);
        if (!heir || heir->node == self.node)
            continue;
        const bool leaving = self.state != NodeState::live;
        const bool foreign = !leaving && !is_in(counts.candidates(shard), self.node);
        const bool unbalanced = !leaving
            && counts.count(shard, self.node) > counts.count(shard, heir->node) + 1;
        if (!leaving && !foreign && !unbalanced)
            continue;
        if (!leaving && ++gifts > max_gifts_per_round)
            break;
        counts.move(shard, self.node, heir->node);
        steps.push_back(step_to(shard, *heir));
    }
    return steps;
}

} // namespace pathport
