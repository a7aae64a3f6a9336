// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Two keepers, a table and boxes under random schedules: exchanges are held up, lost or
/// answered late, shards change hands while their old owner does not notice, answers of the
/// table are lost, boxes pause and restart. Whatever happens, no box is given more than it
/// has, and no task runs in two places at once; once the faults end, each task ends.

#define BOOST_TEST_MODULE keeper
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include "keeper_test_world.h"

using keeper_test::wanted;
using keeper_test::World;

RC_BOOST_PROP(no_task_runs_twice_at_once_under_any_schedule, ())
{
    World world(*rc::gen::arbitrary<uint64_t>());
    for (int i = 0; i < 600; ++i)
        world.step();
    RC_ASSERT(world.violation() == "");
}

RC_BOOST_PROP(each_task_ends_once_the_faults_do, ())
{
    World world(*rc::gen::arbitrary<uint64_t>());
    for (int i = 0; i < 400; ++i)
        world.step();
    if (!world.settle())
        RC_FAIL(world.stuck());
    RC_ASSERT(world.settled_replicas() == 2 * wanted);
    RC_ASSERT(world.violation() == "");
}
