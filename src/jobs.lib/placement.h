// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The choice of workers for the tasks of one step: a function of what is free, without
/// input or output.

#pragma once

#include <pathport/jobs/job_model.h>

#include <string>
#include <string_view>
#include <vector>

namespace pathport::jobs {

/// What one worker that may run the step has to offer.
struct PlacementOption {
    std::string_view worker; ///< Views of names that outlive the choice.
    std::string_view rack;
    Resources free;
    bool second_choice = false; ///< Tasks of the step came to nothing there lately.
    bool slow = false; ///< To be used only when others don't suffice.
    int step_tasks = 0; ///< Tasks of this step that it holds already.
    int max_new_tasks = max_tasks_per_step; ///< Tasks that may be added for other reasons.
};

/// A number of tasks for one worker.
struct Assignment {
    std::string worker;
    int count = 0;

    bool operator==(const Assignment& other) const
    {
        return worker == other.worker && count == other.count;
    }
};

/// Returns how many tasks of `step` a worker can take.
int tasks_that_fit(const StepSpec& step, const PlacementOption& room);

/// Chooses workers for up to `count` tasks: second choices last, near the data first, then
/// the tightest fit, so that large holes stay. For a gang (`whole`) it returns shares for
/// all or nothing, in one rack where one has room and the step asks for it.
std::vector<Assignment> choose_workers(const StepSpec& step, int count, bool whole,
                                       std::vector<PlacementOption> rooms);

} // namespace pathport::jobs
