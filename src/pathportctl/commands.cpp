// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "commands.h"

#include <pathport/http.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <functional>
#include <iomanip>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <sstream>

namespace ctl {

using namespace pathport;
using nlohmann::json;

namespace {

constexpr Millis call_timeout { 20000 };
constexpr int first_failure_status = 400;

using Words = std::vector<std::string>;

struct Reply {
    int status = 0;
    json body;
};

// Asks the nodes in turn until one can be reached. A call that may have reached a node is
// not sent to another one.
std::optional<Reply> call(const Session& session, const std::string& method,
                          const std::string& path, const std::string& body = "",
                          const std::map<std::string, std::string>& query = {})
{
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.body = body;
    request.query = query;
    request.headers["authorization"] = "Bearer " + session.key;
    request.headers["pathport-operator"] = session.who;
    for (const std::string& node : session.nodes) {
        const auto address = parse_address(node);
        if (!address) {
            std::cerr << "pathportctl: '" << node << "' is not IP:port" << std::endl;
            return std::nullopt;
        }
        HttpClient client(*address, call_timeout);
        const HttpOutcome outcome = client.send_and_wait(request, HttpConnection::fresh);
        if (outcome.answer) {
            return Reply { outcome.answer->status,
                           json::parse(outcome.answer->body, nullptr, false) };
        }
        if (outcome.failure.kind() != FailureKind::unavailable)
            return Reply { 504,
                           { { "failure", "outcome_unknown" },
                             { "detail", outcome.failure.detail() } } };
        std::cerr << "pathportctl: node " << node << " can't be reached" << std::endl;
    }
    return Reply {
        503, { { "failure", "unavailable" }, { "detail", "no node can be reached" } }
    };
}

int exit_code(const std::string& failure)
{
    static const std::map<std::string, int> codes
        = { { "not_found", exit_not_found },       { "conflict", exit_conflict },
            { "unauthorized", exit_unauthorized }, { "unavailable", exit_unavailable },
            { "overloaded", exit_unavailable },    { "outcome_unknown", exit_unknown },
            { "bad_input", exit_bad_input },       { "policy_error", exit_bad_input },
            { "too_large", exit_bad_input } };
    const auto found = codes.find(failure);
    return found == codes.end() ? exit_other : found->second;
}

void explain_conflict(const json& body)
{
    const json row = json::parse(body.value("detail", ""), nullptr, false);
    if (!row.is_object())
        return;
    std::cerr << "The present value, at revision " << row.value("r", int64_t(0))
              << ", is:\n  " << row.value("v", std::string())
              << "\nTo change it from there, repeat with --expect "
              << row.value("r", int64_t(0)) << std::endl;
}

int fail(const Session& session, const Reply& reply)
{
    const std::string failure
        = reply.body.is_object() ? reply.body.value("failure", "internal") : "internal";
    if (session.json) {
        std::cout << reply.body.dump(2) << std::endl;
    } else {
        std::cerr << "pathportctl: " << failure << ": "
                  << (reply.body.is_object() ? reply.body.value("detail", "") : "")
                  << std::endl;
        if (failure == "conflict")
            explain_conflict(reply.body);
    }
    return exit_code(failure);
}

using Print = std::function<int(const json&)>;

// Makes one call and prints its answer, as JSON or by `print`.
int show(const Session& session, const std::optional<Reply>& reply, const Print& print)
{
    if (!reply)
        return exit_usage;
    if (reply->status >= first_failure_status || reply->body.is_discarded())
        return fail(session, *reply);
    if (session.json) {
        std::cout << reply->body.dump(2) << std::endl;
        return exit_ok;
    }
    return print(reply->body);
}

std::string cell(const json& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

// Prints the given fields of each row as columns.
void print_columns(const json& rows, const Words& fields)
{
    std::vector<Words> lines = { fields };
    for (const json& row : rows) {
        Words line;
        for (const std::string& field : fields)
            line.push_back(row.contains(field) ? cell(row.at(field)) : "-");
        lines.push_back(line);
    }
    std::vector<size_t> widths(fields.size(), 0);
    for (const Words& line : lines) {
        for (size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size());
    }
    for (const Words& line : lines) {
        for (size_t i = 0; i < line.size(); ++i)
            std::cout << std::left << std::setw(static_cast<int>(widths[i] + 2)) << line[i];
        std::cout << "\n";
    }
}

Print columns(const Words& fields)
{
    return [fields](const json& rows) {
        print_columns(rows, fields);
        return exit_ok;
    };
}

int print_value(const json& value)
{
    std::cout << value.dump(2) << std::endl;
    return exit_ok;
}

int print_status(const json& body)
{
    std::cout << (body.at("well").get<bool>() ? "The cell is well." : "Not all is well:")
              << "\n";
    for (const json& problem : body.at("problems"))
        std::cout << "  - " << cell(problem) << "\n";
    std::cout << "live nodes " << body.at("live_nodes") << ", configuration revision "
              << body.at("config_revision") << ", waiting tasks "
              << body.at("pending_tasks") << "\n";
    for (const auto& item : body.at("services").items()) {
        const json& s = item.value();
        std::cout << "service " << item.key() << ": " << s.at("running") << " of "
                  << s.at("replicas") << " replicas, " << s.at("busy") << " of "
                  << s.at("slots") << " slots busy, " << s.at("queued") << " queued\n";
    }
    return body.at("well").get<bool>() ? exit_ok : exit_unwell;
}

std::optional<std::string> read_file(const std::string& path)
{
    if (path == "-")
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    std::ifstream stream(path);
    if (!stream) {
        std::cerr << "pathportctl: file " << path << " can't be read" << std::endl;
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

std::map<std::string, std::string> expectation(const Session& session)
{
    if (session.expect.empty())
        return {};
    return { { "expect", session.expect } };
}

int print_change(const json& body)
{
    std::cout << body.at("key").get<std::string>() << " is accepted at revision "
              << body.at("revision") << std::endl;
    return exit_ok;
}

int put(const Session& session, const std::string& kind, const std::string& name,
        const std::string& value)
{
    return show(session,
                call(session, "PUT", "/v1/config/" + kind + "/" + name, value,
                     expectation(session)),
                print_change);
}

int remove(const Session& session, const std::string& kind, const std::string& name)
{
    return show(session,
                call(session, "DELETE", "/v1/config/" + kind + "/" + name, "",
                     expectation(session)),
                print_change);
}

// A policy file holds the program itself.
std::string config_value(const std::string& kind, const std::string& content)
{
    return kind == "policies" ? json { { "program", content } }.dump() : content;
}

int put_file(const Session& session, const Words& words)
{
    const auto content = read_file(words[3]);
    if (!content)
        return exit_bad_input;
    return put(session, words[1], words[2], config_value(words[1], *content));
}

int diff(const Session& session, const Words& words)
{
    const auto content = read_file(words[3]);
    if (!content)
        return exit_bad_input;
    const json wanted = json::parse(config_value(words[1], *content), nullptr, false);
    if (!wanted.is_object()) {
        std::cerr << "pathportctl: " << words[3] << " is not a JSON object" << std::endl;
        return exit_bad_input;
    }
    const auto reply = call(session, "GET", "/v1/config/" + words[1] + "/" + words[2]);
    if (!reply)
        return exit_usage;
    const bool missing = reply->status == 404;
    if (!missing && reply->status >= first_failure_status)
        return fail(session, *reply);
    const json present = missing ? json::object() : reply->body.at("value");
    const json patch = json::diff(present, wanted);
    if (session.json) {
        std::cout << patch.dump(2) << std::endl;
    } else {
        for (const json& step : patch) {
            const std::string path = step.at("path");
            const json::json_pointer pointer(path);
            const json before
                = present.contains(pointer) ? present.at(pointer) : json("(none)");
            const json after = step.contains("value") ? step.at("value") : json("(none)");
            std::cout << path << ": " << before.dump() << " -> " << after.dump() << "\n";
        }
    }
    return patch.empty() ? exit_ok : exit_unwell;
}

int submit(const Session& session, const Words& words)
{
    const auto content = read_file(words[1]);
    if (!content)
        return exit_bad_input;
    const json job = json::parse(*content, nullptr, false);
    if (!job.is_object() || !job.contains("name") || !job.at("name").is_string()) {
        std::cerr << "pathportctl: the job needs a name" << std::endl;
        return exit_bad_input;
    }
    const std::string name = job.at("name");
    return show(session, call(session, "PUT", "/v1/jobs/" + name, *content),
                [](const json& body) {
                    std::cout << "job " << cell(body.at("job")) << " is accepted with "
                              << body.at("tasks") << " tasks" << std::endl;
                    return exit_ok;
                });
}

int test_policy(const Session& session, const Words& words)
{
    const auto content = read_file(words[1]);
    if (!content)
        return exit_bad_input;
    return show(session, call(session, "POST", "/v1/policy-test", *content),
                [](const json& body) {
                    std::cout << "The program is valid; it changes "
                              << body.at("ranks_changed") << " ranks:\n";
                    print_columns(body.at("ranks"), { "name", "rank_now", "rank_then" });
                    return exit_ok;
                });
}

int print_why(const json& body)
{
    std::cout << cell(body.at("task")) << " " << cell(body.at("why")) << std::endl;
    return exit_ok;
}

int print_list(const json& body)
{
    json rows = json::array();
    for (const json& row : body.at("rows"))
        rows.push_back({ { "key", row.at("key") },
                         { "revision", row.at("revision") },
                         { "value", row.at("value").dump() } });
    print_columns(rows, { "key", "revision", "value" });
    return exit_ok;
}

struct Command {
    Words words; ///< The first is the name; the others stand for arguments.
    std::string help;
    std::function<int(const Session&, const Words&)> run;
};

std::function<int(const Session&, const Words&)> get(const std::string& path,
                                                     const Print& print)
{
    return [path, print](const Session& session, const Words& words) {
        const std::string full = words.size() > 1 ? path + "/" + words[1] : path;
        return show(session, call(session, "GET", full), print);
    };
}

const std::vector<Command>& commands()
{
    static const std::vector<Command> list = {
        { { "status" },
          "says whether all is well, and if not, why",
          get("/v1/status", print_status) },
        { { "nodes" },
          "lists the nodes",
          get("/v1/nodes",
              columns({ "node", "region", "failure_domain", "peer_address", "live",
                        "shards" })) },
        { { "boxes" },
          "lists the boxes",
          get("/v1/boxes",
              columns({ "id", "region", "domain", "rack", "state", "drained", "owner",
                        "work_address" })) },
        { { "tasks", "[JOB]" },
          "lists batch tasks",
          [](const Session& session, const Words& words) {
              std::map<std::string, std::string> query;
              if (words.size() > 1)
                  query["job"] = words[1];
              return show(session, call(session, "GET", "/v1/tasks", "", query),
                          columns({ "task", "state", "attempt", "box" }));
          } },
        { { "list", "KIND" },
          "lists services, quotas, policies or drains",
          get("/v1/config", print_list) },
        { { "get", "KIND", "NAME" },
          "shows one row with its revision",
          [](const Session& session, const Words& words) {
              return show(session,
                          call(session, "GET", "/v1/config/" + words[1] + "/" + words[2]),
                          print_value);
          } },
        { { "diff", "KIND", "NAME", "FILE" }, "shows what apply would change", diff },
        { { "apply", "KIND", "NAME", "FILE" },
          "creates or changes a row; FILE is JSON, for policies a Lua program",
          put_file },
        { { "delete", "KIND", "NAME" },
          "removes a row",
          [](const Session& session, const Words& words) {
              return remove(session, words[1], words[2]);
          } },
        { { "submit", "FILE" }, "submits a batch job (JSON)", submit },
        { { "jobs" },
          "lists batch jobs",
          get("/v1/jobs",
              columns({ "name", "team", "tasks", "priority", "duration_ms" })) },
        { { "job", "NAME" }, "shows how far a job is", get("/v1/jobs", print_value) },
        { { "cancel", "NAME" },
          "cancels a job",
          [](const Session& session, const Words& words) {
              return show(session, call(session, "DELETE", "/v1/jobs/" + words[1]),
                          print_value);
          } },
        { { "why", "TASK" },
          "says why a task waits, or where it is",
          get("/v1/why", print_why) },
        { { "drain", "BOX" },
          "takes a box out of use",
          [](const Session& session, const Words& words) {
              return put(session, "drains", words[1], "{}");
          } },
        { { "undrain", "BOX" },
          "takes a box back into use",
          [](const Session& session, const Words& words) {
              return remove(session, "drains", words[1]);
          } },
        { { "audit" },
          "lists who changed what, when, and from which value",
          get("/v1/audit",
              columns({ "revision", "wall_ms", "who", "node", "what", "key", "before",
                        "after" })) },
        { { "policy-test", "FILE" },
          "tries a policy program against the live cell",
          test_policy },
    };
    return list;
}

bool takes(const Command& command, size_t count)
{
    const auto optional = std::count_if(command.words.begin(), command.words.end(),
                                        [](const std::string& w) { return w[0] == '['; });
    const size_t least = command.words.size() - static_cast<size_t>(optional);
    return count >= least && count <= command.words.size();
}

std::string usage_of(const Command& command)
{
    std::string text;
    for (const std::string& word : command.words)
        text += (text.empty() ? "" : " ") + word;
    return text;
}

} // namespace

std::string command_help()
{
    std::ostringstream text;
    text << "Commands:\n";
    for (const Command& command : commands())
        text << "  " << std::left << std::setw(28) << usage_of(command) << command.help
             << "\n";
    text
        << "KIND is services, quotas, policies or drains.\n"
        << "Exit codes: 0 done, 1 not well or different, 2 usage, 3 not found, 4 conflict, "
           "5 unauthorized,\n6 unavailable (nothing was changed), 7 outcome unknown, "
           "8 bad input, 9 other.\n";
    return text.str();
}

int run(const Session& session, const std::vector<std::string>& words)
{
    for (const Command& command : commands()) {
        if (command.words.front() != words.front())
            continue;
        if (takes(command, words.size()))
            return command.run(session, words);
        std::cerr << "usage: pathportctl ... " << usage_of(command) << std::endl;
        return exit_usage;
    }
    std::cerr << "pathportctl: there is no command '" << words.front() << "'\n"
              << command_help();
    return exit_usage;
}

} // namespace ctl
