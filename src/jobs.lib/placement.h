// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Choice of workers for the tasks of one step, as a pure function of the free capacity.

#pragma once

#include <pathport/jobs/job_model.h>

#include <string>
#include <string_view>
#include <vector>

namespace pathport::jobs {

/// A worker that may run tasks of the step, with its free capacity.
struct PlacementOption {
    std::string_view worker; ///< Views of names that outlive the placement decision.
    std::string_view rack;
    Resources free;
    /// Tasks of the step failed or could not be started there recently.
    bool second_choice = false;
    bool slow = false; ///< Used only when the others do not suffice.
    int step_tasks = 0; ///< Tasks of this step already placed there.
    /// Limit on further tasks for reasons other than capacity.
    int max_new_tasks = max_tasks_per_step;
};

/// The number of tasks assigned to one worker.
struct Assignment {
    std::string worker;
    int count = 0;

    bool operator==(const Assignment& other) const
    {
        return worker == other.worker && count == other.count;
    }
};

/// Returns how many tasks of `step` a worker can take.
int tasks_that_fit(const StepSpec& step, const PlacementOption& option);

/// Chooses workers for up to `count` tasks: second choices last, then near the data first,
/// then the tightest fit, which preserves large free blocks. With `all_or_nothing`, as for
/// a gang, returns assignments for all tasks or none. If the step asks for one rack, a
/// single rack is used where one has enough capacity.
std::vector<Assignment> choose_workers(const StepSpec& step, int count, bool all_or_nothing,
                                       std::vector<PlacementOption> options);

} // namespace pathport::jobs
