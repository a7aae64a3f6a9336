// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Random schedules in which a good task is given up because of losses of workers that did
/// not run it, or because a run that cleared it was known only to a replaced leader.

#define BOOST_TEST_MODULE unstarted_losses
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "random_schedule.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// The first order goes to a worker that is gone already, and counts as a loss.
BOOST_AUTO_TEST_CASE(order_that_never_arrived_is_not_held_against_the_task)
{
    expect_no_violations(8, 8308166, 1);
}

// Nothing confirms the last of its starts, which uses up the tries.
BOOST_AUTO_TEST_CASE(order_that_nothing_confirms_uses_up_no_try)
{
    expect_no_violations(8, 8508019, 1);
}

// The leader that saw the run has lost the store, and the next one sees only its end.
BOOST_AUTO_TEST_CASE(task_cleared_under_a_replaced_leader_is_not_given_up)
{
    expect_no_violations(8, 6208156, 1);
}
