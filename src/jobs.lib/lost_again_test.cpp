// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Random schedules in which many workers restart by themselves, and a good task is lost or
/// ends early in four or five starts in a row. A task that crashes its workers looks the
/// same, so the bound on the starts of such tasks gives this one up.

#define BOOST_TEST_MODULE lost_again
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "random_schedule.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(good_task_that_is_lost_again_and_again_is_not_given_up)
{
    const std::pair<int, uint64_t> schedules[]
        = { { 8, 1308032 }, { 9, 1409026 }, { 9, 1409032 }, { 7, 1507001 },
            { 8, 1508058 }, { 8, 1508094 }, { 9, 1509085 } };
    for (const auto& [style, seed] : schedules)
        expect_no_violations(style, seed, 1);
}
