// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "table_engine.h"

namespace standin {

using namespace pathport;

TableEngine::TableEngine(const Clock& clock, int64_t transactions_per_second)
    : m_clock(clock)
    , m_rate(transactions_per_second)
{
}

bool TableEngine::admit_rate()
{
    if (m_rate == 0)
        return true;
    const Millis now = m_clock.now();
    if (now - m_window_start >= Millis(1000)) {
        m_window_start = now;
        m_window_count = 0;
    }
    return ++m_window_count <= m_rate;
}

TableResult TableEngine::apply(const TableTxn& txn)
{
    ++m_transactions;
    TableResult result;
    for (const TableCheck& check : txn.checks) {
        const auto found = m_rows.find(check.key);
        const int64_t version = found == m_rows.end() ? 0 : found->second.version;
        if (version == check.version)
            continue;
        result.conflicts.push_back(found == m_rows.end() ? TableRow { check.key, "", 0 }
                                                         : found->second);
    }
    result.committed = result.conflicts.empty();
    const bool writes = !txn.puts.empty() || !txn.deletes.empty();
    if (result.committed && writes) {
        ++m_revision;
        for (const std::string& key : txn.deletes)
            m_rows.erase(key);
        for (const TablePut& put : txn.puts)
            m_rows[put.key] = TableRow { put.key, put.value, m_revision };
    }
    result.revision = m_revision;
    result.table_time = m_clock.now();
    for (const TableRange& range : txn.ranges) {
        std::vector<TableRow> rows;
        for (auto row = m_rows.lower_bound(range.prefix); row != m_rows.end()
             && row->first.compare(0, range.prefix.size(), range.prefix) == 0;
             ++row) {
            if (row->second.version > range.after)
                rows.push_back(row->second);
        }
        result.ranges.push_back(std::move(rows));
    }
    return result;
}

std::optional<TableResult> TableEngine::run(const TableTxn& txn, Failure& reason)
{
    return run_for("", txn, reason);
}

std::optional<TableResult> TableEngine::run_for(const std::string& writer,
                                                const TableTxn& txn, Failure& reason)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_faults.down || m_faults.refused_writers.count(writer) > 0) {
        reason = Failure(FailureKind::unavailable, "the table is down");
        return std::nullopt;
    }
    if (!admit_rate()) {
        reason = Failure(FailureKind::overloaded, "the table's rate limit is reached");
        return std::nullopt;
    }
    if (m_faults.lose_requests > 0) {
        --m_faults.lose_requests;
        reason = Failure(FailureKind::outcome_unknown, "the request was lost");
        return std::nullopt;
    }
    const TableResult result = apply(txn);
    if (m_faults.lose_answers > 0) {
        --m_faults.lose_answers;
        reason = Failure(FailureKind::outcome_unknown, "the answer was lost");
        return std::nullopt;
    }
    return result;
}

void TableEngine::set_faults(const TableFaults& faults)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_faults = faults;
}

Millis TableEngine::delay() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_faults.delay;
}

int64_t TableEngine::transactions() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_transactions;
}

} // namespace standin
