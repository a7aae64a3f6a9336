// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/table.h>

#include <nlohmann/json.hpp>

namespace pathport {

using nlohmann::json;

namespace {

json encode_row(const TableRow& row)
{
    return json::array({ row.key, row.version, row.value });
}

TableRow decode_row(const json& row)
{
    return { row.at(0).get<std::string>(), row.at(2).get<std::string>(),
             row.at(1).get<int64_t>() };
}

std::vector<TableRow> decode_rows(const json& rows)
{
    std::vector<TableRow> decoded;
    for (const json& row : rows)
        decoded.push_back(decode_row(row));
    return decoded;
}

} // namespace

std::string encode_txn(const TableTxn& txn)
{
    json text = json::object();
    for (const TableCheck& check : txn.checks)
        text["checks"].push_back({ check.key, check.version });
    for (const TablePut& put : txn.puts)
        text["puts"].push_back({ put.key, put.value });
    for (const std::string& key : txn.deletes)
        text["deletes"].push_back(key);
    for (const TableRange& range : txn.ranges)
        text["ranges"].push_back({ range.prefix, range.after });
    return text.dump();
}

std::optional<TableTxn> decode_txn(const std::string& text, Failure& reason)
{
    try {
        const json value = json::parse(text);
        TableTxn txn;
        for (const json& check : value.value("checks", json::array()))
            txn.checks.push_back({ check.at(0), check.at(1) });
        for (const json& put : value.value("puts", json::array()))
            txn.puts.push_back({ put.at(0), put.at(1) });
        for (const json& key : value.value("deletes", json::array()))
            txn.deletes.push_back(key);
        for (const json& range : value.value("ranges", json::array()))
            txn.ranges.push_back({ range.at(0), range.at(1) });
        return txn;
    } catch (const json::exception& error) {
        reason = Failure(FailureKind::bad_input, error.what());
        return std::nullopt;
    }
}

std::string encode_result(const TableResult& result)
{
    json text = { { "committed", result.committed },
                  { "revision", result.revision },
                  { "time", result.table_time.count() } };
    for (const TableRow& row : result.conflicts)
        text["conflicts"].push_back(encode_row(row));
    for (const auto& range : result.ranges) {
        json rows = json::array();
        for (const TableRow& row : range)
            rows.push_back(encode_row(row));
        text["ranges"].push_back(rows);
    }
    return text.dump();
}

std::optional<TableResult> decode_result(const std::string& text, Failure& reason)
{
    try {
        const json value = json::parse(text);
        TableResult result;
        result.committed = value.at("committed");
        result.revision = value.at("revision");
        result.table_time = Millis(value.at("time").get<int64_t>());
        result.conflicts = decode_rows(value.value("conflicts", json::array()));
        for (const json& range : value.value("ranges", json::array()))
            result.ranges.push_back(decode_rows(range));
        return result;
    } catch (const json::exception& error) {
        reason = Failure(FailureKind::bad_input, error.what());
        return std::nullopt;
    }
}

} // namespace pathport
