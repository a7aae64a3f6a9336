// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "placement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace pathport::jobs {

namespace {

int64_t fit_count(int64_t free, int64_t need)
{
    return need > 0 ? std::max<int64_t>(0, free) / need
                    : std::numeric_limits<int64_t>::max();
}

// Assigns up to `count` tasks to `options`, in their order.
std::vector<Assignment> assign(const StepSpec& step, int count,
                               const std::vector<PlacementOption>& options)
{
    std::vector<Assignment> assignments;
    for (const PlacementOption& option : options) {
        if (count == 0)
            break;
        const int taken = std::min(count, tasks_that_fit(step, option));
        if (taken == 0)
            continue;
        assignments.push_back({ std::string(option.worker), taken });
        count -= taken;
    }
    return assignments;
}

int total_fit(const StepSpec& step, const std::vector<PlacementOption>& options)
{
    int sum = 0;
    for (const PlacementOption& option : options)
        sum += tasks_that_fit(step, option);
    return sum;
}

// Returns the options in the rack that holds `count` tasks with the least spare capacity,
// or none.
std::vector<PlacementOption> tightest_rack(const StepSpec& step, int count,
                                           const std::vector<PlacementOption>& options)
{
    std::map<std::string_view, std::vector<PlacementOption>> racks;
    for (const PlacementOption& option : options)
        racks[option.rack].push_back(option);
    const std::vector<PlacementOption>* best = nullptr;
    for (const auto& [rack, members] : racks) {
        const int option = total_fit(step, members);
        if (option >= count && (best == nullptr || option < total_fit(step, *best)))
            best = &members;
    }
    return best == nullptr ? std::vector<PlacementOption>() : *best;
}

} // namespace

int tasks_that_fit(const StepSpec& step, const PlacementOption& option)
{
    int64_t fit = std::min(fit_count(option.free.memory_mb, step.need.memory_mb),
                           fit_count(option.free.accelerators, step.need.accelerators));
    if (!step.best_effort_cpu)
        fit = std::min(fit, fit_count(option.free.cpu_millis, step.need.cpu_millis));
    if (step.max_per_worker > 0)
        fit = std::min<int64_t>(fit, std::max(0, step.max_per_worker - option.step_tasks));
    return static_cast<int>(std::min<int64_t>(fit, std::max(0, option.max_new_tasks)));
}

std::vector<Assignment> choose_workers(const StepSpec& step, int count, bool all_or_nothing,
                                       std::vector<PlacementOption> options)
{
    std::stable_sort(options.begin(), options.end(),
                     [&](const PlacementOption& left, const PlacementOption& right) {
                         const bool left_far = left.rack != step.preferred_rack;
                         const bool right_far = right.rack != step.preferred_rack;
                         return std::tie(left.second_choice, left_far, left.slow,
                                         left.free.cpu_millis)
                             < std::tie(right.second_choice, right_far, right.slow,
                                        right.free.cpu_millis);
                     });
    if (step.same_rack) {
        const std::vector<PlacementOption> rack = tightest_rack(step, count, options);
        if (!rack.empty())
            options = rack;
    }
    if (all_or_nothing && total_fit(step, options) < count)
        return {};
    return assign(step, count, options);
}

} // namespace pathport::jobs
