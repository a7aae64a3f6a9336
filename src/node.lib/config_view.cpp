// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/config_view.h>

#include <pathport/codec.h>
#include <pathport/ids.h>
#include <pathport/log.h>
#include <pathport/settings.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <thread>

namespace pathport {

using nlohmann::json;

namespace {

constexpr char revision_key[] = "config/revision";
constexpr char audit_prefix[] = "audit/";
constexpr int max_change_tries = 8;
constexpr Millis overload_pause { 250 };

std::string row_key(const std::string& kind, const std::string& name)
{
    return config_prefix + kind + "/" + name;
}

std::string encode_row(const ConfigRow& row)
{
    return json { { "r", row.revision }, { "v", row.value } }.dump();
}

void parse_row(ConfigSnapshot& snapshot, const ConfigRow& row)
{
    const size_t slash = row.key.find('/');
    const std::string kind = row.key.substr(0, slash);
    const std::string name = row.key.substr(slash + 1);
    Failure reason;
    if (row.value.empty())
        return;
    if (kind == config_kind::service) {
        if (const auto service = decode_service(row.value, reason))
            snapshot.services[name] = *service;
    } else if (kind == config_kind::quota) {
        if (const auto quota = decode_quota(row.value, reason))
            snapshot.quotas[name] = quota->limit;
    } else if (kind == config_kind::drain) {
        snapshot.drained_boxes.insert(name);
    }
}

// The program is compiled once for each of its revisions.
void set_policy(ConfigSnapshot& next, const ConfigSnapshot& before)
{
    const std::string key = std::string(config_kind::policy) + "/" + cell_policy_name;
    const auto row = next.rows.find(key);
    const auto old_row = before.rows.find(key);
    next.policy = std::make_shared<DefaultPolicy>();
    if (row == next.rows.end() || row->second.value.empty())
        return;
    if (old_row != before.rows.end() && old_row->second == row->second) {
        next.policy = before.policy;
        next.program = before.program;
        return;
    }
    Failure reason;
    const auto spec = decode_policy(row->second.value, reason);
    std::shared_ptr<const LuaPolicy> program;
    if (spec)
        program = LuaPolicy::compile(spec->program, reason);
    if (program) {
        next.program = program;
        next.policy = program;
    } else {
        log_event(LogLevel::error, "policy_not_loaded",
                  { { "revision", row->second.revision }, { "reason", reason.detail() } });
    }
}

} // namespace

std::optional<ConfigRow> ConfigSnapshot::find(const std::string& kind,
                                              const std::string& name) const
{
    const auto found = rows.find(kind + "/" + name);
    if (found == rows.end() || found->second.value.empty())
        return std::nullopt;
    return found->second;
}

std::vector<ConfigRow> ConfigSnapshot::list(const std::string& kind) const
{
    std::vector<ConfigRow> found;
    const std::string prefix = kind + "/";
    for (auto row = rows.lower_bound(prefix);
         row != rows.end() && row->first.compare(0, prefix.size(), prefix) == 0; ++row) {
        if (!row->second.value.empty())
            found.push_back(row->second);
    }
    return found;
}

ConfigView::ConfigView()
{
    auto empty = std::make_shared<ConfigSnapshot>();
    empty->policy = std::make_shared<DefaultPolicy>();
    m_snapshot = empty;
}

std::shared_ptr<const ConfigSnapshot> ConfigView::snapshot() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_snapshot;
}

bool ConfigView::apply(const std::vector<ConfigRow>& rows)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    auto next = std::make_shared<ConfigSnapshot>();
    next->rows = m_snapshot->rows;
    next->revision = m_snapshot->revision;
    bool changed = false;
    for (const ConfigRow& row : rows) {
        const auto present = next->rows.find(row.key);
        if (present != next->rows.end() && present->second.revision >= row.revision)
            continue;
        next->rows[row.key] = row;
        next->revision = std::max(next->revision, row.revision);
        changed = true;
    }
    if (!changed)
        return false;
    for (const auto& item : next->rows)
        parse_row(*next, item.second);
    set_policy(*next, *m_snapshot);
    m_snapshot = next;
    return true;
}

std::vector<ConfigRow> ConfigView::since(int64_t revision) const
{
    std::vector<ConfigRow> newer;
    const auto present = snapshot();
    for (const auto& item : present->rows) {
        if (item.second.revision > revision)
            newer.push_back(item.second);
    }
    return newer;
}

std::vector<ConfigRow> decode_config_rows(const std::vector<TableRow>& rows)
{
    std::vector<ConfigRow> decoded;
    for (const TableRow& row : rows) {
        if (row.key == revision_key)
            continue;
        const json value = json::parse(row.value, nullptr, false);
        if (!value.is_object()) {
            log_event(LogLevel::error, "config_row_unreadable", { { "key", row.key } });
            continue;
        }
        decoded.push_back({ row.key.substr(sizeof config_prefix - 1),
                            value.value("v", std::string()),
                            value.value("r", int64_t(0)) });
    }
    return decoded;
}

std::optional<std::string> check_config_value(const std::string& kind,
                                              const std::string& name,
                                              const std::string& value, Failure& reason)
{
    std::optional<std::string> normal;
    std::string own_name = name;
    if (!is_valid_name(name)) {
        reason = Failure(FailureKind::bad_input, "the name '" + name + "' is not valid");
        return std::nullopt;
    }
    if (kind == config_kind::service) {
        if (const auto service = decode_service(value, reason)) {
            own_name = service->name;
            normal = encode(*service);
        }
    } else if (kind == config_kind::quota) {
        if (const auto quota = decode_quota(value, reason)) {
            own_name = quota->team;
            normal = encode(*quota);
        }
    } else if (kind == config_kind::policy) {
        const auto policy = decode_policy(value, reason);
        if (policy && LuaPolicy::compile(policy->program, reason))
            normal = encode(*policy);
        own_name = cell_policy_name;
    } else if (kind == config_kind::drain) {
        normal = "{}";
    } else {
        reason = Failure(FailureKind::not_found, "there is no kind '" + kind + "'");
    }
    if (normal && own_name != name) {
        reason
            = Failure(FailureKind::bad_input,
                      "the value is of '" + own_name + "', but the name is '" + name + "'");
        return std::nullopt;
    }
    return normal;
}

ConfigWriter::ConfigWriter(Table& table, ConfigView& view, std::string node,
                           std::string incarnation)
    : m_table(table)
    , m_view(view)
    , m_node(std::move(node))
    , m_lane(table, m_node + "." + std::move(incarnation) + ".config")
{
}

std::optional<ConfigWriter::Base> ConfigWriter::read_base(const ConfigChange& change,
                                                          Failure& reason)
{
    const std::string key = row_key(change.kind, change.name);
    const auto result = read_table(m_table, { { revision_key, 0 }, { key, 0 } }, reason);
    if (!result)
        return std::nullopt;
    Base base;
    for (const TableRow& row : result->ranges[0]) {
        if (row.key == revision_key) {
            base.cell_version = row.version;
            base.cell_revision = parse_integer(row.value).value_or(0);
        }
    }
    for (const TableRow& row : result->ranges[1]) {
        if (row.key != key)
            continue;
        base.row_version = row.version;
        const auto decoded = decode_config_rows({ row });
        if (!decoded.empty())
            base.row = decoded.front();
    }
    return base;
}

TableTxn ConfigWriter::make_txn(const ConfigChange& change, const Base& base,
                                const ConfigRow& row) const
{
    const std::string key = row_key(change.kind, change.name);
    AuditRecord audit;
    audit.revision = row.revision;
    audit.who = change.who;
    audit.node = m_node;
    audit.wall_ms = wall_time().count();
    audit.what = change.value.empty() ? "delete" : "put";
    audit.key = row.key;
    audit.before = base.row.value;
    audit.after = change.value;
    std::string number = std::to_string(row.revision);
    number.insert(0, 12 - std::min<size_t>(12, number.size()), '0');
    TableTxn txn;
    txn.checks = { { revision_key, base.cell_version }, { key, base.row_version } };
    txn.puts = { { revision_key, std::to_string(row.revision) },
                 { key, encode_row(row) },
                 { audit_prefix + number, encode(audit) } };
    return txn;
}

std::optional<ConfigRow> ConfigWriter::change(const ConfigChange& change, Failure& reason)
{
    std::optional<int64_t> expected = change.expected;
    for (int i = 0; i < max_change_tries; ++i) {
        // The table refuses at once when its rate limit is reached; a moment later it may
        // not.
        if (reason.kind() == FailureKind::overloaded)
            std::this_thread::sleep_for(std::chrono::milliseconds(overload_pause.count()));
        const auto base = read_base(change, reason);
        if (!base && reason.kind() == FailureKind::overloaded)
            continue;
        if (!base)
            return std::nullopt;
        const int64_t present = base->row.value.empty() ? 0 : base->row.revision;
        // What is asked for is already so, perhaps by an earlier sending whose answer was
        // lost.
        if (base->row.value == change.value)
            return base->row;
        // Without an expectation, the row as it was at the first look is the expected one.
        if (!expected)
            expected = present;
        if (*expected != present) {
            reason = Failure(FailureKind::conflict, encode_row(base->row));
            return std::nullopt;
        }
        ConfigRow row { change.kind + "/" + change.name, change.value,
                        base->cell_revision + 1 };
        const auto result = m_lane.commit(make_txn(change, *base, row), reason);
        if (!result && reason.kind() == FailureKind::overloaded)
            continue;
        if (!result)
            return std::nullopt;
        if (!result->committed)
            continue;
        m_view.apply({ row });
        return row;
    }
    reason = Failure(FailureKind::overloaded, "too many changes at once; try again");
    return std::nullopt;
}

} // namespace pathport
