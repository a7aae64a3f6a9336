// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Workers that announce their shutdown while the worker list is slow to read. None may be
/// given a task after the time by which the announcement has to be respected.

#define BOOST_TEST_MODULE drain
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

using namespace pathport;
using namespace pathport::cell_tests;

namespace {

/// Submits jobs continuously while one worker after the other announces its shutdown, with
/// the store's latency multiplied by `slow` for a while. Returns the violations.
std::vector<std::string> run_shutdowns(uint64_t seed, int workers, int64_t slow)
{
    Cell cell(seed, 4, workers);
    cell.world.run_for(Millis(3000));
    cell.store.injected.latency_factor = slow;
    for (int i = 0; i < 240; ++i) {
        const StepModel model = small_step(6, 400);
        cell.submit("job" + std::to_string(i), spec_of({ model }), { model }, false);
        if (i % 12 == 0)
            cell.workers.drain("w" + std::to_string(1 + i / 12), Millis(9000));
        if (i == 160)
            cell.store.injected.latency_factor = 1;
        cell.world.run_for(Millis(50));
    }
    cell.world.run_for(Millis(25000));
    return cell.final_violations();
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// With a thousand workers, a leader short of processor time started a task 4.3 s after its
// worker had announced its shutdown, since it relied on an outdated worker list.
BOOST_AUTO_TEST_CASE(a_worker_that_announced_its_end_gets_nothing_from_an_old_list)
{
    for (const int64_t slow : { 1, 60, 150, 200, 300 }) {
        for (uint64_t seed = 1; seed <= 6; ++seed) {
            const auto problems = run_shutdowns(seed, 30, slow);
            BOOST_TEST(problems.empty(),
                       "seed " << seed << ", store slower by " << slow
                               << join_lines(problems));
        }
    }
}

// The list of a large cell is read in pages, and is as old as the first of them.
BOOST_AUTO_TEST_CASE(a_list_in_pages_is_as_old_as_its_first)
{
    constexpr int workers_on_three_pages = 1100;
    const auto problems = run_shutdowns(1, workers_on_three_pages, 100);
    BOOST_TEST(problems.empty(), join_lines(problems));
}
