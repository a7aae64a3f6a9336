// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Where the job path's rows lie in the store.
///
/// | table | part | key | holds | written by |
/// | --- | --- | --- | --- | --- |
/// | jobs | j0 to j63, by hash of the id | id | the accepted job | any node, if missing |
/// | jobs | as above | id + ".cancel" | its cancellation | any node, if the job is there |
/// | closed | as the job's | id | its final state | the leader, with the end of its job row
/// | | progress | s | id | its progress | the leader, under the head row | | lead | s |
/// head | epoch and number of the leader's last write | the leader; a claimer | | lead | s
/// | leader | who leads | a claimer | | nodes | "" | node name | its address for peers |
/// that node |

#pragma once

#include <pathport/ids.h>
#include <pathport/jobs/job_store.h>

#include <string>
#include <vector>

namespace pathport::jobs {

/// A part takes one transaction after the other, so a slow store takes as many at a time as
/// there are parts.
constexpr int job_partition_count = 64;
inline const char* const jobs_table = "jobs";
inline const char* const closed_table = "closed";
inline const char* const progress_table = "progress";
inline const char* const lead_table = "lead";
inline const char* const nodes_table = "nodes";
inline const char* const scheduler_partition = "s";
inline const char* const head_key = "head";
inline const char* const leader_key = "leader";
inline const std::string cancel_suffix = ".cancel";

/// Returns the name of the part with this number, below `job_parts`.
inline std::string job_partition_name(int number)
{
    return "j" + std::to_string(number);
}

/// Returns the names of all parts in which jobs lie.
inline std::vector<std::string> job_partition_names()
{
    std::vector<std::string> names;
    for (int number = 0; number < job_partition_count; ++number)
        names.push_back(job_partition_name(number));
    return names;
}

/// Returns the part in which the rows of the job `id` lie.
inline std::string job_partition(const std::string& id)
{
    return job_partition_name(static_cast<int>(stable_hash(id) % job_partition_count));
}

inline RowKey job_row(const std::string& id)
{
    return { jobs_table, job_partition(id), id };
}

inline RowKey cancel_row(const std::string& id)
{
    return { jobs_table, job_partition(id), id + cancel_suffix };
}

inline RowKey closed_row(const std::string& id)
{
    return { closed_table, job_partition(id), id };
}

inline RowKey progress_row(const std::string& id)
{
    return { progress_table, scheduler_partition, id };
}

inline RowKey lead_row(const std::string& key)
{
    return { lead_table, scheduler_partition, key };
}

/// Returns the id of the job that a cancellation's key names, or "" for another key.
inline std::string canceled_job(const std::string& key)
{
    const size_t length = cancel_suffix.size();
    if (key.size() <= length
        || key.compare(key.size() - length, length, cancel_suffix) != 0)
        return {};
    return key.substr(0, key.size() - length);
}

} // namespace pathport::jobs
