// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "capacity_index.h"

#include <algorithm>

namespace pathport::jobs {

namespace {

/// Upper bound on the pools of labels. Beyond it all of them are built anew as needed, so
/// that labels which are no longer in use take no memory for good.
constexpr size_t max_label_pools = 64;

} // namespace

void CapacityIndex::set(WorkerNumber worker, const Resources& amount)
{
    m_by_cpu.set(worker, amount.cpu_millis);
    m_by_memory.set(worker, amount.memory_mb);
    m_by_accelerators.set(worker, amount.accelerators);
}

void CapacityIndex::erase(WorkerNumber worker)
{
    m_by_cpu.erase(worker);
    m_by_memory.erase(worker);
    m_by_accelerators.erase(worker);
}

size_t CapacityIndex::count(const StepSpec& step) const
{
    return most_selective(step).count;
}

CapacityIndex::Lookup CapacityIndex::most_selective(const StepSpec& step) const
{
    Lookup best { &m_by_memory, step.need.memory_mb,
                  m_by_memory.count_from(step.need.memory_mb) };
    const auto consider = [&](const LevelIndex& index, int64_t amount) {
        const size_t count = index.count_from(amount);
        if (amount <= 0 || count > best.count)
            return;
        best = { &index, amount, count };
    };
    consider(m_by_accelerators, step.need.accelerators);
    if (!step.best_effort_cpu)
        consider(m_by_cpu, step.need.cpu_millis);
    return best;
}

const CapacityIndex& WorkerPool::reclaimable_for(int priority) const
{
    const auto less_urgent = reclaimable.upper_bound(priority);
    return less_urgent == reclaimable.end() ? free : less_urgent->second;
}

void WorkerPools::update(WorkerNumber worker, const CapacityRow& row,
                         const WorkerLoad& load, const std::vector<std::string>& labels)
{
    if (worker >= m_members.size())
        m_members.resize(size_t(worker) + 1);
    Member& member = m_members[worker];
    member.free = row.free;
    std::vector<PoolKey> keys = keys_of(row, labels);
    if (keys != member.keys)
        move_to(member, worker, std::move(keys));
    for (WorkerPool* pool : member.pools) {
        pool->total.set(worker, row.capacity);
        pool->free.set(worker, row.free);
        pool->unclaimed.set(worker, row.free - member.claimed);
        for (auto& [priority, index] : pool->reclaimable)
            index.set(worker, row.free + load.used_below(priority - 1));
    }
}

std::vector<WorkerPools::PoolKey>
WorkerPools::keys_of(const CapacityRow& row, const std::vector<std::string>& labels) const
{
    std::vector<PoolKey> keys;
    if (!row.open)
        return keys;
    keys.emplace_back(row.service, std::string());
    for (size_t i = 0; m_label_pools > 0 && i < labels.size(); ++i) {
        PoolKey key(row.service, labels[i]);
        if (m_pools.count(key) > 0
            && std::find(keys.begin(), keys.end(), key) == keys.end())
            keys.push_back(std::move(key));
    }
    return keys;
}

void WorkerPools::move_to(Member& member, WorkerNumber worker, std::vector<PoolKey> keys)
{
    for (WorkerPool* pool : member.pools) {
        pool->total.erase(worker);
        pool->free.erase(worker);
        pool->unclaimed.erase(worker);
        for (auto& [priority, index] : pool->reclaimable)
            index.erase(worker);
    }
    member.pools.clear();
    for (const PoolKey& key : keys)
        member.pools.push_back(&pool_at(key));
    member.keys = std::move(keys);
}

WorkerPool& WorkerPools::pool_at(const PoolKey& key)
{
    const auto [entry, added] = m_pools.try_emplace(key);
    if (added) {
        for (const int priority : m_priorities)
            entry->second.reclaimable.try_emplace(priority);
    }
    return entry->second;
}

void WorkerPools::remove(WorkerNumber worker)
{
    if (worker < m_members.size())
        move_to(m_members[worker], worker, {});
}

// No task has the new priority yet, so the capacity it can reclaim is that of the next less
// urgent one.
void WorkerPools::add_priority(int priority)
{
    const auto place = std::lower_bound(m_priorities.begin(), m_priorities.end(), priority);
    if (place != m_priorities.end() && *place == priority)
        return;
    m_priorities.insert(place, priority);
    for (auto& [key, pool] : m_pools) {
        CapacityIndex index = pool.reclaimable_for(priority);
        pool.reclaimable.emplace(priority, std::move(index));
    }
}

void WorkerPools::claim(WorkerNumber worker, const Resources& amount)
{
    if (worker >= m_members.size())
        return;
    Member& member = m_members[worker];
    if (member.claimed == Resources())
        m_claimed.push_back(worker);
    member.claimed = member.claimed + amount;
    for (WorkerPool* pool : member.pools)
        pool->unclaimed.set(worker, member.free - member.claimed);
}

void WorkerPools::release_claims()
{
    for (const WorkerNumber worker : m_claimed) {
        Member& member = m_members[worker];
        member.claimed = Resources();
        for (WorkerPool* pool : member.pools)
            pool->unclaimed.set(worker, member.free);
    }
    m_claimed.clear();
}

const WorkerPool* WorkerPools::find(int service, const std::string& label)
{
    if (label.empty())
        return &pool_at({ service, label });
    const auto found = m_pools.find({ service, label });
    return found == m_pools.end() ? nullptr : &found->second;
}

void WorkerPools::add_label(int service, const std::string& label)
{
    if (m_label_pools >= max_label_pools)
        remove_label_pools();
    pool_at({ service, label });
    ++m_label_pools;
}

void WorkerPools::remove_label_pools()
{
    for (WorkerNumber worker = 0; worker < m_members.size(); ++worker) {
        Member& member = m_members[worker];
        while (!member.keys.empty() && !member.keys.back().second.empty()) {
            member.keys.pop_back();
            member.pools.pop_back();
        }
    }
    for (auto pool = m_pools.begin(); pool != m_pools.end();)
        pool = pool->first.second.empty() ? std::next(pool) : m_pools.erase(pool);
    m_label_pools = 0;
}

} // namespace pathport::jobs
