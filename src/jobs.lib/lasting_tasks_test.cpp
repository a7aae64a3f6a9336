// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A random schedule with many faults at once, at the end of which a lasting task is not
/// running although workers with free capacity could run it.

#define BOOST_TEST_MODULE lasting_tasks
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "random_schedule.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(lasting_tasks_run_at_the_end)
{
    expect_no_violations(2, 1202071, 1);
}
