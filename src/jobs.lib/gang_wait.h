// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Reasons for which a gang waits.

#pragma once

#include <string_view>

namespace pathport::jobs {

/// What a gang lacked when a scheduling pass last tried to place it.
enum class GangWait {
    none, ///< It was not tried, or was placed.
    answer, ///< A query about it is in progress or waits for a caller.
    retry_delay, ///< The delay after an unhelpful answer has not ended.
    turn, ///< The pass had prepared as many gangs as it may.
    verdicts, ///< Too few workers are known to be allowed.
    allowed_capacity, ///< All allowed workers together are too small at present.
    reservation, ///< Too few allowed workers could be reserved.
    running_tasks, ///< Running tasks on its reserved workers have to end first.
    preemption, ///< Tasks on its reserved workers are being stopped.
    tickets, ///< The capacity is free, but tickets are missing or expire too soon.
};

constexpr GangWait all_gang_waits[]
    = { GangWait::none,        GangWait::answer,        GangWait::retry_delay,
        GangWait::turn,        GangWait::verdicts,      GangWait::allowed_capacity,
        GangWait::reservation, GangWait::running_tasks, GangWait::preemption,
        GangWait::tickets };

/// Returns the name of a reason, as used in logs and metrics.
constexpr std::string_view to_string(GangWait wait)
{
    switch (wait) {
    case GangWait::none:
        return "none";
    case GangWait::answer:
        return "answer";
    case GangWait::retry_delay:
        return "retry_delay";
    case GangWait::turn:
        return "turn";
    case GangWait::verdicts:
        return "verdicts";
    case GangWait::allowed_capacity:
        return "allowed_capacity";
    case GangWait::reservation:
        return "reservation";
    case GangWait::running_tasks:
        return "running_tasks";
    case GangWait::preemption:
        return "preemption";
    case GangWait::tickets:
        return "tickets";
    }
    return "none";
}

} // namespace pathport::jobs
