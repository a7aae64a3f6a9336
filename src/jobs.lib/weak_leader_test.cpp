// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Whole cells whose nodes have all, 0.7, 0.5 or 0.3 of the processor time that their load
/// takes.
///
/// Guards against a cliff: a leader that is a little short of processor time takes its own
/// lateness for losses, repeats calls and reads, and is replaced by others that begin anew,
/// so that a part of the work is served which is much smaller than its part of the
/// processor, or jobs that were accepted are lost. What is served should fall in proportion
/// and come back soon after the load has gone.

#define BOOST_TEST_MODULE weak_leader
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

using namespace pathport;
using namespace pathport::cell_tests;
using emulator::ProcessorCost;

namespace {

constexpr int nodes = 4;
constexpr int workers = 100;
constexpr int tasks_per_job = 10;
constexpr Millis event_time { 2 }; ///< At full speed, which this load just leaves room for.
constexpr Millis job_interval { 40 };
constexpr Millis load_time { 12000 };
constexpr Millis recovery_time { 2000 };
/// Of what a proportional share of the jobs would be, for a load that comes at random.
constexpr double least_share = 0.8;

struct Outcome {
    int completed = 0; ///< Jobs of the load that were done when it ended.
    int64_t leader_changes = 0;
    bool recovered = false; ///< A job that came soon after the load was done in time.
    int lost = 0; ///< Accepted jobs that were not done long after the load.
    std::vector<std::string> violations;
};

bool is_done(const Cell& cell, const std::string& job)
{
    return cell.workers.all_done(job, 0, tasks_per_job, false);
}

/// Plays a load on the queue of that name on nodes of that speed.
Outcome play(const std::string& queue, int speed_percent, uint64_t seed)
{
    Cell cell(seed, nodes, 1);
    add_queues(cell);
    for (int i = 1; i < workers; ++i)
        cell.workers.add("pool", { 16000, 64000, 0 });
    cell.world.run_for(Millis(4000));
    ProcessorCost cost;
    cost.event = event_time;
    cost.speed_percent = speed_percent;
    cell.set_processor_cost(cost);
    cell.world.run_for(Millis(4000));
    const int64_t first_epoch = epoch_of(cell);
    StepModel step = one_core_step(tasks_per_job, 1000);
    step.need = { 450, 528, 0 };
    int jobs = 0;
    for (Millis at; at < load_time; at = at + job_interval) {
        submit(cell, queue, "job" + std::to_string(jobs++), { step });
        cell.world.run_for(job_interval);
    }
    Outcome outcome;
    for (const auto& [id, job] : cell.jobs())
        outcome.completed += is_done(cell, id) ? 1 : 0;
    cell.world.run_for(recovery_time);
    submit(cell, queue, "after", { step });
    cell.world.run_for(Millis(3000));
    outcome.recovered = is_done(cell, "after");
    outcome.leader_changes = epoch_of(cell) - first_epoch;
    cell.world.run_for(Millis(60000));
    for (const auto& [id, job] : cell.jobs())
        outcome.lost += job.accepted && !is_done(cell, id) ? 1 : 0;
    outcome.violations = cell.workers.violations();
    BOOST_TEST_MESSAGE(queue << " at " << speed_percent << " %, seed " << seed << ": "
                             << outcome.completed << " of " << jobs << " jobs, "
                             << outcome.leader_changes << " changes of leader, "
                             << outcome.lost << " lost, "
                             << (outcome.recovered ? "recovered" : "not recovered"));
    return outcome;
}

void check_proportion(const std::string& queue)
{
    constexpr uint64_t seed = 1;
    const Outcome full = play(queue, 100, seed);
    for (const int percent : { 70, 50, 30 }) {
        const Outcome weak = play(queue, percent, seed);
        const double share = double(weak.completed) / double(full.completed);
        BOOST_TEST_CONTEXT(queue << " at " << percent << " %")
        {
            BOOST_TEST(share >= least_share * percent / 100);
            BOOST_TEST(weak.leader_changes <= 1);
            BOOST_TEST(weak.recovered);
            BOOST_TEST(weak.lost == 0);
            BOOST_TEST(weak.violations.empty(), join_lines(weak.violations));
        }
    }
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(weak_leader_serves_in_proportion_without_advice)
{
    check_proportion("q2");
}

BOOST_AUTO_TEST_CASE(weak_leader_serves_in_proportion_with_advice)
{
    check_proportion("a2");
}
