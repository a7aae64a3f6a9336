// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace pathport::jobs {

namespace {

int64_t times(int64_t free, int64_t need)
{
    return need > 0 ? std::max<int64_t>(0, free) / need
                    : std::numeric_limits<int64_t>::max();
}

// Takes from `rooms`, in their order, until `count` tasks are placed.
std::vector<Assignment> fill(const StepSpec& step, int count,
                             const std::vector<PlacementOption>& rooms)
{
    std::vector<Assignment> shares;
    for (const PlacementOption& room : rooms) {
        if (count == 0)
            break;
        const int taken = std::min(count, tasks_that_fit(step, room));
        if (taken == 0)
            continue;
        shares.push_back({ std::string(room.worker), taken });
        count -= taken;
    }
    return shares;
}

int total(const StepSpec& step, const std::vector<PlacementOption>& rooms)
{
    int sum = 0;
    for (const PlacementOption& room : rooms)
        sum += tasks_that_fit(step, room);
    return sum;
}

// Returns the rooms of the rack that holds `count` tasks with the least room to spare, or
// none.
std::vector<PlacementOption> one_rack(const StepSpec& step, int count,
                                      const std::vector<PlacementOption>& rooms)
{
    std::map<std::string_view, std::vector<PlacementOption>> racks;
    for (const PlacementOption& room : rooms)
        racks[room.rack].push_back(room);
    const std::vector<PlacementOption>* best = nullptr;
    for (const auto& [rack, members] : racks) {
        const int room = total(step, members);
        if (room >= count && (best == nullptr || room < total(step, *best)))
            best = &members;
    }
    return best == nullptr ? std::vector<PlacementOption>() : *best;
}

} // namespace

int tasks_that_fit(const StepSpec& step, const PlacementOption& room)
{
    int64_t fit = std::min(times(room.free.memory_mb, step.need.memory_mb),
                           times(room.free.accelerators, step.need.accelerators));
    if (!step.best_effort_cpu)
        fit = std::min(fit, times(room.free.cpu_millis, step.need.cpu_millis));
    if (step.max_per_worker > 0)
        fit = std::min<int64_t>(fit, std::max(0, step.max_per_worker - room.step_tasks));
    return static_cast<int>(std::min<int64_t>(fit, std::max(0, room.max_new_tasks)));
}

std::vector<Assignment> choose_workers(const StepSpec& step, int count, bool whole,
                                       std::vector<PlacementOption> rooms)
{
    std::stable_sort(rooms.begin(), rooms.end(),
                     [&](const PlacementOption& left, const PlacementOption& right) {
                         const bool left_far = left.rack != step.preferred_rack;
                         const bool right_far = right.rack != step.preferred_rack;
                         return std::tie(left.second_choice, left_far, left.slow,
                                         left.free.cpu_millis)
                             < std::tie(right.second_choice, right_far, right.slow,
                                        right.free.cpu_millis);
                     });
    if (step.same_rack) {
        const std::vector<PlacementOption> rack = one_rack(step, count, rooms);
        if (!rack.empty())
            rooms = rack;
    }
    if (whole && total(step, rooms) < count)
        return {};
    return fill(step, count, rooms);
}

} // namespace pathport::jobs
