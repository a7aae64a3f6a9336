// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The heartbeat of a node to the table: one transaction carries membership, ownership,
/// configuration and new tasks.

#include "node.h"

#include <pathport/codec.h>
#include <pathport/ids.h>
#include <pathport/log.h>

#include <algorithm>
#include <set>

namespace pathport {

namespace {

constexpr Millis retire_after { 10000 };
constexpr Millis shortest_pause { 50 };
constexpr int max_step_tries = 2;

std::string node_key(const std::string& node)
{
    return "nodes/" + node;
}

bool is_admission(const std::string& shard)
{
    return admission_range_of(shard).has_value();
}

int range_of(const std::string& shard)
{
    return admission_range_of(shard).value_or(0);
}

} // namespace

void Node::heartbeat_loop()
{
    Millis next_beat = m_clock.now();
    while (!m_stopping) {
        {
            std::unique_lock<std::mutex> lock(m_wake_mutex);
            const Millis wait = next_beat - m_clock.now();
            if (wait > Millis()) {
                m_wake.wait_for(lock, std::chrono::milliseconds(wait.count()),
                                [this] { return m_heartbeat_due || m_stopping; });
            }
            m_heartbeat_due = false;
        }
        if (m_stopping)
            return;
        next_beat = m_clock.now() + m_settings.heartbeat;
        const Millis earliest_next = m_clock.now() + shortest_pause;
        if (beat_table()) {
            own_shards();
            m_cell.renew_lease(m_beat_sent);
            plan_steps();
            retire_dead();
        }
        if (const auto time = m_cell.table_time())
            m_admission.expire(*time);
        // Wake-ups come in bursts; one heartbeat serves them all.
        const Millis rest = earliest_next - m_clock.now();
        if (rest > Millis())
            std::this_thread::sleep_for(std::chrono::milliseconds(rest.count()));
    }
}

TableTxn Node::make_beat(NodeState state) const
{
    TableTxn txn;
    NodeRecord self = m_cell.self();
    self.counter = m_counter + 1;
    self.state = state;
    txn.checks.push_back({ node_key(self.node), m_row_version });
    // Whoever has given this node a shard that it has not read of keeps it from leaving.
    if (state == NodeState::left && !m_left) {
        for (const auto& row : m_cell.shard_rows())
            txn.checks.push_back({ rows::shard_key(row.first), row.second.version });
    }
    txn.puts.push_back({ node_key(self.node), encode(self) });
    txn.ranges = { { "nodes/", m_seen_revision },
                   { "shards/", m_seen_revision },
                   { config_prefix, m_seen_revision } };
    for (const auto& shard : m_keeper.shards())
        txn.ranges.push_back({ rows::inbox_prefix(shard.first), m_seen_revision });
    return txn;
}

bool Node::beat_table()
{
    const bool owns_nothing = m_keeper.shards().empty() && m_admission_epochs.empty();
    const NodeState state = m_departure.next(m_leaving, owns_nothing);
    const TableTxn txn = make_beat(state);
    const Millis sent = m_clock.now();
    Failure reason;
    const auto result = m_table.run(txn, reason);
    const Millis received = m_clock.now();
    m_metrics.observe_seconds("pathport_table_heartbeat_seconds",
                              double((received - sent).count()) / 1000.0);
    if (!result) {
        m_cell.table_failed();
        m_metrics.count("pathport_table_heartbeat_failures_total");
        log_event(LogLevel::warn, "table_heartbeat_failed",
                  { { "kind", to_string(reason.kind()) }, { "reason", reason.detail() } });
        return false;
    }
    if (!result->committed) {
        const std::string key = node_key(m_settings.node);
        const auto& conflicts = result->conflicts;
        const auto own_row
            = std::find_if(conflicts.begin(), conflicts.end(),
                           [&](const TableRow& changed) { return changed.key == key; });
        if (own_row == conflicts.end() && !conflicts.empty()) {
            m_departure.overtaken();
            wake_heartbeat();
            return false;
        }
        // The row was changed by an earlier beat whose answer was lost, by an earlier
        // process of this node, or by a node that judged this one dead.
        m_row_version = conflicts.empty() ? 0 : own_row->version;
        Failure ignored;
        const auto row
            = conflicts.empty() ? std::nullopt : decode_node(own_row->value, ignored);
        const bool own = row && row->incarnation == m_incarnation;
        if (own && row->state == NodeState::left && !m_leaving)
            rejoin();
        if (row && !own && m_counter > 0) {
            log_event(LogLevel::error, "node_replaced", { { "by", row->incarnation } });
            m_replaced = true;
            return false;
        }
        wake_heartbeat();
        return false;
    }
    if (m_counter++ == 0)
        m_first_beat = received;
    const bool first_told = !m_departure.is_told() && state == NodeState::leaving;
    m_departure.taken(state);
    if (state == NodeState::left)
        m_left = true;
    if (first_told)
        wake({}); // Who reads it gives this node nothing more.
    m_row_version = result->revision;
    m_beat_sent = sent;
    m_cell.observe(*result, sent, received);
    take_beat(*result);
    m_seen_revision = result->revision;
    return true;
}

void Node::take_beat(const TableResult& result)
{
    constexpr size_t config_range = 2;
    constexpr size_t first_inbox = 3;
    apply_config(decode_config_rows(result.ranges.at(config_range)));
    bool arrived = false;
    for (size_t i = first_inbox; i < result.ranges.size(); ++i) {
        const std::vector<TableRow>& inbox = result.ranges[i];
        if (inbox.empty())
            continue;
        // "inbox/<shard>/<task>"
        const std::string& key = inbox.front().key;
        const size_t start = key.find('/') + 1;
        m_keeper.arrived(key.substr(start, key.rfind('/') - start), inbox);
        arrived = true;
    }
    if (arrived)
        wake_keeper();
}

// Others have judged this node dead while it was held up: all it held is theirs.
void Node::rejoin()
{
    log_event(LogLevel::warn, "node_was_declared_dead");
    for (const auto& shard : m_keeper.shards())
        m_keeper.lose(shard.first);
    for (const auto& item : m_admission_epochs)
        m_admission.lose(range_of(item.first));
    m_admission_epochs.clear();
}

// Makes what this node holds agree with the rows: they alone say who owns a shard.
void Node::own_shards()
{
    const auto held = m_keeper.shards();
    const auto table_time = m_cell.table_time().value_or(Millis());
    for (const auto& item : m_cell.shard_rows()) {
        const ShardRecord& record = item.second.record;
        const bool mine
            = record.owner == m_settings.node && record.owner_incarnation == m_incarnation;
        if (is_admission(item.first)) {
            const auto known = m_admission_epochs.find(item.first);
            const bool has_it
                = known != m_admission_epochs.end() && known->second == record.epoch;
            if (mine && !has_it) {
                // Given by its owner, who has stopped to admit before.
                m_admission.acquire_given(range_of(item.first), record.epoch, table_time);
                m_admission_epochs[item.first] = record.epoch;
            } else if (!mine && known != m_admission_epochs.end()) {
                m_admission.lose(range_of(item.first));
                m_admission_epochs.erase(item.first);
            }
            continue;
        }
        const auto known = held.find(item.first);
        const bool has_it = known != held.end() && known->second == record.epoch;
        if (mine && !has_it) {
            m_keeper.acquire(item.first, record.epoch, item.second.version);
            log_event(LogLevel::info, "shard_acquired",
                      { { "shard", item.first }, { "epoch", record.epoch } });
            wake_keeper();
        } else if (!mine && known != held.end()) {
            m_keeper.lose(item.first);
            log_event(LogLevel::info, "shard_lost",
                      { { "shard", item.first }, { "owner", record.owner } });
            wake_keeper();
        }
    }
}

void Node::plan_steps()
{
    std::vector<OwnershipStep> steps
        = plan_ownership(m_cell.self(), m_cell.owner_candidates(), m_cell.dead_nodes(),
                         m_cell.shard_views());
    // An earlier process of this node can't renew its lease since this one's first
    // heartbeat, but it may hold it for that long; boxes are fenced, ids are not.
    const bool old_lease_over = m_clock.now() >= m_first_beat + m_settings.membership.lease;
    const auto too_early = [&](const OwnershipStep& step) {
        return !old_lease_over && step.from_earlier_process
            && is_admission(step.record.shard);
    };
    steps.erase(std::remove_if(steps.begin(), steps.end(), too_early), steps.end());
    // A range given on before its memory has come would leave the next owner without it.
    const Millis table_time = m_cell.table_time().value_or(Millis());
    const auto incomplete = [&](const OwnershipStep& step) {
        const auto range = admission_range_of(step.record.shard);
        return range && step.record.owner != m_settings.node
            && m_admission.awaits_memory(*range, table_time);
    };
    steps.erase(std::remove_if(steps.begin(), steps.end(), incomplete), steps.end());
    if (!steps.empty())
        make_steps(std::move(steps));
}

TableTxn Node::steps_txn(const std::vector<OwnershipStep>& steps) const
{
    TableTxn txn;
    std::map<std::string, int64_t> dead;
    for (const OwnershipStep& step : steps) {
        const std::string key = rows::shard_key(step.record.shard);
        txn.checks.push_back({ key, step.row_version });
        txn.puts.push_back({ key, encode(step.record) });
        if (!step.taken_from.empty())
            dead[step.taken_from] = 0;
    }
    // The change must fail when a node that is thought dead has beaten meanwhile.
    for (const MemberView& member : m_cell.members()) {
        if (dead.count(member.record.node) > 0)
            txn.checks.push_back({ node_key(member.record.node), member.row_version });
    }
    return txn;
}

// Makes all steps in one transaction. Those that other nodes came before are left out, and
// the rest is tried once more.
void Node::make_steps(std::vector<OwnershipStep> steps)
{
    std::map<std::string, RangeMemory> memories;
    for (const OwnershipStep& step : steps) {
        const std::string& shard = step.record.shard;
        if (step.record.owner == m_settings.node || !is_admission(shard))
            continue;
        // No id is admitted here after the change takes effect.
        memories[shard] = m_admission.lose(range_of(shard));
        m_admission_epochs.erase(shard);
    }
    for (int i = 0; i < max_step_tries && !steps.empty(); ++i) {
        Failure reason;
        const auto result = m_own_lane.commit(steps_txn(steps), reason);
        if (!result)
            return;
        if (result->committed) {
            for (const OwnershipStep& step : steps) {
                take_step(step, *result);
                const auto memory = memories.find(step.record.shard);
                const auto address = m_cell.address_of(step.record.owner);
                if (memory != memories.end() && address)
                    hand_over(*address, step.record, memory->second);
            }
            // What was given has to be read by its new owner.
            wake({});
            return;
        }
        std::set<std::string> stale;
        for (const TableRow& row : result->conflicts)
            stale.insert(row.key);
        const auto is_stale = [&](const OwnershipStep& step) {
            return stale.count(rows::shard_key(step.record.shard)) > 0
                || stale.count(node_key(step.taken_from)) > 0;
        };
        steps.erase(std::remove_if(steps.begin(), steps.end(), is_stale), steps.end());
    }
}

// Tells the next owner of an admission range which ids were admitted here.
void Node::hand_over(const std::string& address, const ShardRecord& given,
                     const RangeMemory& memory)
{
    ++m_open_hand_overs;
    m_hub->hand_over(address, given.shard, given.epoch, memory,
                     [this](bool) { --m_open_hand_overs; });
}

void Node::take_step(const OwnershipStep& step, const TableResult& result)
{
    const std::string& shard = step.record.shard;
    const bool gives = step.record.owner != m_settings.node;
    const char* const kind = gives ? "given"
        : step.taken_from.empty()  ? "claimed"
                                   : "taken";
    m_metrics.count("pathport_shard_moves_total", { { "kind", kind } });
    log_event(LogLevel::info, "shard_moved",
              { { "kind", kind },
                { "shard", shard },
                { "owner", step.record.owner },
                { "from", step.taken_from },
                { "epoch", step.record.epoch } });
    // The next heartbeat reads the row; taking note of it now saves that time.
    m_cell.observe_shard(step.record, result.revision);
    if (gives) {
        if (!is_admission(shard))
            m_keeper.lose(shard);
    } else if (is_admission(shard)) {
        const Millis barrier = step.taken_from.empty()
            ? result.table_time
            : m_cell.barrier_after(step.taken_from, result.table_time);
        m_admission.acquire(range_of(shard), step.record.epoch, barrier);
        m_admission_epochs[shard] = step.record.epoch;
    } else {
        m_keeper.acquire(shard, step.record.epoch, result.revision);
    }
    wake_keeper();
}

// Marks a node that is long dead and owns nothing as left, so that nobody counts with it.
void Node::retire_dead()
{
    const auto live = m_cell.owner_candidates();
    if (live.empty() || live.front().node != m_settings.node)
        return;
    const auto shards = m_cell.shard_rows();
    const Millis now = m_clock.now();
    for (const MemberView& member : m_cell.members()) {
        const std::string& node = member.record.node;
        const bool owns = std::any_of(shards.begin(), shards.end(), [&](const auto& item) {
            return item.second.record.owner == node;
        });
        if (owns || now - member.changed < retire_after || now < member.promised_until
            || now - member.heard < retire_after)
            continue;
        NodeRecord left = member.record;
        left.state = NodeState::left;
        TableTxn txn;
        txn.checks.push_back({ node_key(node), member.row_version });
        txn.puts.push_back({ node_key(node), encode(left) });
        Failure reason;
        const auto result = m_own_lane.commit(txn, reason);
        if (result && result->committed)
            log_event(LogLevel::info, "node_retired", { { "node", node } });
    }
}

} // namespace pathport
