// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Cells in which all open connections (to the store, to workers and between nodes) stop
/// carrying data at some moment, while new ones work. The cell has to go on almost
/// undisturbed.

#define BOOST_TEST_MODULE silent_paths
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

using namespace pathport;
using namespace pathport::cell_tests;

namespace {

constexpr int nodes = 4;
constexpr int workers = 6;
constexpr uint64_t first_seed = 40;
constexpr uint64_t seeds = 8;
/// Idle connections to one peer that stop carrying data: as many as a client keeps.
constexpr int max_idle_connections = 24;
/// On the users' sites a node counts as reachable again this long after its connections
/// failed. A change has to be in force within 2 s, so one made up to 1 s after the failure
/// is due then.
constexpr Millis reachable_after { 3000 };

/// A calm cell whose connections the test can make stop carrying data.
class DeadConnectionCell {
public:
    explicit DeadConnectionCell(uint64_t seed)
        : cell(seed, nodes, workers)
    {
        add_queues(cell);
        cell.world.run_for(Millis(6000 + int64_t(cell.world.random_below(500))));
    }

    void fail_connections() { cell.blackhole_connections(max_idle_connections); }

    /// Returns how many nodes use the current configuration.
    int nodes_up_to_date()
    {
        int count = 0;
        for (const std::string& node : cell.node_names())
            count += cell.configuration_version(node) == cell.store.configuration().version
                ? 1
                : 0;
        return count;
    }

    Cell cell;
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(configuration_is_in_force_soon_everywhere)
{
    for (uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
        DeadConnectionCell test_cell(seed);
        BOOST_REQUIRE(test_cell.nodes_up_to_date() == nodes);
        test_cell.fail_connections();
        test_cell.cell.world.run_for(Millis(100));
        jobs::Configuration changed = test_cell.cell.store.configuration();
        ++changed.version;
        test_cell.cell.store.configure(changed);
        test_cell.cell.world.run_for(reachable_after - Millis(100));
        BOOST_TEST(test_cell.nodes_up_to_date() == nodes, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(no_leader_is_replaced)
{
    constexpr int times = 8;
    for (uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
        DeadConnectionCell test_cell(seed);
        const int64_t epoch = epoch_of(test_cell.cell);
        for (int i = 0; i < times; ++i) {
            test_cell.fail_connections();
            test_cell.cell.world.run_for(
                Millis(4000 + int64_t(test_cell.cell.world.random_below(700))));
        }
        BOOST_TEST(epoch_of(test_cell.cell) == epoch, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(task_of_a_canceled_job_is_stopped_soon)
{
    /// Two lost orders, the retry delays and the kill itself.
    constexpr Millis stopped_in { 2000 };
    for (uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
        DeadConnectionCell test_cell(seed);
        Cell& cell = test_cell.cell;
        submit_plain(cell, "long", small_step(8, 60000));
        cell.world.run_for(Millis(2000));
        BOOST_REQUIRE(cell.workers.has_running_task("long"));
        test_cell.fail_connections();
        cell.cancel("long");
        for (int i = 0; i < 40 && !cell.jobs().at("long").canceled; ++i)
            cell.world.run_for(Millis(50));
        BOOST_TEST(cell.jobs().at("long").canceled, "seed " << seed);
        cell.world.run_for(stopped_in);
        BOOST_TEST(!cell.workers.has_running_task("long"), "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(jobs_are_done)
{
    for (uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
        DeadConnectionCell test_cell(seed);
        Cell& cell = test_cell.cell;
        constexpr int jobs = 30;
        for (int i = 0; i < jobs; ++i) {
            if (i % 10 == 5)
                test_cell.fail_connections();
            submit_plain(cell, "job" + std::to_string(i), small_step(3, 300));
            cell.world.run_for(Millis(200));
        }
        cell.world.run_for(Millis(8000));
        const auto violations = cell.final_violations();
        BOOST_TEST(violations.empty(), "seed " << seed << join_lines(violations));
    }
}
