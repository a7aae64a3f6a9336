// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Faults that left tasks unplaced or stalled, each as a schedule of its own. They were
/// found by review and by the schedules of liveness_test.

#define BOOST_TEST_MODULE stuck_tasks
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// The list drops an idle worker that answers, and lists it again. Its session was
// discarded, and the next one began with a fence below the one that the first session had
// raised. The worker refused it, and the leader took that for the fence of a later leader
// and resigned.
BOOST_AUTO_TEST_CASE(worker_that_is_listed_again_deposes_no_leader)
{
    Cell cell(1, 3, 1);
    add_queues(cell);
    cell.world.run_for(Millis(2000));
    // Two unanswered starts raise the fence.
    cell.workers.injected.unanswered_share = 1;
    submit(cell, "q0", "job0", { one_core_step(2, 300) });
    cell.world.run_for(Millis(600));
    cell.workers.injected.unanswered_share = 0;
    cell.world.run_for(Millis(3000));
    const int64_t epoch = epoch_of(cell);
    for (const std::string& id : cell.workers.ids())
        cell.workers.inject_fault(id, WorkerFault::unlisted, Millis(2000));
    cell.world.run_for(Millis(6000));
    BOOST_TEST(epoch_of(cell) == epoch);
    const auto violations = cell.final_violations();
    BOOST_TEST(violations.empty(), join_lines(violations));
}

// A worker that answers polls and declines all starts was chosen repeatedly for the tasks
// of one job although others were free: it was avoided only after unexpected failures of
// two jobs in a row.
BOOST_AUTO_TEST_CASE(task_that_one_worker_declines_runs_elsewhere)
{
    Cell cell(2, 3, 4);
    add_queues(cell);
    cell.watch_jobs();
    cell.world.run_for(Millis(2000));
    cell.workers.inject_fault("w1", WorkerFault::declines_starts, Millis(60000));
    submit(cell, "q2", "job0", { one_core_step(1, 500) });
    cell.world.run_for(Millis(10000));
    const auto violations = cell.final_violations();
    BOOST_TEST(violations.empty(), join_lines(violations));
}

// The same for other ways in which all starts on one worker fail.
BOOST_AUTO_TEST_CASE(task_that_never_starts_on_one_worker_runs_elsewhere)
{
    for (const WorkerFault fault :
         { WorkerFault::refuses_starts, WorkerFault::drops_starts }) {
        for (const char* const queue : { "q2", "a2" }) {
            Cell cell(2, 3, 4);
            add_queues(cell);
            cell.watch_jobs();
            cell.world.run_for(Millis(2000));
            // Two of four, since a task may remember only where it failed last.
            for (const char* const id : { "w1", "w2" })
                cell.workers.inject_fault(id, fault, Millis(60000));
            submit(cell, queue, "job0", { one_core_step(1, 500) });
            cell.world.run_for(Millis(10000));
            const auto violations = cell.final_violations();
            BOOST_TEST(violations.empty(), queue << join_lines(violations));
        }
    }
}

// The same for a worker on which tasks stall: the stopped task was placed there again.
BOOST_AUTO_TEST_CASE(task_that_stood_still_on_one_worker_runs_elsewhere)
{
    Cell cell(3, 3, 4);
    add_queues(cell);
    cell.world.run_for(Millis(2000));
    cell.workers.inject_fault("w1", WorkerFault::stalls_tasks, Millis(60000));
    submit(cell, "q2", "job0", { one_core_step(1, 500) });
    cell.world.run_for(Millis(15000));
    const auto violations = cell.final_violations();
    BOOST_TEST(violations.empty(), join_lines(violations));
}

// The second leader learned of a task's second failure before the first one and recorded
// it. The third leader learned of the first failure only then, assumed it to be counted
// already, and the task was started once too often (seed 70024).
BOOST_AUTO_TEST_CASE(earlier_failure_counts_after_a_later_one_is_recorded)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Cell cell(seed, 3, 2);
        add_queues(cell);
        cell.world.run_for(Millis(2000));
        cell.store.injected.latency_factor = 80;
        cell.world.run_for(Millis(2000));
        StepModel model = one_core_step(1, 300);
        model.failing_runs = 9;
        submit(cell, "q0", "job0", { model });
        for (int i = 0; i < 400 && cell.workers.starts() < 2; ++i)
            cell.world.run_for(Millis(10));
        // The task has failed on the first worker and runs on the second one, unrecorded.
        cell.workers.partition("w1", Millis(60000));
        cell.kill(cell.leader(), Millis(500));
        cell.store.injected.latency_factor = 1;
        for (int i = 0; i < 40 && cell.leader().empty(); ++i)
            cell.world.run_for(Millis(50));
        cell.world.run_for(Millis(500));
        cell.workers.partition("w1", Millis(0));
        cell.kill(cell.leader(), Millis(500));
        cell.world.run_for(Millis(20000));
        const auto violations = cell.final_violations();
        BOOST_TEST(violations.empty(), "seed " << seed << join_lines(violations));
    }
}

// Tasks that fail by their own fault made healthy workers look bad: with jobs that can
// never be completed, all workers were avoided or tried with one task at a time, and other
// jobs waited while most of the capacity was free (seed 100040 of style 1).
BOOST_AUTO_TEST_CASE(failing_jobs_do_not_get_workers_avoided)
{
    for (const char* const queue : { "q2", "a2" }) {
        Cell cell(6, 3, 12);
        add_queues(cell);
        cell.watch_jobs();
        cell.world.run_for(Millis(2000));
        StepModel failing = one_core_step(2, 800);
        failing.failing_runs = 99;
        for (int i = 0; i < 40; ++i) {
            submit(cell, "q1", "bad" + std::to_string(i), { failing });
            if (i % 5 == 0)
                submit(cell, queue, "good" + std::to_string(i), { one_core_step(3, 800) });
            cell.world.run_for(Millis(100));
        }
        cell.world.run_for(Millis(15000));
        const auto violations = cell.final_violations();
        BOOST_TEST(violations.empty(), queue << join_lines(violations));
    }
}

// The same at the size of a user's site: in a calm cell, tasks that had failed once were
// not started again for half a minute, with most of the capacity free.
BOOST_AUTO_TEST_CASE(failing_jobs_fail_soon_after_the_load)
{
    Cell cell(6, 4, 2);
    add_queues(cell);
    for (int i = 0; i < 46; ++i)
        cell.workers.add("pool", { 16000, 64000, 0 });
    cell.watch_jobs();
    cell.world.run_for(Millis(3000));
    StepModel failing = one_core_step(15, 900);
    failing.need = { 450, 528, 0 };
    failing.failing_runs = 99;
    for (int i = 0; i < 100; ++i) {
        submit(cell, "a2", "bad" + std::to_string(i), { failing });
        submit(cell, "q0", "quick" + std::to_string(i), { one_core_step(2, 600) });
        cell.world.run_for(Millis(50));
    }
    constexpr Millis finish_time { 14000 };
    cell.world.run_for(finish_time);
    BOOST_TEST(cell.liveness_violations().size() == 0U,
               join_lines(cell.liveness_violations()));
}

// Requests for advice of gangs and of steps that asked repeatedly filled the advisor's
// queue. Their answers came when the capacity that they were asked for was gone; the steps
// behind them were never asked about, for half a minute and with most of the capacity free
// (a LOST score of 82 to 251 in random runs).
BOOST_AUTO_TEST_CASE(every_step_gets_its_turn_when_advice_is_scarce)
{
    for (uint64_t seed = 1; seed <= 2; ++seed) {
        Cell cell(seed, 6, 1);
        add_queues(cell);
        jobs::Configuration configuration = cell.store.configuration();
        ++configuration.version;
        for (jobs::Queue& queue : configuration.queues) {
            if (queue.name == "a1")
                queue.advice = jobs::AdviceRule { 480, 7, 2000 };
            if (queue.name == "a2")
                queue.advice = jobs::AdviceRule { 42, 1, 2000 };
        }
        cell.store.configure(configuration);
        cell.workers.injected.ticket_validity = Millis(2000);
        cell.workers.allowed_tenths = 4;
        for (int i = 0; i < 47; ++i)
            cell.workers.add("pool", { 16000, 64000, 0 });
        cell.watch_jobs();
        cell.world.run_for(Millis(3000));
        StepModel gang = one_core_step(8, 6000);
        gang.need.cpu_millis = 4500;
        gang.gang = true;
        gang.advice_latency_ms = 480;
        StepModel batch = one_core_step(10, 2200);
        batch.advice_latency_ms = 42;
        for (int i = 0; i < 540; ++i) {
            if (i % 6 == 0)
                submit(cell, "a1", "gang" + std::to_string(i), { gang });
            submit(cell, "a2", "batch" + std::to_string(i), { batch });
            cell.world.run_for(Millis(12));
        }
        cell.world.run_for(Millis(30000));
        BOOST_TEST(cell.liveness_violations().size() == 0U,
                   join_lines(cell.liveness_violations()));
    }
}
