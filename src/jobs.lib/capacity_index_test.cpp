// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Indexes of the workers' capacity. Guards against a search that examines workers which
/// the step cannot use, or that misses one which it can.

#define BOOST_TEST_MODULE capacity_index
#include <boost/test/unit_test.hpp>

#include "capacity_index.h"

#include <algorithm>
#include <random>
#include <set>

using namespace pathport;
using namespace pathport::jobs;

namespace {

StepSpec step_needing(const Resources& need)
{
    StepSpec step;
    step.need = need;
    return step;
}

std::vector<WorkerNumber> visited(const CapacityIndex& index, const StepSpec& step)
{
    std::vector<WorkerNumber> workers;
    index.visit_largest(step, [&](WorkerNumber worker) {
        workers.push_back(worker);
        return true;
    });
    return workers;
}

CapacityRow open_row(const Resources& free)
{
    CapacityRow row;
    row.capacity = { 16000, 64000, 0 };
    row.free = free;
    row.max_new_tasks = max_tasks_per_step;
    row.open = true;
    return row;
}

void add_task(WorkerLoad& load, int task, int priority, const Resources& need)
{
    Allocation allocation;
    allocation.run = 1;
    allocation.priority = priority;
    allocation.need = need;
    load.add({ "job", 0, 0, task }, allocation);
}

bool contains(const std::vector<WorkerNumber>& workers, WorkerNumber worker)
{
    return std::find(workers.begin(), workers.end(), worker) != workers.end();
}

} // namespace

BOOST_AUTO_TEST_CASE(every_worker_with_enough_is_visited_and_none_with_half_of_it)
{
    std::mt19937_64 random(7);
    const auto below = [&](int64_t bound) { return int64_t(random() % uint64_t(bound)); };
    CapacityIndex index;
    std::vector<Resources> amounts(400);
    for (int round = 0; round < 3000; ++round) {
        const size_t worker = random() % amounts.size();
        amounts[worker] = { below(16001) - 500, below(65000), below(9) };
        index.set(WorkerNumber(worker), amounts[worker]);
        if (round < 1000 || round % 50 != 0)
            continue;
        const Resources need { below(8000) + 1, below(30000) + 1, below(3) };
        const std::vector<WorkerNumber> found = visited(index, step_needing(need));
        const std::set<WorkerNumber> unique(found.begin(), found.end());
        BOOST_TEST(unique.size() == found.size());
        for (size_t i = 0; i < amounts.size(); ++i) {
            if (need.fits_in(amounts[i]))
                BOOST_TEST(unique.count(WorkerNumber(i)) == 1U);
        }
    }
}

BOOST_AUTO_TEST_CASE(the_resource_that_the_fewest_workers_have_decides)
{
    CapacityIndex index;
    for (WorkerNumber worker = 0; worker < 1000; ++worker)
        index.set(worker, { 16000, 64000, worker == 77 ? 4 : 0 });
    BOOST_TEST(visited(index, step_needing({ 1000, 1000, 1 })).size() == 1U);
    BOOST_TEST(visited(index, step_needing({ 1000, 1000, 0 })).size() == 1000U);
    for (WorkerNumber worker = 0; worker < 990; ++worker)
        index.set(worker, { 16000, 100, 0 });
    BOOST_TEST(visited(index, step_needing({ 1000, 1000, 0 })).size() == 10U);
    BOOST_TEST(visited(index, step_needing({ 17000, 10, 0 })).empty());
}

BOOST_AUTO_TEST_CASE(largest_and_tightest_come_first)
{
    CapacityIndex index;
    index.set(0, { 1000, 0, 0 });
    index.set(1, { 16000, 0, 0 });
    index.set(2, { 4000, 0, 0 });
    StepSpec step = step_needing({ 900, 0, 0 });
    BOOST_TEST(visited(index, step) == (std::vector<WorkerNumber> { 1, 2, 0 }),
               boost::test_tools::per_element());
    WorkerNumber first = 99;
    const bool all = index.visit_tightest(step, [&](WorkerNumber worker) {
        first = worker;
        return false;
    });
    BOOST_TEST(!all);
    BOOST_TEST(first == 0U);
    index.erase(1);
    index.erase(1);
    BOOST_TEST(visited(index, step).size() == 2U);
}

BOOST_AUTO_TEST_CASE(amounts_at_the_limits_of_their_type_are_ordered)
{
    CapacityIndex index;
    index.set(0, { INT64_MAX, INT64_MAX, INT64_MAX });
    index.set(1, { INT64_MIN, INT64_MIN, INT64_MIN });
    index.set(2, { 0, 0, 0 });
    const auto found = visited(index, step_needing({ INT64_MAX, 1, 0 }));
    BOOST_TEST(found == (std::vector<WorkerNumber> { 0 }),
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(less_urgent_tasks_count_as_room_for_more_urgent_steps)
{
    WorkerPools pools;
    std::vector<WorkerLoad> loads(3);
    pools.add_priority(1);
    add_task(loads[1], 0, 1, { 10000, 0, 0 });
    for (WorkerNumber worker = 0; worker < 3; ++worker)
        pools.update(worker, open_row({ worker == 0 ? 16000 : 100, 64000, 0 }),
                     loads[worker], {});
    const StepSpec step = step_needing({ 5000, 0, 0 });
    const WorkerPool& pool = *pools.find(0, "");
    BOOST_TEST(visited(pool.free, step).size() == 1U);
    BOOST_TEST(contains(visited(pool.reclaimable_for(0), step), 1));
    BOOST_TEST(!contains(visited(pool.reclaimable_for(1), step), 1));
    // A priority that is seen later.
    pools.add_priority(2);
    BOOST_TEST(!contains(visited(pool.reclaimable_for(1), step), 1));
    BOOST_TEST(contains(visited(pool.reclaimable_for(0), step), 1));
    add_task(loads[2], 1, 2, { 10000, 0, 0 });
    pools.update(2, open_row({ 100, 64000, 0 }), loads[2], {});
    BOOST_TEST(contains(visited(pool.reclaimable_for(1), step), 2));
    BOOST_TEST(contains(visited(pool.reclaimable_for(0), step), 2));
    BOOST_TEST(!contains(visited(pool.reclaimable_for(2), step), 2));
}

BOOST_AUTO_TEST_CASE(claims_hide_free_capacity_until_they_are_released)
{
    WorkerPools pools;
    const WorkerLoad load;
    for (WorkerNumber worker = 0; worker < 2; ++worker)
        pools.update(worker, open_row({ 16000, 64000, 0 }), load, {});
    const StepSpec step = step_needing({ 4000, 0, 0 });
    const WorkerPool& pool = *pools.find(0, "");
    pools.claim(0, { 8000, 0, 0 });
    pools.claim(0, { 7000, 0, 0 });
    BOOST_TEST(!contains(visited(pool.unclaimed, step), 0));
    BOOST_TEST(contains(visited(pool.unclaimed, step), 1));
    BOOST_TEST(contains(visited(pool.free, step), 0));
    pools.update(0, open_row({ 16000, 64000, 0 }), load, {});
    BOOST_TEST(!contains(visited(pool.unclaimed, step), 0));
    pools.release_claims();
    BOOST_TEST(contains(visited(pool.unclaimed, step), 0));
}

BOOST_AUTO_TEST_CASE(pools_hold_the_workers_of_a_service_and_of_a_label)
{
    WorkerPools pools;
    const WorkerLoad load;
    const std::vector<std::vector<std::string>> labels { { "fast", "fast" },
                                                         {},
                                                         { "big" } };
    const auto update = [&](WorkerNumber worker, bool open) {
        CapacityRow row = open_row({ 16000, 64000, 0 });
        row.open = open;
        pools.update(worker, row, load, labels[worker]);
    };
    for (WorkerNumber worker = 0; worker < 3; ++worker)
        update(worker, true);
    const StepSpec step = step_needing({ 1000, 0, 0 });
    BOOST_TEST(pools.find(0, "fast") == nullptr);
    pools.add_label(0, "fast");
    for (WorkerNumber worker = 0; worker < 3; ++worker)
        update(worker, true);
    BOOST_TEST(visited(pools.find(0, "fast")->free, step).size() == 1U);
    BOOST_TEST(visited(pools.find(0, "")->free, step).size() == 3U);
    BOOST_TEST(visited(pools.find(1, "")->free, step).empty());
    update(0, false);
    BOOST_TEST(visited(pools.find(0, "fast")->free, step).empty());
    BOOST_TEST(visited(pools.find(0, "")->free, step).size() == 2U);
    pools.remove(1);
    BOOST_TEST(visited(pools.find(0, "")->free, step).size() == 1U);
}

BOOST_AUTO_TEST_CASE(pools_of_labels_are_bounded_in_number)
{
    WorkerPools pools;
    const WorkerLoad load;
    const StepSpec step = step_needing({ 1000, 0, 0 });
    for (int i = 0; i < 1000; ++i) {
        const std::string label = "label" + std::to_string(i);
        BOOST_REQUIRE(pools.find(0, label) == nullptr);
        pools.add_label(0, label);
        pools.update(0, open_row({ 16000, 64000, 0 }), load, { label });
        BOOST_REQUIRE(visited(pools.find(0, label)->free, step).size() == 1U);
        BOOST_REQUIRE(visited(pools.find(0, "")->free, step).size() == 1U);
    }
    BOOST_TEST(pools.find(0, "label0") == nullptr);
}
