// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Retries of mixed work during a store outage: quotes that take a second, closings of some
/// seconds, and checks that may take longer. Clients try five times. Guards against a fixed
/// delay of one second, with which every job sent in the first second of a five-second
/// outage was lost.

#define BOOST_TEST_MODULE retry_delay
#include <boost/test/unit_test.hpp>

#include "retry_delay.h"

using pathport::Millis;
using namespace pathport::jobs;

namespace {

constexpr int tries = 5;

Queue queue_of(double stretch, int64_t slo_ms)
{
    Queue queue;
    queue.stretch = stretch;
    queue.slo_ms = slo_ms;
    return queue;
}

JobSpec job_of(int64_t run_ms)
{
    JobSpec spec;
    spec.steps.emplace_back();
    spec.steps.back().expected_ms = run_ms;
    return spec;
}

const Queue quotes = queue_of(1.5, 250);
const Queue closings = queue_of(2.2, 1000);
const Queue checks = queue_of(4, 3000);

/// Returns when a job sent `sent` ms after the start of an outage is accepted, in ms after
/// that start, or nothing if its client gives up first.
std::optional<int64_t> accepted_at(const Queue& queue, const JobSpec& spec, int64_t sent,
                                   int64_t outage, const std::string& id)
{
    int64_t now = sent;
    for (int i = 0; i < tries; ++i) {
        if (now >= outage)
            return now;
        now += retry_delay(queue, spec, id, Millis(now)).count();
    }
    return std::nullopt;
}

} // namespace

BOOST_AUTO_TEST_CASE(non_urgent_jobs_outlast_an_outage_in_time)
{
    for (const int64_t outage : { 2000, 4200, 5700 }) {
        for (int64_t sent = 0; sent < outage; sent += 100) {
            for (int i = 0; i < 20; ++i) {
                const std::string id = "job" + std::to_string(i);
                const auto check = accepted_at(checks, job_of(3400), sent, outage, id);
                BOOST_TEST_REQUIRE(check.has_value());
                BOOST_TEST(*check - sent < 3 * 3400 + 3000);
                BOOST_TEST(
                    accepted_at(closings, job_of(4000), sent, outage, id).has_value());
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(urgent_jobs_return_first)
{
    for (int i = 0; i < 20; ++i) {
        const std::string id = "job" + std::to_string(i);
        for (const int64_t outage : { 0, 1000, 5000, 60000 }) {
            const Millis quote = retry_delay(quotes, job_of(640), id, Millis(outage));
            const Millis closing = retry_delay(closings, job_of(4000), id, Millis(outage));
            const Millis check = retry_delay(checks, job_of(3400), id, Millis(outage));
            BOOST_TEST(quote.count() == 1000);
            BOOST_TEST(closing.count() >= quote.count());
            BOOST_TEST(check.count() >= closing.count());
            BOOST_TEST(check.count() <= 4000);
        }
    }
}

BOOST_AUTO_TEST_CASE(simultaneous_callers_return_spread_out)
{
    int sooner = 0;
    constexpr int callers = 200;
    for (int i = 0; i < callers; ++i) {
        const Millis delay
            = retry_delay(checks, job_of(3400), "job" + std::to_string(i), Millis(3500));
        BOOST_TEST((delay == Millis(3000) || delay == Millis(4000)));
        sooner += delay == Millis(3000) ? 1 : 0;
    }
    BOOST_TEST(sooner > callers / 4);
    BOOST_TEST(sooner < callers * 3 / 4);
}

BOOST_AUTO_TEST_CASE(any_job_has_a_delay)
{
    JobSpec chain = job_of(1000);
    chain.steps.emplace_back();
    chain.steps.back().expected_ms = 2000;
    chain.steps.back().after = { 0 };
    BOOST_TEST(longest_chain_ms(chain) == 3000);
    BOOST_TEST(retry_delay(Queue(), JobSpec(), "", Millis(100000)).count() == 1000);
}
