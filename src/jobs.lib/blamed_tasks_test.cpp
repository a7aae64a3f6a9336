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
