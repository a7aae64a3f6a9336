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
constexpr Millis kill_time { 300 };
constexpr Millis gang_time { 3000 };
/// How long tasks run on a worker that fails all of them.
constexpr Millis fault_time { 200 };
constexpr Millis for_good { 1000000000 };
/// A start so long after a cancellation was acknowledged is a breach.
constexpr Millis cancel_time { 3000 };

} // namespace

Workers::Workers(World& world)
    : m_world(world)
{
    tick();
}

std::string Workers::add(const std::string& service, Resources capacity)
{
    std::string id = "w" + std::to_string(++m_last_id);
    Life life;
    life.info.id = id;
    life.born = m_world.now();
    life.info.service = service;
    life.info.address = "10.0.0." + std::to_string(m_last_id) + ":80";
    life.info.capacity = capacity;
    life.info.labels = { "a", "r1-" + std::to_string(m_last_id % 3) };
    m_lives.emplace(id, std::move(life));
    return id;
}

void Workers::crash(const std::string& id, Millis pause)
{
    Life* life = find(id);
    if (life == nullptr || !life->up)
        return;
    life->up = false;
    lose_runs(*life);
    const jobs::WorkerInfo info = life->info;
    m_world.after(pause, [this, info] {
        m_lives[add(info.service, info.capacity)].info.address = info.address;
    });
}

void Workers::partition(const std::string& id, Millis span, const std::string& node)
{
    Life* life = find(id);
    if (life == nullptr)
        return;
    if (node.empty())
        life->cut_until = m_world.now() + span;
    else
        life->cut_nodes[node] = m_world.now() + span;
}

void Workers::partition_for_good(const std::string& id)
{
    partition(id, for_good);
    m_world.after(list_retention, [this, id, born = find(id)->born] {
        if (find(id)->born == born)
            find(id)->listed = false;
    });
}

void Workers::drain(const std::string& id, Millis span)
{
    Life* life = find(id);
    if (life == nullptr)
        return;
    life->info.draining = true;
    life->info.remaining_ms = span.count();
    life->drains_since = m_world.now();
    end_later(*life, span);
}

// Ends this life, unless another one has come in its place by then.
void Workers::end_later(const Life& life, Millis span)
{
    m_world.after(span, [this, id = life.info.id, born = life.born] {
        Life* leaving = find(id);
        if (leaving->born != born)
            return;
        leaving->up = false;
        leaving->running.clear();
    });
}

void Workers::define_step(const std::string& job, int step, const StepModel& facts)
{
    m_facts[{ job, step }] = facts;
}

void Workers::note_canceled(const std::string& job)
{
    m_canceled.emplace(job, m_world.now());
}

const StepModel& Workers::facts(const jobs::TaskId& task) const
{
    static const StepModel none;
    const auto found = m_facts.find({ task.job, task.step });
    return found == m_facts.end() ? none : found->second;
}

std::vector<jobs::WorkerInfo> Workers::list() const
{
    std::vector<jobs::WorkerInfo> listed;
    for (const auto& [id, life] : m_lives) {
        const auto entry = entry_of(life);
        if (entry && life.listed && !has(life, WorkerFault::unlisted))
            listed.push_back(*entry);
    }
    return listed;
}

std::vector<std::string> Workers::ids() const
{
    std::vector<std::string> found;
    for (const auto& [id, life] : m_lives) {
        if (life.up)
            found.push_back(id);
    }
    return found;
}

bool Workers::all_done(const std::string& job, int step, int count, bool gang) const
{
    int done = 0;
    for (int i = 0; i < count; ++i) {
        const auto found = m_history.find(jobs::TaskId { job, 0, step, i }.to_string());
        done += found != m_history.end() && found->second.done ? 1 : 0;
    }
    return gang ? done > 0 : done == count;
}

Workers::Life* Workers::find(const std::string& id)
{
    const auto found = m_lives.find(id);
    return found == m_lives.end() ? nullptr : &found->second;
}

bool Workers::reachable(const Life& life, const std::string& node) const
{
    const auto cut = life.cut_nodes.find(node);
    return m_world.now() >= life.cut_until
        && (cut == life.cut_nodes.end() || m_world.now() >= cut->second);
}

void Workers::note_violation(const std::string& text)
{
    m_breaches.push_back(std::to_string(m_world.now().count()) + ": " + text);
}

Resources Workers::used(const Life& life) const
{
    Resources sum;
    for (const auto& [name, run] : life.running)
        sum = sum + facts(run.task).need;
    return sum;
}

std::string Workers::names_on(const Life& life)
{
    std::string names;
    for (const auto& [name, run] : life.running)
        names.append(" ").append(name).append("/").append(std::to_string(run.run));
    return names;
}

void Workers::extend(Life& life, int64_t until)
{
    const int64_t most = clock_of(life) + max_hold.count();
    life.hold_until = std::max(life.hold_until, std::min(until, most));
}

OrderAnswer Workers::start_now(const std::string& id, const jobs::StartOrder& order)
{
    OrderAnswer answer;
    Life* life = find(id);
    if (life == nullptr || !life->up) {
        answer.status
            = life == nullptr ? OrderStatus::wrong_incarnation : status_when_down(*life);
        return answer;
    }
    answer.clock_ms = clock_of(*life);
    const std::string name = order.task.to_string();
    const auto running = life->running.find(name);
    answer.status = OrderStatus::accepted;
    if (order.fence < life->fence) {
        answer.status = OrderStatus::stale_fence;
        return answer;
    }
    life->fence = order.fence;
    if (running != life->running.end() && running->second.run == order.run)
        return answer;
    if (order.lease_until <= answer.clock_ms) {
        answer.status = OrderStatus::too_late;
        return answer;
    }
    if (!ticket_good(*life, order)) {
        answer.status = OrderStatus::bad_ticket;
        return answer;
    }
    extend(*life, order.lease_until);
    if (life->last_run[name] >= order.run
        || (running != life->running.end() && running->second.run > order.run)) {
        answer.status = OrderStatus::old_run;
        return answer;
    }
    check_start(*life, order);
    check_place(*life, order);
    ++m_starts;
    Run run;
    run.task = order.task;
    run.run = order.run;
    run.waits_since = m_world.now();
    run.begun = m_world.now();
    run.saved_at = m_world.now();
    const StepModel& known = facts(order.task);
    if (known.saves_progress && !order.checkpoint.empty()) {
        run.checkpoint = order.checkpoint;
        run.restored_ms = std::stoll(order.checkpoint);
    }
    run.working = !known.gang;
    run.ends_at = m_world.now() + Millis(known.run_ms - run.restored_ms);
    life->running[name] = run;
    if (known.gang)
        begin_gang(order.task, order.run);
    if (!fits(*life))
        note_violation("over the room of " + id + " by " + name + ", which runs"
                       + names_on(*life));
    check_bound(order.task);
    return answer;
}

void Workers::check_start(const Life& life, const jobs::StartOrder& order)
{
    const std::string name = order.task.to_string();
    const StepModel& known = facts(order.task);
    if (known.payload != order.payload)
        note_violation("another payload for " + name);
    if (m_refused.count(order.task.job) > 0)
        note_violation("started though refused: " + name);
    const auto canceled = m_canceled.find(order.task.job);
    if (canceled != m_canceled.end() && m_world.now() - canceled->second > cancel_time)
        note_violation("started though cancelled: " + name);
    const bool drains = life.drains_since > Millis(0) && !m_carries_out_late;
    if (drains && m_world.now() - life.drains_since > drain_deadline)
        note_violation("started on " + life.info.id
                       + " after it had announced its end: " + name);
    if (m_history[name].done_noted)
        note_violation("started again after it was done: " + name);
    check_crashes(order.task);
    TaskHistory& failures = failures_of(order.task);
    int failed = failures.failed_noted;
    for (auto& [id, other] : m_lives) {
        for (const jobs::EndedTask& end : other.ended) {
            const bool counts = other.up && end.number > other.lapsed_through;
            if (counts && end.kind == EndKind::failed
                && &failures_of(end.task) == &failures)
                ++failed;
            if (end.task == order.task)
                other.followed.insert(end.number);
        }
    }
    if (!known.lasting && failures.failed_noted >= known.max_failures)
        note_violation("started again after its last failure: " + name);
    if (!known.lasting && failed >= known.max_failures)
        failures.started_when_spent = true;
    for (const auto& [id, other] : m_lives) {
        if (!other.up || &other == &life || other.running.count(name) == 0)
            continue;
        std::string text = "two runs at once: ";
        text.append(name).append(" on ").append(id).append(" and ").append(life.info.id);
        note_violation(text);
    }
    for (const int earlier : known.after) {
        const StepModel& before = m_facts[{ order.task.job, earlier }];
        if (!all_done(order.task.job, earlier, before.count, before.gang))
            note_violation("started before step " + std::to_string(earlier) + ": " + name);
    }
}

// A gang fails as a whole; its first member keeps the count.
Workers::TaskHistory& Workers::failures_of(const jobs::TaskId& task)
{
    jobs::TaskId counted = task;
    if (facts(task).gang)
        counted.index = 0;
    return m_history[counted.to_string()];
}

void Workers::note_ends(Life& life)
{
    for (const jobs::EndedTask& end : life.ended) {
        if (end.number > life.seen || end.number <= life.lapsed_through)
            continue;
        const std::string name = end.task.to_string();
        if (end.kind == EndKind::done && !facts(end.task).lasting) {
            m_history[name].done_noted = true;
            if (life.followed.count(end.number) > 0)
                note_violation("started again after an end that was noted later: " + name);
        }
        if (end.kind == EndKind::failed) {
            TaskHistory& failures = failures_of(end.task);
            ++failures.failed_noted;
            if (failures.started_when_spent
                && failures.failed_noted >= facts(end.task).max_failures)
                note_violation("started again after a last failure that was noted later: "
                               + name);
        }
    }
}

// The members of a gang work once all of them are there.
void Workers::begin_gang(const jobs::TaskId& task, int64_t run)
{
    std::vector<Run*> members;
    for (auto& [id, life] : m_lives) {
        for (auto& [name, other] : life.running) {
            if (life.up && other.task.job == task.job && other.task.step == task.step
                && other.run == run)
                members.push_back(&other);
        }
    }
    if (members.size() < size_t(facts(task).count))
        return;
    for (Run* member : members) {
        member->working = true;
        member->waits_since = m_world.now();
        const StepModel& known = facts(task);
        member->ends_at
            = m_world.now() + Millis(std::max(known.run_ms, known.slowest_member_ms));
    }
}

OrderAnswer Workers::stop_now(const std::string& id, const jobs::RunOrder& order)
{
    OrderAnswer answer;
    Life* life = find(id);
    if (life == nullptr || !life->up) {
        answer.status
            = life == nullptr ? OrderStatus::wrong_incarnation : status_when_down(*life);
        return answer;
    }
    answer.clock_ms = clock_of(*life);
    answer.status = OrderStatus::accepted;
    if (order.fence < life->fence) {
        answer.status = OrderStatus::stale_fence;
        return answer;
    }
    life->fence = order.fence;
    const std::string name = order.task.to_string();
    const auto running = life->running.find(name);
    if (running != life->running.end() && running->second.run == order.run) {
        if (running->second.stop_at == Millis(0))
            running->second.stop_at = m_world.now() + kill_time;
    } else {
        life->last_run[name] = std::max(life->last_run[name], order.run);
    }
    return answer;
}

OrderStatus Workers::look_now(const std::string& id, const jobs::PollRequest& order,
                              jobs::PollReport& report)
{
    Life* life = find(id);
    if (life == nullptr || !life->up)
        return life == nullptr ? OrderStatus::wrong_incarnation : status_when_down(*life);
    if (order.fence < life->fence)
        return OrderStatus::stale_fence;
    life->fence = order.fence;
    if (order.lease_until > 0)
        extend(*life, order.lease_until);
    life->seen = std::max(life->seen, order.acked_through);
    note_ends(*life);
    life->ended.erase(std::remove_if(life->ended.begin(), life->ended.end(),
                                     [&](const jobs::EndedTask& end) {
                                         return end.number <= life->seen;
                                     }),
                      life->ended.end());
    report.clock_ms = clock_of(*life);
    const size_t listed = std::min(life->ended.size(), jobs::max_listed_ends);
    report.ended.assign(life->ended.begin(), life->ended.begin() + std::ptrdiff_t(listed));
    for (const auto& [name, run] : life->running) {
        jobs::RunningTask running;
        running.task = run.task;
        running.run = run.run;
        const int64_t whole = std::max<int64_t>(1, facts(run.task).run_ms);
        const int64_t worked = std::min(whole, worked_ms(run));
        running.percent = run.working ? static_cast<int>(worked * 100 / whole) : 0;
        running.checkpoint = run.checkpoint;
        report.running.push_back(running);
    }
    return OrderStatus::accepted;
}

void Workers::end(Life& life, const std::string& name, EndKind kind)
{
    const Run run = life.running[name];
    life.running.erase(name);
    life.last_run[name] = std::max(life.last_run[name], run.run);
    if (kind == EndKind::failed)
        ++failures_of(run.task).failed;
    if (kind == EndKind::done && !facts(run.task).lasting)
        m_history[name].done = true;
    jobs::EndedTask ended;
    ended.number = ++life.last_number;
    ended.task = run.task;
    ended.run = run.run;
    ended.kind = kind;
    ended.checkpoint = run.checkpoint;
    life.ended.push_back(ended);
}

void Workers::step(Life& life)
{
    const Millis now = m_world.now();
    const bool lapsed = life.hold_until <= clock_of(life);
    if (lapsed)
        life.lapsed_through = life.last_number;
    suffer(life);
    std::vector<std::pair<std::string, EndKind>> ends;
    for (const auto& [name, run] : life.running) {
        const StepModel& known = facts(run.task);
        if (lapsed)
            ends.emplace_back(name, EndKind::lapsed);
        else if (run.stop_at != Millis(0) && now >= run.stop_at)
            ends.emplace_back(name, EndKind::stopped);
        else if (!run.working && now - run.waits_since >= gang_time)
            ends.emplace_back(name, EndKind::gang_not_formed);
        else if (run.working && has(life, WorkerFault::fails_tasks)
                 && now - run.begun >= fault_time)
            ends.emplace_back(name, EndKind::failed);
        else if (run.working && now >= run.ends_at && !known.lasting)
            ends.emplace_back(name,
                              failures_of(run.task).failed < known.failing_runs
                                  ? EndKind::failed
                                  : EndKind::done);
    }
    for (const auto& [name, kind] : ends) {
        const auto still = life.running.find(name);
        if (still == life.running.end())
            continue; // It ended with another member of its gang.
        const Run run = still->second;
        end(life, name, kind);
        break_gang(run, kind == EndKind::done ? EndKind::done : EndKind::gang_broken);
    }
}

// One end of a gang's member ends the others.
void Workers::break_gang(const Run& run, EndKind kind)
{
    if (!facts(run.task).gang)
        return;
    for (auto& [id, other] : m_lives) {
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
    m_ticked = m_world.now();
    crash_under_tasks();
    for (auto& [id, life] : m_lives) {
        if (life.up)
            step(life);
    }
    m_world.after(tick_interval, [this] { tick(); });
}

} // namespace pathport::emulator
