// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A random schedule with many faults at once, at the end of which the advisor allows a
/// lasting task on none of the workers that are left. Only tasks that could run count as
/// missing.

#define BOOST_TEST_MODULE lasting_tasks
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "random_schedule.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(lasting_tasks_run_where_a_worker_is_allowed)
{
    expect_no_violations(2, 1202071, 1);
}
