// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A leader's followers.
///
/// Guards against a leader whose processor time grows with the square of the number of
/// nodes: each node's heartbeats are a constant number a second, and each of them walked
/// all followers, for their promises, for the most powerful one and for a successor.

#define BOOST_TEST_MODULE followers
#include <boost/test/unit_test.hpp>

#include "followers.h"

using namespace pathport;
using namespace pathport::jobs;

namespace {

Follower follower_heard(int64_t at_ms, int64_t promised_ms = 0, int millicores = 100,
                        bool served = true)
{
    Follower follower;
    follower.last_heard = Millis(at_ms);
    follower.promised_until = Millis(promised_ms);
    follower.cpu_millicores = millicores;
    follower.store_served = served;
    return follower;
}

/// Plays the heartbeats of `nodes` followers for a second, with the periodic check that a
/// leader makes four times a second. Returns the entries walked for each heartbeat.
double walked_per_heartbeat(int nodes)
{
    constexpr int heartbeats_per_s = 2;
    constexpr int checks_per_s = 4;
    Followers followers;
    for (int beat = 0; beat < heartbeats_per_s; ++beat) {
        for (int i = 0; i < nodes; ++i) {
            followers.note("10.0.0." + std::to_string(i), follower_heard(1000 + beat));
            followers.earliest_promise();
            followers.max_millicores();
        }
    }
    for (int check = 0; check < checks_per_s; ++check)
        followers.refresh(Millis(0), Millis(500));
    return double(followers.entries_walked()) / (heartbeats_per_s * nodes);
}

} // namespace

BOOST_AUTO_TEST_CASE(heartbeat_costs_the_same_at_any_number_of_nodes)
{
    const double small = walked_per_heartbeat(150);
    BOOST_TEST(walked_per_heartbeat(600) <= small);
    BOOST_TEST(walked_per_heartbeat(1200) <= small);
}

BOOST_AUTO_TEST_CASE(earliest_promise_follows_changes)
{
    Followers followers;
    BOOST_TEST(!followers.earliest_promise());
    followers.note("a", follower_heard(1000, 5000));
    followers.note("b", follower_heard(1000, 4000));
    BOOST_TEST((*followers.earliest_promise() == Millis(4000)));
    followers.note("b", follower_heard(1100, 6000));
    BOOST_TEST((*followers.earliest_promise() == Millis(5000)));
    followers.erase("a");
    BOOST_TEST((*followers.earliest_promise() == Millis(6000)));
    // A node that no longer promises ends all promises.
    followers.note("b", follower_heard(1200));
    BOOST_TEST((*followers.earliest_promise() == Millis(0)));
}

BOOST_AUTO_TEST_CASE(only_live_and_served_followers_count_as_powerful)
{
    Followers followers;
    followers.note("weak", follower_heard(2000, 0, 100));
    followers.note("strong", follower_heard(1000, 0, 900));
    followers.note("unserved", follower_heard(2000, 0, 2000, false));
    BOOST_TEST(followers.max_millicores() == 900);
    followers.refresh(Millis(0), Millis(1500));
    BOOST_TEST(followers.max_millicores() == 100);
    followers.note("strong", follower_heard(2100, 0, 900));
    BOOST_TEST(followers.max_millicores() == 900);
}

BOOST_AUTO_TEST_CASE(silent_followers_are_dropped_and_own_pauses_are_not_silence)
{
    Followers followers;
    followers.note("a", follower_heard(1000, 3000));
    followers.note("b", follower_heard(9000, 4000));
    followers.discount(Millis(500), Millis(9200));
    BOOST_TEST((followers.find("a")->last_heard == Millis(1500)));
    BOOST_TEST((followers.find("b")->last_heard == Millis(9200)));
    followers.refresh(Millis(5000), Millis(5000));
    BOOST_TEST(followers.find("a") == nullptr);
    BOOST_TEST((*followers.earliest_promise() == Millis(4000)));
}
