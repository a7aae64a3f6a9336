// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/jobs/job_model.h>

#include <pathport/settings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <tuple>

namespace pathport::jobs {

bool StepSpec::operator==(const StepSpec& other) const
{
    return std::tie(count, need, expected_ms, after, saves_progress, gang, same_rack,
                    speculative, long_running, best_effort_cpu, label, preferred_rack,
                    max_per_worker, image, latency_target_ms, max_unavailable)
        == std::tie(other.count, other.need, other.expected_ms, other.after,
                    other.saves_progress, other.gang, other.same_rack, other.speculative,
                    other.long_running, other.best_effort_cpu, other.label,
                    other.preferred_rack, other.max_per_worker, other.image,
                    other.latency_target_ms, other.max_unavailable);
}

bool JobSpec::operator==(const JobSpec& other) const
{
    return std::tie(payload, steps, repeats, first_due_ms, interval_ms)
        == std::tie(other.payload, other.steps, other.repeats, other.first_due_ms,
                    other.interval_ms);
}

bool Queue::operator==(const Queue& other) const
{
    return std::tie(name, host, path_prefix, service, priority, max_failures, stretch,
                    slo_ms, timeout_ms, is_public, advice)
        == std::tie(other.name, other.host, other.path_prefix, other.service,
                    other.priority, other.max_failures, other.stretch, other.slo_ms,
                    other.timeout_ms, other.is_public, other.advice);
}

bool AcceptedJob::operator==(const AcceptedJob& other) const
{
    return std::tie(id, queue, workspace, spec, accepted_ms)
        == std::tie(other.id, other.queue, other.workspace, other.spec, other.accepted_ms);
}

namespace {

/// Separates the worker's name from the start time in the id of an incarnation.
constexpr char incarnation_separator = '~';
constexpr int start_time_base = 36;

bool fail(Failure& reason, const std::string& detail)
{
    reason = Failure(FailureKind::bad_input, detail);
    return false;
}

bool is_valid_step(const StepSpec& step, int index, Failure& reason)
{
    const std::string name = "step " + std::to_string(index);
    if (step.count < 1 || step.count > max_tasks_per_step)
        return fail(reason,
                    name + ": count must be 1 to " + std::to_string(max_tasks_per_step));
    if (step.need.cpu_millis < 0 || step.need.memory_mb < 0 || step.need.accelerators < 0)
        return fail(reason, name + ": resources must not be negative");
    if (step.max_per_worker < 0 || step.max_unavailable < 0 || step.latency_target_ms < 0)
        return fail(reason, name + ": limits must not be negative");
    // Only earlier steps are allowed, so there can be no cycle.
    for (const int earlier : step.after) {
        if (earlier < 0 || earlier >= index)
            return fail(reason,
                        name + ": `after` names " + std::to_string(earlier)
                            + ", which is not an earlier step");
    }
    return true;
}

} // namespace

bool is_valid(const JobSpec& spec, Failure& reason)
{
    if (spec.payload.size() > max_payload_bytes)
        return fail(reason,
                    "the payload is over " + std::to_string(max_payload_bytes) + " bytes");
    if (spec.steps.empty() || spec.steps.size() > size_t(max_steps))
        return fail(reason, "a job has 1 to " + std::to_string(max_steps) + " steps");
    if (spec.repeats < 0 || spec.repeats > max_repeats)
        return fail(reason,
                    "a job repeats at most " + std::to_string(max_repeats) + " times");
    if (spec.repeats > 1 && spec.interval_ms < 0)
        return fail(reason, "the interval must not be negative");
    for (size_t i = 0; i < spec.steps.size(); ++i) {
        if (!is_valid_step(spec.steps[i], static_cast<int>(i), reason))
            return false;
    }
    return true;
}

const Queue* Configuration::find(const std::string& host, const std::string& path) const
{
    const std::string name = host.substr(0, host.find(':'));
    const Queue* best = nullptr;
    for (const Queue& queue : queues) {
        const bool matches = queue.host == name
            && path.compare(0, queue.path_prefix.size(), queue.path_prefix) == 0;
        if (matches
            && (best == nullptr || queue.path_prefix.size() > best->path_prefix.size()))
            best = &queue;
    }
    return best;
}

bool Configuration::names_service(const std::string& service) const
{
    return std::find(services.begin(), services.end(), service) != services.end()
        || std::any_of(queues.begin(), queues.end(),
                       [&](const Queue& queue) { return queue.service == service; });
}

const Queue* Configuration::by_name(const std::string& name) const
{
    const auto found = std::find_if(queues.begin(), queues.end(),
                                    [&](const Queue& queue) { return queue.name == name; });
    return found == queues.end() ? nullptr : &*found;
}

const char* to_string(JobState state)
{
    switch (state) {
    case JobState::pending:
        return "pending";
    case JobState::active:
        return "active";
    case JobState::completed:
        return "completed";
    case JobState::failed:
        return "failed";
    case JobState::canceled:
        break;
    }
    return "canceled";
}

bool is_final(JobState state)
{
    return state != JobState::pending && state != JobState::active;
}

const char* to_string(EndKind kind)
{
    switch (kind) {
    case EndKind::done:
        return "done";
    case EndKind::failed:
        return "failed";
    case EndKind::stopped:
        return "stopped";
    case EndKind::lapsed:
        return "lapsed";
    case EndKind::gang_broken:
        return "broken";
    case EndKind::gang_not_formed:
        break;
    }
    return "alone";
}

std::string TaskId::to_string() const
{
    return job + "." + std::to_string(repeat) + "." + std::to_string(step) + "."
        + std::to_string(index);
}

std::optional<TaskId> TaskId::parse(const std::string& text)
{
    const size_t last = text.rfind('.');
    const size_t middle = last == std::string::npos || last == 0
        ? std::string::npos
        : text.rfind('.', last - 1);
    const size_t first = middle == std::string::npos || middle == 0
        ? std::string::npos
        : text.rfind('.', middle - 1);
    if (first == std::string::npos)
        return std::nullopt;
    const std::string_view view(text);
    const auto repeat = parse_integer(view.substr(first + 1, middle - first - 1));
    const auto step = parse_integer(view.substr(middle + 1, last - middle - 1));
    const auto index = parse_integer(view.substr(last + 1));
    const auto in_range = [](const std::optional<int64_t>& number, int64_t limit) {
        return number && 0 <= *number && *number < limit;
    };
    if (!in_range(repeat, max_repeats) || !in_range(step, max_steps)
        || !in_range(index, max_tasks_per_step))
        return std::nullopt;
    return TaskId { text.substr(0, first), static_cast<int>(*repeat),
                    static_cast<int>(*step), static_cast<int>(*index) };
}

bool TaskId::operator==(const TaskId& other) const
{
    return std::tie(repeat, step, index, job)
        == std::tie(other.repeat, other.step, other.index, other.job);
}

std::string WorkerIncarnation::id() const
{
    const bool name_is_enough
        = started_ms == 0 && name.find(incarnation_separator) == std::string::npos;
    if (name_is_enough)
        return name;
    std::array<char, 16> digits {};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), started_ms,
                                   start_time_base);
    return name + incarnation_separator + std::string(digits.data(), end.ptr);
}

WorkerIncarnation WorkerIncarnation::parse(const std::string& id)
{
    const size_t separator = id.rfind(incarnation_separator);
    if (separator == std::string::npos)
        return { id, 0 };
    WorkerIncarnation incarnation { id.substr(0, separator), 0 };
    const char* const last = id.data() + id.size();
    const auto read = std::from_chars(id.data() + separator + 1, last,
                                      incarnation.started_ms, start_time_base);
    if (read.ec != std::errc() || read.ptr != last || incarnation.started_ms < 0)
        return { id, 0 };
    return incarnation;
}

std::string WorkerInfo::rack() const
{
    // The label of a rack is "r<number>-<number>".
    for (const std::string& label : labels) {
        if (label.size() > 2 && label[0] == 'r' && label.find('-') != std::string::npos)
            return label;
    }
    return {};
}

bool WorkerInfo::has_label(const std::string& label) const
{
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

bool WorkerInfo::operator==(const WorkerInfo& other) const
{
    return std::tie(id, service, address, zone, capacity, labels, draining, remaining_ms)
        == std::tie(other.id, other.service, other.address, other.zone, other.capacity,
                    other.labels, other.draining, other.remaining_ms);
}

} // namespace pathport::jobs
