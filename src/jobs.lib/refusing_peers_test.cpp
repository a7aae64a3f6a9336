// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Links between nodes that refuse connections while the nodes on both sides run on.

#define BOOST_TEST_MODULE refusing_peers
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

#include <algorithm>

using namespace pathport;
using namespace pathport::cell_tests;
using emulator::PartitionMode;

namespace {

constexpr uint64_t seeds = 6;
constexpr emulator::PartitionMode modes[]
    = { PartitionMode::drops, PartitionMode::refuses };

/// Returns the nodes other than the leader.
std::vector<std::string> followers_of(Cell& cell)
{
    std::vector<std::string> names = cell.node_names();
    names.erase(std::remove(names.begin(), names.end(), cell.leader()), names.end());
    return names;
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// The store serves one follower only, whose links to its peers refuse connections. The
// leader took that for the end of its process, went on renewing leases without its promise
// not to claim, and the follower that had claimed started the tasks of a worker that only
// the old leader reached. No other worker told the old leader of its successor's fence.
BOOST_AUTO_TEST_CASE(leader_needs_the_promise_of_a_follower_that_refuses_connections)
{
    for (const PartitionMode mode : modes) {
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            Cell cell(seed, 3, 4);
            add_queues(cell);
            cell.world.run_for(Millis(2000));
            submit(cell, "q1", "job0", { one_core_step(16, 30000) });
            cell.world.run_for(Millis(1000));
            const std::string leader = cell.leader();
            const auto followers = followers_of(cell);
            cell.store.injected.partitioned_nodes = { leader, followers[0] };
            cell.partition_from_peers(followers[1], Millis(20000), mode);
            for (const std::string& worker : cell.workers.ids())
                cell.workers.partition(worker, Millis(20000),
                                       worker == "w1" ? followers[1] : leader);
            cell.world.run_for(Millis(20000));
            cell.store.injected.partitioned_nodes.clear();
            cell.world.run_for(Millis(60000));
            const auto violations = cell.final_violations();
            BOOST_TEST(violations.empty(), "seed " << seed << join_lines(violations));
        }
    }
}

// A follower whose link to the leader refused connections claimed the leadership at once,
// and the old leader, whose link to it refused as well, claimed it back, for as long as the
// link was cut.
BOOST_AUTO_TEST_CASE(leader_that_writes_is_not_replaced_by_followers_that_it_refuses)
{
    for (const PartitionMode mode : modes) {
        for (uint64_t seed = 1; seed <= seeds; ++seed) {
            Cell cell(seed, 3, 4);
            add_queues(cell);
            cell.world.run_for(Millis(2000));
            const int64_t epoch = epoch_of(cell);
            cell.partition_from_peers(followers_of(cell)[0], Millis(6000), mode);
            for (int i = 0; i < 60; ++i) {
                submit(cell, "q1", "job" + std::to_string(i), { one_core_step(2, 200) });
                cell.world.run_for(Millis(100));
            }
            BOOST_TEST(epoch_of(cell) == epoch,
                       "seed " << seed << ", epochs " << epoch_of(cell) - epoch);
            cell.world.run_for(Millis(20000));
            const auto violations = cell.final_violations();
            BOOST_TEST(violations.empty(), "seed " << seed << join_lines(violations));
        }
    }
}

// The leader's process is gone: its successor leads soon, although nothing but refused
// connections tells it so.
BOOST_AUTO_TEST_CASE(killed_leader_is_replaced_soon)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        Cell cell(seed, 3, 4);
        add_queues(cell);
        cell.world.run_for(Millis(2000));
        for (int i = 0; i < 5; ++i) {
            submit(cell, "q1", "job" + std::to_string(i), { one_core_step(2, 200) });
            cell.world.run_for(Millis(100));
        }
        cell.kill(cell.leader(), Millis(10000));
        const Millis killed = cell.world.now();
        constexpr Millis bound { 1500 };
        while (cell.leader().empty() && cell.world.now() - killed < bound)
            cell.world.run_for(Millis(10));
        BOOST_TEST(!cell.leader().empty(), "seed " << seed);
        BOOST_TEST_MESSAGE("seed " << seed << ": a leader after "
                                   << (cell.world.now() - killed).count() << " ms");
    }
}
