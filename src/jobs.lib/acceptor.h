// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Accepts and cancels jobs: any node writes them to the store, many in one transaction,
/// and replies only when they are stored.

#pragma once

#include "lifetime.h"
#include "store_health.h"
#include "store_writer.h"

#include <pathport/callers/caller.h>
#include <pathport/event_loop.h>
#include <pathport/jobs/job_store.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pathport::jobs {

/// Outcome of a submission or a cancellation.
enum class WriteOutcome {
    written, ///< It is stored, by this call or an earlier one.
    refused, ///< It is not stored and will not be by this call.
    in_doubt, ///< It may be stored, or may be stored later.
    missing, ///< Cancellations only: there is no such job.
};

/// Evidence for an outcome.
enum class WriteEvidence {
    none, ///< Nothing is known to have been written.
    answer, ///< The store confirmed this transaction.
    row, ///< The row, or that of the closed job, was read from the store.
};

/// An outcome with the stored row of the job, which another submission under the same id
/// may have written, and the version that wrote it; "" and 0 if they are unknown or the job
/// is closed.
struct WriteResult {
    WriteOutcome outcome = WriteOutcome::in_doubt;
    int64_t version = 0;
    WriteEvidence evidence = WriteEvidence::none;
    std::string row {};
    std::string workspace {}; ///< Workspace of the job that is stored under the id.
};

/// Returns the lower-case name of `evidence`.
const char* to_string(WriteEvidence evidence);

using WriteReply = std::function<void(WriteResult)>;

/// Writes jobs and cancellations.
class Acceptor {
public:
    Acceptor(EventLoop& loop, StoreHealth& store);

    /// Writes the row of a job of `workspace` unless it exists, retrying until
    /// `give_up_at`. While the store is unavailable it refuses at once, so that the client
    /// can try another node.
    void accept(const std::string& id, const std::string& row, const std::string& workspace,
                Millis give_up_at, WriteReply done);
    /// Writes a cancellation if the job exists and `caller` may see it, retrying until
    /// `deadline`.
    void cancel(const std::string& id, const callers::Caller& caller, Millis give_up_at,
                WriteReply done);

private:
    struct Entry {
        std::string id;
        RowKey row;
        bool is_job = false; ///< False for a cancellation.
        std::string value;
        std::string workspace;
        Millis give_up_at;
        bool in_doubt = false; ///< It was sent and got no reply.
        std::vector<WriteReply> done;
    };
    using EntryPtr = std::shared_ptr<Entry>;
    struct Partition {
        std::deque<EntryPtr> waiting;
        std::vector<EntryPtr> in_flight;
        bool busy = false;
        size_t single_writes = 0; ///< Number of next writes that hold one entry only.
        std::unique_ptr<StoreWriter> writer;
    };

    void add(const std::string& partition, EntryPtr entry);
    void flush(const std::string& partition);
    void answered(const std::string& partition, const StoreResult& result);
    void finish(const EntryPtr& entry, const WriteResult& result);
    static std::optional<WriteResult> outcome_from_rows(const Entry& entry,
                                                        const StoreResult& result);
    void expire_entries(Partition& partition);

    /// Presence of a job in the store.
    enum class Presence { open, closed, missing, undetermined };
    using LookUpReply = std::function<void(Presence, const std::string& workspace)>;
    void look_up(const RowKey& row, Millis give_up_at, LookUpReply done);
    void record_cancel(const std::string& id, Millis give_up_at, WriteReply done);

    EventLoop& m_loop;
    StoreHealth& m_store;
    std::map<std::string, Partition> m_partitions;
    std::map<std::string, EntryPtr> m_open; ///< By row key.
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
