// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Explanations of waiting steps in the log. Guards against work for the log that grows
/// with what waits, and so takes the leader's time when it has least of it.

#define BOOST_TEST_MODULE wait_log_limiter
#include <boost/test/unit_test.hpp>

#include "wait_log_limiter.h"

#include <algorithm>
#include <vector>

using namespace pathport;
using namespace pathport::jobs;

namespace {

/// Returns how often each of so many steps was explained in the span.
std::vector<int> explained(size_t steps, Millis span)
{
    WaitLogLimiter turns;
    std::vector<int> counts(steps);
    std::vector<Millis> last(steps);
    constexpr Millis begun { 1000000 };
    for (Millis now = begun; now < begun + span; now = now + explanation_round_interval) {
        turns.begin_round(steps);
        for (size_t i = 0; i < steps; ++i) {
            if (!turns.acquire(now, last[i]))
                continue;
            last[i] = now;
            ++counts[i];
        }
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_few_steps_are_explained_every_two_seconds)
{
    for (const int count : explained(3, Millis(20000)))
        BOOST_TEST(count >= 9);
}

BOOST_AUTO_TEST_CASE(hundreds_of_steps_share_a_bounded_number)
{
    constexpr size_t steps = 400;
    constexpr Millis span { 60000 };
    const std::vector<int> counts = explained(steps, span);
    int all = 0;
    for (const int count : counts)
        all += count;
    const auto rounds = static_cast<int>(span.count() / explanation_round_interval.count());
    BOOST_TEST(all <= rounds * explanations_per_round);
    BOOST_TEST(*std::min_element(counts.begin(), counts.end()) >= 2);
}
