// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Schedules in which tasks could run twice after a takeover, since the earlier leader had
/// started them without a record.

#define BOOST_TEST_MODULE unrecorded_starts
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// An earlier leader has started tasks without a record on a worker that is not listed when
// the next one takes over. The new leader has to assume that they may be running.
BOOST_AUTO_TEST_CASE(unrecorded_starts_on_an_unlisted_worker_are_waited_for)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        Cell cell(seed, 3, 3);
        add_queues(cell);
        cell.world.run_for(Millis(2000));
        cell.store.injected.latency_factor = 80;
        cell.world.run_for(Millis(2000));
        for (int i = 0; i < 12; ++i) {
            submit(cell, "q0", "job" + std::to_string(i), { one_core_step(1, 6000) });
            cell.world.run_for(Millis(100));
        }
        for (const std::string& id : cell.workers.ids()) {
            if (id != "w3")
                cell.workers.inject_fault(id, WorkerFault::unlisted, Millis(6000));
        }
        cell.kill(cell.leader(), Millis(5000));
        cell.store.injected.latency_factor = 1;
        cell.world.run_for(Millis(30000));
        const auto problems = cell.final_violations();
        BOOST_TEST(problems.empty(), "seed " << seed << join_lines(problems));
    }
}

// A second leader claims while it still has to wait for the first one's unrecorded starts
// (first seen with seed 30104). The head row has to pass them on to the third leader.
BOOST_AUTO_TEST_CASE(unrecorded_starts_are_waited_for_over_two_take_overs)
{
    for (uint64_t seed = 1; seed <= 10; ++seed) {
        Cell cell(seed, 3, 2);
        add_queues(cell);
        cell.world.run_for(Millis(2000));
        cell.store.injected.latency_factor = 80;
        cell.world.run_for(Millis(2000));
        for (int i = 0; i < 8; ++i) {
            submit(cell, "q0", "job" + std::to_string(i), { one_core_step(1, 6000) });
            cell.world.run_for(Millis(100));
        }
        // All of them run on the worker that is partitioned now.
        cell.workers.partition("w1", Millis(5500));
        cell.kill(cell.leader(), Millis(500));
        cell.store.injected.latency_factor = 1;
        for (int i = 0; i < 40 && cell.leader().empty(); ++i)
            cell.world.run_for(Millis(50));
        cell.kill(cell.leader(), Millis(500));
        cell.world.run_for(Millis(30000));
        const auto problems = cell.final_violations();
        BOOST_TEST(problems.empty(), "seed " << seed << join_lines(problems));
    }
}
