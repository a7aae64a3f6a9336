// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "keeper_state.h"

#include <pathport/codec.h>
#include <pathport/log.h>

#include <algorithm>

namespace pathport {

namespace {

constexpr char cancel_mark = '!'; ///< First character of the inbox row of a cancellation.
constexpr size_t max_placements_per_tick = 512;
constexpr Millis making_room_limit { 5000 };

// Tasks that are alike get the same answer from the placer.
bool alike(const PolicyTask& a, const PolicyTask& b)
{
    return a.team == b.team && a.resources == b.resources && a.priority == b.priority
        && a.stoppable == b.stoppable && a.name == b.name;
}

std::string name_in(const std::string& key)
{
    return key.substr(key.rfind('/') + 1);
}

} // namespace

PolicyTask to_policy_task(const TaskRecord& record)
{
    return { record.job,      record.team,      false,
             record.priority, record.stoppable, record.resources };
}

void ShardKeeper::Impl::load(const std::string& shard, const std::vector<TableRow>& tasks,
                             const std::vector<TableRow>& inbox)
{
    const auto found = m_shards.find(shard);
    for (const TableRow& row : tasks) {
        Failure reason;
        const auto record = decode_task(row.value, reason);
        if (!record) {
            log_event(LogLevel::error, "task_row_unreadable",
                      { { "key", row.key }, { "reason", reason.detail() } });
            continue;
        }
        if (is_outdated(record->id, row.version))
            continue;
        forget_older(record->id);
        Entry entry;
        entry.id = record->id;
        entry.row_version = row.version;
        entry.box = record->box;
        entry.shard = shard;
        entry.task = to_policy_task(*record);
        entry.record = *record;
        entry.attempt = record->attempt;
        entry.phase = Phase::starting;
        add_entry(std::move(entry), true);
    }
    found->second.loaded = true;
    arrive(shard, inbox);
    for (auto& item : m_boxes) {
        if (item.second.info.shard() != shard)
            continue;
        // A report from before the rows were known could not be judged.
        item.second.fenced = false;
        item.second.in_exchange = false;
        item.second.taken_sequence = m_sequence;
        item.second.next_due = m_clock.now();
        update_usable(item.second);
    }
    changed();
}

void ShardKeeper::Impl::arrive(const std::string& shard, const std::vector<TableRow>& inbox)
{
    for (const TableRow& row : inbox) {
        const std::string name = name_in(row.key);
        if (!name.empty() && name.front() == cancel_mark) {
            m_shards.at(shard).cancels.insert(name.substr(1));
            cancel(name.substr(1));
            continue;
        }
        Failure reason;
        const auto record = decode_task(row.value, reason);
        if (record) {
            add_pending(shard, *record, row.version);
        } else {
            log_event(LogLevel::error, "task_row_unreadable",
                      { { "key", row.key }, { "reason", reason.detail() } });
        }
    }
}

void ShardKeeper::Impl::add_pending(const std::string& shard, const TaskRecord& record,
                                    int64_t row_version)
{
    if (is_outdated(record.id, row_version))
        return;
    forget_older(record.id);
    Pending pending;
    pending.row_version = row_version;
    pending.record = record;
    pending.shard = shard;
    pending.rank = m_policy->rank(to_policy_task(record));
    pending.arrived = m_clock.now();
    pending.reason = Failure(FailureKind::no_capacity, "it has not been tried yet");
    m_pending.emplace(record.id, std::move(pending));
}

void ShardKeeper::Impl::place_pending()
{
    std::vector<Pending*> order;
    for (auto& item : m_pending) {
        Pending& pending = item.second;
        const auto shard = m_shards.find(pending.shard);
        const bool ready = shard != m_shards.end() && shard->second.loaded;
        if (ready && !pending.moving && pending.tried_at != m_generation
            && m_ghosts.count(item.first) == 0)
            order.push_back(&pending);
    }
    std::sort(order.begin(), order.end(), [](const Pending* a, const Pending* b) {
        if (a->rank != b->rank)
            return a->rank > b->rank;
        return a->record.submitted_ms != b->record.submitted_ms
            ? a->record.submitted_ms < b->record.submitted_ms
            : a->record.id < b->record.id;
    });
    const int64_t generation = m_generation;
    size_t placed = 0;
    const Pending* last_refused = nullptr;
    std::vector<std::string> done;
    for (Pending* pending : order) {
        if (placed >= max_placements_per_tick)
            break;
        if (last_refused != nullptr
            && alike(to_policy_task(last_refused->record),
                     to_policy_task(pending->record))) {
            pending->reason = last_refused->reason;
            pending->tried_at = generation;
            continue;
        }
        if (place_task(*pending)) {
            ++placed;
            done.push_back(pending->record.id);
            continue;
        }
        pending->tried_at = generation;
        last_refused = pending;
        if (pending->record.priority >= urgent_priority
            && pending->reason.kind() == FailureKind::no_capacity)
            make_room(*pending);
    }
    for (const std::string& id : done)
        m_pending.erase(id);
}

bool ShardKeeper::Impl::place_task(Pending& pending)
{
    PlaceRequest request;
    request.task = to_policy_task(pending.record);
    std::string detail;
    if (is_over_quota(request.task, detail)) {
        pending.reason = Failure(FailureKind::overloaded, detail);
        return false;
    }
    const auto box = m_placer.choose(request, *m_policy, pending.reason);
    if (!box)
        return false;
    const BoxView& view = m_boxes.at(*box);
    Entry entry;
    entry.id = pending.record.id;
    entry.box = *box;
    entry.shard = view.info.shard();
    entry.task = request.task;
    entry.record = pending.record;
    entry.record.state = TaskState::assigned;
    entry.record.attempt = pending.record.attempt + 1;
    entry.record.box = *box;
    entry.record.box_incarnation = view.incarnation;
    entry.attempt = entry.record.attempt;
    entry.row_version = pending.row_version;
    entry.phase = Phase::committing;
    RowChange change;
    change.type = RowChange::Type::assign;
    change.id = entry.id;
    change.shards = { pending.shard, entry.shard };
    change.inbox_row
        = TableCheck { rows::inbox_key(pending.shard, entry.id), pending.row_version };
    change.record = entry.record;
    change.deletes.push_back(rows::inbox_key(pending.shard, entry.id));
    change.puts.push_back({ rows::task_key(entry.shard, entry.id), encode(entry.record) });
    m_changes.push_back(std::move(change));
    add_entry(std::move(entry), false);
    m_making_room.erase(pending.record.id);
    ++m_counters.placements;
    return true;
}

bool ShardKeeper::Impl::is_over_quota(const PolicyTask& task, std::string& detail) const
{
    const auto limit = m_quotas.find(task.team);
    if (limit == m_quotas.end())
        return false;
    Resources used = task.resources;
    const auto elsewhere = m_used_elsewhere.find(task.team);
    if (elsewhere != m_used_elsewhere.end())
        used = used + elsewhere->second;
    const auto here = m_team_use.find(task.team);
    if (here != m_team_use.end())
        used = used + here->second;
    if (used.fits_in(limit->second))
        return false;
    detail = "the quota of team " + task.team + " is used up";
    return true;
}

// Stops what the policy lets be stopped so that an urgent task fits.
void ShardKeeper::Impl::make_room(const Pending& pending)
{
    const Millis now = m_clock.now();
    const auto since = m_making_room.find(pending.record.id);
    if (since != m_making_room.end() && now - since->second < making_room_limit)
        return;
    std::map<std::string, bool> excluded;
    for (const auto& item : m_entries) {
        if (item.second.phase != Phase::running)
            excluded[item.first] = true;
    }
    PlaceRequest request;
    request.task = to_policy_task(pending.record);
    const auto plan = m_placer.choose_stops(request, *m_policy, excluded);
    if (!plan)
        return;
    m_making_room[pending.record.id] = now;
    for (const std::string& id : plan->tasks) {
        Entry& victim = m_entries.at(id);
        if (victim.task.is_service) {
            set_phase(victim, Phase::draining);
            continue;
        }
        ++m_counters.tasks_stopped;
        victim.after_stop = AfterStop::queue_again;
        set_phase(victim, Phase::checkpointing);
        log_event(
            LogLevel::info, "task_stopped_for_urgent",
            { { "task", id }, { "urgent", pending.record.id }, { "box", victim.box } });
    }
}

// A checkpoint that takes too long is not waited for.
void ShardKeeper::Impl::advance_stops()
{
    const Millis now = m_clock.now();
    for (auto& item : m_entries) {
        Entry& entry = item.second;
        if (entry.phase == Phase::checkpointing
            && now - entry.since >= m_spans.checkpoint_limit)
            set_phase(entry, Phase::stopping);
    }
}

void ShardKeeper::Impl::cancel(const std::string& job)
{
    for (auto item = m_pending.begin(); item != m_pending.end();) {
        Pending& pending = item->second;
        if (pending.record.job != job || pending.moving) {
            ++item;
            continue;
        }
        RowChange change;
        change.type = RowChange::Type::end;
        change.id = item->first;
        change.shards = { pending.shard };
        change.inbox_row = TableCheck { rows::inbox_key(pending.shard, item->first),
                                        pending.row_version };
        change.record = pending.record;
        change.record.state = TaskState::failed;
        change.deletes.push_back(rows::inbox_key(pending.shard, item->first));
        change.puts.push_back({ rows::ended_key(job, item->first), encode(change.record) });
        m_changes.push_back(std::move(change));
        item = m_pending.erase(item);
    }
    for (auto& item : m_entries) {
        Entry& entry = item.second;
        if (entry.task.is_service || entry.record.job != job || entry.phase == Phase::ended)
            continue;
        entry.after_stop = AfterStop::end_as_failed;
        if (entry.phase != Phase::committing)
            set_phase(entry, Phase::stopping);
    }
}

// A cancellation stays in the table until nothing of its job is left here, so that it
// outlives this node.
void ShardKeeper::Impl::check_cancels()
{
    for (auto& shard : m_shards) {
        const std::set<std::string> jobs = shard.second.cancels;
        for (const std::string& job : jobs) {
            cancel(job);
            const bool is_left
                = std::any_of(m_entries.begin(), m_entries.end(), [&](const auto& item) {
                      return !item.second.task.is_service && item.second.record.job == job
                          && item.second.shard == shard.first;
                  });
            if (is_left)
                continue;
            shard.second.cancels.erase(job);
            RowChange change;
            change.type = RowChange::Type::uncancel;
            change.id = job;
            change.shards = { shard.first };
            change.deletes.push_back(rows::inbox_key(shard.first, cancel_mark + job));
            m_changes.push_back(std::move(change));
        }
    }
}

// The box has reported the end: its room is free, and the row follows.
void ShardKeeper::Impl::end_task(Entry& entry, TaskState state)
{
    if (entry.phase == Phase::ended)
        return;
    if (state == TaskState::done)
        ++m_counters.tasks_done;
    else
        ++m_counters.tasks_failed;
    set_phase(entry, Phase::ended);
    free_room(entry);
    entry.record.state = state;
    RowChange change;
    change.type = RowChange::Type::end;
    change.id = entry.id;
    change.shards = { entry.shard };
    change.record = entry.record;
    change.deletes.push_back(rows::task_key(entry.shard, entry.id));
    change.puts.push_back(
        { rows::ended_key(entry.record.job, entry.id), encode(entry.record) });
    m_changes.push_back(std::move(change));
}

// The task surely does not run any more, and will be started again somewhere.
void ShardKeeper::Impl::queue_again(Entry& entry)
{
    if (entry.phase == Phase::ended)
        return;
    set_phase(entry, Phase::ended);
    free_room(entry);
    RowChange change;
    change.type = RowChange::Type::queue_again;
    change.id = entry.id;
    change.shards = { entry.shard };
    change.record = entry.record;
    change.record.state = TaskState::pending;
    change.record.box.clear();
    change.record.box_incarnation.clear();
    change.deletes.push_back(rows::task_key(entry.shard, entry.id));
    change.puts.push_back(
        { rows::inbox_key(entry.shard, entry.id), encode(change.record) });
    m_changes.push_back(std::move(change));
}

} // namespace pathport
