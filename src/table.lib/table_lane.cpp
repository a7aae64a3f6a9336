// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/ids.h>
#include <pathport/table.h>

#include <algorithm>

namespace pathport {

std::optional<TableResult> read_table(Table& table, const std::vector<TableRange>& ranges,
                                      Failure& reason)
{
    TableTxn txn;
    txn.ranges = ranges;
    for (int send = 0; send < max_lane_sends; ++send) {
        auto result = table.run(txn, reason);
        if (result || reason.kind() != FailureKind::outcome_unknown)
            return result;
    }
    reason = Failure(FailureKind::unavailable, "the table's answers were lost");
    return std::nullopt;
}

TableLane::TableLane(Table& table, std::string name)
    : m_table(table)
    , m_key("lanes/" + std::move(name))
{
}

// Reads the lane's row. A transaction of an earlier commit that is still under way can take
// effect only while the row has the version that it checks.
bool TableLane::refresh(Failure& reason)
{
    const auto result = read_table(m_table, { { m_key, 0 } }, reason);
    if (!result)
        return false;
    m_version = 0;
    for (const TableRow& row : result->ranges.front()) {
        if (row.key == m_key)
            m_version = row.version;
    }
    m_known = true;
    return true;
}

TableLane::Resolution TableLane::resolve(TableResult& result, const std::string& operation,
                                         bool sent_before)
{
    if (result.committed) {
        m_version = result.revision;
        return Resolution::final;
    }
    const auto lane
        = std::find_if(result.conflicts.begin(), result.conflicts.end(),
                       [this](const TableRow& row) { return row.key == m_key; });
    if (lane == result.conflicts.end())
        return Resolution::final;
    m_version = lane->version;
    if (!sent_before)
        return Resolution::send_again;
    if (lane->value != operation)
        return Resolution::unknown;
    // An earlier sending took effect; only its answer was lost. Its writes have the version
    // of the lane's row.
    result.committed = true;
    result.revision = lane->version;
    result.conflicts.clear();
    return Resolution::final;
}

std::optional<TableResult> TableLane::commit(TableTxn txn, Failure& reason)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::string operation = random_token();
    txn.puts.push_back({ m_key, operation });
    txn.checks.push_back({ m_key, 0 });
    bool sent_before = false;
    reason = Failure();
    if (!m_known && !refresh(reason))
        return std::nullopt;
    for (int send = 0; send < max_lane_sends; ++send) {
        txn.checks.back().version = m_version;
        auto result = m_table.run(txn, reason);
        if (result) {
            switch (resolve(*result, operation, sent_before)) {
            case Resolution::final:
                return result;
            case Resolution::unknown:
                send = max_lane_sends;
                break;
            case Resolution::send_again:
                break;
            }
            continue;
        }
        if (reason.kind() == FailureKind::outcome_unknown)
            sent_before = true;
        else if (!sent_before)
            return std::nullopt;
    }
    m_known = false;
    reason = sent_before
        ? Failure(FailureKind::outcome_unknown, "the table's answers were lost")
        : Failure(FailureKind::unavailable, "the lane has another writer");
    return std::nullopt;
}

} // namespace pathport
