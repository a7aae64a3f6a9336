// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Location of the job scheduler's rows in the store:
///
/// - Table jobs, partition j0 to j63 by hash of the id. Key id: the accepted job, written
///   by any node if missing. Key id + ".cancel": its cancellation, written by any node if
///   the job is there.
/// - Table closed, same partition as the job. Key id: its final state, written by the
///   leader in the transaction that removes the job row.
/// - Table progress, partition s. Key id: its progress, written by the leader under the
///   head row.
/// - Table lead, partition s. Key head: epoch and number of the leader's last write,
///   written by the leader or a claimer. Key leader: the leader, written by a claimer.
/// - Table nodes, partition "". Key node name: its address for peers, written by that
///   node.

#pragma once

#include <pathport/ids.h>
#include <pathport/jobs/job_store.h>

#include <string>
#include <vector>

namespace pathport::jobs {

/// A partition executes one transaction at a time, so a slow store runs as many in parallel
/// as there are partitions.
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

/// Returns the name of the partition with this number, below `job_partition_count`.
inline std::string job_partition_name(int number)
{
    return "j" + std::to_string(number);
}

/// Returns the names of all partitions that hold jobs.
inline std::vector<std::string> job_partition_names()
{
    std::vector<std::string> names;
    for (int number = 0; number < job_partition_count; ++number)
        names.push_back(job_partition_name(number));
    return names;
}

/// Returns the partition that holds the rows of the job `id`.
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

/// Returns the id of the job that a cancellation's key refers to, or "" for any other key.
inline std::string canceled_job(const std::string& key)
{
    const size_t length = cancel_suffix.size();
    if (key.size() <= length
        || key.compare(key.size() - length, length, cancel_suffix) != 0)
        return {};
    return key.substr(0, key.size() - length);
}

} // namespace pathport::jobs
