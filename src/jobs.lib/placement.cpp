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
std::vector<Share> fill(const StepSpec& step, int count,
                        const std::vector<WorkerRoom>& rooms)
{
    std::vector<Share> shares;
    for (const WorkerRoom& room : rooms) {
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

int total(const StepSpec& step, const std::vector<WorkerRoom>& rooms)
{
    int sum = 0;
    for (const WorkerRoom& room : rooms)
        sum += tasks_that_fit(step, room);
    return sum;
}

// Returns the rooms of the rack that holds `count` tasks with the least room to spare, or
// none.
std::vector<WorkerRoom> one_rack(const StepSpec& step, int count,
                                 const std::vector<WorkerRoom>& rooms)
{
    std::map<std::string_view, std::vector<WorkerRoom>> racks;
    for (const WorkerRoom& room : rooms)
        racks[room.rack].push_back(room);
    const std::vector<WorkerRoom>* best = nullptr;
    for (const auto& [rack, members] : racks) {
        const int room = total(step, members);
        if (room >= count && (best == nullptr || room < total(step, *best)))
            best = &members;
    }
    return best == nullptr ? std::vector<WorkerRoom>() : *best;
}

} // namespace

int tasks_that_fit(const StepSpec& step, const WorkerRoom& room)
{
    int64_t fit = std::min(times(room.free.memory_mb, step.need.memory_mb),
                           times(room.free.accelerators, step.need.accelerators));
    if (!step.fills)
        fit = std::min(fit, times(room.free.cpu_millis, step.need.cpu_millis));
    if (step.max_per_worker > 0)
        fit = std::min<int64_t>(fit, std::max(0, step.max_per_worker - room.of_step));
    return static_cast<int>(std::min<int64_t>(fit, std::max(0, room.at_most)));
}

std::vector<Share> choose_workers(const StepSpec& step, int count, bool whole,
                                  std::vector<WorkerRoom> rooms)
{
    std::stable_sort(
        rooms.begin(), rooms.end(), [&](const WorkerRoom& left, const WorkerRoom& right) {
            const bool left_far = left.rack != step.near_rack;
            const bool right_far = right.rack != step.near_rack;
            return std::tie(left.second_choice, left_far, left.slow, left.free.cpu_millis)
                < std::tie(right.second_choice, right_far, right.slow,
                           right.free.cpu_millis);
        });
    if (step.same_rack) {
        const std::vector<WorkerRoom> rack = one_rack(step, count, rooms);
        if (!rack.empty())
            rooms = rack;
    }
    if (whole && total(step, rooms) < count)
        return {};
    return fill(step, count, rooms);
}

} // namespace pathport::jobs
