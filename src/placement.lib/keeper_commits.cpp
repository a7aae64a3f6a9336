// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "keeper_state.h"

#include <algorithm>

namespace pathport {

namespace {
constexpr size_t max_changes_per_commit = 128;
} // namespace

// Many changes share one transaction. It checks the rows of all shards concerned, so that
// it fails as a whole once another node owns one of them.
std::optional<DueCommit> ShardKeeper::Impl::commit_due()
{
    if (m_committing || m_changes.empty())
        return std::nullopt;
    DueCommit commit;
    std::set<std::string> shards;
    std::set<std::string> touched;
    while (!m_changes.empty() && m_in_commit.size() < max_changes_per_commit) {
        RowChange& change = m_changes.front();
        // Two changes of one task depend on each other's order.
        if (!touched.insert(change.id).second)
            break;
        shards.insert(change.shards.begin(), change.shards.end());
        if (change.inbox_row)
            commit.txn.checks.push_back(*change.inbox_row);
        commit.txn.puts.insert(commit.txn.puts.end(), change.puts.begin(),
                               change.puts.end());
        commit.txn.deletes.insert(commit.txn.deletes.end(), change.deletes.begin(),
                                  change.deletes.end());
        m_in_commit.push_back(std::move(change));
        m_changes.pop_front();
    }
    for (const std::string& shard : shards) {
        commit.txn.checks.push_back(
            { rows::shard_key(shard), m_shards.at(shard).row_version });
    }
    commit.id = ++m_commit_id;
    m_committing = true;
    return commit;
}

std::vector<std::string>
ShardKeeper::Impl::on_committed(int64_t id, const std::optional<TableResult>& result,
                                const Failure& failure)
{
    std::vector<std::string> lost;
    if (!m_committing || id != m_commit_id)
        return lost;
    m_committing = false;
    std::vector<RowChange> changes = std::move(m_in_commit);
    m_in_commit.clear();
    if (result && result->committed) {
        for (const RowChange& change : changes)
            apply(change, result->revision);
        return lost;
    }
    if (!result && failure.kind() == FailureKind::outcome_unknown) {
        std::set<std::string> shards;
        for (const RowChange& change : changes)
            shards.insert(change.shards.begin(), change.shards.end());
        for (const std::string& shard : shards)
            reload(shard);
        return lost;
    }
    std::set<std::string> stale_rows;
    if (result) {
        for (const TableRow& row : result->conflicts)
            stale_rows.insert(row.key);
    }
    for (const auto& shard : m_shards) {
        if (stale_rows.count(rows::shard_key(shard.first)) > 0)
            lost.push_back(shard.first);
    }
    // Nothing was written: the changes that can still be made come first again.
    const auto is_lost = [&](const std::string& shard) {
        return m_shards.count(shard) == 0
            || std::find(lost.begin(), lost.end(), shard) != lost.end();
    };
    for (auto change = changes.rbegin(); change != changes.rend(); ++change) {
        const bool shard_lost
            = std::any_of(change->shards.begin(), change->shards.end(), is_lost);
        const bool used_up
            = change->inbox_row && stale_rows.count(change->inbox_row->key) > 0;
        if (!shard_lost && !used_up)
            m_changes.push_front(std::move(*change));
        else if (change->type == RowChange::Type::assign && used_up)
            drop_assignment(*change); // The task's row has gone another way.
        else if (change->type == RowChange::Type::assign)
            undo_assignment(*change);
        else if (change->type == RowChange::Type::move)
            drop_moved(*change);
    }
    for (const std::string& shard : lost)
        drop_shard(shard);
    return lost;
}

void ShardKeeper::Impl::drop_assignment(const RowChange& change)
{
    if (find_entry(change) != nullptr)
        remove_entry(change.id, false);
}

void ShardKeeper::Impl::drop_moved(const RowChange& change)
{
    const auto found = m_pending.find(change.id);
    if (found != m_pending.end() && found->second.moving
        && change.shards.count(found->second.shard) > 0)
        m_pending.erase(found);
}

// An assignment that was not written, over two shards one of which is lost: the task still
// waits in the shard from whose inbox it came.
void ShardKeeper::Impl::undo_assignment(const RowChange& change)
{
    drop_assignment(change);
    for (const std::string& shard : change.shards) {
        const bool holds_row = change.inbox_row
            && change.inbox_row->key == rows::inbox_key(shard, change.id);
        if (!holds_row || m_shards.count(shard) == 0)
            continue;
        TaskRecord record = change.record;
        record.state = TaskState::pending;
        record.attempt -= 1;
        record.box.clear();
        record.box_incarnation.clear();
        add_pending(shard, record, change.inbox_row->version);
    }
}

void ShardKeeper::Impl::apply(const RowChange& change, int64_t revision)
{
    Entry* entry = find_entry(change);
    switch (change.type) {
    case RowChange::Type::assign:
        if (entry == nullptr)
            return;
        entry->row_version = revision;
        if (entry->after_stop == AfterStop::end_as_failed)
            end_task(*entry, TaskState::failed);
        else
            set_phase(*entry, Phase::starting);
        return;
    case RowChange::Type::end:
        if (entry != nullptr)
            remove_entry(change.id, true);
        return;
    case RowChange::Type::queue_again: {
        if (entry == nullptr)
            return;
        const std::string shard = entry->shard;
        remove_entry(change.id, true);
        add_pending(shard, change.record, revision);
        return;
    }
    case RowChange::Type::move:
        drop_moved(change);
        m_moved_to.insert(change.to_shard);
        return;
    case RowChange::Type::uncancel:
        return;
    }
}

// What the table holds is not known: the shard starts over from its rows and boxes.
void ShardKeeper::Impl::reload(const std::string& shard)
{
    const auto found = m_shards.find(shard);
    if (found == m_shards.end())
        return;
    OwnedShard fresh;
    fresh.epoch = found->second.epoch;
    fresh.row_version = found->second.row_version;
    drop_shard(shard);
    m_shards.emplace(shard, fresh);
    add_boxes_of(shard);
}

} // namespace pathport
