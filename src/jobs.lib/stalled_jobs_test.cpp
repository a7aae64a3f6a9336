// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A random schedule with few faults, callers and changing bounds, in which a job waits for
/// seconds although half of the capacity is free.

#define BOOST_TEST_MODULE stalled_jobs
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "random_schedule.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(jobs_do_not_wait_while_capacity_is_free)
{
    expect_no_violations(16, 1216089, 1);
}
