// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The forecast of the wait for capacity and the decision about a new job. Guards against
/// accepting jobs that an overloaded service finishes long after their deadlines, and
/// against refusing jobs that would have been served: in short bursts, because of work that
/// goes behind them, or by outdated or meaningless numbers.

#define BOOST_TEST_MODULE room_forecast
#include <boost/test/unit_test.hpp>

#include <pathport/shortage/room_forecast.h>

#include <algorithm>
#include <limits>
#include <random>
#include <vector>

using namespace pathport;
using namespace pathport::shortage;

namespace {

constexpr int service = 3;
constexpr int64_t total_millis = 100000;
constexpr int64_t tick_ms = 200;
constexpr JobAllowance short_job { 500, 1500 };

/// Returns in-time work that occupies the whole service for `wait_ms`.
WaitingWork work_of(double wait_ms, int priority = 1, Prospect prospect = Prospect::in_time)
{
    return { service, priority, prospect, 100, 1000, wait_ms };
}

/// A forecast that is updated at each tick.
struct Ticks {
    RoomForecast forecast;
    Millis now { 10000 };
    int64_t free_millis = 0;

    /// Observes the same waiting work for `span`.
    void observe(Millis span, const std::vector<WaitingWork>& waiting)
    {
        const Millis end = now + span;
        for (; now < end; now = now + Millis(tick_ms)) {
            forecast.begin_update(now);
            forecast.note_service({ service, total_millis, free_millis });
            for (const WaitingWork& work : waiting)
                forecast.note_waiting(work);
        }
    }
    int64_t wait_ms(int priority = 1) const
    {
        return forecast.wait(service, priority).count();
    }
};

std::optional<Millis> decide(int64_t wait_ms, const JobAllowance& job, int64_t age_ms = 0)
{
    return capacity_refusal({ Millis(wait_ms), Millis(age_ms) }, job);
}

} // namespace

BOOST_AUTO_TEST_CASE(burst_of_one_second_refuses_nothing)
{
    Ticks ticks;
    ticks.observe(Millis(5000), {});
    ticks.observe(Millis(1000), { work_of(60000) });
    BOOST_TEST(!decide(ticks.wait_ms(), short_job));
    ticks.observe(Millis(400), {});
    BOOST_TEST(!decide(ticks.wait_ms(), short_job));
    // The same load is noticed once it lasts.
    ticks.observe(Millis(1400), { work_of(60000) });
    BOOST_TEST(decide(ticks.wait_ms(), short_job).has_value());
}

// A new leader doesn't know what happened before, nor does one that has been paused.
BOOST_AUTO_TEST_CASE(unobserved_time_limits_nothing)
{
    Ticks ticks;
    ticks.observe(Millis(1000), { work_of(60000) });
    BOOST_TEST(ticks.wait_ms() == 0);
    ticks.observe(Millis(200), { work_of(60000) });
    BOOST_TEST(ticks.wait_ms() == 60000);
    ticks.now = ticks.now + Millis(3000);
    ticks.observe(Millis(200), { work_of(60000) });
    BOOST_TEST(ticks.wait_ms() == 0);
    ticks.observe(Millis(2000), { work_of(60000) });
    ticks.forecast.clear();
    BOOST_TEST(ticks.wait_ms() == 0);
    BOOST_TEST(!ticks.forecast.is_short(service));
}

BOOST_AUTO_TEST_CASE(sustained_overload_refuses_what_would_end_after_twice_its_allowed_time)
{
    Ticks ticks;
    ticks.observe(Millis(5000), { work_of(4000), work_of(5000, 0) });
    BOOST_REQUIRE(ticks.wait_ms() == 9000);
    int refused = 0;
    for (double chain_ms = 100; chain_ms <= 20000; chain_ms += 50) {
        for (const double stretch : { 1.0, 1.5, 2.2, 4.0 }) {
            for (const double slo_ms : { 0.0, 250.0, 3000.0 }) {
                const double allowed_ms = stretch * chain_ms + slo_ms;
                const bool ends_too_late
                    = double(ticks.wait_ms()) + chain_ms > 2 * allowed_ms;
                const auto delay
                    = decide(ticks.wait_ms(), { allowed_ms - chain_ms, allowed_ms });
                BOOST_TEST(delay.has_value() == ends_too_late,
                           "chain " << chain_ms << ", allowed " << allowed_ms);
                refused += delay ? 1 : 0;
            }
        }
    }
    BOOST_TEST(refused > 0);
}

BOOST_AUTO_TEST_CASE(retry_delay_is_the_time_until_the_forecast_admits_the_job)
{
    const auto delay_ms = [](int64_t wait_ms) {
        return decide(wait_ms, short_job).value_or(Millis(0)).count();
    };
    BOOST_TEST(delay_ms(2000) == 0);
    BOOST_TEST(delay_ms(2001) == 1000);
    BOOST_TEST(delay_ms(5000) == 3000);
    BOOST_TEST(delay_ms(5001) == 4000);
    BOOST_TEST(delay_ms(500000) == 10000);
}

// Late work goes behind a new job.
BOOST_AUTO_TEST_CASE(late_work_does_not_count)
{
    Ticks ticks;
    ticks.observe(Millis(5000),
                  { work_of(60000, 1, Prospect::late), work_of(60000, 0, Prospect::late),
                    work_of(60000, 1, Prospect::worthless), work_of(1500),
                    work_of(700, 1, Prospect::at_risk) });
    BOOST_TEST(ticks.wait_ms() == 2200);
}

BOOST_AUTO_TEST_CASE(less_urgent_work_does_not_count)
{
    Ticks ticks;
    WaitingWork elsewhere = work_of(60000);
    elsewhere.service = service + 1;
    ticks.observe(Millis(5000), { work_of(60000, 2), work_of(1200, 0), elsewhere });
    BOOST_TEST(ticks.wait_ms(0) == 1200);
    BOOST_TEST(ticks.wait_ms(1) == 1200);
    BOOST_TEST(ticks.wait_ms(2) == 61200);
}

BOOST_AUTO_TEST_CASE(capacity_is_short_while_less_than_a_tenth_is_free)
{
    Ticks ticks;
    ticks.free_millis = total_millis / 10;
    ticks.observe(Millis(2000), { work_of(60000) });
    BOOST_TEST(!ticks.forecast.is_short(service));
    ticks.free_millis = total_millis / 10 - 1;
    ticks.observe(Millis(200), { work_of(60000) });
    BOOST_TEST(ticks.forecast.is_short(service));
    BOOST_TEST(!ticks.forecast.is_short(service + 1));
}

BOOST_AUTO_TEST_CASE(list_older_than_its_validity_refuses_nothing)
{
    BOOST_TEST(decide(60000, short_job, 1499).has_value());
    BOOST_TEST(!decide(60000, short_job, 1500));
    BOOST_TEST(!decide(60000, short_job, 100000));
    BOOST_TEST(!decide(60000, short_job, -1));
}

BOOST_AUTO_TEST_CASE(values_without_meaning_refuse_nothing)
{
    constexpr double infinite = std::numeric_limits<double>::infinity();
    constexpr double undefined = std::numeric_limits<double>::quiet_NaN();
    constexpr int64_t huge = std::numeric_limits<int64_t>::max();
    for (const JobAllowance& job :
         { JobAllowance { 0, 0 }, JobAllowance { -1, 1000 }, JobAllowance { 1000, -1 },
           JobAllowance { undefined, 1000 }, JobAllowance { 0, undefined },
           JobAllowance { infinite, infinite }, JobAllowance { 1e300, 1e300 } })
        BOOST_TEST(!decide(huge, job));
    BOOST_TEST(!decide(-huge, short_job));
    Ticks ticks;
    std::vector<WaitingWork> work;
    for (const double run_ms : { 0.0, -1.0, -1e300, 1e300, infinite, undefined })
        work.push_back(work_of(run_ms));
    work.push_back({ service, 1, Prospect::in_time, 0, 1000, 60000 });
    work.push_back({ service, 1, Prospect::in_time, -100, 1000, 60000 });
    work.push_back({ service, 1, Prospect::in_time, 100, -1000, 60000 });
    work.push_back({ service, 1, Prospect::in_time, 100, huge, 60000 });
    ticks.observe(Millis(5000), work);
    BOOST_TEST(ticks.wait_ms() == 0);
    for (const int64_t capacity : { int64_t(0), int64_t(-1), -huge }) {
        RoomForecast forecast;
        for (int64_t at = 0; at < 3000; at += tick_ms) {
            forecast.begin_update(Millis(at));
            forecast.note_service({ service, capacity, 0 });
            forecast.note_waiting(work_of(60000));
        }
        BOOST_TEST(forecast.wait(service, 1).count() == 0);
        BOOST_TEST(!forecast.is_short(service));
    }
}

// A plain model of the promise: the job's wait is the work of its priority and of the more
// urgent ones that waited at the tick before the moment one second ago.
BOOST_AUTO_TEST_CASE(job_in_time_by_the_state_of_a_second_ago_is_never_refused)
{
    std::mt19937 random(20261204);
    const auto chance = [&random](int64_t low, int64_t high) {
        return std::uniform_int_distribution<int64_t>(low, high)(random);
    };
    int refused = 0;
    int refusable = 0;
    for (int run = 0; run < 60; ++run) {
        Ticks ticks;
        std::vector<std::vector<int64_t>> history; ///< Wait by priority, for each tick.
        std::vector<int64_t> added(3);
        for (int tick = 0; tick < 200; ++tick) {
            for (int64_t& waits : added) {
                if (chance(0, 5) == 0)
                    waits = chance(0, 3) == 0 ? 0 : chance(0, 15000);
            }
            std::vector<WaitingWork> waiting;
            std::vector<int64_t> true_wait;
            for (int priority = 0; priority < 3; ++priority) {
                const int64_t added_ms = added[size_t(priority)];
                waiting.push_back(work_of(double(added_ms), priority));
                true_wait.push_back((true_wait.empty() ? 0 : true_wait.back()) + added_ms);
            }
            history.push_back(true_wait);
            ticks.observe(Millis(tick_ms), waiting);
            const int priority = int(chance(0, 2));
            const int64_t age_ms = chance(0, 1000);
            const double chain_ms = double(chance(50, 4000));
            const double allowed_ms = chain_ms * double(chance(10, 40)) / 10;
            const JobAllowance job { allowed_ms - chain_ms, allowed_ms };
            // The job arrives `age_ms` after the tick.
            const int64_t ticks_ago = (1000 - age_ms + tick_ms - 1) / tick_ms;
            const bool known = tick >= ticks_ago;
            const int64_t earlier_wait_ms
                = known ? history[size_t(tick - ticks_ago)][size_t(priority)] : 0;
            const bool was_in_time = double(earlier_wait_ms) <= job.slack_ms;
            const bool is_refused
                = decide(ticks.wait_ms(priority), job, age_ms).has_value();
            BOOST_TEST(!(is_refused && was_in_time),
                       "run " << run << ", tick " << tick << ", " << ticks.wait_ms(priority)
                              << " ms forecast, " << earlier_wait_ms << " ms true");
            refused += is_refused ? 1 : 0;
            refusable += double(earlier_wait_ms) > job.slack_ms + job.allowed_ms ? 1 : 0;
        }
    }
    BOOST_TEST(refused > 0);
    BOOST_TEST(refused <= refusable);
}
