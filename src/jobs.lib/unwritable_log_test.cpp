// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A leader whose log the store does not take, while it serves the leader's reads and the
/// writes of all others.
///
/// Guards against a leader that can start nothing and keeps its place. Its reads are
/// served, so it does not count as failed by the store and does not resign. It has begun to
/// hand over, which takes a write. It answers all heartbeats, so no follower claims. All
/// accepted work stands for as long as its writes fail.

#define BOOST_TEST_MODULE unwritable_log
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "leadership.h"

#include <algorithm>
#include <functional>
#include <map>

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

namespace {

constexpr int strong_nodes = 3;
constexpr int nodes = 12;
constexpr int strong_millicores = 500;
constexpr int weak_millicores = 120;
constexpr int workers = 60;
constexpr Millis fault_time { 30000 };
constexpr Millis job_interval { 100 };
/// The users' limit on how long work with free capacity may stand.
constexpr Millis max_standstill { 3000 };

std::map<std::string, int> node_strengths()
{
    std::map<std::string, int> strengths;
    for (int i = 1; i <= nodes; ++i)
        strengths["n" + std::to_string(i)]
            = i <= strong_nodes ? strong_millicores : weak_millicores;
    return strengths;
}

/// Returns the longest time without a start while `fail` has the leader's log fail.
Millis longest_standstill(
    uint64_t seed,
    const std::function<void(emulator::InjectedStoreFaults&, const std::string&)>& fail)
{
    Cell cell(seed, nodes, 1, node_strengths());
    add_queues(cell);
    for (int i = 1; i < workers; ++i)
        cell.workers.add("pool", { 16000, 64000, 0 });
    cell.world.run_for(Millis(4000));
    for (int i = 1; i <= strong_nodes; ++i)
        cell.freeze("n" + std::to_string(i), Millis(4000));
    cell.world.run_for(Millis(3900));
    // The frozen nodes still take one of their own for the leader.
    const auto row
        = jobs::decode_leader(cell.store.value(jobs::lead_row(jobs::leader_key)));
    BOOST_REQUIRE(row.has_value());
    BOOST_REQUIRE(node_strengths().at(row->identity.node) == weak_millicores);
    fail(cell.store.injected, row->identity.node);
    const Millis begun = cell.world.now();
    Millis last_start = begun;
    Millis longest;
    int64_t starts = cell.workers.starts();
    int jobs = 0;
    while (cell.world.now() - begun < fault_time) {
        submit(cell, "q" + std::to_string(jobs % 3), "job" + std::to_string(jobs),
               { one_core_step(4, 500) });
        ++jobs;
        cell.world.run_for(job_interval);
        if (cell.workers.starts() != starts)
            last_start = cell.world.now();
        starts = cell.workers.starts();
        longest = std::max(longest, cell.world.now() - last_start);
    }
    return longest;
}

void check_standstill(
    const std::function<void(emulator::InjectedStoreFaults&, const std::string&)>& fail)
{
    for (uint64_t seed = 1; seed <= 3; ++seed) {
        const Millis longest = longest_standstill(seed, fail);
        BOOST_TEST((longest <= max_standstill),
                   "seed " << seed << ": nothing started for " << longest.count() << " ms");
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(leader_whose_writes_are_refused_gives_way)
{
    check_standstill([](emulator::InjectedStoreFaults& faults, const std::string& leader) {
        faults.refused_log_nodes = { leader };
    });
}

BOOST_AUTO_TEST_CASE(leader_whose_writes_are_rejected_gives_way)
{
    check_standstill([](emulator::InjectedStoreFaults& faults, const std::string& leader) {
        faults.rejected_log_nodes = { leader };
    });
}
