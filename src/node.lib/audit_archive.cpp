// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "audit_archive.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace pathport {

namespace {

constexpr char audit_prefix[] = "audit/";

std::string object_key(const std::vector<TableRow>& rows)
{
    const size_t prefix = sizeof audit_prefix - 1;
    return audit_prefix + rows.front().key.substr(prefix) + ".."
        + rows.back().key.substr(prefix);
}

std::string object_content(const std::vector<TableRow>& rows)
{
    nlohmann::json records = nlohmann::json::array();
    for (const TableRow& row : rows)
        records.push_back(nlohmann::json::parse(row.value, nullptr, false));
    return records.dump();
}

} // namespace

size_t archive_audit(Table& table, TableLane& lane, ObjectStore& objects, size_t keep,
                     size_t per_object, Failure& reason)
{
    const auto read = read_table(table, { { audit_prefix, 0 } }, reason);
    if (!read || read->ranges.front().size() < keep + per_object)
        return 0;
    const auto& all = read->ranges.front();
    const std::vector<TableRow> oldest(all.begin(),
                                       all.begin() + static_cast<long>(per_object));
    if (!objects.put(object_key(oldest), object_content(oldest), reason))
        return 0;
    TableTxn txn;
    for (const TableRow& row : oldest) {
        txn.checks.push_back({ row.key, row.version });
        txn.deletes.push_back(row.key);
    }
    const auto result = lane.commit(txn, reason);
    return result && result->committed ? oldest.size() : 0;
}

} // namespace pathport
