// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Sums kept by a worker's load.

#define BOOST_TEST_MODULE worker_load
#include <boost/test/unit_test.hpp>

#include "worker_load.h"

using namespace pathport;
using namespace pathport::jobs;

namespace {

const TaskId first { "aa", 0, 1, 0 };
const TaskId second { "aa", 0, 1, 1 };
const TaskId other { "bb", 0, 0, 0 };

} // namespace

BOOST_AUTO_TEST_CASE(load_sums_what_its_tasks_take)
{
    WorkerLoad load;
    load.add(first, { 7, { 100, 10, 0 }, 1 });
    load.add(second, { 7, { 200, 20, 1 }, 1 });
    load.add(other, { 3, { 50, 5, 0 }, 0 });
    BOOST_TEST((load.used() == Resources { 350, 35, 1 }));
    BOOST_TEST((load.used_below(0) == Resources { 300, 30, 1 }));
    BOOST_TEST((load.used_below(1) == Resources()));
    BOOST_TEST(load.count_of_step("aa.0.1") == 2);
    BOOST_TEST(load.holds(other));
}

BOOST_AUTO_TEST_CASE(a_task_counts_once_and_leaves_with_its_own_run)
{
    WorkerLoad load;
    load.add(first, { 7, { 100, 10, 0 }, 1 });
    load.add(first, { 8, { 100, 10, 0 }, 1 });
    BOOST_TEST((load.used() == Resources { 100, 10, 0 }));
    BOOST_TEST(!load.remove(first, 8));
    BOOST_TEST(load.remove(first, 7));
    BOOST_TEST(!load.remove(first, 7));
    BOOST_TEST(load.empty());
    BOOST_TEST((load.used() == Resources()));
    BOOST_TEST((load.used_below(0) == Resources()));
    BOOST_TEST(load.count_of_step("aa.0.1") == 0);
}

// A gang whose workers are chosen by all less urgent tasks waits for those that can't be
// stopped.
BOOST_AUTO_TEST_CASE(what_stops_can_free_is_counted_apart)
{
    WorkerLoad load;
    load.add(first, { 7, { 100, 10, 0 }, 2, true });
    load.add(second, { 7, { 200, 20, 1 }, 2 });
    load.add(other, { 3, { 50, 5, 0 }, 1, true });
    BOOST_TEST((load.stoppable_below(0) == Resources { 150, 15, 0 }));
    BOOST_TEST((load.stoppable_below(1) == Resources { 100, 10, 0 }));
    BOOST_TEST((load.used_below(1) == Resources { 300, 30, 1 }));
    BOOST_TEST(load.remove(first, 7));
    BOOST_TEST((load.stoppable_below(1) == Resources()));
}
