// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Account of the advisor's time. Guards against counting the time of an answer as used
/// although no task was placed with it, or twice.

#define BOOST_TEST_MODULE advice_account
#include <boost/test/unit_test.hpp>

#include "advice_account.h"

using namespace pathport::jobs;

BOOST_AUTO_TEST_CASE(time_of_answers_is_used_once_by_the_next_placement)
{
    AdviceAccount account;
    double unused_ms = 0;
    account.note_answer("splits", 200, true, unused_ms);
    account.note_answer("splits", 100, true, unused_ms);
    BOOST_TEST(account.by_queue().at("splits").used_ms == 0);
    account.note_placement("splits", unused_ms);
    account.note_placement("splits", unused_ms);
    BOOST_TEST((account.by_queue().at("splits") == AdvisorTime { 300, 300, 0 }));
}

BOOST_AUTO_TEST_CASE(unanswered_queries_are_never_used)
{
    AdviceAccount account;
    double unused_ms = 0;
    account.note_answer("splits", 200, false, unused_ms);
    account.note_placement("splits", unused_ms);
    BOOST_TEST((account.by_queue().at("splits") == AdvisorTime { 0, 0, 200 }));
}

BOOST_AUTO_TEST_CASE(total_sums_all_queues)
{
    AdviceAccount account;
    double first_ms = 0;
    double second_ms = 0;
    account.note_answer("payouts", 900, true, first_ms);
    account.note_answer("splits", 200, true, second_ms);
    account.note_placement("splits", second_ms);
    BOOST_TEST((account.total() == AdvisorTime { 1100, 200, 0 }));
    BOOST_TEST(
        (account.total() - AdvisorTime { 900, 0, 0 } == AdvisorTime { 200, 200, 0 }));
}
