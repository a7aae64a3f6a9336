// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Stand-in for the platform's table service: an in-memory table with versions, a rate
/// limit and faults on demand.

#pragma once

#include <pathport/clock.h>
#include <pathport/table.h>

#include <map>
#include <mutex>
#include <set>
#include <string>

namespace standin {

/// The faults that a test can switch on.
struct TableFaults {
    bool down = false; ///< Nothing is run; answered as unavailable.
    pathport::Millis delay; ///< Each transaction takes so much longer.
    int lose_answers = 0; ///< So many transactions take effect and lose their answer.
    int lose_requests = 0; ///< So many transactions get lost before they take effect.
    std::set<std::string> refused_writers; ///< Writers that are cut off.
};

/// The table. Safe from any thread.
class TableEngine : public pathport::Table {
public:
    /// Makes an empty table that runs at most `transactions_per_second`; 0 means no limit.
    TableEngine(const pathport::Clock& clock, int64_t transactions_per_second);

    std::optional<pathport::TableResult> run(const pathport::TableTxn& txn,
                                             pathport::Failure& reason) override;

    /// Runs a transaction of `writer`, who may be cut off.
    std::optional<pathport::TableResult> run_for(const std::string& writer,
                                                 const pathport::TableTxn& txn,
                                                 pathport::Failure& reason);

    /// Replaces the faults.
    void set_faults(const TableFaults& faults);
    /// Returns the delay that the caller has to wait before it sends the answer.
    pathport::Millis delay() const;
    /// Returns how many transactions ran.
    int64_t transactions() const;

private:
    bool admit_rate();
    pathport::TableResult apply(const pathport::TableTxn& txn);

    const pathport::Clock& m_clock;
    int64_t m_rate;
    mutable std::mutex m_mutex;
    std::map<std::string, pathport::TableRow> m_rows;
    int64_t m_revision = 0;
    int64_t m_transactions = 0;
    pathport::Millis m_window_start;
    int64_t m_window_count = 0;
    TableFaults m_faults;
};

} // namespace standin
