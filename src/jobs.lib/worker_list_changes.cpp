// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "worker_list_changes.h"

#include <nlohmann/json.hpp>

namespace pathport::jobs {

namespace {

using Json = nlohmann::json;

WorkerInfo without_clocks(WorkerInfo worker)
{
    worker.clock_ms = 0;
    worker.remaining_ms = 0;
    return worker;
}

} // namespace

WorkerListChanges changes_between(const WorkersById& before, const WorkersById& now)
{
    WorkerListChanges changes;
    for (const auto& [id, worker] : now) {
        const auto known = before.find(id);
        if (known == before.end()
            || !(without_clocks(known->second) == without_clocks(worker)))
            changes.changed.push_back(worker);
    }
    for (const auto& [id, worker] : before) {
        if (now.count(id) == 0)
            changes.removed.push_back(id);
    }
    return changes;
}

void apply(const WorkerListChanges& changes, WorkersById& list)
{
    if (changes.full)
        list.clear();
    for (const WorkerInfo& worker : changes.changed)
        list[worker.id] = worker;
    for (const std::string& id : changes.removed)
        list.erase(id);
}

std::string encode(const WorkerListChanges& changes)
{
    Json rows = Json::array();
    for (const WorkerInfo& worker : changes.changed)
        rows.push_back({ worker.id, worker.service, worker.address, worker.zone,
                         worker.capacity.cpu_millis, worker.capacity.memory_mb,
                         worker.capacity.accelerators, worker.draining, worker.remaining_ms,
                         worker.labels });
    return Json::array({ changes.full, std::move(rows), changes.removed })
        .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<WorkerListChanges> decode_worker_list_changes(const std::string& text)
{
    try {
        const Json json = Json::parse(text);
        WorkerListChanges changes;
        changes.full = json.at(0).get<bool>();
        for (const Json& row : json.at(1)) {
            WorkerInfo worker;
            worker.id = row.at(0).get<std::string>();
            worker.service = row.at(1).get<std::string>();
            worker.address = row.at(2).get<std::string>();
            worker.zone = row.at(3).get<std::string>();
            worker.capacity = { row.at(4).get<int64_t>(), row.at(5).get<int64_t>(),
                                row.at(6).get<int64_t>() };
            worker.draining = row.at(7).get<bool>();
            worker.remaining_ms = row.at(8).get<int64_t>();
            worker.labels = row.at(9).get<std::vector<std::string>>();
            changes.changed.push_back(std::move(worker));
        }
        changes.removed = json.at(2).get<std::vector<std::string>>();
        return changes;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace pathport::jobs
