// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The list of workers as nodes tell it to each other: what has changed since the list that
/// the other has. The workers' own heartbeats change each entry all the time, but nothing
/// in it that matters here.

#pragma once

#include <pathport/jobs/job_model.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pathport::jobs {

/// Workers by their ids.
using WorkersById = std::map<std::string, WorkerInfo>;

/// What has changed.
struct WorkerListChanges {
    bool full = false; ///< `changed` is the whole list.
    std::vector<WorkerInfo> changed; ///< New ones, and those of which something changed.
    std::vector<std::string> removed;

    bool operator==(const WorkerListChanges& other) const
    {
        return full == other.full && changed == other.changed && removed == other.removed;
    }
};

/// Returns what has changed from `before` to `now`, but for the clocks of the workers and
/// the time that those that leave have left.
WorkerListChanges changes_between(const WorkersById& before, const WorkersById& now);
/// Applies changes to a list.
void apply(const WorkerListChanges& changes, WorkersById& list);

/// Encodes changes for the wire (JSON).
std::string encode(const WorkerListChanges& changes);
/// Decodes changes; returns nothing when they are malformed.
std::optional<WorkerListChanges> decode_worker_list_changes(const std::string& text);

} // namespace pathport::jobs
