// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Time-outs computed from the response times of a peer.

#define BOOST_TEST_MODULE response_time
#include <boost/test/unit_test.hpp>

#include "response_time.h"

using namespace pathport;
using namespace pathport::jobs;

namespace {

constexpr Millis min_timeout { 100 };
constexpr Millis max_timeout { 400 };

ResponseTime after_answers(int count, Millis elapsed)
{
    ResponseTime time(min_timeout, max_timeout);
    for (int i = 0; i < count; ++i)
        time.add_sample(elapsed);
    return time;
}

} // namespace

BOOST_AUTO_TEST_CASE(unknown_peers_get_the_longest_timeout)
{
    BOOST_TEST((ResponseTime(min_timeout, max_timeout).timeout() == max_timeout));
}

BOOST_AUTO_TEST_CASE(quick_peers_get_the_shortest_timeout)
{
    BOOST_TEST((after_answers(10, Millis(4)).timeout() == min_timeout));
}

BOOST_AUTO_TEST_CASE(slow_peers_get_longer_timeouts_within_bounds)
{
    const Millis limit = after_answers(30, Millis(150)).timeout();
    BOOST_TEST((limit >= Millis(150)));
    BOOST_TEST((limit < Millis(300)));
    BOOST_TEST((after_answers(30, Millis(5000)).timeout() == max_timeout));
}

// One late answer among quick ones raises the time-out for a while.
BOOST_AUTO_TEST_CASE(variance_raises_the_timeout)
{
    ResponseTime time = after_answers(20, Millis(10));
    time.add_sample(Millis(200));
    BOOST_TEST((time.timeout() > Millis(200)));
    for (int i = 0; i < 40; ++i)
        time.add_sample(Millis(10));
    BOOST_TEST((time.timeout() == min_timeout));
}

BOOST_AUTO_TEST_CASE(missing_answers_double_the_timeout_until_one_comes)
{
    ResponseTime time = after_answers(10, Millis(4));
    time.add_timeout();
    BOOST_TEST((time.timeout() == Millis(200)));
    time.add_timeout();
    time.add_timeout();
    BOOST_TEST((time.timeout() == max_timeout));
    time.add_sample(Millis(4));
    BOOST_TEST((time.timeout() == min_timeout));
}
