// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Margin of slack that a job needs when it starts. Guards against the domino effect of
/// earliest deadlines under overload: each job is started when its slack is just used up,
/// and nearly all of them end late.

#define BOOST_TEST_MODULE start_margin
#include <boost/test/unit_test.hpp>

#include <pathport/shortage/start_margin.h>

using namespace pathport;
using namespace pathport::shortage;

BOOST_AUTO_TEST_CASE(nothing_is_demanded_before_a_few_jobs_have_ended)
{
    StartMargin margin;
    for (int i = 0; i < 4; ++i)
        margin.note_completion(Millis(5000));
    BOOST_TEST(margin.margin().count() == 0);
    margin.note_completion(Millis(5000));
    BOOST_TEST(margin.margin().count() == 5000);
}

BOOST_AUTO_TEST_CASE(most_jobs_stay_within_the_margin)
{
    StartMargin margin;
    for (int i = 1; i <= 40; ++i)
        margin.note_completion(Millis(int64_t(100) * i));
    BOOST_TEST(margin.margin().count() >= 3000);
    BOOST_TEST(margin.margin().count() <= 3400);
}

BOOST_AUTO_TEST_CASE(one_straggler_does_not_decide)
{
    StartMargin margin;
    for (int i = 0; i < 20; ++i)
        margin.note_completion(Millis(i == 7 ? 60000 : 300));
    BOOST_TEST(margin.margin().count() == 300);
}

BOOST_AUTO_TEST_CASE(margin_shrinks_when_the_load_drops)
{
    StartMargin margin;
    for (int i = 0; i < 100; ++i)
        margin.note_completion(Millis(8000));
    for (int i = 0; i < 40; ++i)
        margin.note_completion(Millis(200));
    BOOST_TEST(margin.margin().count() == 200);
}

BOOST_AUTO_TEST_CASE(estimates_that_were_too_high_demand_nothing)
{
    StartMargin margin;
    for (int i = 0; i < 10; ++i)
        margin.note_completion(Millis(-4000));
    BOOST_TEST(margin.margin().count() == 0);
}
