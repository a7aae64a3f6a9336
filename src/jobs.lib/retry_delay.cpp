// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "retry_delay.h"

#include <pathport/ids.h>

#include <algorithm>
#include <vector>

namespace pathport::jobs {

namespace {

constexpr int64_t second_ms = 1000;
/// Upper bound for all delays, since even a long outage may end at any time.
constexpr int64_t max_delay_ms = 4000;
/// Callers have a few tries. Spread over the job's slack, these outlast an outage of that
/// length, and the last one is still in time.
constexpr int64_t tries_in_slack = 4;
/// In a long outage this fraction of the slack may pass until the next try.
constexpr int64_t min_tries_in_slack = 2;

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

std::optional<shortage::JobAllowance> allowance_of(const Queue& queue, const JobSpec& spec)
{
    const bool is_estimated
        = std::all_of(spec.steps.begin(), spec.steps.end(), [](const StepSpec& step) {
              return !step.long_running && step.expected_ms > 0
                  && step.expected_ms <= shortage::max_expected_run_ms;
          });
    if (!is_estimated || spec.steps.empty() || spec.has_schedule())
        return std::nullopt;
    const auto chain = double(longest_chain_ms(spec));
    const double allowed = queue.stretch * chain + double(queue.slo_ms);
    return shortage::JobAllowance { allowed - chain, allowed };
}

Millis retry_delay(const Queue& queue, const JobSpec& spec, const std::string& id,
                   Millis outage)
{
    const int64_t chain = longest_chain_ms(spec);
    const int64_t slack
        = static_cast<int64_t>(queue.stretch * double(chain)) + queue.slo_ms - chain;
    const int64_t least = std::clamp(slack / tries_in_slack, second_ms, max_delay_ms);
    const int64_t most = std::clamp(slack / min_tries_in_slack, second_ms, max_delay_ms);
    const int64_t delay = std::clamp(outage.count(), least, most);
    // The header holds whole seconds. The remainder becomes the share of callers that wait
    // a second longer.
    const auto spread = static_cast<int64_t>(stable_hash(id) % second_ms);
    return Millis((delay + spread) / second_ms * second_ms);
}

} // namespace pathport::jobs
