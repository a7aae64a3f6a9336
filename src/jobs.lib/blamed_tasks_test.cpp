// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Random schedules in which three workers restart by themselves, each soon after the same
/// task has started there. The task crashes none of them and must not be given up.

#define BOOST_TEST_MODULE blamed_tasks
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "random_schedule.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(workers_that_restart_by_themselves_are_blamed_on_no_task)
{
    constexpr int style = 9;
    for (const uint64_t seed : { 941009, 941015 })
        expect_no_violations(style, seed, 1);
}

BOOST_AUTO_TEST_CASE(good_tasks_are_not_given_up_among_restarts)
{
    const std::pair<int, uint64_t> schedules[] = {
        { 7, 1207019 },  { 7, 1207073 }, { 8, 1208029 }, { 8, 1208048 }, { 9, 1209022 },
        { 9, 1209027 },  { 9, 1209047 }, { 9, 1209112 }, { 9, 1209162 }, { 9, 1209194 },
        { 8, 1308086 },  { 8, 1308135 }, { 9, 1309004 }, { 9, 1309194 }, { 7, 1407036 },
        { 10, 1410032 }, { 9, 1409094 }, { 8, 1508035 }, { 9, 1509029 }, { 10, 1510084 }
    };
    for (const auto& [style, seed] : schedules)
        expect_no_violations(style, seed, 1);
}
