// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "node_settings.h"

#include <pathport/ids.h>

#include <fstream>
#include <sstream>

namespace pathport {

namespace {

SettingSpec text(const char* section, const char* key)
{
    return { section, key, SettingType::text, std::nullopt, 0, 0, {} };
}

SettingSpec address(const char* section, const char* key)
{
    return { section, key, SettingType::address, std::nullopt, 0, 0, {} };
}

SettingSpec integer(const char* section, const char* key, int64_t minimum, int64_t maximum,
                    int64_t default_value)
{
    return { section, key, SettingType::integer, std::to_string(default_value), minimum,
             maximum, {} };
}

std::vector<SettingSpec> make_specs()
{
    return {
        text("node", "id"),
        text("node", "region"),
        text("node", "failure_domain"),
        integer("node", "threads", 2, 64, 4),
        { "node",
          "log_level",
          SettingType::choice,
          "info",
          0,
          0,
          { "debug", "info", "warn", "error" } },
        address("listen", "callers"),
        address("listen", "operators"),
        address("listen", "peers"),
        address("listen", "metrics"),
        address("platform", "table"),
        address("platform", "objects"),
        address("platform", "box_list"),
        integer("platform", "table_timeout_ms", 100, 60000, 5000),
        integer("platform", "box_timeout_ms", 100, 60000, 2000),
        { "peers", "seeds", SettingType::address_list, "", 0, 0, {} },
        text("operators", "key"),
        integer("requests", "max_body_bytes", 1024, 67108864, 1048576),
        integer("requests", "limit_ms", 100, 600000, 30000),
        integer("requests", "stop_limit_ms", 100, 600000, 30000),
        integer("requests", "id_margin_ms", 0, 10000, 500),
        integer("requests", "id_memory_ms", 10000, 3600000, 120000),
        integer("membership", "heartbeat_ms", 50, 10000, 500),
        integer("membership", "peer_heartbeat_ms", 50, 10000, 1000),
        integer("membership", "lease_ms", 100, 60000, 1000),
        integer("membership", "dead_after_ms", 200, 120000, 1800),
        integer("membership", "promise_ms", 100, 60000, 1500),
        integer("membership", "join_wait_ms", 0, 600000, 10000),
        integer("boxes", "lease_ms", 1000, 3600000, 60000),
        integer("boxes", "idle_beat_ms", 100, 60000, 5000),
        integer("boxes", "busy_beat_ms", 20, 60000, 250),
        integer("boxes", "unreachable_after_ms", 500, 600000, 3000),
    };
}

constexpr size_t min_key_length = 8;

Failure bad_value(const std::string& file, const std::string& section,
                  const std::string& key, const std::string& allowed)
{
    return Failure(FailureKind::bad_input,
                   "file " + file + ", section [" + section + "], key " + key
                       + ": allowed: " + allowed);
}

// Checks what concerns more than one key, and names.
std::optional<Failure> check(const NodeSettings& s, const std::string& file)
{
    const std::string name_rule
        = "1 to 63 of a-z, 0-9 and '-', starting with a letter; value '";
    if (!is_valid_name(s.node))
        return bad_value(file, "node", "id", name_rule + s.node + "'");
    if (!is_valid_name(s.region))
        return bad_value(file, "node", "region", name_rule + s.region + "'");
    if (!is_valid_name(s.domain))
        return bad_value(file, "node", "failure_domain", name_rule + s.domain + "'");
    if (s.operator_key.size() < min_key_length)
        return bad_value(file, "operators", "key", "at least 8 characters");
    if (s.membership.lease >= s.membership.dead_after) {
        return bad_value(
            file, "membership", "lease_ms",
            "less than dead_after_ms (" + std::to_string(s.membership.dead_after.count())
                + "); value '" + std::to_string(s.membership.lease.count()) + "'");
    }
    if (s.heartbeat >= s.membership.lease) {
        return bad_value(file, "membership", "heartbeat_ms",
                         "less than lease_ms (" + std::to_string(s.membership.lease.count())
                             + "); value '" + std::to_string(s.heartbeat.count()) + "'");
    }
    if (s.peer_heartbeat >= s.membership.promise) {
        return bad_value(file, "membership", "peer_heartbeat_ms",
                         "less than promise_ms ("
                             + std::to_string(s.membership.promise.count()) + "); value '"
                             + std::to_string(s.peer_heartbeat.count()) + "'");
    }
    return std::nullopt;
}

} // namespace

const std::vector<SettingSpec>& node_setting_specs()
{
    static const std::vector<SettingSpec> specs = make_specs();
    return specs;
}

std::optional<NodeSettings> NodeSettings::load(const std::string& path, Failure& reason)
{
    std::ifstream stream(path);
    if (!stream) {
        reason = Failure(FailureKind::not_found, "file " + path + ": can't be read");
        return std::nullopt;
    }
    std::ostringstream content;
    content << stream.rdbuf();
    return parse(content.str(), path, reason);
}

std::optional<NodeSettings> NodeSettings::parse(const std::string& content,
                                                const std::string& name, Failure& reason)
{
    const auto read = Settings::parse(content, name, node_setting_specs(), reason);
    if (!read)
        return std::nullopt;
    NodeSettings s;
    s.node = read->text("node", "id");
    s.region = read->text("node", "region");
    s.domain = read->text("node", "failure_domain");
    s.threads = static_cast<int>(read->integer("node", "threads"));
    s.log_level = read->text("node", "log_level");
    s.callers = *parse_address(read->text("listen", "callers"));
    s.operators = *parse_address(read->text("listen", "operators"));
    s.peers = *parse_address(read->text("listen", "peers"));
    s.metrics = *parse_address(read->text("listen", "metrics"));
    s.table = *parse_address(read->text("platform", "table"));
    s.objects = *parse_address(read->text("platform", "objects"));
    s.box_list = *parse_address(read->text("platform", "box_list"));
    s.table_timeout = read->millis("platform", "table_timeout_ms");
    s.box_timeout = read->millis("platform", "box_timeout_ms");
    s.seeds = read->list("peers", "seeds");
    s.operator_key = read->text("operators", "key");
    s.max_body_bytes = static_cast<size_t>(read->integer("requests", "max_body_bytes"));
    s.request_limit = read->millis("requests", "limit_ms");
    s.stop_limit = read->millis("requests", "stop_limit_ms");
    s.admission.margin = read->millis("requests", "id_margin_ms");
    s.admission.memory = read->millis("requests", "id_memory_ms");
    s.heartbeat = read->millis("membership", "heartbeat_ms");
    s.peer_heartbeat = read->millis("membership", "peer_heartbeat_ms");
    s.membership.lease = read->millis("membership", "lease_ms");
    s.membership.dead_after = read->millis("membership", "dead_after_ms");
    s.membership.promise = read->millis("membership", "promise_ms");
    s.membership.join_wait = read->millis("membership", "join_wait_ms");
    s.keeper.box_lease = read->millis("boxes", "lease_ms");
    s.keeper.idle_beat = read->millis("boxes", "idle_beat_ms");
    s.keeper.busy_beat = read->millis("boxes", "busy_beat_ms");
    s.keeper.unreachable_after = read->millis("boxes", "unreachable_after_ms");
    if (const auto problem = check(s, name)) {
        reason = *problem;
        return std::nullopt;
    }
    return s;
}

} // namespace pathport
