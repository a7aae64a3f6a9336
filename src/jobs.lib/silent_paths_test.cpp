// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Whole cells whose open connections all go silent for good at a moment, to the store, the
/// workers and each other, while new ones work: what has to go on nearly as if nothing was.

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
/// Idle connections of a path that go silent: as many as a client keeps.
constexpr int most_kept = 24;
/// On the users' sites a node counts as in touch again so long after its connections went
/// silent. A change has 2 s; what was changed up to 1 s after the silence is due then.
constexpr Millis in_touch_after { 3000 };

/// A cell in calm, of which the connections have just gone silent.
class SilencedCell {
public:
    explicit SilencedCell(uint64_t seed)
        : cell(seed, nodes, workers)
    {
        add_queues(cell);
        cell.world.run_for(Millis(6000 + int64_t(cell.world.random_below(500))));
    }

    void silence() { cell.blackhole_connections(most_kept); }

    /// Returns how many nodes go by the present configuration.
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
        SilencedCell silenced(seed);
        BOOST_REQUIRE(silenced.nodes_up_to_date() == nodes);
        silenced.silence();
        silenced.cell.world.run_for(Millis(100));
        jobs::Configuration changed = silenced.cell.store.configuration();
        ++changed.version;
        silenced.cell.store.configure(changed);
        silenced.cell.world.run_for(in_touch_after - Millis(100));
        BOOST_TEST(silenced.nodes_up_to_date() == nodes, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(no_leader_is_replaced)
{
    constexpr int times = 8;
    for (uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
        SilencedCell silenced(seed);
        const int64_t epoch = epoch_of(silenced.cell);
        for (int i = 0; i < times; ++i) {
            silenced.silence();
            silenced.cell.world.run_for(
                Millis(4000 + int64_t(silenced.cell.world.random_below(700))));
        }
        BOOST_TEST(epoch_of(silenced.cell) == epoch, "seed " << seed);
    }
}

BOOST_AUTO_TEST_CASE(task_of_a_canceled_job_is_stopped_soon)
{
    /// Two orders that were lost, the retries' pauses and the kill itself.
    constexpr Millis stopped_in { 2000 };
    for (uint64_t seed = first_seed; seed < first_seed + seeds; ++seed) {
        SilencedCell silenced(seed);
        Cell& cell = silenced.cell;
        submit_plain(cell, "long", small_step(8, 60000));
        cell.world.run_for(Millis(2000));
        BOOST_REQUIRE(cell.workers.has_running_task("long"));
        silenced.silence();
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
        SilencedCell silenced(seed);
        Cell& cell = silenced.cell;
        constexpr int jobs = 30;
        for (int i = 0; i < jobs; ++i) {
            if (i % 10 == 5)
                silenced.silence();
            submit_plain(cell, "job" + std::to_string(i), small_step(3, 300));
            cell.world.run_for(Millis(200));
        }
        cell.world.run_for(Millis(8000));
        const auto wrong = cell.final_violations();
        BOOST_TEST(wrong.empty(), "seed " << seed << join_lines(wrong));
    }
}
