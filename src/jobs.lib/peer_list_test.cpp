// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The list of nodes that a leader gives to its followers.
///
/// Guards against a leader whose link is filled by that list: each change of it sent the
/// whole list to every node, so that nodes stopped one after the other cost bytes with the
/// square of their number.

#define BOOST_TEST_MODULE peer_list
#include <boost/test/unit_test.hpp>

#include "peer_list.h"

#include <pathport/jobs/peers.h>

using namespace pathport::jobs;

namespace {

std::vector<std::string> addresses_of(int count, int first = 0)
{
    std::vector<std::string> addresses;
    for (int i = first; i < first + count; ++i)
        addresses.push_back("10.0." + std::to_string(i / 250) + "."
                            + std::to_string(i % 250) + ":7720");
    return addresses;
}

/// Returns the bytes of the list in all answers to `nodes` followers when one node leaves
/// and comes back, for each of them.
double bytes_per_follower(int nodes)
{
    PeerList leader;
    leader.set(addresses_of(nodes));
    std::vector<PeerList> followers(static_cast<size_t>(nodes));
    for (PeerList& follower : followers)
        BOOST_REQUIRE(follower.apply(leader.update_for(follower.hash())));
    size_t bytes = 0;
    const size_t empty_answer = encode(PeerAnswer()).size();
    for (const int present : { nodes - 1, nodes }) {
        leader.set(addresses_of(present));
        for (PeerList& follower : followers) {
            PeerAnswer answer;
            answer.peers = leader.update_for(follower.hash());
            bytes += encode(answer).size() - empty_answer;
            const auto decoded = decode_peer_answer(encode(answer));
            BOOST_REQUIRE(follower.apply(decoded->peers));
            BOOST_REQUIRE(follower.addresses() == leader.addresses());
        }
    }
    return double(bytes) / nodes;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_change_costs_each_follower_the_same_at_any_size)
{
    const double small = bytes_per_follower(30);
    constexpr double longer_addresses = 1.1;
    BOOST_TEST(bytes_per_follower(600) <= small * longer_addresses);
    BOOST_TEST(bytes_per_follower(1200) <= small * longer_addresses);
}

BOOST_AUTO_TEST_CASE(follower_that_lags_gets_all_changes_in_one)
{
    PeerList leader;
    leader.set(addresses_of(10));
    PeerList follower;
    BOOST_TEST(follower.apply(leader.update_for(0)));
    leader.set(addresses_of(9));
    leader.set(addresses_of(12));
    leader.set(addresses_of(11, 1));
    const PeerListUpdate update = leader.update_for(follower.hash());
    BOOST_TEST(!update.full);
    BOOST_TEST(update.added.size() == 2U);
    BOOST_TEST(update.removed.size() == 1U);
    BOOST_TEST(follower.apply(update));
    BOOST_TEST(follower.addresses() == leader.addresses());
    BOOST_TEST(leader.update_for(follower.hash()).empty());
}

// A successor starts from the list that it has, so its followers get changes as well.
BOOST_AUTO_TEST_CASE(successor_continues_from_the_list_of_its_predecessor)
{
    PeerList leader;
    leader.set(addresses_of(20));
    PeerList follower;
    PeerList successor;
    BOOST_TEST(follower.apply(leader.update_for(0)));
    BOOST_TEST(successor.apply(leader.update_for(0)));
    successor.set(addresses_of(19, 1));
    BOOST_TEST(!successor.update_for(follower.hash()).full);
    BOOST_TEST(follower.apply(successor.update_for(follower.hash())));
}

BOOST_AUTO_TEST_CASE(unknown_or_wrong_list_is_replaced)
{
    PeerList leader;
    leader.set(addresses_of(20));
    PeerList stranger;
    stranger.set(addresses_of(5, 100));
    const PeerListUpdate whole = leader.update_for(stranger.hash());
    BOOST_TEST(whole.full);
    BOOST_TEST(stranger.apply(whole));
    // An update for another list is noticed, and the next one is full.
    PeerListUpdate wrong = leader.update_for(leader.hash());
    wrong.added = { "10.9.9.9:1" };
    BOOST_TEST(!stranger.apply(wrong));
    BOOST_TEST(leader.update_for(stranger.hash()).full);
}
