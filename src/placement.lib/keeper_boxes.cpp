// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "keeper_state.h"

#include <algorithm>

namespace pathport {

namespace {

constexpr int refusals_to_unreachable = 3;

bool takes_new_work(const BoxView& box)
{
    return box.fenced && !box.unreachable && box.info.state == BoxState::live;
}

bool has_ended(BoxTaskState state)
{
    return state != BoxTaskState::running && state != BoxTaskState::checkpointed;
}

} // namespace

void ShardKeeper::Impl::add_boxes_of(const std::string& shard)
{
    for (const auto& item : m_box_list) {
        if (item.second.shard() != shard || m_boxes.count(item.first) > 0)
            continue;
        BoxView box;
        box.info = item.second;
        box.taken_sequence = m_sequence;
        box.next_due = m_clock.now();
        m_boxes.emplace(item.first, box);
        m_placer.set_box(item.second, false);
    }
}

void ShardKeeper::Impl::drop_shard(const std::string& shard)
{
    for (auto item = m_entries.begin(); item != m_entries.end();) {
        if (item->second.shard != shard) {
            ++item;
            continue;
        }
        free_room(item->second);
        item = m_entries.erase(item);
    }
    for (auto item = m_pending.begin(); item != m_pending.end();)
        item = item->second.shard == shard ? m_pending.erase(item) : std::next(item);
    for (auto item = m_boxes.begin(); item != m_boxes.end();) {
        if (item->second.info.shard() != shard) {
            ++item;
            continue;
        }
        drop_ghosts_of(item->first);
        m_placer.remove_box(item->first);
        item = m_boxes.erase(item);
    }
    m_refused.erase(shard);
    m_shards.erase(shard);
    std::vector<RowChange> undone;
    for (auto change = m_changes.begin(); change != m_changes.end();) {
        if (change->shards.count(shard) == 0) {
            ++change;
            continue;
        }
        if (change->type == RowChange::Type::assign)
            undone.push_back(*change);
        change = m_changes.erase(change);
    }
    for (const RowChange& change : undone)
        undo_assignment(change);
}

void ShardKeeper::Impl::drop_ghosts_of(const std::string& box)
{
    for (auto ghost = m_ghosts.begin(); ghost != m_ghosts.end();)
        ghost = ghost->second == box ? m_ghosts.erase(ghost) : std::next(ghost);
}

void ShardKeeper::Impl::set_boxes(const std::vector<BoxInfo>& boxes)
{
    m_box_list.clear();
    for (const BoxInfo& box : boxes)
        m_box_list[box.id] = box;
    for (auto& item : m_boxes) {
        BoxView& box = item.second;
        const auto listed = m_box_list.find(item.first);
        if (listed == m_box_list.end()) {
            // A box that was listed and no longer is has gone.
            box.info.state = BoxState::gone;
        } else if (listed->second != box.info) {
            box.info = listed->second;
            box.next_due = m_clock.now();
        }
        update_usable(box);
    }
    for (const auto& shard : m_shards)
        add_boxes_of(shard.first);
    changed();
}

void ShardKeeper::Impl::update_usable(BoxView& box)
{
    const auto shard = m_shards.find(box.info.shard());
    const bool loaded = shard != m_shards.end() && shard->second.loaded;
    m_placer.set_box(box.info, loaded && takes_new_work(box));
}

// What runs on a box that has gone, or whose lease has surely lapsed, has ended.
void ShardKeeper::Impl::check_boxes()
{
    const Millis now = m_clock.now();
    for (auto& item : m_boxes) {
        BoxView& box = item.second;
        const bool gone = box.info.state == BoxState::gone;
        const bool lapsed = box.unreachable && box.last_report != Millis()
            && now > box.last_report + m_spans.box_lease + m_spans.lapse_margin;
        if (gone || lapsed)
            lose_incarnation(box);
        update_usable(box);
    }
}

void ShardKeeper::Impl::lose_incarnation(BoxView& box)
{
    const std::set<std::string> ids = box.entries;
    for (const std::string& id : ids) {
        Entry& entry = m_entries.at(id);
        if (entry.task.is_service) {
            ++m_counters.replicas_lost;
            remove_entry(id, false);
            continue;
        }
        if (entry.phase == Phase::committing || entry.phase == Phase::ended)
            continue;
        ++m_counters.tasks_lost;
        if (entry.after_stop == AfterStop::end_as_failed)
            end_task(entry, TaskState::failed);
        else
            queue_again(entry);
    }
    drop_ghosts_of(box.info.id);
    box.forget.clear();
}

bool ShardKeeper::Impl::needs_command(const BoxView& box) const
{
    // What a box may forget travels with the next exchange that is due anyway.
    return std::any_of(box.entries.begin(), box.entries.end(),
                       [this](const std::string& id) {
                           const Entry& entry = m_entries.at(id);
                           const bool checkpoint_due = entry.phase == Phase::checkpointing
                               && !entry.checkpoint_sent;
                           return entry.phase == Phase::starting
                               || entry.phase == Phase::stopping || checkpoint_due;
                       });
}

std::vector<DueExchange> ShardKeeper::Impl::exchanges_due()
{
    std::vector<DueExchange> due;
    const Millis now = m_clock.now();
    for (auto& item : m_boxes) {
        BoxView& box = item.second;
        const auto shard = m_shards.find(box.info.shard());
        if (box.in_exchange || box.info.state == BoxState::gone || shard == m_shards.end())
            continue;
        const bool can_command = box.fenced && box.first_failure == Millis();
        if (now < box.next_due && !(can_command && needs_command(box)))
            continue;
        box.in_exchange = true;
        due.push_back({ box.info, make_exchange(box, shard->second) });
    }
    return due;
}

BoxExchange ShardKeeper::Impl::make_exchange(BoxView& box, const OwnedShard& shard)
{
    BoxExchange exchange;
    exchange.shard = box.info.shard();
    exchange.epoch = shard.epoch;
    exchange.sequence = ++m_sequence;
    exchange.owner = m_owner;
    exchange.incarnation = box.incarnation;
    exchange.lease = m_spans.box_lease;
    exchange.renew_from = box.report_time;
    exchange.known_report = box.fenced ? box.known_report : 0;
    if (!box.fenced)
        return exchange;
    exchange.forget = box.forget;
    for (const std::string& id : box.entries) {
        Entry& entry = m_entries.at(id);
        BoxCommand command;
        command.id = id;
        command.attempt = entry.attempt;
        // What runs there of an earlier attempt has to stop first.
        const bool has_ghost = m_ghosts.count(id) > 0;
        if (entry.phase == Phase::starting && has_ghost)
            continue;
        if (entry.phase == Phase::starting) {
            command.type = BoxCommandType::start;
            command.service = entry.task.is_service ? entry.task.name : "";
            command.resources = entry.task.resources;
            command.duration_ms = entry.record.duration_ms;
            exchange.commands.push_back(command);
        } else if (entry.phase == Phase::stopping) {
            command.type = BoxCommandType::stop;
            exchange.commands.push_back(command);
        } else if (entry.phase == Phase::checkpointing && !entry.checkpoint_sent) {
            command.type = BoxCommandType::checkpoint;
            exchange.commands.push_back(command);
            // What runs on after the checkpoint is lost, so it may as well be slow.
            command.type = BoxCommandType::throttle;
            exchange.commands.push_back(command);
            entry.checkpoint_sent = true;
        }
    }
    for (const auto& ghost : m_ghosts) {
        if (ghost.second != box.info.id)
            continue;
        BoxCommand command;
        command.type = BoxCommandType::stop;
        command.id = ghost.first;
        command.attempt = any_attempt;
        exchange.commands.push_back(command);
    }
    return exchange;
}

ReportUse ShardKeeper::Impl::on_report(const std::string& id, int64_t epoch,
                                       int64_t sequence,
                                       const std::optional<BoxReport>& report,
                                       const Failure& failure)
{
    const auto found = m_boxes.find(id);
    if (found == m_boxes.end())
        return ReportUse::ignored;
    BoxView& box = found->second;
    const auto shard = m_shards.find(box.info.shard());
    // An exchange of an earlier ownership of the shard says nothing about this one.
    if (shard == m_shards.end() || shard->second.epoch != epoch
        || sequence <= box.taken_sequence)
        return ReportUse::ignored;
    box.taken_sequence = sequence;
    box.in_exchange = false;
    if (!report) {
        on_exchange_failed(box, failure);
        return ReportUse::ignored;
    }
    const bool first = !box.fenced;
    if (!first && report->incarnation != box.incarnation) {
        // The delta is of another incarnation; a full report is needed.
        box.fenced = false;
        box.next_due = m_clock.now();
        lose_incarnation(box);
        update_usable(box);
        return ReportUse::ignored;
    }
    take_report(box, *report);
    return first ? ReportUse::first : ReportUse::taken;
}

void ShardKeeper::Impl::on_exchange_failed(BoxView& box, const Failure& failure)
{
    const Millis now = m_clock.now();
    box.next_due = now + m_spans.retry_beat;
    if (failure.kind() == FailureKind::stale_epoch) {
        // Another node has fenced the box; the table will say so soon.
        box.fenced = false;
        update_usable(box);
        return;
    }
    if (box.first_failure == Millis())
        box.first_failure = now;
    box.refusals = failure.kind() == FailureKind::unavailable ? box.refusals + 1 : 0;
    const bool silent = now - box.first_failure >= m_spans.unreachable_after;
    if (box.unreachable || (!silent && box.refusals < refusals_to_unreachable))
        return;
    box.unreachable = true;
    // A full report is needed when the box answers again.
    box.fenced = false;
    const std::set<std::string> ids = box.entries;
    for (const std::string& id : ids) {
        if (!m_entries.at(id).task.is_service)
            continue;
        ++m_counters.replicas_lost;
        remove_entry(id, false);
    }
    update_usable(box);
}

void ShardKeeper::Impl::take_report(BoxView& box, const BoxReport& report)
{
    const bool restarted
        = !box.incarnation.empty() && box.incarnation != report.incarnation;
    if (restarted)
        lose_incarnation(box);
    box.incarnation = report.incarnation;
    box.report_time = report.time;
    box.last_report = m_clock.now();
    box.known_report = report.report;
    box.first_failure = Millis();
    box.refusals = 0;
    box.unreachable = false;
    const bool was_fenced = box.fenced;
    box.fenced = true;
    std::set<std::string> reported;
    for (const BoxTask& task : report.tasks) {
        reported.insert(task.id);
        take_task(box, task);
    }
    // After a full report, a task that the box does not know has not started there, or has
    // been lost with an earlier incarnation.
    const std::set<std::string> ids = box.entries;
    for (const std::string& id : ids) {
        if (was_fenced || !report.full || reported.count(id) > 0)
            continue;
        Entry& entry = m_entries.at(id);
        if (entry.task.is_service) {
            remove_entry(id, false);
        } else if (entry.phase != Phase::committing && entry.phase != Phase::ended) {
            if (entry.record.box_incarnation == report.incarnation && !is_overfull(box))
                set_phase(entry, Phase::starting);
            else
                queue_again(entry);
        }
    }
    if (report.full) {
        for (auto ghost = m_ghosts.begin(); ghost != m_ghosts.end();) {
            const bool over
                = ghost->second == box.info.id && reported.count(ghost->first) == 0;
            ghost = over ? m_ghosts.erase(ghost) : std::next(ghost);
        }
    }
    box.forget.clear();
    // Before the rows are known, an ended task may still have to be recorded.
    const auto shard = m_shards.find(box.info.shard());
    const bool loaded = shard != m_shards.end() && shard->second.loaded;
    for (const BoxTask& task : report.tasks) {
        if (loaded && has_ended(task.state) && m_entries.count(task.id) == 0)
            box.forget.push_back(task.id);
    }
    update_usable(box);
    changed();
    box.next_due = next_exchange(box);
}

// What an earlier owner started or promised there may be more than the box has, when it had
// not yet written what has ended.
bool ShardKeeper::Impl::is_overfull(const BoxView& box) const
{
    const auto found = m_placer.boxes().find(box.info.id);
    return found != m_placer.boxes().end() && !Resources().fits_in(found->second.free());
}

void ShardKeeper::Impl::take_task(BoxView& box, const BoxTask& task)
{
    const auto found = m_entries.find(task.id);
    const bool is_own = found != m_entries.end() && found->second.box == box.info.id
        && found->second.attempt == task.attempt;
    if (!is_own) {
        adopt_unknown(box, task);
        return;
    }
    Entry& entry = found->second;
    const auto ghost = m_ghosts.find(task.id);
    if (ghost != m_ghosts.end() && ghost->second == box.info.id)
        m_ghosts.erase(ghost);
    if (entry.phase == Phase::ended)
        return;
    if (entry.task.is_service) {
        if (has_ended(task.state))
            remove_entry(task.id, true);
        else if (entry.phase == Phase::starting)
            set_phase(entry, Phase::running);
        return;
    }
    switch (task.state) {
    case BoxTaskState::running:
        if (entry.phase == Phase::starting) {
            set_phase(entry, Phase::running);
            entry.expected_end = m_clock.now() + Millis(entry.record.duration_ms);
        }
        break;
    case BoxTaskState::checkpointed:
        if (entry.phase == Phase::checkpointing || entry.phase == Phase::starting)
            set_phase(entry, Phase::stopping);
        break;
    case BoxTaskState::done:
        end_task(entry, TaskState::done);
        break;
    case BoxTaskState::failed:
        end_task(entry, TaskState::failed);
        break;
    case BoxTaskState::stopped:
        if (entry.after_stop == AfterStop::end_as_failed)
            end_task(entry, TaskState::failed);
        else
            queue_again(entry);
        break;
    }
}

// A task that runs on the box without an entry here: a replica that an earlier owner
// started goes on; a batch task that the rows place elsewhere must stop.
void ShardKeeper::Impl::adopt_unknown(BoxView& box, const BoxTask& task)
{
    if (has_ended(task.state)) {
        const auto ghost = m_ghosts.find(task.id);
        if (ghost != m_ghosts.end() && ghost->second == box.info.id)
            m_ghosts.erase(ghost);
        return;
    }
    if (task.service.empty()) {
        m_ghosts[task.id] = box.info.id;
        box.next_due = m_clock.now();
        return;
    }
    Entry entry;
    entry.id = task.id;
    entry.box = box.info.id;
    entry.shard = box.info.shard();
    entry.attempt = task.attempt;
    entry.phase = Phase::running;
    entry.task.name = task.service;
    entry.task.is_service = true;
    entry.task.resources = task.resources;
    const auto spec = m_services.find(task.service);
    if (spec != m_services.end()) {
        entry.task.team = spec->second.team;
        entry.task.priority = spec->second.priority;
    }
    add_entry(std::move(entry), true);
}

Millis ShardKeeper::Impl::next_exchange(const BoxView& box) const
{
    const Millis now = m_clock.now();
    Millis next = now + m_spans.idle_beat;
    for (const std::string& id : box.entries) {
        const Entry& entry = m_entries.at(id);
        if (entry.phase == Phase::running && !entry.task.is_service)
            next = std::min(next, std::max(entry.expected_end, now + m_spans.busy_beat));
        else if (entry.phase == Phase::checkpointing)
            next = std::min(next, now + m_spans.busy_beat);
    }
    return next;
}

} // namespace pathport
