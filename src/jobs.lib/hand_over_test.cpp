// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Planned stops of the leader: it names its successor in its last write, so that nobody
/// has to find out that it is gone, and nobody claims in vain.

#define BOOST_TEST_MODULE hand_over
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

namespace {

/// From a planned stop to the orders of the next leader, in a calm store.
constexpr Millis quick_hand_over { 100 };

// Returns how long it takes from now until another task is started, at most a second.
Millis time_to_next_start(Cell& cell)
{
    const int64_t before = cell.workers.starts();
    const Millis begun = cell.world.now();
    while (cell.workers.starts() == before && cell.world.now() - begun < Millis(1000))
        cell.world.run_for(Millis(1));
    return cell.world.now() - begun;
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
        cell.world.run_for(Millis(8));
        submit_plain(cell, "job", small_facts(1, 200));
        const Millis waited = time_to_next_start(cell);
        BOOST_TEST((waited <= quick_hand_over),
                   "seed " << seed << ": " << waited.count() << " ms");
        BOOST_TEST(epoch_of(cell) == epoch + 1, "seed " << seed);
        BOOST_TEST(cell.leader() != leader, "seed " << seed);
        cell.world.run_for(Millis(8000));
        const auto wrong = cell.verdict();
        BOOST_TEST(wrong.empty(), "seed " << seed << joined(wrong));
    }
}

// A take-over reads all open jobs. While the store is slow the leader that is to stop does
// better to go on, as long as its grace allows.
BOOST_AUTO_TEST_CASE(leader_that_stops_waits_for_a_slow_store)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        Cell cell(seed, 6, 8);
        cell.world.run_for(Millis(3000));
        const std::string leader = cell.leader();
        cell.store.trouble.slow = 90;
        for (int i = 0; i < 10; ++i) {
            submit_plain(cell, "early" + std::to_string(i), small_facts(1, 200));
            cell.world.run_for(Millis(150));
        }
        cell.stop(leader, Millis(500));
        for (int i = 0; i < 10; ++i) {
            submit_plain(cell, "job" + std::to_string(i), small_facts(1, 200));
            cell.world.run_for(Millis(150));
            BOOST_TEST(cell.leader() == leader, "seed " << seed << ", job " << i);
        }
        cell.store.trouble.slow = 1;
        cell.world.run_for(Millis(1500));
        BOOST_TEST(cell.leader() != leader, "seed " << seed);
        cell.world.run_for(Millis(8000));
        const auto wrong = cell.verdict();
        BOOST_TEST(wrong.empty(), "seed " << seed << joined(wrong));
    }
}

// In a store that stays slow it hands over in time all the same.
BOOST_AUTO_TEST_CASE(leader_that_stops_hands_over_within_its_grace)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        Cell cell(seed, 6, 8);
        cell.world.run_for(Millis(3000));
        const std::string leader = cell.leader();
        cell.store.trouble.slow = 60;
        for (int i = 0; i < 30; ++i) {
            submit_plain(cell, "job" + std::to_string(i), small_facts(1, 200));
            if (i == 5)
                cell.stop(leader, Millis(500));
            cell.world.run_for(Millis(150));
        }
        BOOST_TEST(cell.leader() != leader, "seed " << seed);
        cell.store.trouble.slow = 1;
        cell.world.run_for(Millis(15000));
        const auto wrong = cell.verdict();
        BOOST_TEST(wrong.empty(), "seed " << seed << joined(wrong));
    }
}

// All nodes are replaced one after the other, also while the store loses answers.
BOOST_AUTO_TEST_CASE(rolling_restarts_lose_and_repeat_nothing)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Cell cell(seed, 5, 8);
        cell.world.run_for(Millis(2500));
        int submitted = 0;
        for (const std::string& node : cell.node_names()) {
            cell.store.trouble.lose = seed % 2 == 0 ? 0.4 : 0;
            cell.store.trouble.late = seed % 4 == 0;
            cell.stop(node, Millis(300));
            if (seed % 3 == 0)
                cell.stop(cell.leader(), Millis(300));
            for (int i = 0; i < 15; ++i) {
                submit_plain(cell, "job" + std::to_string(submitted++), small_facts(2, 300));
                cell.world.run_for(Millis(100));
            }
        }
        cell.store.trouble.lose = 0;
        cell.world.run_for(Millis(30000));
        const auto wrong = cell.verdict();
        BOOST_TEST(wrong.empty(), "seed " << seed << joined(wrong));
    }
}
