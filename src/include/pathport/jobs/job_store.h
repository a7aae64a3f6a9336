// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Interface of the transactional store that holds all durable state of the job scheduler,
/// and of the directory of workers and configuration. Calls are asynchronous.

#pragma once

#include <pathport/clock.h>
#include <pathport/jobs/drained_domains.h>
#include <pathport/jobs/job_model.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pathport::jobs {

/// Identifies a row. A transaction may touch rows of several tables, but of one partition
/// only.
struct RowKey {
    std::string table;
    std::string partition;
    std::string key;

    bool operator==(const RowKey& other) const
    {
        return table == other.table && partition == other.partition && key == other.key;
    }
};

/// A row as stored.
struct StoredRow {
    RowKey id;
    std::string value;
    int64_t version = 0; ///< Version of the transaction that wrote it; 0 for a missing row.
    bool removed = false;
};

/// Precondition that a row has exactly this version; 0 means that the row is missing.
struct RowCheck {
    RowKey id;
    int64_t version = 0;
};

/// A row to write.
struct RowPut {
    RowKey id;
    std::string value;
};

/// A transaction: if all checks hold, its puts and removes take effect atomically.
struct StoreWrite {
    std::vector<RowCheck> checks;
    std::vector<RowPut> puts;
    std::vector<RowKey> removes;
};

/// A range read of one table and partition: keys from `from` up to, but not including,
/// `to`.
struct StoreRange {
    std::string table;
    std::string partition;
    std::string from;
    std::string to; ///< Empty for no upper bound.
    int limit = 500;
};

/// Outcome of a store call.
enum class StoreStatus {
    ok,
    conflict, ///< A check failed; `rows` holds the current checked rows.
    refused, ///< Not executed: the store is busy or unreachable.
    unknown, ///< No reply: it may have been executed, or may be executed later.
    /// Not executed, and never will be as it is: it breaks a limit of the store. The same
    /// call must not be sent again.
    rejected,
    history_lost, ///< The requested changes are no longer kept; read the whole table.
};

/// Returns the lower-case name of `status`.
const char* to_string(StoreStatus status);

/// Result of a store call.
struct StoreResult {
    StoreStatus status = StoreStatus::unknown;
    std::vector<StoredRow> rows;
    bool more = false;
    /// The newest version; after a write, the version that it created.
    int64_t version = 0;
    int64_t clock_ms = 0; ///< The store's monotonic clock.
};

using StoreReply = std::function<void(StoreResult)>;

/// Maximum number of checks and puts together in one transaction.
constexpr size_t max_transaction_entries = 100;
/// Maximum total size of the values in one transaction, in bytes.
constexpr size_t max_transaction_bytes = 600000;
/// Maximum size of a row's value in bytes, so that its base64 form does not exceed 65,536.
constexpr size_t max_row_bytes = 49152;

/// The store.
class JobStore {
public:
    virtual ~JobStore() = default;

    /// Runs a transaction. `done` is called exactly once, after this call returns.
    virtual void write(const StoreWrite& write, Millis timeout, StoreReply done) = 0;
    /// Reads rows from a consistent snapshot.
    virtual void read(const StoreRange& range, Millis timeout, StoreReply done) = 0;
    /// Waits up to `wait` for changes of `table` after `version`, in all partitions.
    virtual void watch(const std::string& table, int64_t version, Millis wait,
                       StoreReply done)
        = 0;
    /// Returns whether the reply to an open watch() is being received, that is, bytes of it
    /// arrived a moment ago. A store that can't tell returns false.
    virtual bool receiving_feed() const { return false; }
};

/// Result of a directory read.
template <typename Value>
struct DirectoryAnswer {
    StoreStatus status = StoreStatus::unknown;
    std::optional<Value> value; ///< Empty if unchanged or not there yet.
    std::string unreadable; ///< Reason why an existing value can't be decoded; else empty.
    int64_t version = 0; ///< Version from which to continue watching.
};

/// Result of a read or watch of the operators' rows: the configuration, and the requests to
/// drain failure domains.
struct OperatorAnswer : DirectoryAnswer<Configuration> {
    /// After a read, all requests in force; after a watch, what has changed.
    std::vector<DrainChange> drains;
};

/// The platform's worker list and the operators' configuration.
class Directory {
public:
    virtual ~Directory() = default;

    /// Reads the list of workers.
    virtual void
    read_workers(Millis timeout,
                 std::function<void(DirectoryAnswer<std::vector<WorkerInfo>>)> done)
        = 0;
    /// Reads the operators' rows.
    virtual void read_configuration(Millis timeout,
                                    std::function<void(OperatorAnswer)> done)
        = 0;
    /// Waits up to `wait` for a change of the operators' rows after `version`.
    virtual void watch_configuration(int64_t version, Millis wait,
                                     std::function<void(OperatorAnswer)> done)
        = 0;
};

} // namespace pathport::jobs
