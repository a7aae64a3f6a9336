// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Sharing of scarce advisor time in a whole cell with slow queries: steps that wait for a
/// scarce resource must not keep the advisor from steps for which capacity is free.

#define BOOST_TEST_MODULE advice_share
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

namespace {

constexpr int64_t slow_advice_ms = 450;

// Two queues with slow advice, one of them more urgent.
void add_slow_queues(Cell& cell)
{
    jobs::Configuration configuration = cell.store.configuration();
    ++configuration.version;
    for (const int priority : { 1, 2 }) {
        jobs::Queue queue;
        queue.name = priority == 1 ? "scans" : "summaries";
        queue.host = "cell";
        queue.path_prefix = "/" + queue.name + "/";
        queue.service = "pool";
        queue.priority = priority;
        queue.max_failures = 3;
        queue.stretch = 4;
        queue.slo_ms = 3000;
        queue.advice = jobs::AdviceRule { double(slow_advice_ms), 7, 2000 };
        configuration.queues.push_back(queue);
    }
    cell.store.configure(configuration);
    cell.workers.injected.ticket_validity = Millis(2000);
    cell.workers.allowed_tenths = 3;
}

StepModel slow_facts(int count, int64_t run_ms, Resources need)
{
    StepModel facts;
    facts.count = count;
    facts.run_ms = run_ms;
    facts.need = need;
    facts.advice_latency_ms = slow_advice_ms;
    return facts;
}

} // namespace

// Urgent steps without enough capacity on their allowed workers repeated their queries over
// and over. For 15 s no query was sent for the steps of another queue, although most of the
// capacity was free, on a site with accelerators.
BOOST_AUTO_TEST_CASE(steps_with_capacity_get_advice_while_urgent_ones_wait)
{
    for (const uint64_t seed : { 1, 2, 3 }) {
        Cell cell(seed, 3, 14);
        add_slow_queues(cell);
        cell.world.run_for(Millis(2500));
        constexpr int scans = 100;
        constexpr int before_summaries = 40;
        for (int i = 0; i < scans; ++i) {
            if (i >= before_summaries && i < before_summaries + 3)
                submit(cell, "summaries", "summary" + std::to_string(i - before_summaries),
                       { slow_facts(3, 500, { 500, 500, 0 }) });
            submit(cell, "scans", "scan" + std::to_string(i),
                   { slow_facts(1, 3000, { 4100, 1000, 0 }) });
            cell.world.run_for(Millis(250));
        }
        for (int i = 0; i < 3; ++i)
            BOOST_TEST(cell.workers.all_done("summary" + std::to_string(i), 0, 3, false),
                       "seed " << seed << ", summary " << i);
    }
}
