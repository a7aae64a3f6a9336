// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Random schedules in which workers leave and run on for a while, and links to workers and
/// between nodes refuse connections.

#define BOOST_TEST_MODULE refusing_links
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "random_schedule.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// Tasks of workers that were leaving ran twice: a refused connection was taken for the end
// of a worker that ran on behind it.
BOOST_AUTO_TEST_CASE(refusing_links_beside_leaving_workers_in_random_schedules)
{
    constexpr uint64_t first = 21000007;
    constexpr uint64_t schedules = 8;
    expect_no_violations(21, first, schedules);
}

// The same through relays, with many other faults.
BOOST_AUTO_TEST_CASE(refusing_links_through_relays_in_random_schedules)
{
    constexpr uint64_t first = 22000000;
    constexpr uint64_t schedules = 4;
    expect_no_violations(22, first, schedules);
}
