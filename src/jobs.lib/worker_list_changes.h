// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Differences of worker lists, as nodes send them to each other. Heartbeats of workers
/// change each entry all the time, but nothing in it that matters here.

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

/// The changes from one list to another.
struct WorkerListChanges {
    bool full = false; ///< `changed` is the full list.
    std::vector<WorkerInfo> changed; ///< New and changed workers.
    std::vector<std::string> removed;

    bool operator==(const WorkerListChanges& other) const
    {
        return full == other.full && changed == other.changed && removed == other.removed;
    }
};

/// Returns the changes from `before` to `now`, except for the clocks of workers and the
/// remaining time of draining ones.
WorkerListChanges changes_between(const WorkersById& before, const WorkersById& now);
/// Applies changes to a list.
void apply(const WorkerListChanges& changes, WorkersById& list);

/// Encodes changes for the wire (JSON).
std::string encode(const WorkerListChanges& changes);
/// Decodes changes; returns nothing when they are malformed.
std::optional<WorkerListChanges> decode_worker_list_changes(const std::string& text);

} // namespace pathport::jobs
