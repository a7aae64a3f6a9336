// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which running task to stop for more urgent work.

#pragma once

#include <pathport/clock.h>
#include <pathport/shortage/prospect.h>

#include <optional>

namespace pathport::shortage {

/// What stopping a running task costs the caller of its job.
struct VictimCost {
    bool ending = false; ///< It is being stopped already, or will have ended as soon.
    int priority = 0; ///< Of its queue; higher numbers are less urgent.
    Deadline deadline; ///< Of its job.

    bool operator==(const VictimCost& other) const;
};

/// Returns whether `left` should be stopped rather than `right`: those that end anyway,
/// then less urgent ones, then those whose result is worth least, then those whose job can
/// best afford the delay.
bool costs_less(const VictimCost& left, const VictimCost& right);

/// Returns how much longer a task will run that is `percent` done, if it made `gained`
/// percent of that in `elapsed`; nothing if it made none.
std::optional<Millis> remaining_run_time(Millis elapsed, int gained, int percent);

} // namespace pathport::shortage
