// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Whole cells while the platform's list of workers is incomplete, as it may be while its
/// store has trouble.

#define BOOST_TEST_MODULE worker_list
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

using namespace pathport;
using namespace pathport::cell_tests;

namespace {

/// Has the list name these workers only.
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

/// Hands in jobs while the store is slow, so that starts precede their records, kills the
/// leader, and has the list name one worker only for a while, or all.
std::vector<std::string> run_take_over(uint64_t seed, bool list_lapses)
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
    if (list_lapses)
        list_only(cell, "w1");
    cell.store.injected.latency_factor = 1;
    cell.world.run_for(Millis(4000));
    list_all(cell);
    cell.world.run_for(Millis(40000));
    return cell.final_violations();
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// Found in the emulator: a new leader held back jobs of which tasks may run without a
// record only while a listed worker was silent. Workers that the list lacked at that time
// were not waited for, and their tasks were started again.
BOOST_AUTO_TEST_CASE(tasks_on_workers_that_the_list_lacks_are_not_started_again)
{
    for (const bool list_lapses : { false, true }) {
        for (uint64_t seed = 1; seed <= 10; ++seed) {
            const auto wrong = run_take_over(seed, list_lapses);
            BOOST_TEST(wrong.empty(),
                       "seed " << seed << ", list lapses: " << list_lapses
                               << join_lines(wrong));
        }
    }
}
