// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "job_record.h"

#include "retry_delay.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace pathport::jobs {

namespace {

using Json = nlohmann::json;

/// How long a worker stays a second choice for a step after a task failed to start or made
/// no progress there. It exceeds the 5.5 s for which a worker with unexpected failures is
/// avoided and then tried again, so that other steps make that trial.
constexpr Millis second_choice_time { 10000 };
/// Maximum number of such workers per step, about 2.5 kB. One that is dropped early costs
/// one more start there.
constexpr size_t max_deprioritized_workers = 32;

/// Sizes of parts of the progress row in bytes, upper bounds for usual names of workers.
constexpr size_t finished_step_bytes = 20;
constexpr size_t open_step_bytes = 50; ///< Without its tasks.
constexpr int placed_worker_bytes = 30; ///< For each worker of a run.
constexpr int task_index_bytes = 6;
constexpr size_t failed_run_bytes = 20;
constexpr size_t checkpoint_bytes = 12; ///< Beside its text.
constexpr size_t crashed_run_bytes = 90;

/// Greater than any queue's priority.
constexpr int beyond_share_rank = 1000;

const char* const state_key = "state";
const char* const workspace_key = "workspace";
const char* const next_key = "next";
const char* const finished_key = "finished";
const char* const begun_key = "begun";
const char* const steps_key = "steps";

constexpr int tasks_per_digit = 4;

/// Encodes the completed tasks as a bit set, one hexadecimal digit per four tasks. Zeros at
/// the end are omitted: tasks are started in order, so most of a wide step's are there.
std::string done_digits(const Step& step)
{
    if (step.tasks.done() == 0)
        return {};
    const char* const digits = "0123456789abcdef";
    std::string text;
    for (int i = 0; i < step.tasks.size(); i += tasks_per_digit) {
        int nibble = 0;
        for (int bit = 0; bit < tasks_per_digit && i + bit < step.tasks.size(); ++bit)
            nibble |= step.tasks.is_done(i + bit) ? 1 << bit : 0;
        text += digits[nibble];
    }
    text.erase(text.find_last_not_of('0') + 1);
    return text;
}

void apply_done_digits(const std::string& text, Step& step)
{
    const int encoded = static_cast<int>(text.size()) * tasks_per_digit;
    for (int i = 0; i < std::min(encoded, step.tasks.size()); ++i) {
        const char digit = text[static_cast<size_t>(i / tasks_per_digit)];
        const int nibble = digit >= 'a' ? digit - 'a' + 10 : digit - '0';
        if ((nibble >> (i % tasks_per_digit) & 1) != 0)
            step.tasks.set_done(i);
    }
}

/// Reservations about a recorded loss, as bits. Earlier versions take any of them for weak
/// evidence.
constexpr int weak_evidence = 1;
constexpr int unconfirmed_run = 2;

int encode_reservations(const CrashedRun& lost)
{
    return (lost.is_weak ? weak_evidence : 0) | (lost.is_confirmed ? 0 : unconfirmed_run);
}

/// Encodes, by task: the runs during which workers were lost, each as [run, run time,
/// reservations, worker, upper limit of the run time]; how often the task was tried since;
/// how many more losses may not be recorded; its longest run in milliseconds, 0 if that is
/// not known; whether the run that is placed is known to exist.
Json encode_crashes(const Step& step)
{
    Json crashes = Json::array();
    for (const auto& [i, task] : step.tasks.records()) {
        if (task.phase == TaskPhase::done || task.crashes.empty())
            continue;
        Json runs = Json::array();
        for (const CrashedRun& lost : task.crashes.runs())
            runs.push_back({ lost.run, lost.runtime_ms, encode_reservations(lost),
                             lost.worker, lost.max_runtime_ms });
        crashes.push_back(
            { i, std::move(runs), task.crashes.tries(), task.crashes.unrecorded_losses(),
              task.crashes.survived().count(), task.evidence.is_confirmed() ? 1 : 0 });
    }
    return crashes;
}

void apply_crashes(const Json& json, Step& step)
{
    for (const Json& entry : json) {
        std::vector<CrashedRun> runs;
        constexpr size_t worker_index = 3;
        constexpr size_t max_runtime_index = 4;
        constexpr size_t unrecorded_index = 3;
        constexpr size_t survived_index = 4;
        constexpr size_t confirmed_index = 5;
        for (const Json& run : entry.at(1)) {
            const int reservations = run.at(2).get<int>();
            runs.push_back(
                { run.at(0).get<int64_t>(), run.at(1).get<int64_t>(),
                  (reservations & weak_evidence) != 0,
                  run.size() > worker_index ? run.at(worker_index).get<std::string>()
                                            : std::string(),
                  run.size() > max_runtime_index ? run.at(max_runtime_index).get<int64_t>()
                                                 : 0,
                  (reservations & unconfirmed_run) == 0 });
        }
        Task& task = step.tasks.edit(entry.at(0).get<int>());
        if (task.phase == TaskPhase::in_doubt && entry.size() > confirmed_index)
            task.evidence
                = RunEvidence::unobserved(entry.at(confirmed_index).get<int>() != 0);
        task.crashes = CrashRecord(
            std::move(runs), entry.at(2).get<int>(),
            entry.size() > unrecorded_index ? entry.at(unrecorded_index).get<int>() : 0,
            Millis(entry.size() > survived_index ? entry.at(survived_index).get<int64_t>()
                                                 : 0));
        step.has_crashes = true;
    }
}

size_t done_bytes(int tasks)
{
    return static_cast<size_t>((tasks + tasks_per_digit - 1) / tasks_per_digit);
}

/// Returns what a step that is not finished takes in the row if its waiting tasks are
/// placed, each on a share `spread` of a worker.
size_t max_step_bytes(const StepSpec& spec, int waiting, double spread)
{
    return open_step_bytes + done_bytes(spec.count)
        + static_cast<size_t>(
               std::ceil(waiting * (task_index_bytes + spread * placed_worker_bytes)));
}

size_t max_step_bytes(const Step& step, double spread)
{
    if (step.finished())
        return finished_step_bytes;
    size_t bytes = max_step_bytes(*step.spec, step.count(TaskPhase::waiting), spread);
    const std::string* worker = nullptr;
    for (const auto& [index, task] : step.tasks.records()) {
        bytes += task.failed_runs.size() * failed_run_bytes
            + task.crashes.size() * crashed_run_bytes;
        if (!task.checkpoint.empty())
            bytes += checkpoint_bytes + task.checkpoint.size();
        if (!task.placed())
            continue;
        // Tasks of one worker mostly follow each other.
        const bool same_worker = worker != nullptr && *worker == task.worker;
        bytes += size_t(task_index_bytes + (same_worker ? 0 : placed_worker_bytes));
        worker = &task.worker;
    }
    return bytes;
}

Json encode_step(const Step& step)
{
    Json json = Json::array({ step.repeat, step.index });
    if (step.finished()) {
        json.push_back("all");
        return json;
    }
    json.push_back(done_digits(step));
    Json failures = Json::array();
    // Grouped by run and worker: most tasks of a step share a run, and some share a worker.
    Json runs = Json::object();
    Json checkpoints = Json::array();
    for (const auto& [i, task] : step.tasks.records()) {
        if (task.phase == TaskPhase::done)
            continue;
        if (!task.failed_runs.empty())
            failures.push_back({ i, task.failed_runs });
        if (task.placed())
            runs[std::to_string(task.run)][task.worker].push_back(i);
        if (!task.checkpoint.empty())
            checkpoints.push_back({ i, task.checkpoint });
    }
    json.push_back(std::move(failures));
    json.push_back(std::move(runs));
    json.push_back(std::move(checkpoints));
    json.push_back(step.gang_failed_runs);
    // Omitted for the many steps that have none, to keep the row small.
    if (step.has_crashes || step.unrecorded_losses > 0)
        json.push_back(encode_crashes(step));
    if (step.unrecorded_losses > 0)
        json.push_back(step.unrecorded_losses);
    return json;
}

void apply_step(const Json& json, Step& step)
{
    if (json.at(2) == "all") {
        step.tasks.set_all_done();
        return;
    }
    apply_done_digits(json.at(2).get<std::string>(), step);
    for (const Json& failure : json.at(3)) {
        Task& task = step.tasks.edit(failure.at(0).get<int>());
        task.failed_runs = failure.at(1).get<std::vector<int64_t>>();
        task.run = *std::max_element(task.failed_runs.begin(), task.failed_runs.end());
        task.ended_run = task.run;
    }
    for (const auto& [run, workers] : json.at(4).items()) {
        for (const auto& [worker, indices] : workers.items()) {
            for (const Json& index : indices) {
                Task& task = step.tasks.edit(index.get<int>());
                task.phase = TaskPhase::in_doubt;
                task.worker = worker;
                task.run = std::stoll(run);
                task.evidence = RunEvidence::unobserved(false);
            }
        }
    }
    for (const Json& checkpoint : json.at(5)) {
        step.tasks.edit(checkpoint.at(0).get<int>()).checkpoint
            = checkpoint.at(1).get<std::string>();
    }
    step.gang_failed_runs = json.at(6).get<std::vector<int64_t>>();
    constexpr size_t crashes_index = 7;
    if (json.size() > crashes_index)
        apply_crashes(json.at(crashes_index), step);
    constexpr size_t unrecorded_losses_index = 8;
    if (json.size() > unrecorded_losses_index)
        step.unrecorded_losses = json.at(unrecorded_losses_index).get<int>();
}

} // namespace

std::string Step::name(const std::string& job) const
{
    return job + "." + std::to_string(repeat) + "." + std::to_string(index);
}

void StepAdvice::verdicts_changed()
{
    allowed.clear();
    refused_until = Millis(std::numeric_limits<int64_t>::max());
    for (const auto& [worker, permission] : workers) {
        if (permission.allowed)
            allowed.push_back(worker);
        else
            refused_until = std::min(refused_until, permission.ask_again_at);
    }
}

void StepAdvice::forget(WorkerNumber worker)
{
    workers.erase(worker);
    verdicts_changed();
}

int Step::count(TaskPhase phase) const
{
    if (phase == TaskPhase::done)
        return tasks.done();
    const auto& records = tasks.records();
    const auto recorded
        = std::count_if(records.begin(), records.end(),
                        [phase](const auto& entry) { return entry.second.phase == phase; });
    const int untouched = phase == TaskPhase::waiting ? tasks.untouched() : 0;
    return untouched + static_cast<int>(recorded);
}

bool Step::has(TaskPhase phase) const
{
    if (phase == TaskPhase::done)
        return tasks.done() > 0;
    if (phase == TaskPhase::waiting && tasks.untouched() > 0)
        return true;
    return tasks.any_record([phase](const Task& task) { return task.phase == phase; });
}

bool Step::is_suspect() const
{
    if (!has_crashes || has_survivor || tasks.done() > 0)
        return false;
    return tasks.any_record(
        [](const Task& task) { return task.crashes.suspicion() != Suspicion::none; });
}

Suspicion Step::suspicion(const Task& task, bool step_suspect)
{
    return std::max(task.crashes.suspicion(),
                    step_suspect ? Suspicion::suspected : Suspicion::none);
}

bool Step::may_start_unrecorded() const
{
    return tasks.untouched() > 0 || tasks.any_record([](const Task& task) {
        return task.phase == TaskPhase::waiting && task.crashes.empty();
    });
}

int Step::unsuspected_waiting() const
{
    if (is_suspect())
        return 0;
    const auto& records = tasks.records();
    const auto recorded
        = std::count_if(records.begin(), records.end(), [](const auto& entry) {
              return entry.second.phase == TaskPhase::waiting
                  && entry.second.crashes.suspicion() == Suspicion::none;
          });
    return tasks.untouched() + static_cast<int>(recorded);
}

std::vector<int> Step::waiting_tasks(bool with_suspects, int limit) const
{
    std::vector<int> numbers;
    const bool all_suspected = is_suspect();
    const auto wanted = static_cast<size_t>(std::max(0, limit));
    for (int i = tasks.next_open(0); i < tasks.size() && numbers.size() < wanted;
         i = tasks.next_open(i + 1)) {
        const Task& task = tasks.at(i);
        if (task.phase == TaskPhase::waiting
            && (with_suspects || suspicion(task, all_suspected) == Suspicion::none))
            numbers.push_back(i);
    }
    return numbers;
}

int Step::placed() const
{
    const auto& records = tasks.records();
    return static_cast<int>(
        std::count_if(records.begin(), records.end(),
                      [](const auto& entry) { return entry.second.placed(); }));
}

void Step::deprioritize(const std::string& worker, Millis now)
{
    for (auto entry = deprioritized_workers.begin(); entry != deprioritized_workers.end();)
        entry
            = entry->second <= now ? deprioritized_workers.erase(entry) : std::next(entry);
    deprioritized_workers[worker] = now + second_choice_time;
    if (deprioritized_workers.size() <= max_deprioritized_workers)
        return;
    deprioritized_workers.erase(std::min_element(
        deprioritized_workers.begin(), deprioritized_workers.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; }));
}

bool Repeat::finished() const
{
    return std::all_of(steps.begin(), steps.end(),
                       [](const Step& step) { return step.finished(); });
}

JobRecord::JobRecord(AcceptedJob accepted, Millis seen)
    : m_accepted(std::move(accepted))
    , m_seen(seen)
{
}

int JobRecord::rank() const
{
    return m_accepted.queue.priority + (beyond_share ? beyond_share_rank : 0);
}

JobState JobRecord::state() const
{
    if (recorded_state)
        return *recorded_state;
    if (m_finished_repeats == m_accepted.spec.instances())
        return JobState::completed;
    if (retries_exhausted)
        return JobState::failed;
    if (canceled)
        return JobState::canceled;
    return begun ? JobState::active : JobState::pending;
}

JobState JobRecord::visible_state() const
{
    const JobState current = state();
    // A cancellation is recorded in its own row before this record learns of it.
    if (!is_final(current) || recorded_state || current == JobState::canceled)
        return current;
    return JobState::active;
}

std::optional<int64_t> JobRecord::next_due() const
{
    const JobSpec& spec = m_accepted.spec;
    if (closed() || m_next_repeat >= spec.instances())
        return std::nullopt;
    if (!spec.has_schedule())
        return 0;
    return spec.due_ms(m_next_repeat);
}

Repeat JobRecord::make_repeat(int number) const
{
    Repeat repeat;
    repeat.number = number;
    for (size_t i = 0; i < m_accepted.spec.steps.size(); ++i) {
        Step step;
        step.repeat = number;
        step.index = static_cast<int>(i);
        step.spec = &m_accepted.spec.steps[i];
        step.tasks = TaskTable(step.spec->count);
        repeat.steps.push_back(std::move(step));
    }
    return repeat;
}

Repeat& JobRecord::begin_repeat()
{
    const int number = m_next_repeat++;
    return m_repeats.emplace(number, make_repeat(number)).first->second;
}

void JobRecord::finish_repeat(int number)
{
    if (m_repeats.erase(number) > 0)
        ++m_finished_repeats;
}

Step* JobRecord::step(int repeat, int index)
{
    const auto found = m_repeats.find(repeat);
    if (found == m_repeats.end() || index < 0
        || index >= static_cast<int>(found->second.steps.size()))
        return nullptr;
    return &found->second.steps[static_cast<size_t>(index)];
}

Task* JobRecord::task(const TaskId& id)
{
    Step* owner = step(id.repeat, id.step);
    if (owner == nullptr || id.index < 0 || id.index >= owner->tasks.size())
        return nullptr;
    if (Task* const record = owner->tasks.find(id.index))
        return record;
    if (!owner->tasks.is_done(id.index))
        return &owner->tasks.edit(id.index);
    m_done_task = owner->tasks.at(id.index);
    return &m_done_task;
}

bool JobRecord::dependencies_met(const Step& step) const
{
    const auto found = m_repeats.find(step.repeat);
    if (found == m_repeats.end())
        return false;
    const auto& steps = found->second.steps;
    return std::all_of(step.spec->after.begin(), step.spec->after.end(), [&](int earlier) {
        return steps[static_cast<size_t>(earlier)].finished();
    });
}

int64_t JobRecord::longest_chain_ms()
{
    if (m_longest_chain_ms >= 0)
        return m_longest_chain_ms;
    m_longest_chain_ms = jobs::longest_chain_ms(m_accepted.spec);
    return m_longest_chain_ms;
}

int64_t JobRecord::remaining_chain_ms() const
{
    if (m_repeats.empty())
        return 0;
    std::vector<int64_t> ends;
    int64_t longest = 0;
    for (const Step& step : m_repeats.begin()->second.steps) {
        int64_t begin = 0;
        for (const int earlier : step.spec->after)
            begin = std::max(begin, ends[static_cast<size_t>(earlier)]);
        ends.push_back(begin + (step.finished() ? 0 : step.spec->expected_ms));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

int64_t JobRecord::remaining_ms(const Resources& capacity) const
{
    const int64_t chain = remaining_chain_ms();
    if (m_repeats.empty())
        return chain;
    double cpu_ms = 0;
    double memory_ms = 0;
    double accelerator_ms = 0;
    for (const Step& step : m_repeats.begin()->second.steps) {
        const StepSpec& spec = *step.spec;
        if (spec.long_running)
            continue;
        const double work_ms
            = double(step.tasks.size() - step.tasks.done()) * double(spec.expected_ms);
        cpu_ms += spec.best_effort_cpu ? 0 : work_ms * double(spec.need.cpu_millis);
        memory_ms += work_ms * double(spec.need.memory_mb);
        accelerator_ms += work_ms * double(spec.need.accelerators);
    }
    const auto spread_over = [](double work_ms, int64_t amount) {
        return amount <= 0 ? int64_t(0) : static_cast<int64_t>(work_ms / double(amount));
    };
    return std::max({ chain, spread_over(cpu_ms, capacity.cpu_millis),
                      spread_over(memory_ms, capacity.memory_mb),
                      spread_over(accelerator_ms, capacity.accelerators) });
}

size_t JobRecord::max_progress_bytes(double spread) const
{
    size_t bytes = 0;
    for (const auto& [number, repeat] : m_repeats) {
        for (const Step& step : repeat.steps)
            bytes += max_step_bytes(step, spread);
    }
    return bytes;
}

size_t JobRecord::max_repeat_bytes(double spread) const
{
    size_t bytes = 0;
    for (const StepSpec& spec : m_accepted.spec.steps)
        bytes += max_step_bytes(spec, spec.count, spread);
    return bytes;
}

size_t JobRecord::memory_bytes() const
{
    size_t bytes = sizeof(JobRecord) + m_accepted.spec.payload.capacity()
        + m_accepted.spec.steps.capacity() * sizeof(StepSpec);
    for (const auto& [number, repeat] : m_repeats) {
        for (const Step& step : repeat.steps)
            bytes += sizeof(Step) + step.tasks.memory_bytes()
                + step.advice.workers.size() * sizeof(std::pair<WorkerNumber, Permission>);
    }
    return bytes;
}

size_t JobRecord::task_records() const
{
    size_t records = 0;
    for (const auto& [number, repeat] : m_repeats) {
        for (const Step& step : repeat.steps)
            records += step.tasks.records().size();
    }
    return records;
}

std::string JobRecord::encode_progress() const
{
    Json json = Json::object();
    const JobState current = state();
    if (is_final(current))
        return encode_final_progress(current, m_accepted.workspace);
    json[next_key] = m_next_repeat;
    json[finished_key] = m_finished_repeats;
    json[begun_key] = begun;
    Json steps = Json::array();
    for (const auto& [number, repeat] : m_repeats) {
        for (const Step& step : repeat.steps)
            steps.push_back(encode_step(step));
    }
    json[steps_key] = std::move(steps);
    return json.dump();
}

bool JobRecord::apply_progress(const std::string& text)
{
    try {
        const Json json = Json::parse(text);
        if (json.contains(state_key)) {
            recorded_state = static_cast<JobState>(json.at(state_key).get<int>());
            return true;
        }
        m_next_repeat = json.at(next_key).get<int>();
        m_finished_repeats = json.at(finished_key).get<int>();
        begun = json.at(begun_key).get<bool>();
        for (const Json& entry : json.at(steps_key)) {
            const int number = entry.at(0).get<int>();
            if (m_repeats.count(number) == 0)
                m_repeats.emplace(number, make_repeat(number));
            Step* target = step(number, entry.at(1).get<int>());
            if (target == nullptr)
                return false;
            apply_step(entry, *target);
        }
        return true;
    } catch (const std::exception&) {
        return false;
    }
}

std::string encode_final_progress(JobState state, const std::string& workspace)
{
    Json json = Json::object();
    json[state_key] = static_cast<int>(state);
    if (!workspace.empty())
        json[workspace_key] = workspace;
    return json.dump();
}

std::string workspace_of_final_progress(const std::string& text)
{
    try {
        return Json::parse(text).value(workspace_key, std::string());
    } catch (const std::exception&) {
        return {};
    }
}

std::optional<JobState> final_state_of_progress(const std::string& text)
{
    try {
        const Json json = Json::parse(text);
        if (!json.contains(state_key))
            return std::nullopt;
        return static_cast<JobState>(json.at(state_key).get<int>());
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace pathport::jobs
