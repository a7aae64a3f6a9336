// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "load_state.h"

#include <algorithm>

namespace pathport {

namespace {

constexpr size_t kept_versions = 16;
constexpr int64_t load_steps = 8;
constexpr int64_t cpu_step = 500;
constexpr int64_t memory_step = 1024;

int64_t round_down(int64_t value, int64_t step)
{
    return value - value % step;
}

// The changes that lead from `before` to `after`.
void fill_changes(Beat& beat, const LoadVersion& before, const LoadVersion& after)
{
    for (const auto& shard : after.shards) {
        const auto old = before.shards.find(shard.first);
        if (old == before.shards.end() || !(old->second == shard.second))
            beat.shards.push_back(shard.second);
    }
    for (const auto& shard : before.shards) {
        if (after.shards.count(shard.first) == 0)
            beat.gone.push_back(shard.first);
    }
    for (const auto& team : after.teams) {
        const auto old = before.teams.find(team.first);
        if (old == before.teams.end() || old->second != team.second)
            beat.teams.push_back({ team.first, team.second });
    }
    for (const auto& team : before.teams) {
        if (after.teams.count(team.first) == 0)
            beat.teams.push_back({ team.first, Resources() });
    }
}

} // namespace

ShardSummary coarse(const ShardSummary& summary)
{
    ShardSummary rounded = summary;
    rounded.free.cpu_millis = round_down(summary.free.cpu_millis, cpu_step);
    rounded.free.memory_mb = round_down(summary.free.memory_mb, memory_step);
    for (ServiceLoad& load : rounded.services) {
        const int64_t step = std::max<int64_t>(1, load.slots / load_steps);
        load.busy = round_down(load.busy, step);
        load.queued = round_down(load.queued, step);
    }
    return rounded;
}

void OwnLoad::update(const std::vector<ShardSummary>& shards,
                     const std::map<std::string, Resources>& teams)
{
    LoadVersion next;
    for (const ShardSummary& shard : shards)
        next.shards[shard.shard] = coarse(shard);
    next.teams = teams;
    const bool same = !m_versions.empty() && m_versions.back().shards == next.shards
        && m_versions.back().teams == next.teams;
    if (same)
        return;
    next.version = m_versions.empty() ? 1 : m_versions.back().version + 1;
    m_versions.push_back(std::move(next));
    if (m_versions.size() > kept_versions)
        m_versions.pop_front();
}

void OwnLoad::fill(Beat& beat, int64_t known) const
{
    if (m_versions.empty())
        return;
    const LoadVersion& present = m_versions.back();
    const auto base
        = std::find_if(m_versions.begin(), m_versions.end(),
                       [&](const LoadVersion& v) { return v.version == known; });
    beat.version = present.version;
    beat.base = base == m_versions.end() ? 0 : known;
    fill_changes(beat, base == m_versions.end() ? LoadVersion() : *base, present);
}

void PeerLoad::apply(const Beat& beat)
{
    if (beat.base == 0)
        m_load = LoadVersion();
    else if (beat.base != m_load.version)
        return;
    for (const ShardSummary& shard : beat.shards)
        m_load.shards[shard.shard] = shard;
    for (const std::string& shard : beat.gone)
        m_load.shards.erase(shard);
    for (const TeamUse& team : beat.teams) {
        m_load.teams[team.team] = team.used;
        if (team.used == Resources())
            m_load.teams.erase(team.team);
    }
    m_load.version = beat.version;
}

} // namespace pathport
