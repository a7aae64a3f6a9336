// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The operators' calls about batch jobs and their tasks.

#include "answers.h"
#include "operator_api.h"

#include <pathport/codec.h>
#include <pathport/ids.h>
#include <pathport/log.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pathport {

using nlohmann::json;

namespace {

constexpr char jobs_prefix[] = "jobs/";
constexpr char cancelled_prefix[] = "cancelled/";
constexpr char cancel_mark[] = "!";
constexpr Millis table_retry { 2000 };

HttpAnswer json_answer(const json& value)
{
    return text_answer(value.dump());
}

HttpAnswer table_failure(const Failure& reason)
{
    HttpAnswer answer = failure_answer(reason);
    if (reason.kind() != FailureKind::outcome_unknown)
        add_retry_after(answer, table_retry);
    return answer;
}

TaskRecord make_task(const JobSpec& job, int64_t index, int64_t wall_ms)
{
    TaskRecord task;
    task.id = job.name + "." + std::to_string(index);
    task.job = job.name;
    task.team = job.team;
    task.resources = job.resources;
    task.duration_ms = job.duration_ms;
    task.priority = job.priority;
    task.stoppable = job.stoppable;
    task.submitted_ms = wall_ms;
    return task;
}

// Jobs have no revision, so their audit records are ordered by time.
TablePut audit_put(const std::string& node, const std::string& who, const std::string& what,
                   const std::string& job, const std::string& before,
                   const std::string& after)
{
    AuditRecord audit;
    audit.who = who;
    audit.node = node;
    audit.wall_ms = wall_time().count();
    audit.what = what;
    audit.key = jobs_prefix + job;
    audit.before = before;
    audit.after = after;
    return { "audit/job-" + std::to_string(audit.wall_ms) + "-" + random_token(),
             encode(audit) };
}

json task_json(const TaskRecord& task)
{
    return { { "task", task.id },
             { "state", to_string(task.state) },
             { "attempt", task.attempt },
             { "box", task.box } };
}

} // namespace

HttpAnswer OperatorApi::answer_jobs(const HttpRequest& request, const std::string& name)
{
    if (name.empty() && request.method == "GET")
        return list_jobs();
    if (!is_valid_name(name))
        return failure_answer(
            Failure(FailureKind::bad_input, "the name '" + name + "' is not valid"));
    if (request.method == "GET")
        return job_state(name);
    if (request.method == "PUT")
        return submit_job(request, name);
    if (request.method == "DELETE")
        return cancel_job(name, operator_of(request));
    return failure_answer(
        Failure(FailureKind::bad_input, "the method must be GET, PUT or DELETE"));
}

// Chooses a shard for each task of a job: the shards with the most room for it in turn. It
// is a first guess; a shard without room passes a task on.
std::vector<std::string> OperatorApi::spread(const JobSpec& job) const
{
    struct Room {
        std::string shard;
        int64_t tasks;
    };
    std::vector<Room> rooms;
    for (const ShardSummary& shard : m_node.cell().summaries()) {
        if (shard.boxes == 0)
            continue;
        int64_t tasks = shard.free.cpu_millis / job.resources.cpu_millis;
        tasks = std::min(tasks, shard.free.memory_mb / job.resources.memory_mb);
        if (job.resources.accelerators > 0)
            tasks = std::min(tasks, shard.free.accelerators / job.resources.accelerators);
        rooms.push_back({ shard.shard, tasks - shard.pending });
    }
    std::vector<std::string> shards;
    for (int64_t i = 0; i < job.tasks && !rooms.empty(); ++i) {
        const auto best = std::max_element(
            rooms.begin(), rooms.end(),
            [](const Room& a, const Room& b) { return a.tasks < b.tasks; });
        --best->tasks;
        shards.push_back(best->shard);
    }
    return shards;
}

HttpAnswer OperatorApi::submit_job(const HttpRequest& request, const std::string& name)
{
    Failure reason;
    const auto job = decode_job(request.body, reason);
    if (job && job->name != name)
        reason = Failure(FailureKind::bad_input, "the value is of '" + job->name + "'");
    if (reason)
        return failure_answer(reason);
    const std::vector<std::string> shards = spread(*job);
    if (shards.empty()) {
        return table_failure(
            Failure(FailureKind::unavailable, "no shard of boxes is owned at present"));
    }
    const int64_t wall_ms = wall_time().count();
    TableTxn txn;
    txn.checks.push_back({ jobs_prefix + name, 0 });
    txn.puts.push_back({ jobs_prefix + name, encode(*job) });
    txn.puts.push_back(audit_put(m_node.settings().node, operator_of(request), "put", name,
                                 "", encode(*job)));
    for (int64_t i = 0; i < job->tasks; ++i) {
        const TaskRecord task = make_task(*job, i, wall_ms);
        txn.puts.push_back(
            { rows::inbox_key(shards[static_cast<size_t>(i)], task.id), encode(task) });
    }
    const auto result = m_node.job_lane().commit(txn, reason);
    if (!result)
        return table_failure(reason);
    if (!result->committed) {
        const bool same
            = !result->conflicts.empty() && result->conflicts.front().value == encode(*job);
        // The same job again: perhaps the answer to the first sending was lost.
        if (same)
            return json_answer({ { "job", name }, { "tasks", job->tasks } });
        return failure_answer(
            Failure(FailureKind::conflict, "job " + name + " exists with another value"));
    }
    log_event(LogLevel::info, "job_submitted",
              { { "job", name }, { "tasks", job->tasks }, { "team", job->team } });
    m_node.wake(shards);
    return json_answer({ { "job", name }, { "tasks", job->tasks } });
}

HttpAnswer OperatorApi::cancel_job(const std::string& name, const std::string& who)
{
    Failure reason;
    const auto rows = read({ jobs_prefix + name }, reason);
    if (!rows)
        return table_failure(reason);
    const auto row
        = std::find_if(rows->front().begin(), rows->front().end(),
                       [&](const TableRow& r) { return r.key == jobs_prefix + name; });
    if (row == rows->front().end())
        return failure_answer(Failure(FailureKind::not_found, "there is no job " + name));
    TableTxn txn;
    txn.checks.push_back({ row->key, row->version });
    txn.puts.push_back({ cancelled_prefix + name, who });
    txn.puts.push_back(
        audit_put(m_node.settings().node, who, "cancel", name, row->value, ""));
    std::vector<std::string> shards;
    for (const auto& shard : m_node.cell().shard_rows()) {
        if (shard.first.rfind(admission_prefix, 0) == 0)
            continue;
        txn.puts.push_back({ rows::inbox_key(shard.first, cancel_mark + name), who });
        shards.push_back(shard.first);
    }
    const auto result = m_node.job_lane().commit(txn, reason);
    if (!result)
        return table_failure(reason);
    if (!result->committed)
        return failure_answer(
            Failure(FailureKind::conflict, "job " + name + " has changed"));
    log_event(LogLevel::info, "job_cancelled", { { "job", name }, { "who", who } });
    m_node.wake(shards);
    return json_answer({ { "job", name }, { "cancelled", true } });
}

HttpAnswer OperatorApi::job_state(const std::string& name)
{
    Failure reason;
    const auto rows = read(
        { jobs_prefix + name, rows::ended_prefix(name), cancelled_prefix + name }, reason);
    if (!rows)
        return table_failure(reason);
    std::optional<JobSpec> job;
    for (const TableRow& row : rows->at(0)) {
        if (row.key == jobs_prefix + name)
            job = decode_job(row.value, reason);
    }
    if (!job)
        return failure_answer(Failure(FailureKind::not_found, "there is no job " + name));
    int64_t done = 0;
    int64_t failed = 0;
    for (const TableRow& row : rows->at(1)) {
        const auto task = decode_task(row.value, reason);
        done += task && task->state == TaskState::done ? 1 : 0;
        failed += task && task->state == TaskState::failed ? 1 : 0;
    }
    bool cancelled = false;
    for (const TableRow& row : rows->at(2))
        cancelled = cancelled || row.key == cancelled_prefix + name;
    return json_answer({ { "job", name },
                         { "spec", json::parse(encode(*job)) },
                         { "tasks", job->tasks },
                         { "done", done },
                         { "failed", failed },
                         { "open", job->tasks - done - failed },
                         { "cancelled", cancelled } });
}

HttpAnswer OperatorApi::list_jobs()
{
    Failure reason;
    const auto rows = read({ jobs_prefix }, reason);
    if (!rows)
        return table_failure(reason);
    json list = json::array();
    for (const TableRow& row : rows->front())
        list.push_back(json::parse(row.value, nullptr, false));
    return json_answer(list);
}

HttpAnswer OperatorApi::list_tasks(const HttpRequest& request)
{
    Failure reason;
    const auto rows = read({ "inbox/", "tasks/", "ended/" }, reason);
    if (!rows)
        return table_failure(reason);
    const auto wanted = request.query.find("job");
    json list = json::array();
    for (const auto& range : *rows) {
        for (const TableRow& row : range) {
            const auto task = decode_task(row.value, reason);
            if (task && (wanted == request.query.end() || task->job == wanted->second))
                list.push_back(task_json(*task));
        }
    }
    return json_answer(list);
}

} // namespace pathport
