// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The platform's transactional table service, as pathport uses it.

#pragma once

#include <pathport/clock.h>
#include <pathport/failure.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace pathport {

/// One row. Its version is the table's revision when it was last written.
struct TableRow {
    std::string key;
    std::string value;
    int64_t version = 0;

    bool operator==(const TableRow& other) const
    {
        return key == other.key && value == other.value && version == other.version;
    }
};

/// A condition: the row `key` has exactly this version; 0 means that it is absent.
struct TableCheck {
    std::string key;
    int64_t version = 0;
};

/// A row to be written.
struct TablePut {
    std::string key;
    std::string value;
};

/// A read of all rows under `prefix` that were written after revision `after`.
struct TableRange {
    std::string prefix;
    int64_t after = 0;
};

/// A transaction. When all checks hold, the writes take effect together; the reads then see
/// the table after the writes. When a check fails nothing is written and the reads still
/// run.
struct TableTxn {
    std::vector<TableCheck> checks;
    std::vector<TablePut> puts;
    std::vector<std::string> deletes;
    std::vector<TableRange> ranges;
};

/// What became of a transaction that the table answered.
struct TableResult {
    bool committed = false;
    int64_t revision = 0; ///< The table's revision after the transaction.
    Millis table_time; ///< The table's own clock when it ran the transaction.
    /// The present rows of the failed checks; an absent row has version 0.
    std::vector<TableRow> conflicts;
    std::vector<std::vector<TableRow>> ranges; ///< One list for each range, in key order.
};

/// The table service.
class Table {
public:
    virtual ~Table() = default;

    /// Runs `txn` and waits for the answer. On failure returns nothing; `reason` is
    /// `unavailable` or `overloaded` when nothing was changed, and `outcome_unknown` when
    /// the transaction may have taken effect.
    virtual std::optional<TableResult> run(const TableTxn& txn, Failure& reason) = 0;
};

/// A writer's own sequence of transactions, in which a lost answer is resolved: each
/// transaction also writes its operation id to the lane's row under a version check, so
/// that sending it again can't make it take effect twice.
class TableLane {
public:
    /// Makes the lane `lanes/<name>` over `table`. A name belongs to one writer only, so it
    /// holds the writer's incarnation.
    TableLane(Table& table, std::string name);

    /// Runs `txn` once. After a lost answer it sends the same transaction again, at most
    /// `max_lane_sends` times. `reason` is `outcome_unknown` only when all of them were
    /// lost.
    std::optional<TableResult> commit(TableTxn txn, Failure& reason);

private:
    enum class Resolution { final, send_again, unknown };

    bool refresh(Failure& reason);
    Resolution resolve(TableResult& result, const std::string& operation, bool sent_before);

    Table& m_table;
    std::string m_key;
    std::mutex m_mutex;
    int64_t m_version = 0;
    bool m_known = false;
};

/// Runs a transaction that only reads. A lost answer is asked for again, at most
/// `max_lane_sends` times; `reason` is never `outcome_unknown`, since nothing can have
/// changed.
std::optional<TableResult> read_table(Table& table, const std::vector<TableRange>& ranges,
                                      Failure& reason);

/// How often a lane sends one transaction before it gives up.
constexpr int max_lane_sends = 4;

/// Encodes a transaction for the wire (JSON).
std::string encode_txn(const TableTxn& txn);
/// Decodes a transaction; returns nothing and sets `reason` when it is malformed.
std::optional<TableTxn> decode_txn(const std::string& text, Failure& reason);
/// Encodes a result for the wire (JSON).
std::string encode_result(const TableResult& result);
/// Decodes a result; returns nothing and sets `reason` when it is malformed.
std::optional<TableResult> decode_result(const std::string& text, Failure& reason);

} // namespace pathport
