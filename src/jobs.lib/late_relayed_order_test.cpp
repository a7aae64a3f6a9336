// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A random schedule in which orders that went through a relay reach their worker 5.4 s
/// late. The worker has lost most of its capacity in the meantime, and what it is told to
/// start exceeds the rest.

#define BOOST_TEST_MODULE late_relayed_order
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "random_schedule.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(late_order_does_not_exceed_reduced_capacity)
{
    expect_no_violations(15, 8315103, 1);
}
