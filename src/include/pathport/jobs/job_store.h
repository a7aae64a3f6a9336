// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The transactional store in which the job path keeps all that must last, and the
/// directory of workers and of the configuration. Calls don't block.

#pragma once

#include <pathport/clock.h>
#include <pathport/jobs/job_model.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pathport::jobs {

/// Names one row. A transaction may touch rows of several tables but of one part only.
struct RowKey {
    std::string table;
    std::string partition;
    std::string key;

    bool operator==(const RowKey& other) const
    {
        return table == other.table && partition == other.partition && key == other.key;
    }
};

/// One row as the store holds it.
struct StoredRow {
    RowKey id;
    std::string value;
    int64_t version = 0; ///< Of the transaction that wrote it; 0 for a missing row.
    bool removed = false;
};

/// A condition: the row has exactly this version; 0 means that it is missing.
struct RowCheck {
    RowKey id;
    int64_t version = 0;
};

/// A row to be written.
struct RowPut {
    RowKey id;
    std::string value;
};

/// A transaction: when all checks hold, all puts take effect together.
struct StoreWrite {
    std::vector<RowCheck> checks;
    std::vector<RowPut> puts;
    std::vector<RowKey> removes;
};

/// A read of rows of one table and part, with keys from `from` up to but without `to`.
struct StoreRange {
    std::string table;
    std::string partition;
    std::string from;
    std::string to; ///< Empty for no end.
    int limit = 500;
};

/// How a call to the store ended.
enum class StoreStatus {
    ok,
    conflict, ///< A check failed; `rows` holds the checked rows as they are.
    refused, ///< Nothing was done: the store is busy or can't be reached.
    unknown, ///< No answer: it may have been done, or be done later.
    history_lost, ///< Changes so old are gone; read whole.
};

/// Returns the lower-case name of `status`.
const char* to_string(StoreStatus status);

/// The answer to a call.
struct StoreResult {
    StoreStatus status = StoreStatus::unknown;
    std::vector<StoredRow> rows;
    bool more = false;
    int64_t version = 0; ///< The newest version, after a write the one that it made.
    int64_t clock_ms = 0; ///< The store's steady clock.
};

using StoreReply = std::function<void(StoreResult)>;

/// The most checks and puts together that one transaction may hold.
constexpr size_t max_transaction_entries = 100;
/// The most bytes of values in one transaction.
constexpr size_t max_transaction_bytes = 600000;

/// The store.
class JobStore {
public:
    virtual ~JobStore() = default;

    /// Runs a transaction. `done` is called exactly once, later.
    virtual void write(const StoreWrite& write, Millis timeout, StoreReply done) = 0;
    /// Reads rows as of one moment.
    virtual void read(const StoreRange& range, Millis timeout, StoreReply done) = 0;
    /// Waits up to `wait` for changes of `table` after `version`, in all parts.
    virtual void watch(const std::string& table, int64_t version, Millis wait,
                       StoreReply done)
        = 0;
    /// Returns whether the answer to an open watch() is under way: bytes of it came a
    /// moment ago. A store that can't tell says no.
    virtual bool receiving_feed() const { return false; }
};

/// What became of a read of the directory.
template <typename Value>
struct DirectoryAnswer {
    StoreStatus status = StoreStatus::unknown;
    std::optional<Value> value; ///< Nothing when it has not changed, or isn't there yet.
    std::string unreadable; ///< Why a value that is there can't be read; else empty.
    int64_t version = 0; ///< Go on watching from here.
};

/// What the platform tells about its workers and the operators' configuration.
class Directory {
public:
    virtual ~Directory() = default;

    /// Reads the list of workers.
    virtual void
    read_workers(Millis timeout,
                 std::function<void(DirectoryAnswer<std::vector<WorkerInfo>>)> done)
        = 0;
    /// Reads the configuration.
    virtual void
    read_configuration(Millis timeout,
                       std::function<void(DirectoryAnswer<Configuration>)> done)
        = 0;
    /// Waits up to `wait` for a change of the configuration after `version`.
    virtual void
    watch_configuration(int64_t version, Millis wait,
                        std::function<void(DirectoryAnswer<Configuration>)> done)
        = 0;
};

} // namespace pathport::jobs
