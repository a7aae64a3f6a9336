// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Budget of a workspace under its usual load and under bursts of many times that load.
/// Guards against a workspace that takes the others' share by sending many times its usual
/// load.

#define BOOST_TEST_MODULE job_budget
#include <boost/test/unit_test.hpp>

#include <pathport/callers/job_budget.h>

using namespace pathport::callers;

namespace {

/// Sends `per_s` jobs a second from `from_ms` on for `span_ms`. Returns the number of jobs
/// within the budget.
int send(JobBudget& budget, double weight, int64_t per_s, int64_t from_ms, int64_t span_ms)
{
    int within = 0;
    for (int64_t at = from_ms; at < from_ms + span_ms; at += 1000 / per_s)
        within += budget.try_consume(weight, at) ? 1 : 0;
    return within;
}

} // namespace

BOOST_AUTO_TEST_CASE(usual_traffic_is_within_the_budget)
{
    JobBudget budget;
    BOOST_TEST(send(budget, 20, 10, 0, 30000) == 300);
}

BOOST_AUTO_TEST_CASE(under_overload_weight_jobs_a_second_are_within_the_budget)
{
    JobBudget budget;
    send(budget, 20, 10, 0, 10000);
    const int within = send(budget, 20, 100, 10000, 8000);
    BOOST_TEST(within >= 20 * 8);
    BOOST_TEST(within <= 20 * 8 + 2 * 20);
    BOOST_TEST(send(budget, 20, 10, 18000, 10000) == 100);
}

BOOST_AUTO_TEST_CASE(short_burst_after_low_load_is_within_the_budget)
{
    JobBudget budget;
    BOOST_TEST(budget.try_consume(5, 0));
    BOOST_TEST(send(budget, 5, 100, 10000, 90) == 9);
    JobBudget rare;
    BOOST_TEST(rare.try_consume(0.1, 0));
    BOOST_TEST(!rare.try_consume(0.1, 100));
    BOOST_TEST(rare.try_consume(0.1, 10100));
}

BOOST_AUTO_TEST_CASE(jobs_reported_out_of_order_add_no_tokens)
{
    JobBudget budget;
    BOOST_TEST(send(budget, 1, 10, 10000, 1000) == 2);
    BOOST_TEST(!budget.try_consume(1, 2000));
    BOOST_TEST(budget.try_consume(1, 12000));
}
