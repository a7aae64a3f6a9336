// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Strong nodes that come back to a large cell as a weak one is elected.
///
/// Guards against work that stands for seconds although strong nodes live: the weak leader
/// reads their heartbeats late and waits for its log, then the next leader reads all open
/// jobs once more, and its own first writes take as long again.

#define BOOST_TEST_MODULE returning_strong_nodes
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "leadership.h"

#include <algorithm>
#include <map>

using namespace pathport;
using namespace pathport::cell_tests;
using emulator::ProcessorCost;

namespace {

constexpr int strong_nodes = 3;
constexpr int many_weak_nodes = 60;
constexpr int many_workers = 300;
constexpr int strong_millicores = 500;
constexpr int weak_millicores = 120;
constexpr int tasks_per_job = 10;
/// The users' limit on how long work with free capacity may stand.
constexpr Millis max_standstill { 3000 };

bool is_strong(const std::string& node)
{
    return node.size() == 2 && node[1] - '0' <= strong_nodes;
}

/// Returns the node that the store's rows name as leader.
std::string named_leader(const Cell& cell)
{
    const auto leader
        = jobs::decode_leader(cell.store.value(jobs::lead_row(jobs::leader_key)));
    return leader ? leader->identity.node : std::string();
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(weak_leader_that_loads_gives_way_to_strong_nodes)
{
    std::map<std::string, int> strengths;
    for (int i = 1; i <= strong_nodes + many_weak_nodes; ++i)
        strengths["n" + std::to_string(i)]
            = i <= strong_nodes ? strong_millicores : weak_millicores;
    for (uint64_t seed = 1; seed <= 6; ++seed) {
        Cell cell(seed, strong_nodes + many_weak_nodes, 1, strengths);
        add_queues(cell);
        for (int i = 1; i < many_workers; ++i)
            cell.workers.add("pool", { 16000, 64000, 0 });
        cell.world.run_for(Millis(4000));
        for (const auto& [node, millicores] : strengths)
            cell.set_processor_speed(node, 100 * millicores / strong_millicores);
        ProcessorCost cost;
        cost.event = Millis(1);
        cell.set_processor_cost(cost);
        StepModel step = one_core_step(tasks_per_job, 1000);
        step.need = { 450, 528, 0 };
        int jobs = 0;
        const auto run = [&](Millis span) {
            if (jobs++ % 4 == 0)
                submit(cell, "q2", "job" + std::to_string(jobs), { step });
            cell.world.run_for(span);
        };
        for (int i = 0; i < 400; ++i)
            run(Millis(10));
        const std::string first = named_leader(cell);
        BOOST_REQUIRE_MESSAGE(is_strong(first), "seed " << seed);
        for (int i = 1; i <= strong_nodes; ++i)
            cell.store.injected.refused_nodes.insert("n" + std::to_string(i));
        cell.kill(first, Millis(60000));
        for (int i = 0; i < 1000 && is_strong(named_leader(cell)); ++i)
            run(Millis(10));
        const std::string weak = named_leader(cell);
        BOOST_REQUIRE_MESSAGE(!is_strong(weak), "seed " << seed << ": " << weak);
        cell.store.injected.refused_nodes.clear();
        const Millis returned = cell.world.now();
        Millis strong_named;
        Millis started = returned;
        Millis longest_gap;
        int64_t starts = cell.workers.starts();
        while (cell.world.now() - returned < Millis(12000)) {
            run(Millis(10));
            if (strong_named == Millis(0) && is_strong(named_leader(cell)))
                strong_named = cell.world.now();
            if (cell.workers.starts() != starts) {
                starts = cell.workers.starts();
                started = cell.world.now();
            }
            longest_gap = std::max(longest_gap, cell.world.now() - started);
        }
        BOOST_TEST_MESSAGE("seed " << seed << ": strong leader after "
                                   << (strong_named - returned).count()
                                   << " ms, standing for " << longest_gap.count());
        BOOST_REQUIRE_MESSAGE(strong_named > Millis(0), "seed " << seed);
        BOOST_TEST((longest_gap <= max_standstill),
                   "seed " << seed << ": nothing started for " << longest_gap.count()
                           << " ms, strong leader after "
                           << (strong_named - returned).count() << " ms");
        cell.world.run_for(Millis(20000));
        const auto violations = cell.workers.violations();
        BOOST_TEST(violations.empty(), "seed " << seed << join_lines(violations));
    }
}