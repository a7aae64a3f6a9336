// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A random schedule in which the store is away for seconds after it has accepted a
/// cancellation. When it returns, the record of an intent is stored before the leader reads
/// the cancellation, and the orders that waited for that record must not be sent.

#define BOOST_TEST_MODULE stale_feed
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "random_schedule.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(orders_wait_for_cancellations_after_an_outage)
{
    expect_no_violations(5, 1205133, 1);
}
