// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The form in which nodes give a configuration to each other.

#include <pathport/jobs/job_node.h>

#include <nlohmann/json.hpp>

namespace pathport::jobs {

using Json = nlohmann::json;

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
                                   queue.slo_ms, queue.timeout_ms });
        if (queue.advice)
            entry.push_back({ queue.advice->decision_ms, queue.advice->per_worker_ms,
                              queue.advice->valid_ms });
        queues.push_back(std::move(entry));
    }
    json["queues"] = std::move(queues);
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
            if (entry.size() > 9) {
                const Json& advice = entry.at(9);
                queue.advice
                    = AdviceRule { advice.at(0).get<double>(), advice.at(1).get<double>(),
                                   advice.at(2).get<int64_t>() };
            }
            configuration.queues.push_back(std::move(queue));
        }
        return configuration;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace pathport::jobs
