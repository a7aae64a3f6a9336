// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/emulator/workers.h>

#include <algorithm>

namespace pathport::emulator {

namespace {

using jobs::EndKind;
using jobs::OrderAnswer;
using jobs::OrderStatus;

constexpr Millis tick_interval { 10 };
constexpr Millis stop_duration { 300 };
constexpr Millis gang_timeout { 3000 };
/// Run time of tasks on a worker that fails all of them.
constexpr Millis failure_time { 200 };
/// Workers are added to these failure domains in turn.
constexpr int domain_count = 3;
/// A start later than this after an acknowledged cancellation is a violation.
constexpr Millis cancel_limit { 3000 };

} // namespace

Workers::Workers(World& world)
    : m_world(world)
{
    tick();
}

std::string Workers::add(const std::string& service, Resources capacity)
{
    std::string id = "w" + std::to_string(++m_last_id);
    Incarnation incarnation;
    incarnation.info.id = id;
    incarnation.started_at = m_world.now();
    incarnation.info.service = service;
    incarnation.info.address = "10.0.0." + std::to_string(m_last_id) + ":80";
    incarnation.info.capacity = capacity;
    incarnation.info.zone = "zone" + std::to_string(m_last_id % domain_count);
    incarnation.info.labels = { "a", "r1-" + std::to_string(m_last_id % 3) };
    m_incarnations.emplace(id, std::move(incarnation));
    return id;
}

void Workers::crash(const std::string& id, Millis pause)
{
    Incarnation* incarnation = find(id);
    if (incarnation == nullptr || !incarnation->up)
        return;
    incarnation->up = false;
    lose_runs(*incarnation);
    const jobs::WorkerInfo info = incarnation->info;
    m_world.after(pause, [this, info] {
        m_incarnations[add(info.service, info.capacity)].info.address = info.address;
    });
}

void Workers::partition(const std::string& id, Millis span, const std::string& node,
                        PartitionMode mode)
{
    Incarnation* incarnation = find(id);
    if (incarnation == nullptr)
        return;
    const Partition partition { m_world.now() + span, mode };
    if (node.empty())
        incarnation->partition = partition;
    else
        incarnation->node_partitions[node] = partition;
}

void Workers::cut_off(const std::string& id, Millis span, PartitionMode mode)
{
    partition(id, span, "", mode);
    // The last heartbeat may precede the partition.
    const Millis lapses_after = list_retention
        - Millis(static_cast<int64_t>(
            m_world.random_below(static_cast<uint64_t>(heartbeat_interval.count()))));
    if (span <= lapses_after)
        return;
    const Millis unlisted_for = span - lapses_after
        + Millis(static_cast<int64_t>(
            m_world.random_below(static_cast<uint64_t>(heartbeat_interval.count()))));
    m_world.after(
        lapses_after, [this, id, unlisted_for, started_at = find(id)->started_at] {
            Incarnation& incarnation = *find(id);
            if (incarnation.started_at == started_at)
                incarnation.faults[WorkerFault::unlisted] = m_world.now() + unlisted_for;
        });
}

void Workers::drain(const std::string& id, Millis span, std::optional<Millis> announced)
{
    Incarnation* incarnation = find(id);
    if (incarnation == nullptr)
        return;
    incarnation->info.draining = true;
    incarnation->info.remaining_ms = announced.value_or(span).count();
    incarnation->draining_since = m_world.now();
    schedule_end(*incarnation, span);
}

// Ends this incarnation, unless it has been replaced by then.
void Workers::schedule_end(const Incarnation& incarnation, Millis span)
{
    m_world.after(span,
                  [this, id = incarnation.info.id, started_at = incarnation.started_at] {
                      Incarnation* leaving = find(id);
                      if (leaving->started_at != started_at)
                          return;
                      leaving->up = false;
                      leaving->running.clear();
                  });
}

void Workers::define_step(const std::string& job, int step, const StepModel& step_model)
{
    m_steps[{ job, step }] = step_model;
}

void Workers::note_canceled(const std::string& job)
{
    m_canceled.emplace(job, m_world.now());
}

const StepModel& Workers::model_of(const jobs::TaskId& task) const
{
    static const StepModel none;
    const auto found = m_steps.find({ task.job, task.step });
    return found == m_steps.end() ? none : found->second;
}

std::vector<jobs::WorkerInfo> Workers::list() const
{
    std::vector<jobs::WorkerInfo> listed;
    for (const auto& [id, incarnation] : m_incarnations) {
        const auto entry = list_entry(incarnation);
        if (entry && incarnation.listed && !has_fault(incarnation, WorkerFault::unlisted))
            listed.push_back(*entry);
    }
    return listed;
}

std::vector<std::string> Workers::ids() const
{
    std::vector<std::string> found;
    for (const auto& [id, incarnation] : m_incarnations) {
        if (incarnation.up)
            found.push_back(id);
    }
    return found;
}

bool Workers::all_done(const std::string& job, int step, int count, bool gang,
                       int repeat) const
{
    int done = 0;
    for (int i = 0; i < count; ++i) {
        const auto found
            = m_history.find(jobs::TaskId { job, repeat, step, i }.to_string());
        done += found != m_history.end() && found->second.done ? 1 : 0;
    }
    return gang ? done > 0 : done == count;
}

int64_t Workers::highest_fence(const std::string& id)
{
    const Incarnation* const incarnation = find(jobs::WorkerIncarnation::parse(id).name);
    return incarnation == nullptr ? 0 : incarnation->fence;
}

Workers::Incarnation* Workers::find(const std::string& id)
{
    const auto found = m_incarnations.find(id);
    return found == m_incarnations.end() ? nullptr : &found->second;
}

const Partition* Workers::partition_of(const Incarnation& incarnation,
                                       const std::string& node) const
{
    const Millis now = m_world.now();
    if (now < incarnation.partition.until)
        return &incarnation.partition;
    const auto partition = incarnation.node_partitions.find(node);
    const bool partitioned
        = partition != incarnation.node_partitions.end() && now < partition->second.until;
    return partitioned ? &partition->second : nullptr;
}

void Workers::note_violation(const std::string& text)
{
    m_violations.push_back(std::to_string(m_world.now().count()) + ": " + text);
}

Resources Workers::used(const Incarnation& incarnation) const
{
    Resources sum;
    for (const auto& [name, run] : incarnation.running)
        sum = sum + model_of(run.task).need;
    return sum;
}

std::string Workers::running_names(const Incarnation& incarnation)
{
    std::string names;
    for (const auto& [name, run] : incarnation.running)
        names.append(" ").append(name).append("/").append(std::to_string(run.run));
    return names;
}

void Workers::extend_lease(Incarnation& incarnation, int64_t until)
{
    const int64_t max_until = clock_of(incarnation) + max_lease.count();
    incarnation.lease_end = std::max(incarnation.lease_end, std::min(until, max_until));
}

OrderAnswer Workers::start_now(const std::string& id, const jobs::StartOrder& order)
{
    OrderAnswer answer;
    Incarnation* incarnation = find(id);
    if (incarnation == nullptr || !incarnation->up) {
        answer.status = incarnation == nullptr ? OrderStatus::wrong_incarnation
                                               : status_when_down(*incarnation);
        return answer;
    }
    answer.clock_ms = clock_of(*incarnation);
    const std::string name = order.task.to_string();
    const auto running = incarnation->running.find(name);
    answer.status = OrderStatus::accepted;
    if (order.fence < incarnation->fence) {
        answer.status = OrderStatus::stale_fence;
        return answer;
    }
    incarnation->fence = order.fence;
    if (running != incarnation->running.end() && running->second.run == order.run)
        return answer;
    if (order.lease_until <= answer.clock_ms) {
        answer.status = OrderStatus::too_late;
        return answer;
    }
    if (!is_ticket_valid(*incarnation, order)) {
        answer.status = OrderStatus::bad_ticket;
        return answer;
    }
    extend_lease(*incarnation, order.lease_until);
    if (incarnation->last_run[name] >= order.run
        || (running != incarnation->running.end() && running->second.run > order.run)) {
        answer.status = OrderStatus::old_run;
        return answer;
    }
    check_start(*incarnation, order);
    if (on_start)
        on_start(order.task);
    check_placement(*incarnation, order);
    ++m_starts;
    Run run;
    run.task = order.task;
    run.run = order.run;
    run.waiting_since = m_world.now();
    run.begun = m_world.now();
    run.checkpointed_at = m_world.now();
    const StepModel& model = model_of(order.task);
    if (model.saves_progress && !order.checkpoint.empty()) {
        run.checkpoint = order.checkpoint;
        run.restored_ms = std::stoll(order.checkpoint);
    }
    run.working = !model.gang;
    run.ends_at = m_world.now() + Millis(model.run_ms - run.restored_ms);
    incarnation->running[name] = run;
    if (model.gang)
        begin_gang(order.task, order.run);
    if (!within_capacity(*incarnation))
        note_violation("capacity of " + id + " exceeded by " + name
                       + "; running:" + running_names(*incarnation));
    check_bound(order.task);
    return answer;
}

void Workers::check_start(const Incarnation& incarnation, const jobs::StartOrder& order)
{
    const std::string name = order.task.to_string();
    const StepModel& model = model_of(order.task);
    if (model.payload != order.payload)
        note_violation("wrong payload for " + name);
    if (m_refused.count(order.task.job) > 0)
        note_violation("started although refused: " + name);
    const auto canceled = m_canceled.find(order.task.job);
    if (canceled != m_canceled.end() && m_world.now() - canceled->second > cancel_limit)
        note_violation("started although cancelled: " + name);
    const bool announced_end
        = incarnation.draining_since > Millis(0) && !m_executing_delayed;
    if (announced_end && m_world.now() - incarnation.draining_since > drain_deadline)
        note_violation("started on " + incarnation.info.id
                       + " after it announced its shutdown: " + name);
    check_domain(incarnation, name);
    if (m_history[name].done_noted)
        note_violation("started again after it was done: " + name);
    check_crashes(order.task);
    TaskHistory& failures = failure_history(order.task);
    int failed = failures.failed_noted;
    for (auto& [id, other] : m_incarnations) {
        for (const jobs::EndedTask& end : other.ended) {
            const bool counts = other.up && end.number > other.expired_through;
            if (counts && end.kind == EndKind::failed
                && &failure_history(end.task) == &failures)
                ++failed;
            if (end.task == order.task)
                other.superseded_ends.insert(end.number);
        }
    }
    if (!model.lasting && failures.failed_noted >= model.max_failures)
        note_violation("started again after its last failure: " + name);
    if (!model.lasting && failed >= model.max_failures)
        failures.started_after_limit = true;
    for (const auto& [id, other] : m_incarnations) {
        if (!other.up || &other == &incarnation || other.running.count(name) == 0)
            continue;
        std::string text = "two runs at once: ";
        text.append(name).append(" on ").append(id).append(" and ").append(
            incarnation.info.id);
        note_violation(text);
    }
    for (const int earlier : model.after) {
        if (!step_done(order.task, earlier))
            note_violation("started before step " + std::to_string(earlier) + ": " + name);
    }
}

// Returns whether a step of the task's repeat is done. A step that is done stays so, which
// is remembered, since wide ones are asked about at each start of the next.
bool Workers::step_done(const jobs::TaskId& task, int step)
{
    const std::tuple<std::string, int, int> key { task.job, task.repeat, step };
    if (m_done_steps.count(key) > 0)
        return true;
    const StepModel& model = m_steps[{ task.job, step }];
    if (!all_done(task.job, step, model.count, model.gang, task.repeat))
        return false;
    m_done_steps.insert(key);
    return true;
}

// A gang fails as a whole, so its failures are counted on its first member.
Workers::TaskHistory& Workers::failure_history(const jobs::TaskId& task)
{
    jobs::TaskId counted = task;
    if (model_of(task).gang)
        counted.index = 0;
    return m_history[counted.to_string()];
}

void Workers::note_acked_ends(Incarnation& incarnation)
{
    for (const jobs::EndedTask& end : incarnation.ended) {
        if (end.number > incarnation.acked_end || end.number <= incarnation.expired_through)
            continue;
        const std::string name = end.task.to_string();
        if (end.kind == EndKind::done && !model_of(end.task).lasting) {
            m_history[name].done_noted = true;
            if (incarnation.superseded_ends.count(end.number) > 0)
                note_violation("started again after a run that was later noted as done: "
                               + name);
        }
        if (end.kind == EndKind::failed) {
            TaskHistory& failures = failure_history(end.task);
            ++failures.failed_noted;
            if (failures.started_after_limit
                && failures.failed_noted >= model_of(end.task).max_failures)
                note_violation("started again after a last failure that was later noted: "
                               + name);
        }
    }
}

// The members of a gang start to work once all of them are present.
void Workers::begin_gang(const jobs::TaskId& task, int64_t run)
{
    std::vector<Run*> members;
    for (auto& [id, incarnation] : m_incarnations) {
        for (auto& [name, other] : incarnation.running) {
            if (incarnation.up && other.task.job == task.job && other.task.step == task.step
                && other.run == run)
                members.push_back(&other);
        }
    }
    if (members.size() < size_t(model_of(task).count))
        return;
    for (Run* member : members) {
        member->working = true;
        member->waiting_since = m_world.now();
        const StepModel& model = model_of(task);
        member->ends_at
            = m_world.now() + Millis(std::max(model.run_ms, model.slowest_member_ms));
    }
}

OrderAnswer Workers::stop_now(const std::string& id, const jobs::RunOrder& order)
{
    OrderAnswer answer;
    Incarnation* incarnation = find(id);
    if (incarnation == nullptr || !incarnation->up) {
        answer.status = incarnation == nullptr ? OrderStatus::wrong_incarnation
                                               : status_when_down(*incarnation);
        return answer;
    }
    answer.clock_ms = clock_of(*incarnation);
    answer.status = OrderStatus::accepted;
    if (order.fence < incarnation->fence) {
        answer.status = OrderStatus::stale_fence;
        return answer;
    }
    incarnation->fence = order.fence;
    const std::string name = order.task.to_string();
    const auto running = incarnation->running.find(name);
    if (running != incarnation->running.end() && running->second.run == order.run) {
        if (running->second.stop_at == Millis(0))
            running->second.stop_at = m_world.now() + stop_duration;
    } else {
        incarnation->last_run[name] = std::max(incarnation->last_run[name], order.run);
    }
    return answer;
}

OrderStatus Workers::poll_now(const std::string& id, const jobs::PollRequest& order,
                              jobs::PollReport& report)
{
    Incarnation* incarnation = find(id);
    if (incarnation == nullptr || !incarnation->up)
        return incarnation == nullptr ? OrderStatus::wrong_incarnation
                                      : status_when_down(*incarnation);
    if (order.fence < incarnation->fence)
        return OrderStatus::stale_fence;
    incarnation->fence = order.fence;
    if (order.lease_until > 0)
        extend_lease(*incarnation, order.lease_until);
    incarnation->acked_end = std::max(incarnation->acked_end, order.acked_through);
    note_acked_ends(*incarnation);
    incarnation->ended.erase(std::remove_if(incarnation->ended.begin(),
                                            incarnation->ended.end(),
                                            [&](const jobs::EndedTask& end) {
                                                return end.number <= incarnation->acked_end;
                                            }),
                             incarnation->ended.end());
    report.clock_ms = clock_of(*incarnation);
    const size_t listed = std::min(incarnation->ended.size(), jobs::max_listed_ends);
    report.ended.assign(incarnation->ended.begin(),
                        incarnation->ended.begin() + std::ptrdiff_t(listed));
    for (const auto& [name, run] : incarnation->running) {
        jobs::RunningTask running;
        running.task = run.task;
        running.run = run.run;
        const int64_t whole = std::max<int64_t>(1, model_of(run.task).run_ms);
        const int64_t worked = std::min(whole, worked_ms(run));
        running.percent = run.working ? static_cast<int>(worked * 100 / whole) : 0;
        running.checkpoint = run.checkpoint;
        report.running.push_back(running);
    }
    return OrderStatus::accepted;
}

void Workers::end(Incarnation& incarnation, const std::string& name, EndKind kind)
{
    const Run run = incarnation.running[name];
    incarnation.running.erase(name);
    incarnation.last_run[name] = std::max(incarnation.last_run[name], run.run);
    if (kind == EndKind::failed)
        ++failure_history(run.task).failed;
    if (kind == EndKind::done && !model_of(run.task).lasting)
        m_history[name].done = true;
    jobs::EndedTask ended;
    ended.number = ++incarnation.last_number;
    ended.task = run.task;
    ended.run = run.run;
    ended.kind = kind;
    ended.checkpoint = run.checkpoint;
    incarnation.ended.push_back(ended);
}

void Workers::update(Incarnation& incarnation)
{
    const Millis now = m_world.now();
    const bool expired = incarnation.lease_end <= clock_of(incarnation);
    if (expired)
        incarnation.expired_through = incarnation.last_number;
    apply_faults(incarnation);
    std::vector<std::pair<std::string, EndKind>> ends;
    for (const auto& [name, run] : incarnation.running) {
        const StepModel& model = model_of(run.task);
        if (expired)
            ends.emplace_back(name, EndKind::lapsed);
        else if (run.stop_at != Millis(0) && now >= run.stop_at)
            ends.emplace_back(name, EndKind::stopped);
        else if (!run.working && now - run.waiting_since >= gang_timeout)
            ends.emplace_back(name, EndKind::gang_not_formed);
        else if (run.working && has_fault(incarnation, WorkerFault::fails_tasks)
                 && now - run.begun >= failure_time)
            ends.emplace_back(name, EndKind::failed);
        else if (run.working && now >= run.ends_at && !model.lasting)
            ends.emplace_back(name,
                              failure_history(run.task).failed < model.failing_runs
                                  ? EndKind::failed
                                  : EndKind::done);
    }
    for (const auto& [name, kind] : ends) {
        const auto running_entry = incarnation.running.find(name);
        if (running_entry == incarnation.running.end())
            continue; // Already ended with another member of its gang.
        const Run run = running_entry->second;
        end(incarnation, name, kind);
        break_gang(run, kind == EndKind::done ? EndKind::done : EndKind::gang_broken);
    }
}

// The end of one gang member ends all the others.
void Workers::break_gang(const Run& run, EndKind kind)
{
    if (!model_of(run.task).gang)
        return;
    for (auto& [id, other] : m_incarnations) {
        std::vector<std::string> members;
        for (const auto& [member, another] : other.running) {
            if (another.task.job == run.task.job && another.task.step == run.task.step
                && another.run == run.run)
                members.push_back(member);
        }
        for (const std::string& member : members)
            end(other, member, kind);
    }
}

void Workers::tick()
{
    m_last_tick = m_world.now();
    apply_task_crashes();
    for (auto& [id, incarnation] : m_incarnations) {
        if (incarnation.up)
            update(incarnation);
    }
    m_world.after(tick_interval, [this] { tick(); });
}

} // namespace pathport::emulator
