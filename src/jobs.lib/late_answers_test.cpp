// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Whole cells whose leader is short of processor time while most of the workers' capacity
/// is free.
///
/// Guards against accepted tasks that stand for seconds although there is room for them.
/// A caller of the advisor has at most two queries in flight, and counts as busy until the
/// leader has read the answer. Answers wait in the leader's loop behind the messages that
/// arrived before them, ten times as long as the advisor takes. The few queries in flight
/// limit what is started while the advisor idles, and steps with failed tasks, which need
/// further answers, stand.

#define BOOST_TEST_MODULE late_answers
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

using namespace pathport;
using namespace pathport::cell_tests;

namespace {

constexpr int workers = 100;
constexpr int jobs_submitted = 300;
constexpr Millis submit_interval { 40 };
constexpr Millis event_time { 2 };
constexpr Millis finish_time { 10000 };

/// Returns the jobs that stood for 3 s with room for them, on the queue of that name. A
/// fifth of the jobs have tasks that fail once.
std::vector<std::string> stalled_jobs(const std::string& queue, uint64_t seed)
{
    Cell cell(seed, 4, 1);
    add_queues(cell);
    cell.workers.injected.ticket_validity = Millis(2000);
    cell.workers.allowed_tenths = 4;
    for (int i = 1; i < workers; ++i)
        cell.workers.add("pool", { 16000, 64000, 0 });
    cell.watch_jobs();
    cell.world.run_for(Millis(3000));
    cell.set_processor_cost({ event_time, Millis(0) });
    cell.world.run_for(Millis(5000));
    for (int i = 0; i < jobs_submitted; ++i) {
        StepModel step = one_core_step(10, 1000);
        step.need = { 450, 528, 0 };
        step.advice_latency_ms = 5;
        step.failing_runs = i % 5 == 0 ? 1 : 0;
        submit(cell, queue, "job" + std::to_string(i), { step });
        cell.world.run_for(submit_interval);
    }
    cell.world.run_for(finish_time);
    return cell.liveness_violations();
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// The leader has the processor time to start and restart all of these tasks.
BOOST_AUTO_TEST_CASE(a_busy_leader_starts_failed_tasks_again_without_advice)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        const auto stalled = stalled_jobs("q2", seed);
        BOOST_TEST(stalled.empty(), "seed " << seed << join_lines(stalled));
    }
}

// Nine tenths of the capacity are free, and the advisor idles for nine tenths of the time.
BOOST_AUTO_TEST_CASE(a_busy_leader_starts_failed_tasks_again_with_advice)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        const auto stalled = stalled_jobs("a2", seed);
        BOOST_TEST(stalled.empty(), "seed " << seed << join_lines(stalled));
    }
}
