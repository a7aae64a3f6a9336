// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A random schedule in which start orders are carried out seconds late, after their job was
/// cancelled and the leader that sent them was lost.

#define BOOST_TEST_MODULE late_orders
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "random_schedule.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(late_orders_start_nothing_of_a_cancelled_job)
{
    expect_no_violations(5, 1205133, 1);
}
