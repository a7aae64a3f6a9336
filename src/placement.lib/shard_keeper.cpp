// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "keeper_state.h"

#include <pathport/codec.h>

#include <algorithm>

namespace pathport {

namespace rows {

std::string shard_key(const std::string& shard)
{
    return "shards/" + shard;
}

std::string inbox_prefix(const std::string& shard)
{
    return "inbox/" + shard + "/";
}

std::string inbox_key(const std::string& shard, const std::string& task)
{
    return inbox_prefix(shard) + task;
}

std::string task_prefix(const std::string& shard)
{
    return "tasks/" + shard + "/";
}

std::string task_key(const std::string& shard, const std::string& task)
{
    return task_prefix(shard) + task;
}

std::string ended_prefix(const std::string& job)
{
    return "ended/" + job + "/";
}

std::string ended_key(const std::string& job, const std::string& task)
{
    return ended_prefix(job) + task;
}

} // namespace rows

const char* to_string(Phase phase)
{
    switch (phase) {
    case Phase::committing:
        return "its assignment is being written";
    case Phase::starting:
        return "it is being started";
    case Phase::running:
        return "it runs";
    case Phase::draining:
        return "it takes no new requests and will be stopped";
    case Phase::checkpointing:
        return "it saves its state and will be stopped";
    case Phase::stopping:
        return "it is being stopped";
    case Phase::ended:
        return "it has ended; the end is being written";
    }
    return "";
}

// Rows of one task are read at different times, and this node may still hold a task of a
// shard that it has lost without having heard of it. Versions are in the order of the
// table's transactions, so the row with the highest one is the task's.
bool ShardKeeper::Impl::is_outdated(const std::string& id, int64_t row_version) const
{
    const auto entry = m_entries.find(id);
    if (entry != m_entries.end() && entry->second.row_version >= row_version)
        return true;
    const auto pending = m_pending.find(id);
    return pending != m_pending.end() && pending->second.row_version >= row_version;
}

void ShardKeeper::Impl::forget_older(const std::string& id)
{
    remove_entry(id, false);
    m_pending.erase(id);
}

Entry& ShardKeeper::Impl::add_entry(Entry entry, bool force)
{
    entry.since = m_clock.now();
    entry.holds_room = true;
    m_placer.allocate(entry.box, entry.id, entry.task, force);
    m_team_use[entry.task.team] = m_team_use[entry.task.team] + entry.task.resources;
    const auto box = m_boxes.find(entry.box);
    if (box != m_boxes.end())
        box->second.entries.insert(entry.id);
    return m_entries.insert_or_assign(entry.id, std::move(entry)).first->second;
}

// The entry that a change was made for; not one that came to hold the task's name later.
Entry* ShardKeeper::Impl::find_entry(const RowChange& change)
{
    const auto found = m_entries.find(change.id);
    if (found == m_entries.end())
        return nullptr;
    Entry& entry = found->second;
    const bool same
        = change.shards.count(entry.shard) > 0 && entry.attempt == change.record.attempt;
    return same ? &entry : nullptr;
}

void ShardKeeper::Impl::remove_entry(const std::string& id, bool forget_on_box)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    free_room(found->second);
    const auto box = m_boxes.find(found->second.box);
    if (box != m_boxes.end()) {
        box->second.entries.erase(id);
        if (forget_on_box)
            box->second.forget.push_back(id);
    }
    m_entries.erase(found);
}

void ShardKeeper::Impl::free_room(Entry& entry)
{
    if (!entry.holds_room)
        return;
    entry.holds_room = false;
    m_placer.free(entry.box, entry.id);
    m_team_use[entry.task.team] = m_team_use[entry.task.team] - entry.task.resources;
    changed();
}

void ShardKeeper::Impl::set_phase(Entry& entry, Phase phase)
{
    entry.phase = phase;
    entry.since = m_clock.now();
}

ShardKeeper::ShardKeeper(const Clock& clock, std::string owner, KeeperSpans spans)
    : m_impl(std::make_unique<Impl>(clock, std::move(owner), spans))
{
}

ShardKeeper::~ShardKeeper() = default;

void ShardKeeper::acquire(const std::string& shard, int64_t epoch, int64_t row_version)
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    m_impl->drop_shard(shard);
    OwnedShard owned;
    owned.epoch = epoch;
    owned.row_version = row_version;
    m_impl->m_shards.emplace(shard, owned);
    m_impl->add_boxes_of(shard);
}

void ShardKeeper::lose(const std::string& shard)
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    m_impl->drop_shard(shard);
}

std::map<std::string, int64_t> ShardKeeper::shards() const
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    std::map<std::string, int64_t> epochs;
    for (const auto& shard : m_impl->m_shards)
        epochs[shard.first] = shard.second.epoch;
    return epochs;
}

std::vector<std::string> ShardKeeper::loads_due() const
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    std::vector<std::string> due;
    for (const auto& shard : m_impl->m_shards) {
        if (!shard.second.loaded)
            due.push_back(shard.first);
    }
    return due;
}

void ShardKeeper::loaded(const std::string& shard, int64_t epoch,
                         const std::vector<TableRow>& tasks,
                         const std::vector<TableRow>& inbox)
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    const auto found = m_impl->m_shards.find(shard);
    if (found == m_impl->m_shards.end() || found->second.epoch != epoch
        || found->second.loaded)
        return;
    m_impl->load(shard, tasks, inbox);
}

void ShardKeeper::arrived(const std::string& shard, const std::vector<TableRow>& inbox)
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    const auto found = m_impl->m_shards.find(shard);
    if (found != m_impl->m_shards.end() && found->second.loaded)
        m_impl->arrive(shard, inbox);
}

void ShardKeeper::set_boxes(const std::vector<BoxInfo>& boxes)
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    m_impl->set_boxes(boxes);
}

void ShardKeeper::set_policy(std::shared_ptr<const Policy> policy)
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    if (m_impl->m_policy == policy)
        return;
    m_impl->m_policy = std::move(policy);
    for (auto& item : m_impl->m_pending)
        item.second.rank = m_impl->m_policy->rank(to_policy_task(item.second.record));
    m_impl->changed();
}

void ShardKeeper::set_services(
    const std::map<std::string, ServiceSpec>& services,
    const std::map<std::string, std::map<std::string, int64_t>>& by_shard)
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    m_impl->m_services = services;
    m_impl->m_wanted = by_shard;
}

void ShardKeeper::set_quotas(const std::map<std::string, Resources>& limits,
                             const std::map<std::string, Resources>& used_elsewhere)
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    if (m_impl->m_quotas == limits && m_impl->m_used_elsewhere == used_elsewhere)
        return;
    m_impl->m_quotas = limits;
    m_impl->m_used_elsewhere = used_elsewhere;
    m_impl->changed();
}

void ShardKeeper::tick(const ReplicaLoad& load)
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    m_impl->check_boxes();
    m_impl->place_services();
    m_impl->stop_idle(load);
    m_impl->advance_stops();
    m_impl->check_cancels();
    m_impl->place_pending();
}

std::vector<DueExchange> ShardKeeper::exchanges_due()
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    return m_impl->exchanges_due();
}

ReportUse ShardKeeper::on_report(const std::string& box, int64_t epoch, int64_t sequence,
                                 const std::optional<BoxReport>& report,
                                 const Failure& failure)
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    return m_impl->on_report(box, epoch, sequence, report, failure);
}

void ShardKeeper::hurry(const std::string& box)
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    const auto found = m_impl->m_boxes.find(box);
    if (found != m_impl->m_boxes.end() && found->second.first_failure == Millis())
        found->second.next_due = m_impl->m_clock.now();
}

std::optional<DueCommit> ShardKeeper::commit_due()
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    return m_impl->commit_due();
}

std::vector<std::string> ShardKeeper::on_committed(int64_t id,
                                                   const std::optional<TableResult>& result,
                                                   const Failure& failure)
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    return m_impl->on_committed(id, result, failure);
}

std::vector<Target> ShardKeeper::targets() const
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    std::vector<Target> targets;
    for (const auto& item : m_impl->m_boxes) {
        const BoxView& box = item.second;
        const auto shard = m_impl->m_shards.find(box.info.shard());
        if (!box.fenced || shard == m_impl->m_shards.end())
            continue;
        Target target;
        target.box = box.info;
        target.box.incarnation = box.incarnation;
        target.epoch = shard->second.epoch;
        for (const std::string& id : box.entries) {
            const Entry& entry = m_impl->m_entries.at(id);
            if (entry.task.is_service && entry.phase == Phase::running)
                ++target.services[entry.task.name];
        }
        targets.push_back(std::move(target));
    }
    return targets;
}

std::vector<ShardSummary> ShardKeeper::summaries() const
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    std::vector<ShardSummary> summaries;
    for (const auto& shard : m_impl->m_shards) {
        ShardSummary summary;
        summary.shard = shard.first;
        summary.epoch = shard.second.epoch;
        for (const auto& item : m_impl->m_placer.boxes()) {
            const BoxInfo& info = item.second.info();
            if (info.shard() != shard.first)
                continue;
            summary.region = info.region;
            summary.domain = info.domain;
            if (!item.second.usable())
                continue;
            ++summary.boxes;
            summary.free = summary.free + item.second.free();
        }
        for (const auto& item : m_impl->m_pending)
            summary.pending += item.second.shard == shard.first ? 1 : 0;
        const auto refused = m_impl->m_refused.find(shard.first);
        if (refused != m_impl->m_refused.end()) {
            for (const auto& item : refused->second) {
                ServiceLoad load;
                load.service = item.first;
                load.refused = item.second;
                summary.services.push_back(load);
            }
        }
        summaries.push_back(std::move(summary));
    }
    return summaries;
}

std::map<std::string, Resources> ShardKeeper::team_use() const
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    return m_impl->m_team_use;
}

std::vector<WaitingTask> ShardKeeper::waiting_tasks() const
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    std::vector<WaitingTask> waiting;
    const Millis now = m_impl->m_clock.now();
    for (const auto& item : m_impl->m_pending) {
        const Pending& pending = item.second;
        const bool waits_for_room
            = pending.tried_at >= 0 && pending.reason.kind() == FailureKind::no_capacity;
        if (!pending.moving && waits_for_room
            && now - pending.arrived >= m_impl->m_spans.move_after)
            waiting.push_back({ pending.record, pending.shard, pending.reason });
    }
    return waiting;
}

void ShardKeeper::move_task(const std::string& task, const std::string& to_shard)
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    const auto found = m_impl->m_pending.find(task);
    if (found == m_impl->m_pending.end() || found->second.moving)
        return;
    Pending& pending = found->second;
    pending.moving = true;
    RowChange change;
    change.type = RowChange::Type::move;
    change.id = task;
    change.shards = { pending.shard };
    change.inbox_row
        = TableCheck { rows::inbox_key(pending.shard, task), pending.row_version };
    change.record = pending.record;
    change.to_shard = to_shard;
    change.deletes.push_back(rows::inbox_key(pending.shard, task));
    change.puts.push_back({ rows::inbox_key(to_shard, task), encode(pending.record) });
    m_impl->m_changes.push_back(std::move(change));
}

std::vector<std::string> ShardKeeper::take_moved_to()
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    std::vector<std::string> shards(m_impl->m_moved_to.begin(), m_impl->m_moved_to.end());
    m_impl->m_moved_to.clear();
    return shards;
}

std::optional<std::string> ShardKeeper::explain(const std::string& task) const
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    const auto pending = m_impl->m_pending.find(task);
    if (pending != m_impl->m_pending.end()) {
        const Pending& p = pending->second;
        const Millis waited = m_impl->m_clock.now() - p.arrived;
        return "waits in shard " + p.shard + " for " + std::to_string(waited.count())
            + " ms: " + to_string(p.reason.kind()) + ": " + p.reason.detail();
    }
    const auto entry = m_impl->m_entries.find(task);
    if (entry == m_impl->m_entries.end())
        return std::nullopt;
    const Entry& e = entry->second;
    return "is on box " + e.box + ", attempt " + std::to_string(e.attempt) + ": "
        + to_string(e.phase);
}

KeeperCounters ShardKeeper::counters() const
{
    const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
    return m_impl->m_counters;
}

} // namespace pathport
