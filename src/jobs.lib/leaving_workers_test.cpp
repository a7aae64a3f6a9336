// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What becomes of the tasks of workers that have announced their end.

#define BOOST_TEST_MODULE leaving_workers
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

#include <algorithm>
#include <functional>

using namespace pathport;
using namespace pathport::cell_tests;

namespace {

constexpr uint64_t seeds = 4;
constexpr int tasks = 12;

/// Nodes with this link speed, in bytes a second, use relays.
constexpr int64_t slow_link = 200;

/// Runs a job of twelve tasks while w1 drains: it announces that 1 s is left and lives on
/// for 16 s. Returns the number of starts, which is 12 when no work is lost.
int64_t starts_beside_overdue_worker(uint64_t seed, int64_t link_bytes_per_s,
                                     const std::function<void(Cell&)>& disturb)
{
    Cell cell(seed, link_bytes_per_s == 0 ? 3 : 5, 4, {}, link_bytes_per_s);
    add_queues(cell);
    cell.world.run_for(Millis(3000));
    cell.note_disturbance(Millis(50000));
    submit(cell, "q1", "job0", { one_core_step(tasks, 14000) });
    cell.world.run_for(Millis(1500));
    cell.workers.drain("w1", Millis(16000), Millis(1000));
    disturb(cell);
    cell.world.run_for(Millis(35000));
    const auto violations = cell.final_violations();
    BOOST_TEST(violations.empty(), "seed " << seed << join_lines(violations));
    BOOST_TEST(cell.workers.all_done("job0", 0, tasks, false));
    return cell.workers.starts();
}

/// Returns the longest time for which a task of w1 does not run after w1, which has
/// announced `announced` before, has ended.
Millis longest_wait_after_end(uint64_t seed, Millis announced, bool unresponsive)
{
    Cell cell(seed, 3, 4);
    add_queues(cell);
    cell.workers.injected.dead_are_unresponsive = unresponsive;
    cell.world.run_for(Millis(2000));
    submit(cell, "q1", "job0", { one_core_step(tasks, 20000) });
    cell.world.run_for(Millis(1000));
    std::vector<jobs::TaskId> there;
    for (int i = 0; i < tasks; ++i) {
        if (cell.workers.is_running_on("w1", { "job0", 0, 0, i }))
            there.push_back({ "job0", 0, 0, i });
    }
    BOOST_TEST(!there.empty());
    cell.workers.drain("w1", announced);
    cell.world.run_for(announced);
    const Millis ended = cell.world.now();
    const auto all_run = [&] {
        return std::all_of(there.begin(), there.end(), [&](const jobs::TaskId& task) {
            return cell.workers.is_running(task);
        });
    };
    while (!all_run() && cell.world.now() - ended < Millis(10000))
        cell.world.run_for(Millis(10));
    return cell.world.now() - ended;
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// Tasks of a worker that has left as announced must not wait for a whole lease, whether its
// machine refuses connections or swallows them.
BOOST_AUTO_TEST_CASE(tasks_of_a_worker_that_has_left_start_again_soon)
{
    constexpr Millis bound { 3000 };
    for (const bool unresponsive : { false, true }) {
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            const Millis wait = longest_wait_after_end(seed, Millis(9000), unresponsive);
            BOOST_TEST((wait < bound), "seed " << seed << ": " << wait.count() << " ms");
            BOOST_TEST_MESSAGE("unresponsive " << unresponsive << ", seed " << seed << ": "
                                               << wait.count() << " ms");
        }
    }
}

// A worker that runs on after its announced end keeps its tasks. Its leases are short then,
// and a single lost poll or a pause of the leader let them run out.
BOOST_AUTO_TEST_CASE(overdue_worker_keeps_its_tasks)
{
    for (const int64_t link : { int64_t(0), slow_link }) {
        for (uint64_t seed = 1; seed <= seeds; ++seed)
            BOOST_TEST(starts_beside_overdue_worker(seed, link, [](Cell&) {}) == tasks);
    }
}

BOOST_AUTO_TEST_CASE(overdue_worker_keeps_its_tasks_over_a_lost_poll)
{
    for (const int64_t lost_ms : { 100, 250, 400 }) {
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            const int64_t starts = starts_beside_overdue_worker(seed, 0, [&](Cell& cell) {
                cell.world.run_for(Millis(7000));
                cell.workers.partition("w1", Millis(lost_ms));
            });
            BOOST_TEST(starts == tasks, lost_ms << " ms, seed " << seed << ": " << starts);
        }
    }
}

BOOST_AUTO_TEST_CASE(overdue_worker_keeps_its_tasks_over_a_pause_of_the_leader)
{
    for (const int64_t pause_ms : { 200, 350, 500 }) {
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            const int64_t starts = starts_beside_overdue_worker(seed, 0, [&](Cell& cell) {
                cell.world.run_for(Millis(7000));
                cell.freeze(cell.leader(), Millis(pause_ms));
            });
            BOOST_TEST(starts == tasks, pause_ms << " ms, seed " << seed << ": " << starts);
        }
    }
}

// Calls go through relays, and each event takes a node some milliseconds.
BOOST_AUTO_TEST_CASE(overdue_worker_behind_busy_relays_keeps_its_tasks)
{
    for (const int64_t cost_ms : { 1, 2, 4, 6 }) {
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            const int64_t starts
                = starts_beside_overdue_worker(seed, slow_link, [&](Cell& cell) {
                      cell.set_processor_cost({ Millis(cost_ms), Millis(0) });
                  });
            BOOST_TEST(starts == tasks, cost_ms << " ms, seed " << seed << ": " << starts);
        }
    }
}
