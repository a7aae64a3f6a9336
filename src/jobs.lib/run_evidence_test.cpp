// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Guards against taking an order that was sent for a run that existed, or the time since
/// the order for the run's length.

#define BOOST_TEST_MODULE run_evidence
#include <boost/test/unit_test.hpp>

#include "run_evidence.h"

using namespace pathport;
using namespace pathport::jobs;

BOOST_AUTO_TEST_CASE(without_an_order_there_is_no_run)
{
    const RunEvidence evidence;
    BOOST_TEST(!evidence.may_exist());
    BOOST_TEST(!evidence.is_confirmed());
    BOOST_TEST(!evidence.is_adopted());
}

// It keeps its task from being started elsewhere, but tells no run time.
BOOST_AUTO_TEST_CASE(order_without_an_answer_may_have_started_a_run)
{
    const RunEvidence evidence = RunEvidence::ordered(Millis(1000));
    BOOST_TEST(evidence.may_exist());
    BOOST_TEST(!evidence.is_confirmed());
    BOOST_TEST(!evidence.known_runtime().has_value());
    BOOST_TEST((evidence.max_runtime(Millis(1300)) == Millis(300)));
    BOOST_TEST((evidence.max_runtime(Millis(900)) == Millis(0)));
}

BOOST_AUTO_TEST_CASE(answer_and_reports_confirm_a_run)
{
    const RunEvidence accepted = RunEvidence::ordered(Millis(1000)).accepted(Millis(1010));
    BOOST_TEST(accepted.is_confirmed());
    BOOST_TEST((accepted.known_runtime() == Millis(0)));
    BOOST_TEST((accepted.observed_runtime() == Millis(0)));
    const RunEvidence listed = accepted.listed(Millis(1600), Millis(1500));
    BOOST_TEST((listed.known_runtime() == Millis(590)));
    BOOST_TEST((listed.age(Millis(2000)) == Millis(990)));
    BOOST_TEST((listed.observed_runtime() == Millis(490)));
    BOOST_TEST((listed != accepted));
    const RunEvidence only_listed
        = RunEvidence::ordered(Millis(1000)).listed(Millis(1600), Millis(1500));
    BOOST_TEST(only_listed.is_confirmed());
    BOOST_TEST((only_listed.observed_runtime() == Millis(0)));
}

// The order was carried out seconds after it was sent, at an unknown time.
BOOST_AUTO_TEST_CASE(time_before_a_run_is_confirmed_does_not_count)
{
    const RunEvidence ordered = RunEvidence::ordered(Millis(1000));
    BOOST_TEST((ordered.age(Millis(4000)) == Millis(0)));
    const RunEvidence listed = ordered.listed(Millis(4000), Millis(3990));
    BOOST_TEST((listed.known_runtime() == Millis(0)));
    BOOST_TEST((listed.age(Millis(4100)) == Millis(100)));
    BOOST_TEST((listed.max_runtime(Millis(4100)) == Millis(3100)));
}

// The time of the order tells for how long the next incarnation is at risk.
BOOST_AUTO_TEST_CASE(order_may_have_reached_the_next_incarnation)
{
    const RunEvidence lost
        = RunEvidence::ordered(Millis(1000)).listed(Millis(1600), Millis(1500));
    const RunEvidence evidence = lost.after_restart();
    BOOST_TEST(evidence.may_exist());
    BOOST_TEST(!evidence.is_confirmed());
    BOOST_TEST(!evidence.known_runtime().has_value());
    BOOST_TEST((evidence.since() == Millis(1000)));
    BOOST_TEST((evidence.age(Millis(3000)) == Millis(0)));
}

BOOST_AUTO_TEST_CASE(run_time_under_an_earlier_leader_is_unknown)
{
    BOOST_TEST(!RunEvidence::unobserved(false).is_confirmed());
    BOOST_TEST(RunEvidence::unobserved(false).may_exist());
    BOOST_TEST(RunEvidence::unobserved(true).is_confirmed());
    const RunEvidence adopted = RunEvidence::adopted(Millis(2000));
    BOOST_TEST(adopted.is_adopted());
    BOOST_TEST(adopted.is_confirmed());
    BOOST_TEST(!adopted.known_runtime().has_value());
    BOOST_TEST(!adopted.max_runtime(Millis(2500)).has_value());
    BOOST_TEST(
        (adopted.listed(Millis(2500), Millis(2400)).observed_runtime() == Millis(400)));
}
