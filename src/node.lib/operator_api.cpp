// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "operator_api.h"

#include "answers.h"

#include <pathport/codec.h>
#include <pathport/ids.h>
#include <pathport/log.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pathport {

using nlohmann::json;

namespace {

constexpr size_t max_waiting_calls = 64;
constexpr char bearer[] = "Bearer ";

HttpAnswer json_answer(const json& value)
{
    return text_answer(value.dump());
}

HttpAnswer failed(FailureKind kind, const std::string& detail)
{
    return failure_answer(Failure(kind, detail));
}

json row_json(const ConfigRow& row)
{
    return { { "key", row.key },
             { "revision", row.revision },
             { "value", json::parse(row.value, nullptr, false) } };
}

// Splits "a/b/c" at its first slash.
std::pair<std::string, std::string> split(const std::string& text)
{
    const size_t slash = text.find('/');
    if (slash == std::string::npos)
        return { text, "" };
    return { text.substr(0, slash), text.substr(slash + 1) };
}

} // namespace

OperatorApi::OperatorApi(Node& node)
    : m_node(node)
    , m_thread([this] { work(); })
{
}

OperatorApi::~OperatorApi()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void OperatorApi::work()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        if (m_calls.empty()) {
            m_changed.wait(lock);
            continue;
        }
        const std::function<void()> call = std::move(m_calls.front());
        m_calls.pop_front();
        lock.unlock();
        call();
        lock.lock();
    }
}

HttpAnswer OperatorApi::refusal(const Failure& failure)
{
    return failure_answer(failure);
}

void OperatorApi::handle(HttpRequest request, HttpReply reply)
{
    const std::string given = request.header("authorization");
    const size_t prefix = sizeof bearer - 1;
    const bool known = given.rfind(bearer, 0) == 0
        && equal_secrets(given.substr(prefix), m_node.settings().operator_key);
    if (!known) {
        log_event(LogLevel::warn, "operator_refused", { { "path", request.path } });
        reply(failed(FailureKind::unauthorized, "the operators' key is missing or wrong"));
        return;
    }
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_calls.size() < max_waiting_calls) {
            m_calls.emplace_back([this, request, reply] { reply(answer(request)); });
            m_changed.notify_one();
            return;
        }
    }
    HttpAnswer busy = failed(FailureKind::overloaded, "too many calls wait");
    add_retry_after(busy, Millis(1000));
    reply(busy);
}

HttpAnswer OperatorApi::answer(const HttpRequest& request)
{
    const std::string prefix = "/v1/";
    if (request.path.rfind(prefix, 0) != 0)
        return failed(FailureKind::not_found, "no such path");
    const auto parts = split(request.path.substr(prefix.size()));
    const std::string& area = parts.first;
    if (area == "config")
        return answer_config(request, parts.second);
    if (area == "jobs")
        return answer_jobs(request, parts.second);
    if (area == "policy-test" && request.method == "POST")
        return test_policy(request);
    if (request.method != "GET")
        return failed(FailureKind::bad_input, "the method must be GET");
    if (area == "tasks")
        return list_tasks(request);
    if (area == "audit")
        return list_audit(request);
    if (area == "nodes")
        return list_nodes();
    if (area == "boxes")
        return list_boxes();
    if (area == "status")
        return status();
    if (area == "why")
        return why(parts.second);
    return failed(FailureKind::not_found, "no such path");
}

HttpAnswer OperatorApi::answer_config(const HttpRequest& request, const std::string& rest)
{
    const auto parts = split(rest);
    const auto config = m_node.config().snapshot();
    if (request.method != "GET")
        return change_config(request, parts.first, parts.second);
    if (parts.second.empty()) {
        json list = json::array();
        for (const ConfigRow& row : config->list(parts.first))
            list.push_back(row_json(row));
        return json_answer({ { "revision", config->revision }, { "rows", list } });
    }
    const auto row = config->find(parts.first, parts.second);
    if (!row)
        return failed(FailureKind::not_found, rest + " does not exist");
    return json_answer(row_json(*row));
}

HttpAnswer OperatorApi::change_config(const HttpRequest& request, const std::string& kind,
                                      const std::string& name)
{
    ConfigChange change;
    change.kind = kind;
    change.name = name;
    change.who = operator_of(request);
    const auto expect = request.query.find("expect");
    if (expect != request.query.end()) {
        change.expected = parse_integer(expect->second);
        if (!change.expected)
            return failed(FailureKind::bad_input, "expect must be a revision");
    }
    Failure reason;
    if (request.method == "PUT") {
        const auto value = check_config_value(kind, name, request.body, reason);
        if (!value)
            return failure_answer(reason);
        change.value = *value;
    } else if (request.method != "DELETE") {
        return failed(FailureKind::bad_input, "the method must be GET, PUT or DELETE");
    } else if (!m_node.config().snapshot()->find(kind, name)) {
        return failed(FailureKind::not_found, kind + "/" + name + " does not exist");
    }
    const auto row = m_node.config_writer().change(change, reason);
    if (!row) {
        HttpAnswer answer = failure_answer(reason);
        if (reason.kind() == FailureKind::unavailable
            || reason.kind() == FailureKind::overloaded)
            add_retry_after(answer, Millis(2000));
        return answer;
    }
    log_event(
        LogLevel::info, "config_changed",
        { { "key", row->key }, { "revision", row->revision }, { "who", change.who } });
    m_node.wake({});
    return json_answer({ { "key", row->key }, { "revision", row->revision } });
}

HttpAnswer OperatorApi::list_nodes() const
{
    json list = json::array();
    const auto rows = m_node.cell().shard_rows();
    const auto live = m_node.cell().live_nodes();
    std::vector<NodeRecord> nodes = { m_node.cell().self() };
    for (const MemberView& member : m_node.cell().members())
        nodes.push_back(member.record);
    for (const NodeRecord& node : nodes) {
        const bool is_live
            = std::any_of(live.begin(), live.end(),
                          [&](const NodeRecord& n) { return n.node == node.node; });
        int64_t shards = 0;
        for (const auto& row : rows)
            shards += row.second.record.owner == node.node ? 1 : 0;
        list.push_back({ { "node", node.node },
                         { "region", node.region },
                         { "failure_domain", node.domain },
                         { "peer_address", node.peer_address },
                         { "live", is_live },
                         { "shards", shards } });
    }
    return json_answer(list);
}

HttpAnswer OperatorApi::list_boxes() const
{
    json list = json::array();
    const auto rows = m_node.cell().shard_rows();
    const auto config = m_node.config().snapshot();
    for (const BoxInfo& box : m_node.cell().boxes()) {
        json value = json::parse(encode(box));
        const auto row = rows.find(box.shard());
        value["owner"] = row == rows.end() ? "" : row->second.record.owner;
        value["drained"] = config->drained_boxes.count(box.id) > 0;
        list.push_back(value);
    }
    return json_answer(list);
}

// Says in one answer whether all is well, and if not, why.
HttpAnswer OperatorApi::status() const
{
    const NodeHealth health = m_node.health();
    json problems = json::array();
    if (!health.table_reachable)
        problems.push_back(
            "the table can't be reached: no change of configuration is accepted, "
            "and no node can take over from another");
    if (!health.config_current)
        problems.push_back("this node is cut off and refuses requests");
    const auto live = m_node.cell().live_nodes();
    for (const MemberView& member : m_node.cell().members()) {
        const bool is_live
            = std::any_of(live.begin(), live.end(), [&](const NodeRecord& n) {
                  return n.node == member.record.node;
              });
        if (!is_live)
            problems.push_back("node " + member.record.node + " does not answer");
    }
    const auto config = m_node.config().snapshot();
    const auto summaries = m_node.cell().summaries();
    json services = json::object();
    int64_t pending = 0;
    for (const ShardSummary& shard : summaries)
        pending += shard.pending;
    for (const auto& item : config->services) {
        ServiceLoad sum;
        for (const ShardSummary& shard : summaries) {
            for (const ServiceLoad& load : shard.services) {
                if (load.service != item.first)
                    continue;
                sum.running += load.running;
                sum.busy += load.busy;
                sum.queued += load.queued;
                sum.slots += load.slots;
            }
        }
        if (sum.running < item.second.replicas) {
            problems.push_back("service " + item.first + " runs "
                               + std::to_string(sum.running) + " of "
                               + std::to_string(item.second.replicas) + " replicas");
        }
        services[item.first] = { { "replicas", item.second.replicas },
                                 { "running", sum.running },
                                 { "slots", sum.slots },
                                 { "busy", sum.busy },
                                 { "queued", sum.queued } };
    }
    if (config->program) {
        const PolicyHealth policy = config->program->health();
        if (policy.failures > 0)
            problems.push_back("the policy failed " + std::to_string(policy.failures)
                               + " of " + std::to_string(policy.calls)
                               + " calls here; last: " + policy.last.detail());
    }
    const KeeperCounters counters = m_node.keeper().counters();
    return json_answer({ { "well", problems.empty() },
                         { "problems", problems },
                         { "node", m_node.settings().node },
                         { "config_revision", health.config_revision },
                         { "live_nodes", live.size() },
                         { "services", services },
                         { "pending_tasks", pending },
                         { "this_node",
                           { { "shards", m_node.keeper().shards().size() },
                             { "queued", health.queued },
                             { "remembered_ids", health.remembered_ids },
                             { "placements", counters.placements },
                             { "tasks_done", counters.tasks_done },
                             { "tasks_failed", counters.tasks_failed },
                             { "tasks_lost", counters.tasks_lost },
                             { "tasks_stopped", counters.tasks_stopped },
                             { "replicas_lost", counters.replicas_lost } } } });
}

HttpAnswer OperatorApi::why(const std::string& task)
{
    const auto here = m_node.ask_all("why", task);
    if (here)
        return json_answer({ { "task", task }, { "why", *here } });
    Failure reason;
    const std::string job = task.substr(0, task.find('.'));
    const auto rows = read({ rows::ended_key(job, task) }, reason);
    if (!rows)
        return failure_answer(reason);
    for (const TableRow& row : rows->front()) {
        const auto record = decode_task(row.value, reason);
        if (record && record->id == task) {
            return json_answer(
                { { "task", task },
                  { "why",
                    std::string("has ended: ") + to_string(record->state) + ", attempt "
                        + std::to_string(record->attempt) } });
        }
    }
    return failed(FailureKind::not_found, "no node knows task " + task);
}

// Compares the program with the policy in force on this node's view of the cell.
HttpAnswer OperatorApi::test_policy(const HttpRequest& request) const
{
    Failure reason;
    const auto program = LuaPolicy::compile(request.body, reason);
    if (!program)
        return failure_answer(reason);
    const auto config = m_node.config().snapshot();
    json ranks = json::array();
    int64_t changed = 0;
    const auto compare = [&](const PolicyTask& task) {
        const double before = config->policy->rank(task);
        const double after = program->rank(task);
        changed += before != after ? 1 : 0;
        ranks.push_back(
            { { "name", task.name }, { "rank_now", before }, { "rank_then", after } });
    };
    for (const auto& item : config->services) {
        const ServiceSpec& s = item.second;
        compare({ s.name, s.team, true, s.priority, false, s.resources });
    }
    for (const WaitingTask& waiting : m_node.keeper().waiting_tasks()) {
        const TaskRecord& t = waiting.record;
        compare({ t.job, t.team, false, t.priority, t.stoppable, t.resources });
    }
    const PolicyHealth health = program->health();
    return json_answer({ { "accepted", true },
                         { "ranks", ranks },
                         { "ranks_changed", changed },
                         { "calls", health.calls },
                         { "failures", health.failures },
                         { "last_failure", health.last.detail() } });
}

std::optional<std::vector<std::vector<TableRow>>>
OperatorApi::read(const std::vector<std::string>& prefixes, Failure& reason)
{
    std::vector<TableRange> ranges;
    for (const std::string& prefix : prefixes)
        ranges.push_back({ prefix, 0 });
    auto result = read_table(m_node.table(), ranges, reason);
    if (!result)
        return std::nullopt;
    return std::move(result->ranges);
}

HttpAnswer OperatorApi::list_audit(const HttpRequest& request)
{
    Failure reason;
    const auto rows = read({ "audit/" }, reason);
    if (!rows)
        return failure_answer(reason);
    const auto wanted = request.query.find("limit");
    const int64_t limit
        = wanted == request.query.end() ? 50 : parse_integer(wanted->second).value_or(50);
    json list = json::array();
    const auto& all = rows->front();
    const size_t skip = all.size() > static_cast<size_t>(limit)
        ? all.size() - static_cast<size_t>(limit)
        : 0;
    for (size_t i = skip; i < all.size(); ++i)
        list.push_back(json::parse(all[i].value, nullptr, false));
    return json_answer(list);
}

} // namespace pathport
