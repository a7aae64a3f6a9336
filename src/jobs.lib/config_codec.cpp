// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Encoding of configurations in messages between nodes.

#include <pathport/jobs/job_node.h>

#include <nlohmann/json.hpp>

namespace pathport::jobs {

using Json = nlohmann::json;

namespace {

/// Encodes the seed of the key digests, the workspaces, and each digest with the index of
/// its workspace.
Json encode_workspaces(const callers::Workspaces& workspaces)
{
    Json list = Json::array();
    for (const callers::Workspace& workspace : workspaces.all()) {
        const Resources& bound = workspace.bound;
        list.push_back({ workspace.name, workspace.weight, workspace.priority,
                         bound.cpu_millis, bound.memory_mb, bound.accelerators });
    }
    Json keys = Json::array();
    for (const auto& [digest, index] : workspaces.digests())
        keys.push_back({ digest.to_string(), index });
    return { { "seed", workspaces.hasher().seed() },
             { "list", std::move(list) },
             { "keys", std::move(keys) } };
}

callers::Workspaces decode_workspaces(const Json& json)
{
    callers::Workspaces workspaces(callers::KeyHasher(json.at("seed").get<uint64_t>()));
    const Json& list = json.at("list");
    const Json& keys = json.at("keys");
    for (size_t index = 0; index < list.size(); ++index) {
        const Json& entry = list.at(index);
        callers::Workspace workspace;
        workspace.name = entry.at(0).get<std::string>();
        workspace.weight = entry.at(1).get<double>();
        workspace.priority = entry.at(2).get<int>();
        workspace.bound = { entry.at(3).get<int64_t>(), entry.at(4).get<int64_t>(),
                            entry.at(5).get<int64_t>() };
        workspaces.add(workspace);
        for (const Json& key : keys) {
            const auto digest = callers::KeyDigest::parse(key.at(0).get<std::string>());
            if (digest && key.at(1).get<size_t>() == index)
                workspaces.add_digest(*digest);
        }
    }
    return workspaces;
}

} // namespace

std::string encode(const Configuration& configuration)
{
    Json json;
    json["version"] = configuration.version;
    json["header"] = configuration.max_header_bytes;
    json["body"] = configuration.max_body_bytes;
    json["services"] = configuration.services;
    Json queues = Json::array();
    for (const Queue& queue : configuration.queues) {
        Json entry = Json::array({ queue.name, queue.host, queue.path_prefix, queue.service,
                                   queue.priority, queue.max_failures, queue.stretch,
                                   queue.slo_ms, queue.timeout_ms, queue.is_public });
        if (queue.advice)
            entry.push_back({ queue.advice->decision_ms, queue.advice->per_worker_ms,
                              queue.advice->valid_ms });
        queues.push_back(std::move(entry));
    }
    json["queues"] = std::move(queues);
    if (configuration.workspaces)
        json["workspaces"] = encode_workspaces(*configuration.workspaces);
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<Configuration> decode_configuration(const std::string& text)
{
    try {
        const Json json = Json::parse(text);
        Configuration configuration;
        configuration.version = json.at("version").get<int64_t>();
        configuration.max_header_bytes = json.at("header").get<int64_t>();
        configuration.max_body_bytes = json.at("body").get<int64_t>();
        configuration.services = json.at("services").get<std::vector<std::string>>();
        for (const Json& entry : json.at("queues")) {
            Queue queue;
            queue.name = entry.at(0).get<std::string>();
            queue.host = entry.at(1).get<std::string>();
            queue.path_prefix = entry.at(2).get<std::string>();
            queue.service = entry.at(3).get<std::string>();
            queue.priority = entry.at(4).get<int>();
            queue.max_failures = entry.at(5).get<int>();
            queue.stretch = entry.at(6).get<double>();
            queue.slo_ms = entry.at(7).get<int64_t>();
            queue.timeout_ms = entry.at(8).get<int64_t>();
            queue.is_public = entry.at(9).get<bool>();
            if (entry.size() > 10) {
                const Json& advice = entry.at(10);
                queue.advice
                    = AdviceRule { advice.at(0).get<double>(), advice.at(1).get<double>(),
                                   advice.at(2).get<int64_t>() };
            }
            configuration.queues.push_back(std::move(queue));
        }
        if (json.contains("workspaces"))
            configuration.workspaces = decode_workspaces(json.at("workspaces"));
        return configuration;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace pathport::jobs
