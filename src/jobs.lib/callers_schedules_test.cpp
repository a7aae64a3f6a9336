// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Random schedules with callers whose keys are added and removed and whose workspaces'
/// bounds change, among kills, partitions, restarts and tasks that crash their workers. One
/// workspace submits half of the work. No workspace may run more than its bound plus a
/// tenth and one task, keys are judged by the configuration that a node is required to
/// have, and no workspace has access to another's jobs.

#define BOOST_TEST_MODULE callers_schedules
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "random_schedule.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(workspaces_are_isolated_and_bounds_kept_in_random_schedules)
{
    constexpr uint64_t first = 970000;
    constexpr uint64_t schedules = 4;
    for (const int style : { 16, 17, 18 })
        expect_no_violations(style, first, schedules);
}
