// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Choice of the task to stop when urgent work lacks capacity. Guards against stopping the
/// task of a job that is about to miss its deadline, or that is nearly done, while another
/// task could be stopped at no loss to its caller.

#define BOOST_TEST_MODULE victim
#include <boost/test/unit_test.hpp>

#include <pathport/shortage/victim.h>

#include <algorithm>
#include <vector>

using namespace pathport;
using namespace pathport::shortage;

namespace {

constexpr int64_t allowed_ms = 10000;

VictimCost cost_of(int priority, int64_t slack_ms, bool ending = false)
{
    return { ending, priority, { slack_ms, allowed_ms, 0, 0 } };
}

} // namespace

BOOST_AUTO_TEST_CASE(task_that_ends_anyway_is_counted_before_any_other_is_stopped)
{
    BOOST_TEST(costs_less(cost_of(1, 10, true), cost_of(2, 9000)));
}

BOOST_AUTO_TEST_CASE(less_urgent_work_is_stopped_first)
{
    BOOST_TEST(costs_less(cost_of(2, 10), cost_of(1, 9000)));
}

BOOST_AUTO_TEST_CASE(work_without_value_is_stopped_before_late_and_late_before_timely)
{
    const VictimCost worthless = cost_of(2, -3 * allowed_ms);
    const VictimCost late = cost_of(2, -10);
    BOOST_TEST(costs_less(worthless, late));
    BOOST_TEST(costs_less(late, cost_of(2, 9000)));
}

BOOST_AUTO_TEST_CASE(job_with_the_most_slack_waits_for_the_others)
{
    std::vector<VictimCost> costs { cost_of(2, 300), cost_of(2, 9000), cost_of(2, 2500) };
    std::sort(costs.begin(), costs.end(), costs_less);
    BOOST_TEST((costs.front() == cost_of(2, 9000)));
    BOOST_TEST((costs.back() == cost_of(2, 300)));
}

BOOST_AUTO_TEST_CASE(remaining_time_follows_from_progress)
{
    BOOST_TEST(remaining_run_time(Millis(3000), 75, 75)->count() == 1000);
    BOOST_TEST(remaining_run_time(Millis(3000), 100, 100)->count() == 0);
    BOOST_TEST(remaining_run_time(Millis(3000), 130, 130)->count() == 0);
    BOOST_TEST(!remaining_run_time(Millis(3000), 0, 0));
    BOOST_TEST(!remaining_run_time(Millis(-1), 50, 50));
}

// The progress of earlier runs says nothing about the speed of this one.
BOOST_AUTO_TEST_CASE(resumed_task_is_judged_by_what_this_run_has_done)
{
    BOOST_TEST(remaining_run_time(Millis(1000), 5, 90)->count() == 2000);
    BOOST_TEST(!remaining_run_time(Millis(1000), 0, 90));
}
