// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Random schedules in which a leader is deposed while the store is slow, so that starts
/// that it has not recorded yet are lost. A worker crash under such a start is attributed
/// to no task, so a task that crashes its workers is started once more than allowed.

#define BOOST_TEST_MODULE unrecorded_crashes
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "random_schedule.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(crashes_under_unrecorded_starts_count)
{
    constexpr int style = 18;
    for (const uint64_t seed : { 970014, 980001 })
        expect_no_violations(style, seed, 1);
}

BOOST_AUTO_TEST_CASE(starts_are_bounded_among_lost_leaders_and_workers)
{
    const std::pair<int, uint64_t> schedules[]
        = { { 11, 847126 },  { 10, 1210141 }, { 11, 1211046 }, { 11, 1211110 },
            { 11, 1211120 }, { 11, 1211154 }, { 18, 1218080 }, { 18, 1218174 },
            { 11, 1311030 }, { 11, 1311172 }, { 15, 1315149 }, { 15, 1515074 } };
    for (const auto& [style, seed] : schedules)
        expect_no_violations(style, seed, 1);
}
