// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Cells whose failure domains are drained by the operators.
///
/// Guards against tasks that are started in a domain after the time within which it has to
/// be left alone: by a leader that did not look, by one that missed the request during a
/// fault of its connections, by its successor, and through orders that waited for their
/// record. The emulated workers report each such start. Withdrawn requests must let the
/// workers be used again.

#define BOOST_TEST_MODULE domain_drain
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "random_schedule.h"

#include <functional>
#include <set>

using namespace pathport;
using namespace pathport::cell_tests;

namespace {

constexpr Millis drain_time { 3000 };
constexpr int nodes = 4;
constexpr int workers = 18;
/// The domains of the emulated workers.
const std::vector<std::string> all_domains { "zone0", "zone1", "zone2" };

/// A cell under steady load.
class LoadedCell {
public:
    explicit LoadedCell(uint64_t seed)
        : cell(seed, nodes, workers, {}, 0, drain_time)
    {
        add_queues(cell);
        cell.world.run_for(Millis(3000));
    }

    void drain(const std::vector<std::string>& domains, bool drained)
    {
        for (const std::string& domain : domains)
            cell.drain_domain(domain, drained);
    }

    /// Submits jobs for `span`: independent tasks, and gangs that may span domains.
    void load_for(Millis span)
    {
        for (Millis spent; spent < span; spent = spent + interval) {
            StepModel step = small_step(4, 500);
            step.gang = m_jobs % 4 == 0;
            const std::string queue = m_jobs % 3 == 0 ? "a1" : "q1";
            submit(cell, queue, "job" + std::to_string(m_jobs++), { step });
            cell.world.run_for(interval);
        }
    }

    std::vector<std::string> finish()
    {
        cell.world.run_for(Millis(30000));
        return cell.final_violations();
    }

    Cell cell;

private:
    static constexpr Millis interval { 100 };
    int m_jobs = 0;
};

void check_scenario(const std::string& what,
                    const std::function<void(LoadedCell&)>& scenario)
{
    constexpr uint64_t seeds = 8;
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        LoadedCell loaded(seed);
        scenario(loaded);
        const auto problems = loaded.finish();
        BOOST_TEST(problems.empty(), what << ", seed " << seed << join_lines(problems));
    }
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(drained_domain_gets_no_tasks_and_withdrawn_one_does)
{
    check_scenario("one domain", [](LoadedCell& loaded) {
        loaded.drain({ "zone1" }, true);
        loaded.load_for(Millis(8000));
        loaded.drain({ "zone1" }, false);
        loaded.drain({ "zone0", "zone2" }, true);
        const int64_t before = loaded.cell.workers.starts();
        loaded.load_for(Millis(6000));
        // Only the workers of the withdrawn domain are left.
        BOOST_TEST(loaded.cell.workers.starts() > before);
        loaded.drain({ "zone0", "zone2" }, false);
    });
}

BOOST_AUTO_TEST_CASE(nothing_starts_while_all_domains_are_drained)
{
    check_scenario("all domains", [](LoadedCell& loaded) {
        loaded.drain(all_domains, true);
        loaded.load_for(Millis(3500));
        const int64_t before = loaded.cell.workers.starts();
        loaded.load_for(Millis(4000));
        BOOST_TEST(loaded.cell.workers.starts() == before);
        loaded.drain(all_domains, false);
    });
}

BOOST_AUTO_TEST_CASE(unknown_domain_holds_nothing_up)
{
    check_scenario("unknown domain", [](LoadedCell& loaded) {
        loaded.drain({ "elsewhere" }, true);
        const int64_t before = loaded.cell.workers.starts();
        loaded.load_for(Millis(4000));
        BOOST_TEST(loaded.cell.workers.starts() > before);
    });
}

// The request comes while the connections are silent, and the leader is lost soon after.
BOOST_AUTO_TEST_CASE(successor_keeps_a_drain_that_its_predecessor_missed)
{
    check_scenario("lost leader", [](LoadedCell& loaded) {
        constexpr int max_kept_connections = 24;
        loaded.cell.blackhole_connections(max_kept_connections);
        loaded.drain({ "zone0" }, true);
        loaded.load_for(Millis(700));
        loaded.cell.kill(loaded.cell.leader(), Millis(800));
        loaded.load_for(Millis(8000));
        loaded.drain({ "zone0" }, false);
    });
}

// The leader's store calls fail for longer than the drain may take.
BOOST_AUTO_TEST_CASE(drain_holds_after_the_leader_was_turned_away)
{
    check_scenario("refused leader", [](LoadedCell& loaded) {
        auto& refused = loaded.cell.store.injected.refused_nodes;
        const std::string leader = loaded.cell.leader();
        refused.insert(leader);
        loaded.drain({ "zone0", "zone1" }, true);
        loaded.load_for(Millis(6000));
        refused.erase(leader);
        loaded.load_for(Millis(4000));
        loaded.drain({ "zone0", "zone1" }, false);
    });
}

BOOST_AUTO_TEST_CASE(drains_hold_in_random_schedules)
{
    constexpr uint64_t first = 980100;
    constexpr uint64_t schedules = 4;
    for (const int style : { 19, 20 })
        expect_no_violations(style, first, schedules);
}
