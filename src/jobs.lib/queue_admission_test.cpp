// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// When a queue closes because advice is scarce, and when it opens again.

#define BOOST_TEST_MODULE queue_admission
#include <boost/test/unit_test.hpp>

#include "queue_admission.h"

#include <random>

using namespace pathport;
using namespace pathport::jobs;

namespace {

AdviceDemand demand_of(const std::string& queue, int priority, int steps,
                       double question_ms, int64_t oldest_ms = 0)
{
    return { queue, priority, steps, Millis(oldest_ms), question_ms };
}

bool is_closed(const QueueAdmission& door, const std::string& queue)
{
    for (const ClosedQueue& entry : door.closed()) {
        if (entry.queue == queue)
            return true;
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_CASE(queue_closes_when_its_backlog_takes_too_long_for_the_callers)
{
    QueueAdmission door;
    const std::vector<AdviceDemand> demands { demand_of("slow", 1, 6, 500) };
    door.update(demands, 6);
    BOOST_TEST(!is_closed(door, "slow"));
    door.update(demands, 2);
    BOOST_TEST(is_closed(door, "slow"));
    BOOST_TEST(door.estimated_wait("slow").count() == 1500);
    BOOST_TEST(door.closed()[0].retry_after.count() == 1500);
}

BOOST_AUTO_TEST_CASE(queue_closes_when_a_step_has_waited_long)
{
    QueueAdmission door;
    door.update({ demand_of("slow", 1, 1, 10, 2100) }, 6);
    BOOST_TEST(is_closed(door, "slow"));
    // But not for the time of its own question, which may be under way.
    door.update({ demand_of("slower", 1, 1, 700, 2100) }, 6);
    BOOST_TEST(!is_closed(door, "slower"));
    door.update({ demand_of("slower", 1, 1, 700, 2800) }, 6);
    BOOST_TEST(is_closed(door, "slower"));
}

// In a cell that is asked for far more than it has, late steps stand behind all that can be
// in time and are not asked about for seconds, while new ones are at once.
BOOST_AUTO_TEST_CASE(late_steps_that_stand_do_not_close_the_queue)
{
    for (const bool late : { true, false }) {
        AdviceDemand demand;
        demand.queue = "checks";
        demand.priority = 2;
        demand.query_ms = 230;
        for (int i = 0; i < 42; ++i)
            demand.add_step(Millis(7500), late);
        demand.add_step(Millis(100), false);
        QueueAdmission door;
        door.update({ demand }, 45);
        BOOST_TEST(is_closed(door, "checks") == !late);
    }
}

BOOST_AUTO_TEST_CASE(closed_queue_opens_only_when_the_backlog_is_half_gone)
{
    QueueAdmission door;
    door.update({ demand_of("slow", 1, 3, 500) }, 1);
    BOOST_TEST(is_closed(door, "slow"));
    door.update({ demand_of("slow", 1, 3, 500) }, 2);
    BOOST_TEST(is_closed(door, "slow"));
    door.update({ demand_of("slow", 1, 1, 400) }, 1);
    BOOST_TEST(!is_closed(door, "slow"));
    door.update({ demand_of("slow", 1, 3, 500) }, 1);
    BOOST_TEST(is_closed(door, "slow"));
    door.update({}, 1);
    BOOST_TEST(door.closed().empty());
}

BOOST_AUTO_TEST_CASE(less_urgent_queue_closes_first_and_the_most_urgent_goes_before_all)
{
    QueueAdmission door;
    door.update({ demand_of("urgent", 0, 20, 5), demand_of("first", 1, 16, 50),
                  demand_of("second", 2, 16, 50) },
                1.5);
    BOOST_TEST(!is_closed(door, "urgent"));
    BOOST_TEST(!is_closed(door, "first"));
    BOOST_TEST(is_closed(door, "second"));
    BOOST_TEST((door.estimated_wait("first") < door.estimated_wait("second")));
}

BOOST_AUTO_TEST_CASE(no_caller_and_odd_figures_are_borne)
{
    QueueAdmission door;
    door.update({ demand_of("slow", 1, 1, 500) }, -3);
    BOOST_TEST(is_closed(door, "slow"));
    BOOST_TEST((door.closed()[0].retry_after <= Millis(10000)));
    std::mt19937 generator(5);
    for (int round = 0; round < 2000; ++round) {
        std::vector<AdviceDemand> demands;
        for (int i = 0; i < int(generator() % 5); ++i)
            demands.push_back(demand_of("q" + std::to_string(i), int(generator() % 4),
                                        int(generator() % 5000), double(generator() % 900),
                                        int64_t(generator() % 4000)));
        door.update(demands, double(generator() % 200) / 10 - 1);
        for (const ClosedQueue& entry : door.closed()) {
            BOOST_TEST((entry.retry_after >= Millis(1000)));
            BOOST_TEST((entry.retry_after <= Millis(10000)));
        }
    }
}

// Whatever the load, what is let in does not wait much longer than the queue stays open.
BOOST_AUTO_TEST_CASE(backlog_stays_bounded_at_any_load_and_number_of_callers)
{
    for (const double callers : { 0.5, 1.0, 2.0, 6.0 }) {
        for (const int arrivals : { 1, 3, 10 }) {
            QueueAdmission door;
            double backlog_ms = 0;
            constexpr double question_ms = 60;
            constexpr double tick_ms = 200;
            for (int tick = 0; tick < 500; ++tick) {
                if (!is_closed(door, "q"))
                    backlog_ms += arrivals * question_ms;
                backlog_ms = std::max(0.0, backlog_ms - callers * tick_ms);
                const int steps = int(backlog_ms / question_ms);
                door.update({ demand_of("q", 1, steps, question_ms) }, callers);
                BOOST_TEST(backlog_ms / callers < 1000 + arrivals * question_ms / callers
                               + question_ms / callers);
            }
        }
    }
}
