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
        time.note(took);
    return time;
}

} // namespace

BOOST_AUTO_TEST_CASE(unknown_peers_are_waited_for_longest)
{
    BOOST_TEST((ResponseTime(least, most).limit() == most));
}

BOOST_AUTO_TEST_CASE(quick_peers_are_waited_for_least)
{
    BOOST_TEST((after_answers(10, Millis(4)).limit() == least));
}

BOOST_AUTO_TEST_CASE(slow_peers_are_waited_for_longer_within_bounds)
{
    const Millis limit = after_answers(30, Millis(150)).limit();
    BOOST_TEST((limit >= Millis(150)));
    BOOST_TEST((limit < Millis(300)));
    BOOST_TEST((after_answers(30, Millis(5000)).limit() == most));
}

// One late answer among quick ones widens the limit for a while.
BOOST_AUTO_TEST_CASE(varying_peers_are_waited_for_longer)
{
    ResponseTime time = after_answers(20, Millis(10));
    time.note(Millis(200));
    BOOST_TEST((time.limit() > Millis(200)));
    for (int i = 0; i < 40; ++i)
        time.note(Millis(10));
    BOOST_TEST((time.limit() == least));
}

BOOST_AUTO_TEST_CASE(missing_answers_double_the_limit_until_one_comes)
{
    ResponseTime time = after_answers(10, Millis(4));
    time.note_missing();
    BOOST_TEST((time.limit() == Millis(200)));
    time.note_missing();
    time.note_missing();
    BOOST_TEST((time.limit() == most));
    time.note(Millis(4));
    BOOST_TEST((time.limit() == least));
}
