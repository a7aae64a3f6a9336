// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The order of jobs when late work has piled up. Guards against spending capacity and
/// advice on the job that is furthest past its deadline while one that is only just late,
/// or not late at all, waits.

#define BOOST_TEST_MODULE prospect
#include <boost/test/unit_test.hpp>

#include <pathport/shortage/prospect.h>

#include <algorithm>
#include <random>
#include <tuple>
#include <vector>

using namespace pathport::shortage;

namespace {

constexpr int64_t allowed_ms = 10000;

Deadline with_slack(int64_t slack_ms, int64_t accepted_ms = 0)
{
    return { slack_ms, allowed_ms, accepted_ms, 0 };
}

Deadline with_margin(int64_t slack_ms, int64_t margin_ms)
{
    return { slack_ms, allowed_ms, 0, margin_ms };
}

bool goes_before(const Deadline& left, const Deadline& right)
{
    return std::make_tuple(prospect_of(left), order_within(left))
        < std::make_tuple(prospect_of(right), order_within(right));
}

} // namespace

BOOST_AUTO_TEST_CASE(value_ends_at_three_times_the_allowed_time)
{
    BOOST_TEST((prospect_of(with_slack(0)) == Prospect::in_time));
    BOOST_TEST((prospect_of(with_slack(-1)) == Prospect::late));
    BOOST_TEST((prospect_of(with_slack(-2 * allowed_ms)) == Prospect::late));
    BOOST_TEST((prospect_of(with_slack(-2 * allowed_ms - 1)) == Prospect::worthless));
}

BOOST_AUTO_TEST_CASE(job_without_an_allowed_time_is_worthless_once_late)
{
    BOOST_TEST((prospect_of({ 0, 0, 0, 0 }) == Prospect::in_time));
    BOOST_TEST((prospect_of({ -1, 0, 0, 0 }) == Prospect::worthless));
}

BOOST_AUTO_TEST_CASE(jobs_that_can_be_in_time_go_by_least_slack)
{
    BOOST_TEST(goes_before(with_slack(100), with_slack(2000)));
    BOOST_TEST(goes_before(with_slack(9000), with_slack(-1)));
}

BOOST_AUTO_TEST_CASE(late_work_that_has_piled_up_goes_least_late_first)
{
    BOOST_TEST(goes_before(with_slack(-10), with_slack(-15000)));
    BOOST_TEST(goes_before(with_slack(-15000), with_slack(-25000)));
}

// With 6 s of delays after the start, a job that starts with 1 s of slack ends late, and
// so does the next one, which waited for it.
BOOST_AUTO_TEST_CASE(job_that_begins_too_late_gives_way_to_those_that_can_be_in_time)
{
    constexpr int64_t margin_ms = 6000;
    const Deadline too_late = with_margin(1000, margin_ms);
    const Deadline possible = with_margin(6500, margin_ms);
    BOOST_TEST((prospect_of(too_late) == Prospect::at_risk));
    BOOST_TEST(goes_before(possible, too_late));
    BOOST_TEST(goes_before(with_margin(5000, margin_ms), too_late));
    BOOST_TEST(goes_before(too_late, with_slack(-1)));
    // A job that has begun is finished first.
    BOOST_TEST(goes_before(with_margin(1000, 0), possible));
}

// Ordered by lateness, the oldest of them would wait for as long as others keep becoming
// worthless.
BOOST_AUTO_TEST_CASE(worthless_jobs_go_oldest_first)
{
    BOOST_TEST(goes_before(with_slack(-50000, 10), with_slack(-25000, 20)));
}

// A plain model of the promise: by value left, then by what the value of the group needs.
BOOST_AUTO_TEST_CASE(order_is_total_and_never_puts_less_value_first)
{
    std::mt19937 random(20261204);
    std::uniform_int_distribution<int64_t> slack(-4 * allowed_ms, 2 * allowed_ms);
    std::vector<Deadline> all;
    for (int64_t i = 0; i < 500; ++i)
        all.push_back(with_slack(slack(random), i));
    std::sort(all.begin(), all.end(), goes_before);
    for (size_t i = 1; i < all.size(); ++i) {
        const Deadline& first = all[i - 1];
        const Deadline& second = all[i];
        const bool second_in_time = second.slack_ms >= 0;
        if (second_in_time)
            BOOST_TEST((first.slack_ms >= 0 && first.slack_ms <= second.slack_ms));
        const bool second_has_value = second.slack_ms >= -2 * allowed_ms;
        if (second_has_value && !second_in_time)
            BOOST_TEST((first.slack_ms >= 0 || first.slack_ms >= second.slack_ms));
        if (!second_has_value && first.slack_ms < -2 * allowed_ms)
            BOOST_TEST(first.accepted_ms <= second.accepted_ms);
    }
}
