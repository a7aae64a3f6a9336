// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Whole cells in which the leadership changes while unrecorded tasks are running.

#define BOOST_TEST_MODULE take_over
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "store_keys.h"

using namespace pathport;
using namespace pathport::cell_tests;

namespace {

void submit(Cell& cell, int number, const StepModel& model)
{
    submit_plain(cell, "job" + std::to_string(number), model);
}

/// Submits jobs while the store is so slow that starts precede their records.
void submit_to_slow_store(Cell& cell, int count, int64_t run_ms)
{
    cell.store.injected.latency_factor = 80;
    cell.world.run_for(Millis(1500));
    for (int i = 0; i < count; ++i) {
        submit(cell, i, small_step(2, run_ms));
        cell.world.run_for(Millis(60));
    }
}

/// Returns ids of jobs in the parts that a new leader reads first.
std::vector<std::string> ids_read_first()
{
    std::vector<std::string> ids;
    for (int i = 0; ids.size() < 40; ++i) {
        const std::string id = "late" + std::to_string(i);
        for (int part = 0; part < 8; ++part) {
            if (jobs::job_partition(id) == jobs::job_partition_name(part))
                ids.push_back(id);
        }
    }
    return ids;
}

/// A cell whose leader is frozen while its orders precede their records. The store is fast
/// until another node has claimed and slow from then on. The leader resumes after `span`
/// and accepts jobs whose tasks run for `run_ms`.
struct ResumedLeader {
    Cell cell;
    int64_t epoch = 0;
    std::string first;
    std::string second;

    explicit ResumedLeader(uint64_t seed)
        : cell(seed, 2, 6)
    {
        cell.world.run_for(Millis(2000));
        cell.store.injected.latency_factor = 80;
        cell.world.run_for(Millis(1500));
        for (int i = 0; i < 20; ++i) {
            submit(cell, i, small_step(1, 100));
            cell.world.run_for(Millis(60));
        }
        epoch = epoch_of(cell);
        // The reply to a write of the head row is in flight when the leader freezes.
        const std::string head = cell.store.value(jobs::lead_row(jobs::head_key));
        while (cell.store.value(jobs::lead_row(jobs::head_key)) == head)
            cell.world.run_for(Millis(1));
        first = cell.leader();
        second = first == "n1" ? "n2" : "n1";
    }
    /// Freezes the leader and returns the time until the other node claimed.
    Millis freeze(Millis span)
    {
        const Millis begun = cell.world.now();
        cell.freeze(first, span);
        cell.store.injected.latency_factor = 1;
        Millis claimed;
        while (cell.world.now() < begun + span) {
            cell.world.run_for(Millis(1));
            if (claimed == Millis(0) && epoch_of(cell) != epoch) {
                claimed = cell.world.now() - begun;
                cell.store.injected.latency_factor = 40;
            }
        }
        return claimed;
    }
    void submit_jobs(int64_t run_ms, int64_t slow)
    {
        cell.store.injected.latency_factor
            = 1; // Fast for a moment: the store's speed varies.
        for (const std::string& id : ids_read_first())
            submit_plain(cell, id, small_step(1, run_ms));
        cell.world.run_for(Millis(20));
        cell.store.injected.latency_factor = slow;
    }
};

/// Returns the time until the other node claims in the schedule of `seed`.
Millis claim_time(uint64_t seed, bool partitions_workers)
{
    ResumedLeader trial(seed);
    if (partitions_workers) {
        for (const char* const worker : { "w1", "w2", "w3", "w4", "w5" })
            trial.cell.workers.partition(worker, Millis(9000), trial.second);
    }
    return trial.freeze(Millis(4000));
}

/// Acts as a leader that does not know that it is deposed and starts a task of a job that
/// its successor has not read. Returns the violations.
std::vector<std::string> start_unknown_to_successor(int64_t run_ms)
{
    Cell cell(3, 2, 3);
    cell.world.run_for(Millis(2000));
    StepModel model = small_step(1, run_ms);
    cell.workers.define_step("hidden", 0, model);
    emulator::ProcessLoop loop(cell.world);
    emulator::WorkerPort port(cell.workers, loop, "deposed");
    jobs::StartOrder order;
    order.task = { "hidden", 0, 0, 0 };
    order.run = (int64_t(1) << 20) + 500000;
    order.payload = model.payload;
    order.lease_until = cell.world.now().count() + 5000;
    order.fence = (int64_t(1) << 20) + 1;
    port.start(cell.workers.list().front(), order, Millis(400), [](jobs::OrderAnswer) {});
    cell.world.run_for(Millis(10));
    cell.kill(cell.leader(), Millis(20000));
    while (epoch_of(cell) < 2)
        cell.world.run_for(Millis(1));
    // By then the successor has read the part with the job's row.
    cell.world.run_for(Millis(70));
    jobs::AcceptedJob job;
    job.id = "hidden";
    job.queue = cell.queue(false);
    job.spec.payload = model.payload;
    jobs::StepSpec step;
    step.need = model.need;
    step.expected_ms = run_ms;
    job.spec.steps.push_back(step);
    jobs::StoreWrite write;
    write.puts.push_back({ jobs::job_row(job.id), encode(job) });
    cell.store.write_now(write);
    cell.world.run_for(Millis(12000));
    auto problems = cell.workers.violations();
    if (!cell.workers.all_done("hidden", 0, 1, false))
        problems.emplace_back("not done");
    return problems;
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// Two leaders take over shortly after each other. The first must not write with its claim
// that no unrecorded tasks are running, or the second does not wait for unresponsive
// workers and starts their tasks twice.
BOOST_AUTO_TEST_CASE(second_successor_waits_for_silent_workers_as_well)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Cell cell(seed, 4, 6);
        cell.world.run_for(Millis(2000));
        submit_to_slow_store(cell, 30, 6000);
        for (const char* const worker : { "w1", "w2", "w3" })
            cell.workers.partition(worker, Millis(5000));
        cell.kill(cell.leader(), Millis(5000));
        cell.store.injected.latency_factor = 1;
        cell.world.run_for(Millis(500 + int64_t(seed) * 20));
        cell.kill(cell.leader(), Millis(5000));
        cell.world.run_for(Millis(40000));
        const auto problems = cell.final_violations();
        BOOST_TEST(problems.empty(), "seed " << seed << join_lines(problems));
    }
}

// A leader that learns of unrecorded running tasks from its workers has to record them,
// since the workers may be unresponsive to the next leader.
BOOST_AUTO_TEST_CASE(tasks_found_running_are_recorded)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Cell cell(seed, 4, 6);
        cell.world.run_for(Millis(2000));
        submit_to_slow_store(cell, 30, 6000);
        cell.kill(cell.leader(), Millis(5000));
        cell.store.injected.latency_factor = 1;
        cell.world.run_for(Millis(1500 + int64_t(seed) * 20));
        for (const char* const worker : { "w1", "w2", "w3" })
            cell.workers.partition(worker, Millis(5000));
        cell.kill(cell.leader(), Millis(5000));
        cell.world.run_for(Millis(40000));
        const auto problems = cell.final_violations();
        BOOST_TEST(problems.empty(), "seed " << seed << join_lines(problems));
    }
}

// A leader that does not know that it is deposed starts jobs without a record. Their runs
// and ends are reported to the successor before it knows the jobs.
BOOST_AUTO_TEST_CASE(jobs_of_a_deposed_leader_run_once)
{
    for (uint64_t seed = 1; seed <= 6; ++seed) {
        Cell cell(seed, 4, 8);
        cell.world.run_for(Millis(1500));
        cell.store.injected.latency_factor = 60 + int64_t(seed % 4) * 10;
        const int frozen_at = 60 + int(seed) * 2;
        for (int i = 0; i < 320; ++i) {
            submit(cell, i, small_step(1, i % 3 == 0 ? 700 : 120));
            if (i == frozen_at)
                cell.freeze(cell.leader(), Millis(1700 + int64_t(seed) * 13));
            cell.world.run_for(Millis(15));
        }
        cell.store.injected.latency_factor = 1;
        cell.world.run_for(Millis(20000));
        const auto problems = cell.final_violations();
        BOOST_TEST(problems.empty(), "seed " << seed << join_lines(problems));
    }
}

// Reported runs and ends of jobs that the leader does not know yet have to be kept.
// Otherwise the job runs again once it is known.
BOOST_AUTO_TEST_CASE(runs_and_ends_wait_for_jobs_that_are_not_known_yet)
{
    for (const int64_t run_ms : { 20, 60, 700, 3000 }) {
        const auto problems = start_unknown_to_successor(run_ms);
        BOOST_TEST(problems.empty(), run_ms << " ms" << join_lines(problems));
    }
}

// A leader that does not know that it is deposed starts a job that arrived after its
// successor had read the job's part. If the successor acknowledges the end of the run
// before it knows the job, it starts the task again.
BOOST_AUTO_TEST_CASE(ends_of_jobs_not_known_yet_are_kept)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        ResumedLeader resumed(seed);
        resumed.freeze(claim_time(seed, false) + Millis(145));
        resumed.submit_jobs(100, 40);
        resumed.cell.world.run_for(Millis(6000));
        resumed.cell.store.injected.latency_factor = 1;
        resumed.cell.world.run_for(Millis(15000));
        const auto problems = resumed.cell.final_violations();
        BOOST_TEST(problems.empty(), "seed " << seed << join_lines(problems));
    }
}

// The same, but the workers are unresponsive to the successor, whose loading takes longer
// than its predecessor's lease. Jobs that it learns of late have to be held back too, since
// the head row names the workers.
BOOST_AUTO_TEST_CASE(jobs_that_are_known_late_are_held_back)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        ResumedLeader resumed(seed);
        for (const char* const worker : { "w1", "w2", "w3", "w4", "w5" })
            resumed.cell.workers.partition(worker, Millis(9000), resumed.second);
        resumed.freeze(claim_time(seed, true) + Millis(145));
        resumed.submit_jobs(9000, 55);
        resumed.cell.world.run_for(Millis(6000));
        resumed.cell.store.injected.latency_factor = 1;
        resumed.cell.world.run_for(Millis(60000));
        const auto problems = resumed.cell.final_violations();
        BOOST_TEST(problems.empty(), "seed " << seed << join_lines(problems));
    }
}

// Search for the same fault in whole cells: planned stops while replies to writes are lost.
BOOST_AUTO_TEST_CASE(planned_stops_with_lost_answers)
{
    for (uint64_t seed = 1; seed <= 60; ++seed) {
        Cell cell(seed, 3, 4);
        cell.world.run_for(Millis(2000));
        for (int round = 0; round < 8; ++round) {
            cell.store.injected.lost_write_replies = 0.7;
            cell.store.injected.latency_factor = 1 + int64_t(cell.world.random_below(60));
            for (int i = 0; i < 6; ++i) {
                submit(cell, round * 6 + i, small_step(2, 700));
                cell.world.run_for(Millis(int64_t(cell.world.random_below(150))));
            }
            const std::string leader = cell.leader();
            if (!leader.empty()) {
                cell.stop(leader, Millis(300));
                cell.world.run_for(Millis(int64_t(cell.world.random_below(250))));
                cell.freeze(leader, Millis(100 + int64_t(cell.world.random_below(1500))));
            }
            cell.world.run_for(Millis(1500 + int64_t(cell.world.random_below(1500))));
        }
        cell.store.injected.lost_write_replies = 0;
        cell.store.injected.latency_factor = 1;
        cell.world.run_for(Millis(40000));
        const auto problems = cell.final_violations();
        BOOST_TEST(problems.empty(), "seed " << seed << join_lines(problems));
    }
}
