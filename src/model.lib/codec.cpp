// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/codec.h>

#include <pathport/ids.h>

#include <nlohmann/json.hpp>

#include <set>

namespace pathport {

using nlohmann::json;

NLOHMANN_JSON_SERIALIZE_ENUM(BoxState,
                             { { BoxState::gone, "gone" },
                               { BoxState::live, "live" },
                               { BoxState::leaving, "leaving" } })
NLOHMANN_JSON_SERIALIZE_ENUM(TaskState,
                             { { TaskState::pending, "pending" },
                               { TaskState::assigned, "assigned" },
                               { TaskState::done, "done" },
                               { TaskState::failed, "failed" } })
NLOHMANN_JSON_SERIALIZE_ENUM(NodeState,
                             { { NodeState::left, "left" },
                               { NodeState::live, "live" },
                               { NodeState::leaving, "leaving" } })

namespace {

constexpr int64_t max_cpu_millis = 1000000;
constexpr int64_t max_memory_mb = 16LL * 1024 * 1024;
constexpr int64_t max_accelerators = 1024;
constexpr int64_t max_replicas = 10000;
constexpr int64_t max_tasks_per_job = 10000;
constexpr int64_t max_window_ms = 600000;
constexpr int64_t max_duration_ms = 30LL * 24 * 3600 * 1000;
constexpr int64_t max_priority = 1000000;
constexpr size_t max_program_bytes = size_t(64) * 1024;

/// Thrown inside this file only; it becomes a Failure.
class FieldError : public std::exception {
public:
    explicit FieldError(std::string text)
        : m_text(std::move(text))
    {
    }
    const char* what() const noexcept override { return m_text.c_str(); }

private:
    std::string m_text;
};

/// Reads the fields of one object and refuses what was not asked for.
class FieldReader {
public:
    explicit FieldReader(const json& object)
        : m_object(object)
    {
        if (!object.is_object())
            throw FieldError("an object is needed");
    }

    const json& required(const char* name)
    {
        m_seen.insert(name);
        const auto found = m_object.find(name);
        if (found == m_object.end())
            throw FieldError(std::string("field '") + name + "' is missing");
        return *found;
    }

    std::string text(const char* name)
    {
        const json& value = required(name);
        if (!value.is_string())
            throw FieldError(std::string("field '") + name + "' must be text");
        return value.get<std::string>();
    }

    std::string name(const char* field)
    {
        std::string value = text(field);
        if (!is_valid_name(value)) {
            throw FieldError(std::string("field '") + field + "' is '" + value
                             + "'; allowed: 1 to 63 of a-z, 0-9 and '-', starting with a "
                               "letter");
        }
        return value;
    }

    int64_t integer(const char* name, int64_t minimum, int64_t maximum)
    {
        const json& value = required(name);
        if (!value.is_number_integer() || value.get<int64_t>() < minimum
            || value.get<int64_t>() > maximum) {
            throw FieldError(std::string("field '") + name + "' is " + value.dump()
                             + "; allowed: a whole number from " + std::to_string(minimum)
                             + " to " + std::to_string(maximum));
        }
        return value.get<int64_t>();
    }

    int64_t integer_or(const char* name, int64_t minimum, int64_t maximum,
                       int64_t default_value)
    {
        m_seen.insert(name);
        return m_object.contains(name) ? integer(name, minimum, maximum) : default_value;
    }

    bool boolean_or(const char* name, bool default_value)
    {
        m_seen.insert(name);
        if (!m_object.contains(name))
            return default_value;
        if (!m_object.at(name).is_boolean())
            throw FieldError(std::string("field '") + name + "' must be true or false");
        return m_object.at(name).get<bool>();
    }

    void finish() const
    {
        for (const auto& item : m_object.items()) {
            if (m_seen.count(item.key()) == 0)
                throw FieldError("unknown field '" + item.key() + "'");
        }
    }

private:
    const json& m_object;
    std::set<std::string> m_seen;
};

json to_json_value(const Resources& r)
{
    return { { "cpu_millis", r.cpu_millis },
             { "memory_mb", r.memory_mb },
             { "accelerators", r.accelerators } };
}

Resources read_resources(const json& value)
{
    FieldReader fields(value);
    Resources r;
    r.cpu_millis = fields.integer("cpu_millis", 0, max_cpu_millis);
    r.memory_mb = fields.integer("memory_mb", 0, max_memory_mb);
    r.accelerators = fields.integer_or("accelerators", 0, max_accelerators, 0);
    fields.finish();
    return r;
}

Resources read_task_resources(const json& value)
{
    const Resources r = read_resources(value);
    if (r.cpu_millis == 0 || r.memory_mb == 0)
        throw FieldError("field 'resources' needs cpu_millis and memory_mb above 0");
    return r;
}

json to_json_value(const BoxInfo& b)
{
    return { { "id", b.id },
             { "incarnation", b.incarnation },
             { "region", b.region },
             { "domain", b.domain },
             { "rack", b.rack },
             { "capacity", to_json_value(b.capacity) },
             { "slots", b.slots },
             { "connections", b.connections },
             { "control_address", b.control_address },
             { "work_address", b.work_address },
             { "state", b.state } };
}

BoxInfo read_box(const json& value)
{
    FieldReader fields(value);
    BoxInfo b;
    b.id = fields.name("id");
    b.incarnation = fields.text("incarnation");
    b.region = fields.name("region");
    b.domain = fields.name("domain");
    b.rack = fields.name("rack");
    b.capacity = read_resources(fields.required("capacity"));
    b.slots = fields.integer("slots", 1, 1024);
    b.connections = fields.integer("connections", 1, 65536);
    b.control_address = fields.text("control_address");
    b.work_address = fields.text("work_address");
    b.state = fields.required("state").get<BoxState>();
    fields.finish();
    return b;
}

ServiceSpec read_service(const json& value)
{
    FieldReader fields(value);
    ServiceSpec s;
    s.name = fields.name("name");
    s.team = fields.name("team");
    s.resources = read_task_resources(fields.required("resources"));
    s.replicas = fields.integer("replicas", 0, max_replicas);
    s.window_ms = fields.integer_or("window_ms", 1, max_window_ms, s.window_ms);
    s.priority = fields.integer_or("priority", 0, max_priority, s.priority);
    fields.finish();
    return s;
}

JobSpec read_job(const json& value)
{
    FieldReader fields(value);
    JobSpec j;
    j.name = fields.name("name");
    j.team = fields.name("team");
    j.resources = read_task_resources(fields.required("resources"));
    j.tasks = fields.integer_or("tasks", 1, max_tasks_per_job, j.tasks);
    j.duration_ms = fields.integer_or("duration_ms", 1, max_duration_ms, j.duration_ms);
    j.priority = fields.integer_or("priority", 0, max_priority, j.priority);
    j.stoppable = fields.boolean_or("stoppable", j.stoppable);
    fields.finish();
    return j;
}

QuotaSpec read_quota(const json& value)
{
    FieldReader fields(value);
    QuotaSpec q;
    q.team = fields.name("team");
    q.limit = read_resources(fields.required("limit"));
    fields.finish();
    return q;
}

PolicySpec read_policy(const json& value)
{
    FieldReader fields(value);
    PolicySpec p;
    p.program = fields.text("program");
    if (p.program.size() > max_program_bytes)
        throw FieldError("field 'program' is over 65536 bytes");
    fields.finish();
    return p;
}

TaskRecord read_task(const json& value)
{
    TaskRecord t;
    t.id = value.at("id");
    t.job = value.at("job");
    t.team = value.at("team");
    t.resources = read_resources(value.at("res"));
    t.duration_ms = value.at("dur");
    t.priority = value.at("pri");
    t.stoppable = value.at("stop");
    t.submitted_ms = value.at("sub");
    t.state = value.at("state").get<TaskState>();
    t.attempt = value.value("att", int64_t(0));
    t.box = value.value("box", std::string());
    t.box_incarnation = value.value("inc", std::string());
    return t;
}

ShardRecord read_shard(const json& value)
{
    return { value.at("shard"), value.at("owner"), value.at("inc"), value.at("epoch") };
}

NodeRecord read_node(const json& value)
{
    return { value.at("node"),
             value.at("inc"),
             value.at("n"),
             value.at("region"),
             value.at("dom"),
             value.at("peer"),
             value.at("state").get<NodeState>() };
}

AuditRecord read_audit(const json& value)
{
    return { value.at("revision"), value.at("who"), value.at("node"),   value.at("wall_ms"),
             value.at("what"),     value.at("key"), value.at("before"), value.at("after") };
}

std::vector<BoxInfo> read_boxes(const json& value)
{
    std::vector<BoxInfo> boxes;
    for (const json& box : value)
        boxes.push_back(read_box(box));
    return boxes;
}

template <typename Value>
std::optional<Value> decode(const std::string& text, Value (*read)(const json&),
                            Failure& reason)
{
    try {
        return read(json::parse(text));
    } catch (const FieldError& error) {
        reason = Failure(FailureKind::bad_input, error.what());
    } catch (const json::exception& error) {
        reason = Failure(FailureKind::bad_input, error.what());
    }
    return std::nullopt;
}

} // namespace

std::string encode(const BoxInfo& box)
{
    return to_json_value(box).dump();
}

std::string encode(const std::vector<BoxInfo>& boxes)
{
    json list = json::array();
    for (const BoxInfo& box : boxes)
        list.push_back(to_json_value(box));
    return list.dump();
}

std::string encode(const ServiceSpec& s)
{
    const json value = { { "name", s.name },
                         { "team", s.team },
                         { "resources", to_json_value(s.resources) },
                         { "replicas", s.replicas },
                         { "window_ms", s.window_ms },
                         { "priority", s.priority } };
    return value.dump();
}

std::string encode(const JobSpec& j)
{
    const json value = { { "name", j.name },
                         { "team", j.team },
                         { "resources", to_json_value(j.resources) },
                         { "tasks", j.tasks },
                         { "duration_ms", j.duration_ms },
                         { "priority", j.priority },
                         { "stoppable", j.stoppable } };
    return value.dump();
}

std::string encode(const QuotaSpec& q)
{
    return json { { "team", q.team }, { "limit", to_json_value(q.limit) } }.dump();
}

std::string encode(const PolicySpec& p)
{
    return json { { "program", p.program } }.dump();
}

// Task and node rows are written often, so their field names are short.
std::string encode(const TaskRecord& t)
{
    json value = { { "id", t.id },           { "job", t.job },
                   { "team", t.team },       { "res", to_json_value(t.resources) },
                   { "dur", t.duration_ms }, { "pri", t.priority },
                   { "stop", t.stoppable },  { "sub", t.submitted_ms },
                   { "state", t.state } };
    if (t.attempt > 0)
        value["att"] = t.attempt;
    if (!t.box.empty()) {
        value["box"] = t.box;
        value["inc"] = t.box_incarnation;
    }
    return value.dump();
}

std::string encode(const ShardRecord& s)
{
    const json value = { { "shard", s.shard },
                         { "owner", s.owner },
                         { "inc", s.owner_incarnation },
                         { "epoch", s.epoch } };
    return value.dump();
}

std::string encode(const NodeRecord& n)
{
    const json value
        = { { "node", n.node },     { "inc", n.incarnation }, { "n", n.counter },
            { "region", n.region }, { "dom", n.domain },      { "peer", n.peer_address },
            { "state", n.state } };
    return value.dump();
}

std::string encode(const AuditRecord& a)
{
    const json value
        = { { "revision", a.revision }, { "who", a.who },    { "node", a.node },
            { "wall_ms", a.wall_ms },   { "what", a.what },  { "key", a.key },
            { "before", a.before },     { "after", a.after } };
    return value.dump();
}

std::optional<ServiceSpec> decode_service(const std::string& text, Failure& reason)
{
    return decode(text, read_service, reason);
}

std::optional<JobSpec> decode_job(const std::string& text, Failure& reason)
{
    return decode(text, read_job, reason);
}

std::optional<QuotaSpec> decode_quota(const std::string& text, Failure& reason)
{
    return decode(text, read_quota, reason);
}

std::optional<PolicySpec> decode_policy(const std::string& text, Failure& reason)
{
    return decode(text, read_policy, reason);
}

std::optional<TaskRecord> decode_task(const std::string& text, Failure& reason)
{
    return decode(text, read_task, reason);
}

std::optional<ShardRecord> decode_shard(const std::string& text, Failure& reason)
{
    return decode(text, read_shard, reason);
}

std::optional<NodeRecord> decode_node(const std::string& text, Failure& reason)
{
    return decode(text, read_node, reason);
}

std::optional<AuditRecord> decode_audit(const std::string& text, Failure& reason)
{
    return decode(text, read_audit, reason);
}

std::optional<std::vector<BoxInfo>> decode_boxes(const std::string& text, Failure& reason)
{
    return decode(text, read_boxes, reason);
}

} // namespace pathport
