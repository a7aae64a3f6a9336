// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Random schedules in which tasks crash every worker that starts them, alone and among
/// restarts, capacity changes and nodes that are killed and suspended.

#define BOOST_TEST_MODULE crashing_schedules
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "random_schedule.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(tasks_crash_their_workers_in_random_schedules)
{
    constexpr uint64_t first = 950000;
    constexpr uint64_t schedules = 4;
    for (const int style : { 10, 11, 14, 15 })
        expect_no_violations(style, first, schedules);
}
