// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Acceptance and cancellation of jobs: any node writes them to the store, many in one
/// transaction, and only then says so.

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

/// What became of a hand-in or a cancellation.
enum class WriteOutcome {
    written, ///< It is in the store, by this call or an earlier one.
    refused, ///< It is not there and never will be by this call.
    in_doubt, ///< It may be there, or come there.
    missing, ///< For a cancellation: there is no such job.
};

/// What an outcome was concluded from.
enum class WriteEvidence {
    none, ///< Nothing was written as far as it is known.
    answer, ///< The store answered that this transaction took effect.
    row, ///< The row, or that of the closed job, was seen in the store.
};

/// The same with the row of the job as the store holds it, which another hand-in under its
/// id may have brought, and the version at which it came; "" and 0 when that isn't known or
/// the job is closed.
struct WriteResult {
    WriteOutcome outcome = WriteOutcome::in_doubt;
    int64_t version = 0;
    WriteEvidence evidence = WriteEvidence::none;
    std::string row {};
    std::string workspace {}; ///< Whose job is in the store under the id.
};

/// Returns the lower-case name of `evidence`.
const char* to_string(WriteEvidence evidence);

using WriteReply = std::function<void(WriteResult)>;

/// Writes jobs and cancellations.
class Acceptor {
public:
    Acceptor(EventLoop& loop, StoreHealth& store);

    /// Writes the row of a job of `workspace` if it isn't there, trying until `give_up`.
    /// While the store is away it is refused at once, so that its client can go elsewhere.
    void accept(const std::string& id, const std::string& row, const std::string& workspace,
                Millis give_up, WriteReply done);
    /// Writes a cancellation if the job is there and `caller` may see it, trying until
    /// `give_up`.
    void cancel(const std::string& id, const callers::Caller& caller, Millis give_up,
                WriteReply done);

private:
    struct Entry {
        std::string id;
        RowKey row;
        bool is_job = false; ///< Not a cancellation.
        std::string value;
        std::string workspace;
        Millis give_up;
        bool in_doubt = false; ///< It was sent without an answer.
        std::vector<WriteReply> done;
    };
    using EntryPtr = std::shared_ptr<Entry>;
    struct Partition {
        std::deque<EntryPtr> waiting;
        std::vector<EntryPtr> under_way;
        bool busy = false;
        std::unique_ptr<StoreWriter> writer;
    };

    void add(const std::string& part, EntryPtr entry);
    void flush(const std::string& part);
    void answered(const std::string& part, const StoreResult& result);
    void finish(const EntryPtr& entry, const WriteResult& result);
    static std::optional<WriteResult> outcome_from_rows(const Entry& entry,
                                                        const StoreResult& result);
    void expire_entries(Partition& part);

    /// What the store says of a job.
    enum class Presence { open, closed, missing, undetermined };
    using LookUpReply = std::function<void(Presence, const std::string& workspace)>;
    void look_up(const RowKey& row, Millis give_up, LookUpReply done);
    void record_cancel(const std::string& id, Millis give_up, WriteReply done);

    EventLoop& m_loop;
    StoreHealth& m_store;
    std::map<std::string, Partition> m_partitions;
    std::map<std::string, EntryPtr> m_open; ///< By row key.
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
