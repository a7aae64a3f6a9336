// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Planned stops of the leader. It names its successor in its last write, so that no time
/// is lost on failure detection or on competing claims.

#define BOOST_TEST_MODULE hand_over
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

namespace {

/// Limit on the time from the last order of a stopping leader to the first one of its
/// successor, with an undisturbed store.
constexpr Millis max_hand_over_time { 100 };

// Submits a job every 5 ms for `span` and returns the longest time without a start.
Millis longest_gap(Cell& cell, Millis span)
{
    const Millis begun = cell.world.now();
    Millis started = begun;
    Millis longest;
    for (int i = 0; cell.world.now() - begun < span; ++i) {
        if (i % 5 == 0)
            submit_plain(cell, "job" + std::to_string(i), small_step(1, 200));
        const int64_t before = cell.workers.starts();
        cell.world.run_for(Millis(1));
        if (cell.workers.starts() > before)
            started = cell.world.now();
        longest = std::max(longest, cell.world.now() - started);
    }
    return longest;
}

} // namespace

BOOST_AUTO_TEST_CASE(successor_orders_soon_after_a_planned_stop)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        Cell cell(seed, 6, 8);
        cell.world.run_for(Millis(3000));
        const std::string leader = cell.leader();
        const int64_t epoch = epoch_of(cell);
        cell.stop(leader, Millis(500));
        const Millis pause = longest_gap(cell, Millis(600));
        BOOST_TEST((pause <= max_hand_over_time),
                   "seed " << seed << ": " << pause.count() << " ms");
        BOOST_TEST(epoch_of(cell) == epoch + 1, "seed " << seed);
        BOOST_TEST(cell.leader() != leader, "seed " << seed);
        cell.world.run_for(Millis(8000));
        const auto problems = cell.final_violations();
        BOOST_TEST(problems.empty(), "seed " << seed << join_lines(problems));
    }
}

// A takeover has to read all open jobs, so a stopping leader keeps its role while the store
// is slow, as long as its grace period allows.
BOOST_AUTO_TEST_CASE(leader_that_stops_waits_for_a_slow_store)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        Cell cell(seed, 6, 8);
        cell.world.run_for(Millis(3000));
        const std::string leader = cell.leader();
        cell.store.injected.latency_factor = 90;
        for (int i = 0; i < 10; ++i) {
            submit_plain(cell, "early" + std::to_string(i), small_step(1, 200));
            cell.world.run_for(Millis(150));
        }
        cell.stop(leader, Millis(500));
        for (int i = 0; i < 10; ++i) {
            submit_plain(cell, "job" + std::to_string(i), small_step(1, 200));
            cell.world.run_for(Millis(150));
            BOOST_TEST(cell.leader() == leader, "seed " << seed << ", job " << i);
        }
        cell.store.injected.latency_factor = 1;
        cell.world.run_for(Millis(1500));
        BOOST_TEST(cell.leader() != leader, "seed " << seed);
        cell.world.run_for(Millis(8000));
        const auto problems = cell.final_violations();
        BOOST_TEST(problems.empty(), "seed " << seed << join_lines(problems));
    }
}

// If the store stays slow, it still hands over within the grace period.
BOOST_AUTO_TEST_CASE(leader_that_stops_hands_over_within_its_grace)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        Cell cell(seed, 6, 8);
        cell.world.run_for(Millis(3000));
        const std::string leader = cell.leader();
        cell.store.injected.latency_factor = 60;
        for (int i = 0; i < 30; ++i) {
            submit_plain(cell, "job" + std::to_string(i), small_step(1, 200));
            if (i == 5)
                cell.stop(leader, Millis(500));
            cell.world.run_for(Millis(150));
        }
        BOOST_TEST(cell.leader() != leader, "seed " << seed);
        cell.store.injected.latency_factor = 1;
        cell.world.run_for(Millis(15000));
        const auto problems = cell.final_violations();
        BOOST_TEST(problems.empty(), "seed " << seed << join_lines(problems));
    }
}

// All nodes are restarted one after the other, also while the store loses replies.
BOOST_AUTO_TEST_CASE(rolling_restarts_lose_and_repeat_nothing)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Cell cell(seed, 5, 8);
        cell.world.run_for(Millis(2500));
        int submitted = 0;
        for (const std::string& node : cell.node_names()) {
            cell.store.injected.lost_write_replies = seed % 2 == 0 ? 0.4 : 0;
            cell.store.injected.delay_lost_writes = seed % 4 == 0;
            cell.stop(node, Millis(300));
            if (seed % 3 == 0)
                cell.stop(cell.leader(), Millis(300));
            for (int i = 0; i < 15; ++i) {
                submit_plain(cell, "job" + std::to_string(submitted++), small_step(2, 300));
                cell.world.run_for(Millis(100));
            }
        }
        cell.store.injected.lost_write_replies = 0;
        cell.world.run_for(Millis(30000));
        const auto problems = cell.final_violations();
        BOOST_TEST(problems.empty(), "seed " << seed << join_lines(problems));
    }
}
