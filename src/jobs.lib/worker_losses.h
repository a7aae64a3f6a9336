// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Lost workers, as a scheduler remembers them.

#pragma once

#include "run_evidence.h"

#include <pathport/clock.h>
#include <pathport/jobs/job_model.h>

#include <cstdint>
#include <string>
#include <vector>

namespace pathport::jobs {

/// A run that was on a worker when the worker was lost, or may have been.
struct LostRun {
    TaskId task;
    int64_t run = 0;
    RunEvidence evidence; ///< What was known of it then.
    Millis lost_by; ///< When its worker was found to be lost.
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
