// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A random schedule in which a member of a gang is recorded on one worker and then tried
/// on another under the same run id, without a record. The next leader learns of its end
/// there and must not run the gang again.

#define BOOST_TEST_MODULE moved_members
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "random_schedule.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(end_of_a_moved_gang_member_counts_for_the_next_leader)
{
    expect_no_violations(14, 1414070, 1);
}
