// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Random schedules in which callers bring keys that come and go, half of the work is one
/// workspace's, and bounds rise and fall, among kills, cuts, restarts and tasks that crash
/// their workers. No workspace may have more running than its bound, a tenth of it and one
/// task; a key counts by the configuration that a node has to know; nobody learns of
/// another's jobs.

#define BOOST_TEST_MODULE callers_schedules
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "random_schedule.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(callers_are_told_apart_and_bounds_kept_in_random_schedules)
{
    constexpr uint64_t first = 970000;
    constexpr uint64_t schedules = 4;
    for (const int style : { 16, 17, 18 })
        expect_no_violations(style, first, schedules);
}
