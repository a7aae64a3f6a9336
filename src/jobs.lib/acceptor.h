// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Acceptance and cancellation of jobs: any node writes them to the store, many in one
/// transaction, and only then says so.

#pragma once

#include "lifetime.h"
#include "store_health.h"
#include "store_writer.h"

#include <pathport/event_loop.h>
#include <pathport/jobs/job_store.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
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

using WriteReply = std::function<void(WriteOutcome)>;

/// Writes jobs and cancellations.
class Acceptor {
public:
    Acceptor(EventLoop& loop, StoreHealth& store);

    /// Writes the row of a job if it isn't there, trying until `give_up`. While the store
    /// is away it is refused at once, so that its client can go elsewhere.
    void accept(const std::string& id, const std::string& row, Millis give_up,
                WriteReply done);
    /// Writes a cancellation if the job is there, trying until `give_up`.
    void cancel(const std::string& id, Millis give_up, WriteReply done);

private:
    struct Entry {
        std::string id;
        RowKey row;
        std::string value;
        Millis give_up;
        bool in_doubt = false; ///< It was sent without an answer.
        std::vector<WriteReply> done;
    };
    using EntryPtr = std::shared_ptr<Entry>;
    struct Part {
        std::deque<EntryPtr> waiting;
        std::vector<EntryPtr> under_way;
        bool busy = false;
        std::unique_ptr<StoreWriter> writer;
    };

    void add(const std::string& part, EntryPtr entry);
    void flush(const std::string& part);
    void answered(const std::string& part, const StoreResult& result);
    void finish(const EntryPtr& entry, WriteOutcome outcome);
    void give_up_late(Part& part);
    void look_up(const std::string& id, Millis give_up, WriteReply done);

    EventLoop& m_loop;
    StoreHealth& m_store;
    std::map<std::string, Part> m_parts;
    std::map<std::string, EntryPtr> m_open; ///< By row key.
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
