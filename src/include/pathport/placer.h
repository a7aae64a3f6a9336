// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The choice of a box for a task, and of what to stop when there is no room.

#pragma once

#include <pathport/failure.h>
#include <pathport/policy.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pathport {

/// What a task needs of a place.
struct PlaceRequest {
    PolicyTask task;
    std::string shard; ///< Only boxes of this shard are taken; empty means any.
};

/// One box with what is allocated there. The sum of the allocations never passes the
/// capacity.
class PlacerBox {
public:
    PlacerBox(const BoxInfo& info, bool usable)
        : m_info(info)
        , m_usable(usable)
        , m_free(info.capacity)
    {
    }

    const BoxInfo& info() const { return m_info; }
    bool usable() const { return m_usable; }
    const Resources& free() const { return m_free; }
    const std::map<std::string, PolicyTask>& tasks() const { return m_tasks; }

private:
    friend class Placer;
    BoxInfo m_info;
    bool m_usable;
    Resources m_free;
    std::map<std::string, PolicyTask> m_tasks; ///< By task id.
    int64_t m_version = 0; ///< Raised by each change that a policy can see.
};

/// Tasks to stop on one box so that another fits.
struct StopPlan {
    std::string box;
    std::vector<std::string> tasks;
};

/// Chooses places. Not safe from several threads at once. A policy that is passed in stays
/// alive until another one is, and decides alike for equal tasks and boxes.
class Placer {
public:
    /// Adds or changes a box. Allocations stay. An unusable box is not chosen.
    void set_box(const BoxInfo& info, bool usable);
    /// Removes a box with its allocations.
    void remove_box(const std::string& box);

    /// Allocates `task` on `box`. What a box reports as running is allocated in any case
    /// (`force`), so that free amounts may become negative; nothing is chosen there until
    /// they are not. Returns false when it does not fit or the box is unknown.
    bool allocate(const std::string& box, const std::string& id, const PolicyTask& task,
                  bool force = false);
    /// Frees what the task holds on `box`.
    void free(const std::string& box, const std::string& id);

    /// Returns the best box for `request`. On failure returns nothing; `reason` says for
    /// each cause how many boxes it ruled out.
    std::optional<std::string> choose(const PlaceRequest& request, const Policy& policy,
                                      Failure& reason) const;

    /// Returns the cheapest set of tasks to stop on one box for `request`, or nothing.
    /// Tasks whose id `is_excluded` holds are left alone.
    std::optional<StopPlan>
    choose_stops(const PlaceRequest& request, const Policy& policy,
                 const std::map<std::string, bool>& is_excluded) const;

    const std::map<std::string, PlacerBox>& boxes() const { return m_boxes; }

private:
    struct Spread {
        std::map<std::string, int64_t> by_domain;
        std::map<std::string, int64_t> by_rack;
    };

    bool may_share(const PolicyTask& task, uint64_t task_class, const PlacerBox& box,
                   const Policy& policy) const;
    double score(const PlacerBox& box, const PolicyTask& task) const;
    int64_t spread_count(const std::string& service, const PlacerBox& box) const;
    void count_replica(const PlacerBox& box, const PolicyTask& task, int64_t by);

    std::map<std::string, PlacerBox> m_boxes;
    std::map<std::string, Spread> m_spread; ///< By service.

    // A policy decides alike for equal tasks while a box stays as it is, so its verdicts
    // are kept by class of task and box.
    struct Verdict {
        int64_t version = -1;
        bool allowed = false;
    };
    mutable std::unordered_map<uint64_t, Verdict> m_verdicts;
    mutable const Policy* m_verdicts_of = nullptr;
};

/// Returns what a policy sees of `box`.
PolicyBox to_policy_box(const PlacerBox& box);

} // namespace pathport
