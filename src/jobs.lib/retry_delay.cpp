// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "retry_delay.h"

#include <pathport/ids.h>

#include <algorithm>
#include <vector>

namespace pathport::jobs {

namespace {

constexpr int64_t second_ms = 1000;
/// Nobody is sent away for longer: an outage that has lasted long may end at any time.
constexpr int64_t longest_pause_ms = 4000;
/// Callers have a few tries. Spread over the job's slack they reach beyond an outage of
/// that length, and the last of them is in time.
constexpr int64_t tries_in_slack = 4;
/// In an outage that lasts, so much of the slack may pass until the next try.
constexpr int64_t least_tries_in_slack = 2;

} // namespace

int64_t longest_chain_ms(const JobSpec& spec)
{
    std::vector<int64_t> ends;
    int64_t longest = 0;
    for (const StepSpec& step : spec.steps) {
        int64_t begin = 0;
        for (const int earlier : step.after)
            begin = std::max(begin, ends[static_cast<size_t>(earlier)]);
        ends.push_back(begin + step.expected_ms);
        longest = std::max(longest, ends.back());
    }
    return longest;
}

Millis retry_delay(const Queue& queue, const JobSpec& spec, const std::string& id,
                   Millis outage)
{
    const int64_t chain = longest_chain_ms(spec);
    const int64_t slack
        = static_cast<int64_t>(queue.stretch * double(chain)) + queue.slo_ms - chain;
    const int64_t least = std::clamp(slack / tries_in_slack, second_ms, longest_pause_ms);
    const int64_t most
        = std::clamp(slack / least_tries_in_slack, second_ms, longest_pause_ms);
    const int64_t pause = std::clamp(outage.count(), least, most);
    // The header holds whole seconds: the rest of one sends that share of the callers away
    // for a second more.
    const auto spread = static_cast<int64_t>(stable_hash(id) % second_ms);
    return Millis((pause + spread) / second_ms * second_ms);
}

} // namespace pathport::jobs
