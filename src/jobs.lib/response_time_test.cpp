// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// After which time a missing answer counts as missing.

#define BOOST_TEST_MODULE response_time
#include <boost/test/unit_test.hpp>

#include "response_time.h"

using namespace pathport;
using namespace pathport::jobs;

namespace {

constexpr Millis least { 100 };
constexpr Millis most { 400 };

ResponseTime after_answers(int count, Millis took)
{
    ResponseTime time(least, most);
    for (int i = 0; i < count; ++i)
        time.add_sample(took);
    return time;
}

} // namespace

BOOST_AUTO_TEST_CASE(unknown_peers_are_waited_for_longest)
{
    BOOST_TEST((ResponseTime(least, most).timeout() == most));
}

BOOST_AUTO_TEST_CASE(quick_peers_are_waited_for_least)
{
    BOOST_TEST((after_answers(10, Millis(4)).timeout() == least));
}

BOOST_AUTO_TEST_CASE(slow_peers_are_waited_for_longer_within_bounds)
{
    const Millis limit = after_answers(30, Millis(150)).timeout();
    BOOST_TEST((limit >= Millis(150)));
    BOOST_TEST((limit < Millis(300)));
    BOOST_TEST((after_answers(30, Millis(5000)).timeout() == most));
}

// One late answer among quick ones widens the limit for a while.
BOOST_AUTO_TEST_CASE(varying_peers_are_waited_for_longer)
{
    ResponseTime time = after_answers(20, Millis(10));
    time.add_sample(Millis(200));
    BOOST_TEST((time.timeout() > Millis(200)));
    for (int i = 0; i < 40; ++i)
        time.add_sample(Millis(10));
    BOOST_TEST((time.timeout() == least));
}

BOOST_AUTO_TEST_CASE(missing_answers_double_the_limit_until_one_comes)
{
    ResponseTime time = after_answers(10, Millis(4));
    time.add_timeout();
    BOOST_TEST((time.timeout() == Millis(200)));
    time.add_timeout();
    time.add_timeout();
    BOOST_TEST((time.timeout() == most));
    time.add_sample(Millis(4));
    BOOST_TEST((time.timeout() == least));
}
