// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Workers that announce their end while the list of workers is hard to read. None may get
/// a task once the time in which the announcement has to be heeded is over.

#define BOOST_TEST_MODULE drain
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

using namespace pathport;
using namespace pathport::cell_tests;

namespace {

/// Jobs come all the time, and one worker after the other announces its end, while answers
/// of the store take `slow` times as long for a while. Returns the breaches.
std::vector<std::string> run_departures(uint64_t seed, int workers, int64_t slow)
{
    Cell cell(seed, 4, workers);
    cell.world.run_for(Millis(3000));
    cell.store.injected.latency_factor = slow;
    for (int i = 0; i < 240; ++i) {
        const StepModel facts = small_step(6, 400);
        cell.submit("job" + std::to_string(i), spec_of({ facts }), { facts }, false);
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

// Found on the users' bench, at a thousand workers: a task was started 4.3 s after its
// worker had announced its end, by a leader that was short of processor time.
BOOST_AUTO_TEST_CASE(a_worker_that_announced_its_end_gets_nothing_from_an_old_list)
{
    for (const int64_t slow : { 1, 60, 150, 200, 300 }) {
        for (uint64_t seed = 1; seed <= 6; ++seed) {
            const auto wrong = run_departures(seed, 30, slow);
            BOOST_TEST(wrong.empty(),
                       "seed " << seed << ", store slower by " << slow
                               << join_lines(wrong));
        }
    }
}

// The list of a large cell comes in pages, one after the other.
BOOST_AUTO_TEST_CASE(a_list_in_pages_is_as_old_as_its_first)
{
    constexpr int workers_on_three_pages = 1100;
    const auto wrong = run_departures(1, workers_on_three_pages, 100);
    BOOST_TEST(wrong.empty(), join_lines(wrong));
}
