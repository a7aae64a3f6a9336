// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/shortage/victim.h>

#include <algorithm>
#include <tuple>

namespace pathport::shortage {

bool VictimCost::operator==(const VictimCost& other) const
{
    return std::tie(ending, priority, deadline)
        == std::tie(other.ending, other.priority, other.deadline);
}

bool costs_less(const VictimCost& left, const VictimCost& right)
{
    const auto key = [](const VictimCost& cost) {
        return std::make_tuple(!cost.ending, -cost.priority,
                               -static_cast<int>(prospect_of(cost.deadline)),
                               -cost.deadline.slack_ms);
    };
    return key(left) < key(right);
}

std::optional<Millis> remaining_run_time(Millis elapsed, int gained, int percent)
{
    constexpr int whole = 100;
    if (gained <= 0 || elapsed < Millis(0))
        return std::nullopt;
    const int left = whole - std::min(percent, whole);
    return Millis(elapsed.count() * left / gained);
}

} // namespace pathport::shortage
