// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Workers that run on behind links that refuse connections, as a router, a proxy or a port
/// that was closed early may do, while they are draining and their entries are gone.

#define BOOST_TEST_MODULE refused_workers
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

#include <functional>

using namespace pathport;
using namespace pathport::cell_tests;
using emulator::PartitionMode;

namespace {

constexpr uint64_t seeds = 6;

/// A cell of three nodes and four workers with one job, whose tasks run on all workers.
struct RunningJob {
    Cell cell;

    RunningJob(uint64_t seed, const StepModel& step, const std::string& queue = "q1")
        : cell(seed, 3, 4)
    {
        add_queues(cell);
        cell.watch_jobs();
        cell.world.run_for(Millis(2000));
        cell.note_disturbance(Millis(30000));
        submit(cell, queue, "job0", { step });
        cell.world.run_for(Millis(1000));
    }
    /// Runs to the end and fails the test on any violation of pathport's guarantees.
    void check(const std::string& name, uint64_t seed)
    {
        cell.world.run_for(Millis(40000));
        const auto violations = cell.final_violations();
        BOOST_TEST(violations.empty(), name << ", seed " << seed << join_lines(violations));
    }
};

/// Runs `disturb` in a cell with a running job for each seed.
void check_each_seed(const std::string& name, const StepModel& step,
                     const std::function<void(Cell&)>& disturb,
                     const std::string& queue = "q1")
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        RunningJob running(seed, step, queue);
        disturb(running.cell);
        running.check(name, seed);
    }
}

/// The list lacks the worker for `span`, as after heartbeats that did not arrive.
void unlist(Cell& cell, const std::string& worker, Millis span)
{
    cell.workers.inject_fault(worker, WorkerFault::unlisted, span);
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// A draining worker is cut off by links that refuse connections, from the store as well, so
// that its entry lapses. The refusal was taken for the end of the worker, and its tasks ran
// twice.
BOOST_AUTO_TEST_CASE(draining_worker_whose_entry_lapses_behind_a_refusing_link_runs_on)
{
    check_each_seed("cut off", one_core_step(12, 9000), [](Cell& cell) {
        cell.workers.drain("w1", Millis(14000));
        cell.world.run_for(Millis(300));
        cell.workers.cut_off("w1", Millis(8000), PartitionMode::refuses);
    });
}

// The same where the entry goes at once, as it may while the store is away.
BOOST_AUTO_TEST_CASE(draining_worker_that_refuses_after_its_entry_has_gone_runs_on)
{
    for (const int64_t announced_ms : { 2000, 9000 }) {
        for (const int64_t run_ms : { 1500, 4000 }) {
            check_each_seed("unlisted", one_core_step(12, run_ms), [&](Cell& cell) {
                cell.workers.drain("w1", Millis(9000), Millis(announced_ms));
                cell.world.run_for(Millis(300));
                cell.workers.partition("w1", Millis(2500), "", PartitionMode::refuses);
                unlist(cell, "w1", Millis(2500));
            });
        }
    }
}

// The same where the store is away meanwhile, and the entry is not back when it returns.
BOOST_AUTO_TEST_CASE(draining_worker_whose_entry_lapses_in_a_store_outage_runs_on)
{
    for (const bool comes_back : { true, false }) {
        check_each_seed("outage", one_core_step(12, 9000), [&](Cell& cell) {
            cell.workers.drain("w1", Millis(14000), Millis(2000));
            cell.world.run_for(Millis(500));
            cell.store.injected.refuse_calls = true;
            unlist(cell, "w1", Millis(comes_back ? 4500 : 20000));
            cell.world.run_for(Millis(2500));
            cell.workers.partition("w1", Millis(4000), "", PartitionMode::refuses);
            cell.store.injected.refuse_calls = false;
        });
    }
}

// Only the leader's link refuses, and other nodes reach the worker.
BOOST_AUTO_TEST_CASE(worker_that_only_the_leader_cannot_reach_runs_on)
{
    check_each_seed("leader's link", one_core_step(12, 4000), [](Cell& cell) {
        cell.workers.drain("w1", Millis(9000), Millis(2000));
        cell.world.run_for(Millis(300));
        cell.workers.partition("w1", Millis(2500), cell.leader(), PartitionMode::refuses);
        unlist(cell, "w1", Millis(2500));
    });
}

// Some calls find an open connection, and new ones are refused: the worker has closed its
// port and works on.
BOOST_AUTO_TEST_CASE(worker_that_has_closed_its_port_runs_on)
{
    check_each_seed("closed port", one_core_step(12, 4000), [](Cell& cell) {
        cell.workers.drain("w1", Millis(9000), Millis(2000));
        cell.world.run_for(Millis(300));
        cell.workers.partition("w1", Millis(5000), "", PartitionMode::refuses_new);
        unlist(cell, "w1", Millis(5000));
    });
}

// The leader is replaced after the refusals, so that its successor goes by the head row.
BOOST_AUTO_TEST_CASE(next_leader_waits_for_the_lease_of_a_worker_that_refuses)
{
    check_each_seed("next leader", one_core_step(12, 6000), [](Cell& cell) {
        cell.workers.drain("w1", Millis(12000), Millis(2000));
        cell.world.run_for(Millis(300));
        cell.workers.partition("w1", Millis(8000), "", PartitionMode::refuses);
        unlist(cell, "w1", Millis(8000));
        cell.world.run_for(Millis(900));
        cell.kill(cell.leader(), Millis(1000));
    });
}

// A gang with a member there, and a task that lasts.
BOOST_AUTO_TEST_CASE(gangs_and_lasting_tasks_of_a_worker_that_refuses_run_once)
{
    StepModel gang = one_core_step(6, 4000);
    gang.gang = true;
    StepModel lasting = one_core_step(12, 4000);
    lasting.lasting = true;
    for (const StepModel& step : { gang, lasting }) {
        check_each_seed(step.gang ? "gang" : "lasting", step, [](Cell& cell) {
            cell.workers.drain("w1", Millis(9000), Millis(4000));
            cell.world.run_for(Millis(100));
            cell.workers.partition("w1", Millis(2500), "", PartitionMode::refuses);
            unlist(cell, "w1", Millis(2500));
        });
    }
}

// A worker that announces nothing and refuses connections for a while.
BOOST_AUTO_TEST_CASE(worker_that_refuses_without_draining_runs_on)
{
    for (const bool unlisted : { false, true }) {
        check_each_seed("no drain", one_core_step(12, 4000), [&](Cell& cell) {
            cell.workers.partition("w1", Millis(2500), "", PartitionMode::refuses);
            if (unlisted)
                unlist(cell, "w1", Millis(2500));
        });
    }
}
