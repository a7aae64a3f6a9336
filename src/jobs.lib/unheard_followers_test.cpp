// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A new leader that has not heard from its followers.

#define BOOST_TEST_MODULE unheard_followers
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

using namespace pathport;
using namespace pathport::cell_tests;
using emulator::PartitionMode;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// A new leader is cut off from its peers before any of them has sent it a heartbeat, and
// from the store a little later. It knows of no follower, so it needs no promise not to
// claim, and renews leases while the other side elects a leader that cannot reach one
// worker: its tasks run twice.
BOOST_AUTO_TEST_CASE(new_leader_without_followers_stops_ordering_without_the_store)
{
    for (const PartitionMode mode : { PartitionMode::drops, PartitionMode::refuses }) {
        for (uint64_t seed = 1; seed <= 6; ++seed) {
            Cell cell(seed, 3, 4);
            add_queues(cell);
            cell.world.run_for(Millis(2000));
            cell.note_disturbance(Millis(60000));
            submit(cell, "q1", "job0", { one_core_step(12, 25000) });
            cell.world.run_for(Millis(1000));
            const std::string first = cell.leader();
            cell.kill(first, Millis(4000));
            for (int i = 0; i < 5000 && cell.leader().empty(); ++i)
                cell.world.run_for(Millis(1));
            const std::string leader = cell.leader();
            BOOST_REQUIRE(!leader.empty());
            cell.partition_from_peers(leader, Millis(30000), mode);
            cell.world.run_for(Millis(1500));
            cell.store.injected.refused_nodes = { leader };
            for (const std::string& node : cell.node_names()) {
                if (node != leader)
                    cell.workers.partition("w1", Millis(28000), node, mode);
            }
            for (const char* const worker : { "w2", "w3", "w4" })
                cell.workers.partition(worker, Millis(28000), leader, mode);
            cell.world.run_for(Millis(28000));
            cell.store.injected.refused_nodes.clear();
            cell.world.run_for(Millis(40000));
            const auto violations = cell.final_violations();
            BOOST_TEST(violations.empty(), "seed " << seed << join_lines(violations));
        }
    }
}
