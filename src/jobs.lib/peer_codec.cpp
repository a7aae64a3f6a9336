// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Encoding of messages between nodes: JSON objects without default values.

#include <pathport/jobs/peers.h>

#include <nlohmann/json.hpp>

namespace pathport::jobs {

namespace {

using Json = nlohmann::json;

constexpr int last_topic = static_cast<int>(PeerTopic::candidacy);
constexpr int last_state = static_cast<int>(JobState::canceled);

template <typename Value>
void put(Json& json, const char* key, const Value& value)
{
    if (!(value == Value()))
        json[key] = value;
}

// Returns the limited queues of a leader's answer. A row that is malformed is left out: it
// limits nothing, and the rest of the answer keeps its effect.
std::vector<LimitedQueue> limited_queues_of(const Json& answer)
{
    std::vector<LimitedQueue> limited;
    const auto rows = answer.find("limited");
    if (rows == answer.end() || !rows->is_array())
        return limited;
    for (const Json& row : *rows) {
        const bool is_valid = row.is_array() && row.size() >= 2 && row[0].is_string()
            && row[1].is_number_integer();
        const int64_t wait_ms = is_valid ? row[1].get<int64_t>() : 0;
        if (wait_ms > 0)
            limited.push_back({ row[0].get<std::string>(), Millis(wait_ms) });
    }
    return limited;
}

} // namespace

const char* to_string(PeerTopic topic)
{
    switch (topic) {
    case PeerTopic::heartbeat:
        return "heartbeat";
    case PeerTopic::job_accepted:
        return "job_accepted";
    case PeerTopic::job_canceled:
        return "job_canceled";
    case PeerTopic::job_state:
        return "job_state";
    case PeerTopic::queue_pending:
        return "queue_pending";
    case PeerTopic::advice:
        return "advice";
    case PeerTopic::accept_job:
        return "accept_job";
    case PeerTopic::cancel_job:
        return "cancel_job";
    case PeerTopic::configuration:
        return "configuration";
    case PeerTopic::worker_calls:
        return "worker_calls";
    case PeerTopic::job_payload:
        return "job_payload";
    case PeerTopic::worker_list:
        return "worker_list";
    case PeerTopic::candidacy:
        break;
    }
    return "candidacy";
}

std::string encode(const PeerRequest& request)
{
    Json json;
    json["topic"] = static_cast<int>(request.topic);
    put(json, "node", request.node);
    put(json, "address", request.address);
    put(json, "process", request.incarnation);
    put(json, "job", request.job);
    put(json, "queue", request.queue);
    put(json, "row", request.row);
    if (request.caller.workspaces_enabled())
        json["caller"] = request.caller.workspace();
    put(json, "version", request.version);
    put(json, "workers", request.workers);
    put(json, "epoch", request.epoch);
    put(json, "config", request.config_version);
    put(json, "drains_at", request.drains_changed_at);
    put(json, "leads", request.leads);
    put(json, "resigned", request.resigned);
    put(json, "store_fails", request.store_fails);
    put(json, "served", request.store_served);
    put(json, "served_ago", request.store_served_ago_ms);
    put(json, "store_ms", request.store_call_ms);
    put(json, "promises", request.promises);
    put(json, "echo", request.echo_ms);
    put(json, "strength", request.cpu_millicores);
    put(json, "link", request.link_bytes_per_s);
    put(json, "calls", request.calls);
    put(json, "peers_hash", request.peers_hash);
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<PeerRequest> decode_peer_request(const std::string& text)
{
    try {
        const Json json = Json::parse(text);
        const int topic = json.at("topic").get<int>();
        if (topic < 0 || topic > last_topic)
            return std::nullopt;
        PeerRequest request;
        request.topic = static_cast<PeerTopic>(topic);
        request.node = json.value("node", std::string());
        request.address = json.value("address", std::string());
        request.incarnation = json.value("process", std::string());
        request.job = json.value("job", std::string());
        request.queue = json.value("queue", std::string());
        request.row = json.value("row", std::string());
        if (json.contains("caller"))
            request.caller = callers::Caller::of(json.at("caller").get<std::string>());
        request.version = json.value("version", int64_t(0));
        request.workers = json.value("workers", std::vector<std::string>());
        request.epoch = json.value("epoch", int64_t(0));
        request.config_version = json.value("config", int64_t(0));
        request.drains_changed_at = json.value("drains_at", int64_t(0));
        request.leads = json.value("leads", false);
        request.resigned = json.value("resigned", false);
        request.store_fails = json.value("store_fails", false);
        request.store_served = json.value("served", false);
        request.store_served_ago_ms = json.value("served_ago", int64_t(0));
        request.store_call_ms = json.value("store_ms", int64_t(0));
        request.promises = json.value("promises", false);
        request.echo_ms = json.value("echo", int64_t(0));
        request.cpu_millicores = json.value("strength", 0);
        request.link_bytes_per_s = json.value("link", int64_t(0));
        request.calls = json.value("calls", std::string());
        request.peers_hash = json.value("peers_hash", int64_t(0));
        return request;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

std::string encode(const PeerAnswer& answer)
{
    Json json = Json::object();
    put(json, "ok", answer.served);
    put(json, "node", answer.node);
    put(json, "process", answer.incarnation);
    put(json, "leader", answer.leader);
    put(json, "leader_process", answer.leader_incarnation);
    put(json, "leads", answer.leads);
    put(json, "resigned", answer.resigned);
    put(json, "epoch", answer.epoch);
    put(json, "sent", answer.sent_ms);
    put(json, "config", answer.config_version);
    put(json, "drains_at", answer.drains_changed_at);
    if (answer.drains.version() > 0)
        json["drains"] = { answer.drains.domains(), answer.drains.version(),
                           answer.drains.changed_at() };
    put(json, "strength", answer.cpu_millicores);
    put(json, "strongest", answer.max_follower_millicores);
    for (const Candidate& candidate : answer.candidates)
        json["candidates"].push_back({ candidate.address, candidate.cpu_millicores });
    put(json, "call_rate", answer.call_rate);
    put(json, "call_bytes", answer.call_bytes_per_s);
    put(json, "peers_hash", answer.peers.hash);
    put(json, answer.peers.full ? "peers" : "peers_added", answer.peers.added);
    put(json, "peers_removed", answer.peers.removed);
    put(json, "status", answer.status);
    put(json, "count", answer.count);
    if (answer.state)
        json["state"] = static_cast<int>(*answer.state);
    put(json, "row", answer.row);
    put(json, "calls", answer.calls);
    for (const WorkerTicket& ticket : answer.tickets)
        json["tickets"].push_back({ ticket.worker, ticket.ticket });
    for (const ClosedQueue& entry : answer.closed)
        json["closed"].push_back({ entry.queue, entry.retry_after.count() });
    for (const LimitedQueue& entry : answer.limited)
        json["limited"].push_back({ entry.queue, entry.wait.count() });
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<PeerAnswer> decode_peer_answer(const std::string& text)
{
    try {
        const Json json = Json::parse(text);
        PeerAnswer answer;
        answer.served = json.value("ok", false);
        answer.node = json.value("node", std::string());
        answer.incarnation = json.value("process", std::string());
        answer.leader = json.value("leader", std::string());
        answer.leader_incarnation = json.value("leader_process", std::string());
        answer.leads = json.value("leads", false);
        answer.resigned = json.value("resigned", false);
        answer.epoch = json.value("epoch", int64_t(0));
        answer.sent_ms = json.value("sent", int64_t(0));
        answer.config_version = json.value("config", int64_t(0));
        answer.drains_changed_at = json.value("drains_at", int64_t(0));
        if (json.contains("drains")) {
            const Json& drains = json.at("drains");
            answer.drains = { drains.at(0).get<std::set<std::string>>(),
                              drains.at(1).get<int64_t>(), drains.at(2).get<int64_t>() };
        }
        answer.cpu_millicores = json.value("strength", 0);
        answer.max_follower_millicores = json.value("strongest", 0);
        if (json.contains("candidates")) {
            for (const Json& candidate : json.at("candidates"))
                answer.candidates.push_back(
                    { candidate.at(0).get<std::string>(), candidate.at(1).get<int>() });
        }
        answer.call_rate = json.value("call_rate", int64_t(0));
        answer.call_bytes_per_s = json.value("call_bytes", int64_t(0));
        answer.peers.hash = json.value("peers_hash", int64_t(0));
        answer.peers.full = json.contains("peers");
        answer.peers.added = json.value(answer.peers.full ? "peers" : "peers_added",
                                        std::vector<std::string>());
        answer.peers.removed = json.value("peers_removed", std::vector<std::string>());
        answer.status = json.value("status", 0);
        answer.count = json.value("count", int64_t(0));
        const int state = json.value("state", -1);
        if (state >= 0 && state <= last_state)
            answer.state = static_cast<JobState>(state);
        answer.row = json.value("row", std::string());
        answer.calls = json.value("calls", std::string());
        if (json.contains("tickets")) {
            for (const Json& ticket : json.at("tickets"))
                answer.tickets.push_back(
                    { ticket.at(0).get<std::string>(), ticket.at(1).get<std::string>() });
        }
        if (json.contains("closed")) {
            for (const Json& entry : json.at("closed"))
                answer.closed.push_back(
                    { entry.at(0).get<std::string>(), Millis(entry.at(1).get<int64_t>()) });
        }
        answer.limited = limited_queues_of(json);
        return answer;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace pathport::jobs
