// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Choice of relays for a leader's calls to workers, under loads of the users' largest
/// sites.

#define BOOST_TEST_MODULE relay_choice
#include <boost/test/unit_test.hpp>

#include "relay_choice.h"

#include <cmath>
#include <map>

using namespace pathport::jobs;

namespace {

constexpr int64_t megabit = 125000;

std::vector<RelayNode> nodes_of(int strong, int weak)
{
    std::vector<RelayNode> nodes;
    for (int i = 0; i < weak; ++i)
        nodes.push_back({ "w" + std::to_string(i), { 120, 20 * megabit } });
    for (int i = 0; i < strong; ++i)
        nodes.push_back({ "s" + std::to_string(i), { 500, 200 * megabit } });
    return nodes;
}

std::map<std::string, int> shares(const std::vector<RelayNode>& relays, int workers)
{
    std::map<std::string, int> counts;
    for (int i = 0; i < workers; ++i)
        ++counts[relays[relay_index_for("worker" + std::to_string(i), relays)].address];
    return counts;
}

} // namespace

// 48 workers, 420 calls a second and twice that in a burst, a quarter of a core: calls do
// not limit the leader of a small cell, and relaying would only delay them.
BOOST_AUTO_TEST_CASE(small_cell_needs_no_relays)
{
    const NodeCapacity leader { 250, 1000 * megabit };
    BOOST_TEST(!should_relay({ 420, 300000 }, leader, false));
    BOOST_TEST(!should_relay({ 840, 600000 }, leader, false));
}

// 1,100 workers, 1,200 starts and 2,400 polls a second on half a core.
BOOST_AUTO_TEST_CASE(leader_of_a_large_cell_has_others_make_its_calls)
{
    const NodeCapacity leader { 500, 200 * megabit };
    const CallLoad load { 3600, 4300000 };
    BOOST_TEST(should_relay(load, leader, false));
    const auto relays = choose_relays(load, nodes_of(17, 129));
    BOOST_TEST(relays.size() < 17U);
    for (const RelayNode& relay : relays)
        BOOST_TEST(relay.capacity.cpu_millicores == 500);
}

// The same load with weak nodes only: more of them are chosen, and none gets far more than
// its share.
BOOST_AUTO_TEST_CASE(weak_nodes_share_the_load)
{
    const CallLoad load { 3600, 4300000 };
    const auto relays = choose_relays(load, nodes_of(0, 146));
    const auto counts = shares(relays, 1100);
    BOOST_TEST(relays.size() >= 10U);
    for (const auto& [address, count] : counts) {
        const CallLoad part { load.calls * count / 1100, load.bytes * count / 1100 };
        BOOST_TEST(utilization(part, { 120, 20 * megabit }) < 0.5);
    }
}

// 120 workers, links of 2 Mbit/s: the processor would suffice, the link does not.
BOOST_AUTO_TEST_CASE(a_slow_link_needs_relays_whatever_the_processor)
{
    const NodeCapacity leader { 500, 2 * megabit };
    const CallLoad load { 525, 470000 };
    BOOST_TEST(should_relay(load, leader, false));
    std::vector<RelayNode> nodes;
    for (int i = 0; i < 17; ++i)
        nodes.push_back({ "n" + std::to_string(i), leader });
    BOOST_TEST(choose_relays(load, nodes).size() >= 6U);
}

BOOST_AUTO_TEST_CASE(thresholds_have_hysteresis)
{
    const NodeCapacity leader { 500, 0 };
    BOOST_TEST(!should_relay({ 2500, 0 }, leader, false));
    BOOST_TEST(should_relay({ 2500, 0 }, leader, true));
    BOOST_TEST(!should_relay({ 1800, 0 }, leader, true));
}

BOOST_AUTO_TEST_CASE(shares_are_proportional_to_cpu_time)
{
    std::vector<RelayNode> relays = nodes_of(1, 1);
    const auto counts = shares(relays, 6200);
    BOOST_TEST(std::abs(counts.at("s0") - 5000) < 200);
}

// The workers of a lost relay are divided among the others; the rest keep their relays,
// since each worker that moves needs new connections.
BOOST_AUTO_TEST_CASE(only_the_share_of_a_lost_relay_moves)
{
    const std::vector<RelayNode> before = nodes_of(8, 0);
    std::vector<RelayNode> after = before;
    after.erase(after.begin() + 3);
    int moved = 0;
    for (int i = 0; i < 1100; ++i) {
        const std::string worker = "worker" + std::to_string(i);
        const std::string& old = before[relay_index_for(worker, before)].address;
        const std::string& now = after[relay_index_for(worker, after)].address;
        if (old == "s3")
            ++moved;
        else
            BOOST_TEST(old == now);
    }
    BOOST_TEST(moved < 1100 / 8 * 2);
}

BOOST_AUTO_TEST_CASE(no_nodes_no_relays)
{
    BOOST_TEST(choose_relays({ 3600, 4300000 }, {}).empty());
}
