// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Random schedules in which workers restart under their ids and their capacity changes,
/// while nodes are killed, frozen and suspended.

#define BOOST_TEST_MODULE lost_workers
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "random_schedule.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(workers_restart_under_their_ids_in_random_schedules)
{
    constexpr uint64_t first = 940000;
    constexpr uint64_t schedules = 8;
    for (const int style : { 7, 8, 9 })
        expect_no_violations(style, first, schedules);
}

BOOST_AUTO_TEST_CASE(capacity_changes_and_boxes_are_suspended_in_random_schedules)
{
    constexpr uint64_t first = 955000;
    constexpr uint64_t schedules = 6;
    for (const int style : { 12, 13 })
        expect_no_violations(style, first, schedules);
}
