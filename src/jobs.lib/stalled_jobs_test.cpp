// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A random schedule with callers, in which the bound of a workspace becomes lower than the
/// need of one of its gangs. Such a job waits for the bound, however much capacity is free.

#define BOOST_TEST_MODULE stalled_jobs
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "random_schedule.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(job_beyond_its_bound_may_wait)
{
    expect_no_violations(16, 1216089, 1);
}
