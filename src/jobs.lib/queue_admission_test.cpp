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

AdviceDemand demand_of(const std::string& queue, int priority, int steps, double cost_ms,
                       int64_t oldest_ms = 0)
{
    return { queue, priority, steps, Millis(oldest_ms), cost_ms };
}

bool is_closed(const QueueAdmission& admission, const std::string& queue)
{
    for (const ClosedQueue& entry : admission.closed()) {
        if (entry.queue == queue)
            return true;
    }
    return false;
}

} // namespace

BOOST_AUTO_TEST_CASE(queue_closes_when_its_backlog_takes_too_long_for_the_callers)
{
    QueueAdmission admission;
    const std::vector<AdviceDemand> demands { demand_of("slow", 1, 6, 500) };
    admission.update(demands, 6);
    BOOST_TEST(!is_closed(admission, "slow"));
    admission.update(demands, 2);
    BOOST_TEST(is_closed(admission, "slow"));
    BOOST_TEST(admission.estimated_wait("slow").count() == 1500);
    BOOST_TEST(admission.closed()[0].retry_after.count() == 1500);
}

BOOST_AUTO_TEST_CASE(queue_closes_when_a_step_has_waited_long)
{
    QueueAdmission admission;
    admission.update({ demand_of("slow", 1, 1, 10, 2100) }, 6);
    BOOST_TEST(is_closed(admission, "slow"));
    // The time of its own query, which may be in flight, does not count.
    admission.update({ demand_of("slower", 1, 1, 700, 2100) }, 6);
    BOOST_TEST(!is_closed(admission, "slower"));
    admission.update({ demand_of("slower", 1, 1, 700, 2800) }, 6);
    BOOST_TEST(is_closed(admission, "slower"));
}

// In an overloaded cell, late steps queue behind all that can meet their deadlines and wait
// for seconds without a query, while new ones get theirs at once.
BOOST_AUTO_TEST_CASE(late_waiting_steps_do_not_close_the_queue)
{
    for (const bool late : { true, false }) {
        AdviceDemand demand;
        demand.queue = "checks";
        demand.priority = 2;
        demand.query_ms = 230;
        for (int i = 0; i < 42; ++i)
            demand.add_step(Millis(7500), late);
        demand.add_step(Millis(100), false);
        QueueAdmission admission;
        admission.update({ demand }, 45);
        BOOST_TEST(is_closed(admission, "checks") == !late);
    }
}

BOOST_AUTO_TEST_CASE(closed_queue_opens_only_when_the_backlog_is_half_gone)
{
    QueueAdmission admission;
    admission.update({ demand_of("slow", 1, 3, 500) }, 1);
    BOOST_TEST(is_closed(admission, "slow"));
    admission.update({ demand_of("slow", 1, 3, 500) }, 2);
    BOOST_TEST(is_closed(admission, "slow"));
    admission.update({ demand_of("slow", 1, 1, 400) }, 1);
    BOOST_TEST(!is_closed(admission, "slow"));
    admission.update({ demand_of("slow", 1, 3, 500) }, 1);
    BOOST_TEST(is_closed(admission, "slow"));
    admission.update({}, 1);
    BOOST_TEST(admission.closed().empty());
}

BOOST_AUTO_TEST_CASE(less_urgent_queue_closes_first_and_most_urgent_has_precedence)
{
    QueueAdmission admission;
    admission.update({ demand_of("urgent", 0, 20, 5), demand_of("first", 1, 16, 50),
                       demand_of("second", 2, 16, 50) },
                     1.5);
    BOOST_TEST(!is_closed(admission, "urgent"));
    BOOST_TEST(!is_closed(admission, "first"));
    BOOST_TEST(is_closed(admission, "second"));
    BOOST_TEST((admission.estimated_wait("first") < admission.estimated_wait("second")));
}

BOOST_AUTO_TEST_CASE(missing_callers_and_unusual_figures_are_handled)
{
    QueueAdmission admission;
    admission.update({ demand_of("slow", 1, 1, 500) }, -3);
    BOOST_TEST(is_closed(admission, "slow"));
    BOOST_TEST((admission.closed()[0].retry_after <= Millis(10000)));
    std::mt19937 generator(5);
    for (int round = 0; round < 2000; ++round) {
        std::vector<AdviceDemand> demands;
        for (int i = 0; i < int(generator() % 5); ++i)
            demands.push_back(demand_of("q" + std::to_string(i), int(generator() % 4),
                                        int(generator() % 5000), double(generator() % 900),
                                        int64_t(generator() % 4000)));
        admission.update(demands, double(generator() % 200) / 10 - 1);
        for (const ClosedQueue& entry : admission.closed()) {
            BOOST_TEST((entry.retry_after >= Millis(1000)));
            BOOST_TEST((entry.retry_after <= Millis(10000)));
        }
    }
}

// At any load, accepted steps wait little longer than the wait at which the queue closes.
BOOST_AUTO_TEST_CASE(backlog_stays_bounded_at_any_load_and_number_of_callers)
{
    for (const double callers : { 0.5, 1.0, 2.0, 6.0 }) {
        for (const int arrivals : { 1, 3, 10 }) {
            QueueAdmission admission;
            double backlog_ms = 0;
            constexpr double cost_ms = 60;
            constexpr double tick_ms = 200;
            for (int tick = 0; tick < 500; ++tick) {
                if (!is_closed(admission, "q"))
                    backlog_ms += arrivals * cost_ms;
                backlog_ms = std::max(0.0, backlog_ms - callers * tick_ms);
                const int steps = int(backlog_ms / cost_ms);
                admission.update({ demand_of("q", 1, steps, cost_ms) }, callers);
                BOOST_TEST(backlog_ms / callers
                           < 1000 + arrivals * cost_ms / callers + cost_ms / callers);
            }
        }
    }
}
