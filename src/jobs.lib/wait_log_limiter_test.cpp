// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Rate limit on the log lines about waiting steps. Guards against logging work that grows
/// with the number of waiting steps and takes up the leader's time when it is under the
/// highest load.

#define BOOST_TEST_MODULE wait_log_limiter
#include <boost/test/unit_test.hpp>

#include "wait_log_limiter.h"

#include <algorithm>
#include <vector>

using namespace pathport;
using namespace pathport::jobs;

namespace {

/// Returns how often each of `steps` steps was explained within `span`.
std::vector<int> count_explanations(size_t steps, Millis span)
{
    WaitLogLimiter limiter;
    std::vector<int> counts(steps);
    std::vector<Millis> last(steps);
    constexpr Millis begun { 1000000 };
    for (Millis now = begun; now < begun + span; now = now + explanation_round_interval) {
        limiter.begin_round(steps);
        for (size_t i = 0; i < steps; ++i) {
            if (!limiter.acquire(now, last[i]))
                continue;
            last[i] = now;
            ++counts[i];
        }
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_CASE(few_steps_are_explained_every_two_seconds)
{
    for (const int count : count_explanations(3, Millis(20000)))
        BOOST_TEST(count >= 9);
}

BOOST_AUTO_TEST_CASE(workers_that_are_scanned_are_bounded_in_a_cell_of_any_size)
{
    constexpr size_t workers = 6000;
    constexpr int rounds = 600;
    WaitLogLimiter limiter;
    size_t scanned = 0;
    for (int round = 0; round < rounds; ++round) {
        const Millis now { 1000000 + round * explanation_round_interval.count() };
        limiter.begin_round(100, workers);
        while (limiter.acquire(now, Millis(0)))
            scanned += workers;
    }
    BOOST_TEST(scanned > 0U);
    BOOST_TEST(scanned <= rounds * scans_per_round);
}

BOOST_AUTO_TEST_CASE(hundreds_of_steps_share_a_bounded_rate)
{
    constexpr size_t steps = 400;
    constexpr Millis span { 60000 };
    const std::vector<int> counts = count_explanations(steps, span);
    int all = 0;
    for (const int count : counts)
        all += count;
    const auto rounds = static_cast<int>(span.count() / explanation_round_interval.count());
    BOOST_TEST(all <= rounds * explanations_per_round);
    BOOST_TEST(*std::min_element(counts.begin(), counts.end()) >= 2);
}
