// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Indexes of workers by their capacity. A search for workers that can take a step's tasks
/// looks at those with enough of the resource that the fewest workers have, and not at all
/// workers of the cell.

#pragma once

#include "capacity_table.h"
#include "level_index.h"
#include "worker_load.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace pathport::jobs {

/// Workers by an amount of each resource.
class CapacityIndex {
public:
    /// Adds a worker or changes its amount.
    void set(WorkerNumber worker, const Resources& amount);
    /// Removes a worker; does nothing if it is not there.
    void erase(WorkerNumber worker);

    /// Returns the number of workers with enough of the resource that the fewest have
    /// enough of for a task of `step`.
    size_t count(const StepSpec& step) const;
    /// Calls `visit` for the workers that may have room for a task of `step` until it
    /// returns false; those with the most of the resource that decides come first. Returns
    /// whether all were visited. `visit` must not change the index.
    template <typename Visit>
    bool visit_largest(const StepSpec& step, Visit visit) const
    {
        const Lookup lookup = most_selective(step);
        return lookup.index->visit_down(lookup.amount, visit);
    }
    /// The same, with the smallest amounts first.
    template <typename Visit>
    bool visit_tightest(const StepSpec& step, Visit visit) const
    {
        const Lookup lookup = most_selective(step);
        return lookup.index->visit_up(lookup.amount, visit);
    }

private:
    struct Lookup {
        const LevelIndex* index = nullptr;
        int64_t amount = 0; ///< That a task needs.
        size_t count = 0; ///< Of the workers that may have it.
    };

    Lookup most_selective(const StepSpec& step) const;

    LevelIndex m_by_cpu;
    LevelIndex m_by_memory;
    LevelIndex m_by_accelerators;
};

/// The workers that accept tasks of one service, or those of them that have one label.
struct WorkerPool {
    CapacityIndex total; ///< By capacity, used or not.
    CapacityIndex free; ///< By free capacity.
    CapacityIndex unclaimed; ///< By free capacity less all claims of queries.
    /// By free capacity plus what tasks of this priority and of less urgent ones take.
    std::map<int, CapacityIndex> reclaimable;

    /// Returns the workers by the capacity that is free once all tasks less urgent than
    /// `priority` have ended.
    const CapacityIndex& reclaimable_for(int priority) const;
};

/// The pools of all services. Pools of labels are built when a step first asks for the
/// label.
class WorkerPools {
public:
    /// Adds a worker or applies a change of its row, load or labels. A worker whose row is
    /// not open belongs to no pool.
    void update(WorkerNumber worker, const CapacityRow& row, const WorkerLoad& load,
                const std::vector<std::string>& labels);
    /// Removes a worker from all pools.
    void remove(WorkerNumber worker);
    /// Prepares for tasks of this priority. Has to be called before a worker's load has
    /// such a task.
    void add_priority(int priority);
    /// Adds a claim on a worker's free capacity.
    void claim(WorkerNumber worker, const Resources& amount);
    /// Drops all claims.
    void release_claims();

    /// Returns the pool of a service; its workers have the label unless that is empty.
    /// Returns nullptr if there is no pool for the label yet.
    const WorkerPool* find(int service, const std::string& label);
    /// Adds an empty pool for a label. Each worker has to be updated after that.
    void add_label(int service, const std::string& label);

private:
    using PoolKey = std::pair<int, std::string>; ///< Service and label.

    /// A worker in the pools.
    struct Member {
        Resources free;
        Resources claimed;
        std::vector<PoolKey> keys;
        std::vector<WorkerPool*> pools;
    };

    std::vector<PoolKey> keys_of(const CapacityRow& row,
                                 const std::vector<std::string>& labels) const;
    void move_to(Member& member, WorkerNumber worker, std::vector<PoolKey> keys);
    WorkerPool& pool_at(const PoolKey& key);
    void remove_label_pools();

    std::map<PoolKey, WorkerPool> m_pools;
    size_t m_label_pools = 0;
    std::vector<int> m_priorities; ///< Of all tasks so far, in ascending order.
    std::vector<Member> m_members; ///< By worker.
    std::vector<WorkerNumber> m_claimed; ///< Workers with claims.
};

} // namespace pathport::jobs
