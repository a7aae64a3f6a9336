// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The styles of random schedules: which faults they inject, and how often.

#pragma once

#include <pathport/clock.h>

#include <cstdint>

namespace pathport::cell_tests {

/// Parameters of a style of schedules. Chances are per 100 ms.
struct Style {
    double fault_chance = 0.05; ///< Chance of a fault of the nodes, the store or workers.
    Millis settles_in { 14000 }; ///< Time after a fault in which jobs may be stalled.
    uint64_t allowed_tenths = 7; ///< Workers out of ten that the advisor allows.
    int workers = 14;
    double late_share = 0.25; ///< Share of calls executed late during that fault.
    double canceled_share = 0; ///< Share of jobs that are cancelled soon after submission.
    double blackhole_chance = 0; ///< Chance that open connections are black-holed.
    double config_change_chance = 0; ///< Chance of a configuration change.
    double restart_chance = 0; ///< Chance that workers restart under their ids.
    int64_t link_bytes_per_s
        = 0; ///< Link speed of the nodes; a low one makes them use relays.
    double crashing_share = 0; ///< Share of jobs with tasks that crash their workers.
    /// Workers are lost so often that jobs may be given up without having crashed any.
    bool many_losses = false;
    double resize_chance = 0; ///< Chance that workers lose capacity for a while.
    double suspend_chance = 0; ///< Chance that a node's box is suspended.
    /// Chance that keys or bounds of workspaces change; there are no workspaces if 0.
    double rekey_chance = 0;
    /// Chance that a failure domain is drained or is no longer; never drained if 0.
    double drain_chance = 0;
    /// Chance that a worker leaves, or a link refuses connections, or both.
    double refusal_chance = 0;
};

/// Returns the style of this number; the default one for an unknown number.
Style make_style(int number);

} // namespace pathport::cell_tests
