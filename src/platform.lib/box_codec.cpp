// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/platform.h>

#include <nlohmann/json.hpp>

namespace pathport {

using nlohmann::json;

NLOHMANN_JSON_SERIALIZE_ENUM(BoxTaskState,
                             { { BoxTaskState::failed, "failed" },
                               { BoxTaskState::running, "running" },
                               { BoxTaskState::checkpointed, "checkpointed" },
                               { BoxTaskState::done, "done" },
                               { BoxTaskState::stopped, "stopped" } })
NLOHMANN_JSON_SERIALIZE_ENUM(BoxCommandType,
                             { { BoxCommandType::stop, "stop" },
                               { BoxCommandType::start, "start" },
                               { BoxCommandType::checkpoint, "checkpoint" },
                               { BoxCommandType::throttle, "throttle" } })

namespace {

// Exchanges are the most frequent messages, so amounts travel as short lists.
json to_list(const Resources& r)
{
    return json::array({ r.cpu_millis, r.memory_mb, r.accelerators });
}

Resources from_list(const json& value)
{
    return { value.at(0), value.at(1), value.at(2) };
}

json to_json_value(const BoxCommand& c)
{
    json value = { { "cmd", c.type }, { "id", c.id }, { "att", c.attempt } };
    if (c.type == BoxCommandType::start) {
        value["svc"] = c.service;
        value["res"] = to_list(c.resources);
        value["dur"] = c.duration_ms;
    }
    return value;
}

BoxCommand read_command(const json& value)
{
    BoxCommand c;
    c.type = value.at("cmd").get<BoxCommandType>();
    c.id = value.at("id");
    c.attempt = value.at("att");
    c.service = value.value("svc", std::string());
    if (value.contains("res"))
        c.resources = from_list(value.at("res"));
    c.duration_ms = value.value("dur", int64_t(0));
    return c;
}

json to_json_value(const BoxTask& t)
{
    json value = { { "id", t.id },
                   { "att", t.attempt },
                   { "res", to_list(t.resources) },
                   { "state", t.state } };
    if (!t.service.empty())
        value["svc"] = t.service;
    return value;
}

BoxTask read_task(const json& value)
{
    return { value.at("id"), value.at("att"), value.value("svc", std::string()),
             from_list(value.at("res")), value.at("state").get<BoxTaskState>() };
}

} // namespace

std::string encode(const BoxExchange& e)
{
    json value = { { "shard", e.shard },
                   { "epoch", e.epoch },
                   { "seq", e.sequence },
                   { "owner", e.owner },
                   { "inc", e.incarnation },
                   { "lease", e.lease.count() },
                   { "from", e.renew_from.count() },
                   { "known", e.known_report } };
    for (const BoxCommand& command : e.commands)
        value["cmds"].push_back(to_json_value(command));
    for (const std::string& id : e.forget)
        value["forget"].push_back(id);
    return value.dump();
}

std::optional<BoxExchange> decode_exchange(const std::string& text, Failure& reason)
{
    try {
        const json value = json::parse(text);
        BoxExchange e;
        e.shard = value.at("shard");
        e.epoch = value.at("epoch");
        e.sequence = value.at("seq");
        e.owner = value.at("owner");
        e.incarnation = value.at("inc");
        e.lease = Millis(value.at("lease").get<int64_t>());
        e.renew_from = Millis(value.at("from").get<int64_t>());
        e.known_report = value.at("known");
        for (const json& command : value.value("cmds", json::array()))
            e.commands.push_back(read_command(command));
        for (const json& id : value.value("forget", json::array()))
            e.forget.push_back(id);
        return e;
    } catch (const json::exception& error) {
        reason = Failure(FailureKind::bad_input, error.what());
        return std::nullopt;
    }
}

std::string encode(const BoxReport& r)
{
    json value
        = { { "inc", r.incarnation },   { "time", r.time.count() }, { "epoch", r.epoch },
            { "report", r.report },     { "full", r.full },         { "busy", r.busy },
            { "used", to_list(r.used) } };
    for (const BoxTask& task : r.tasks)
        value["tasks"].push_back(to_json_value(task));
    return value.dump();
}

std::optional<BoxReport> decode_report(const std::string& text, Failure& reason)
{
    try {
        const json value = json::parse(text);
        BoxReport r;
        r.incarnation = value.at("inc");
        r.time = Millis(value.at("time").get<int64_t>());
        r.epoch = value.at("epoch");
        r.report = value.at("report");
        r.full = value.at("full");
        r.busy = value.at("busy");
        r.used = from_list(value.at("used"));
        for (const json& task : value.value("tasks", json::array()))
            r.tasks.push_back(read_task(task));
        return r;
    } catch (const json::exception& error) {
        reason = Failure(FailureKind::bad_input, error.what());
        return std::nullopt;
    }
}

} // namespace pathport
