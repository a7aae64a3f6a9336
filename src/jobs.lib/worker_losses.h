// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Lost workers, as a scheduler remembers them.

#pragma once

#include <pathport/clock.h>
#include <pathport/jobs/job_model.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pathport::jobs {

/// A run that was on a worker when the worker was lost.
struct LostRun {
    TaskId task;
    int64_t run = 0;
    /// The run is known to have existed for this long; empty if an earlier leader
    /// started it.
    std::optional<Millis> known_runtime;
    /// Time from its order until its worker was found to be lost; empty if an earlier
    /// leader started it.
    std::optional<Millis> max_runtime {};
};
/// How a worker was lost.
enum class Loss {
    crash, ///< Another incarnation or another worker has its place.
    silence, ///< No answers, or refused connections; it may be partitioned.
};
/// The loss of a worker where no likely suspect ran.
struct UnattributedLoss {
    Millis at;
    bool explained = false; ///< It is one of several losses of the same task.
};
/// Runs on a worker whose lease lapsed.
struct LapsedRuns {
    std::vector<LostRun> runs;
    Loss loss = Loss::silence;
    bool attributed = false; ///< The loss has been recorded against their tasks.
    Millis at;
};

} // namespace pathport::jobs
