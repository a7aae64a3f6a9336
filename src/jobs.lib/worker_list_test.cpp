// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Cells whose list of workers from the platform is incomplete, as it may be while the
/// platform's store has trouble.

#define BOOST_TEST_MODULE worker_list
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

using namespace pathport;
using namespace pathport::cell_tests;

namespace {

/// Makes the list contain only the worker of this name.
void list_only(Cell& cell, const std::string& named)
{
    cell.store.list_workers = [&cell, named] {
        std::vector<jobs::WorkerInfo> found;
        for (const jobs::WorkerInfo& info : cell.workers.list()) {
            if (jobs::WorkerIncarnation::parse(info.id).name == named)
                found.push_back(info);
        }
        return found;
    };
}

void list_all(Cell& cell)
{
    cell.store.list_workers = [&cell] { return cell.workers.list(); };
}

/// Submits jobs while the store is slow, so that starts precede their records, kills the
/// leader, and makes the list contain only one worker for a while, or all.
std::vector<std::string> run_take_over(uint64_t seed, bool list_incomplete)
{
    Cell cell(seed, 4, 8);
    cell.world.run_for(Millis(1500));
    cell.store.injected.latency_factor = 80;
    for (int i = 0; i < 60; ++i) {
        const StepModel facts = small_step(3, 800);
        cell.submit("job" + std::to_string(i), spec_of({ facts }), { facts }, false);
        cell.world.run_for(Millis(50));
    }
    cell.kill(cell.leader(), Millis(5000));
    if (list_incomplete)
        list_only(cell, "w1");
    cell.store.injected.latency_factor = 1;
    cell.world.run_for(Millis(4000));
    list_all(cell);
    cell.world.run_for(Millis(40000));
    return cell.final_violations();
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// A new leader held back jobs whose tasks may run without a record only while a listed
// worker was silent. It did not wait for workers that the list lacked at that time, and
// their tasks were started again.
BOOST_AUTO_TEST_CASE(tasks_on_workers_that_the_list_lacks_are_not_started_again)
{
    for (const bool list_incomplete : { false, true }) {
        for (uint64_t seed = 1; seed <= 10; ++seed) {
            const auto violations = run_take_over(seed, list_incomplete);
            BOOST_TEST(violations.empty(),
                       "seed " << seed << ", list incomplete: " << list_incomplete
                               << join_lines(violations));
        }
    }
}
