// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Encoding of accepted jobs in the store: JSON without default values.

#include <pathport/jobs/job_model.h>

#include <nlohmann/json.hpp>

namespace pathport::jobs {

namespace {

using Json = nlohmann::json;

const char* const workspace_key = "workspace";

template <typename Value>
void put(Json& json, const char* key, const Value& value, const Value& default_value)
{
    if (!(value == default_value))
        json[key] = value;
}

Json to_json(const StepSpec& step)
{
    const StepSpec defaults;
    Json json;
    json["count"] = step.count;
    put(json, "cpu", step.need.cpu_millis, defaults.need.cpu_millis);
    put(json, "memory", step.need.memory_mb, defaults.need.memory_mb);
    put(json, "accelerators", step.need.accelerators, defaults.need.accelerators);
    put(json, "expected_ms", step.expected_ms, defaults.expected_ms);
    put(json, "after", step.after, defaults.after);
    put(json, "saves", step.saves_progress, defaults.saves_progress);
    put(json, "gang", step.gang, defaults.gang);
    put(json, "same_rack", step.same_rack, defaults.same_rack);
    put(json, "speculative", step.speculative, defaults.speculative);
    put(json, "lasting", step.long_running, defaults.long_running);
    put(json, "fills", step.best_effort_cpu, defaults.best_effort_cpu);
    put(json, "label", step.label, defaults.label);
    put(json, "near", step.preferred_rack, defaults.preferred_rack);
    put(json, "per_worker", step.max_per_worker, defaults.max_per_worker);
    put(json, "image", step.image, defaults.image);
    put(json, "target_ms", step.latency_target_ms, defaults.latency_target_ms);
    put(json, "away", step.max_unavailable, defaults.max_unavailable);
    return json;
}

StepSpec step_from(const Json& json)
{
    StepSpec step;
    step.count = json.at("count").get<int>();
    step.need.cpu_millis = json.value("cpu", int64_t(0));
    step.need.memory_mb = json.value("memory", int64_t(0));
    step.need.accelerators = json.value("accelerators", int64_t(0));
    step.expected_ms = json.value("expected_ms", int64_t(0));
    step.after = json.value("after", std::vector<int>());
    step.saves_progress = json.value("saves", false);
    step.gang = json.value("gang", false);
    step.same_rack = json.value("same_rack", false);
    step.speculative = json.value("speculative", false);
    step.long_running = json.value("lasting", false);
    step.best_effort_cpu = json.value("fills", false);
    step.label = json.value("label", std::string());
    step.preferred_rack = json.value("near", std::string());
    step.max_per_worker = json.value("per_worker", 0);
    step.image = json.value("image", std::string());
    step.latency_target_ms = json.value("target_ms", int64_t(0));
    step.max_unavailable = json.value("away", 0);
    return step;
}

Json to_json(const Queue& queue)
{
    Json json { { "name", queue.name },         { "service", queue.service },
                { "priority", queue.priority }, { "failures", queue.max_failures },
                { "stretch", queue.stretch },   { "slo_ms", queue.slo_ms } };
    if (queue.advice) {
        json["advice"] = { queue.advice->decision_ms, queue.advice->per_worker_ms,
                           queue.advice->valid_ms };
    }
    return json;
}

// The host and the path are not stored, since they may change while the job is open.
Queue queue_from(const Json& json)
{
    Queue queue;
    queue.name = json.at("name").get<std::string>();
    queue.service = json.at("service").get<std::string>();
    queue.priority = json.at("priority").get<int>();
    queue.max_failures = json.at("failures").get<int>();
    queue.stretch = json.at("stretch").get<double>();
    queue.slo_ms = json.at("slo_ms").get<int64_t>();
    if (json.contains("advice")) {
        const Json& advice = json.at("advice");
        queue.advice = AdviceRule { advice.at(0).get<double>(), advice.at(1).get<double>(),
                                    advice.at(2).get<int64_t>() };
    }
    return queue;
}

} // namespace

std::string encode(const AcceptedJob& job)
{
    Json json;
    json["queue"] = to_json(job.queue);
    json["accepted_ms"] = job.accepted_ms;
    put(json, workspace_key, job.workspace, std::string());
    json["payload"] = job.spec.payload;
    Json steps = Json::array();
    for (const StepSpec& step : job.spec.steps)
        steps.push_back(to_json(step));
    json["steps"] = std::move(steps);
    if (job.spec.has_schedule())
        json["times"] = { job.spec.repeats, job.spec.first_due_ms, job.spec.interval_ms };
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string workspace_of_job_row(const std::string& text)
{
    try {
        return Json::parse(text).value(workspace_key, std::string());
    } catch (const Json::exception&) {
        return {};
    }
}

std::optional<AcceptedJob> decode_accepted_job(const std::string& id,
                                               const std::string& text, Failure& reason)
{
    try {
        const Json json = Json::parse(text);
        AcceptedJob job;
        job.id = id;
        job.queue = queue_from(json.at("queue"));
        job.accepted_ms = json.at("accepted_ms").get<int64_t>();
        job.workspace = json.value(workspace_key, std::string());
        job.spec.payload = json.at("payload").get<std::string>();
        for (const Json& step : json.at("steps"))
            job.spec.steps.push_back(step_from(step));
        if (json.contains("times")) {
            const Json& times = json.at("times");
            job.spec.repeats = times.at(0).get<int>();
            job.spec.first_due_ms = times.at(1).get<int64_t>();
            job.spec.interval_ms = times.at(2).get<int64_t>();
        }
        if (!is_valid(job.spec, reason))
            return std::nullopt;
        return job;
    } catch (const Json::exception& error) {
        reason = Failure(FailureKind::bad_input, error.what());
        return std::nullopt;
    }
}

} // namespace pathport::jobs
