// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The threads of a node that carry out what its keeper decides: exchanges with boxes, and
/// transactions with the table.

#include "node.h"

#include <pathport/apportion.h>
#include <pathport/log.h>

#include <algorithm>

namespace pathport {

namespace {

constexpr Millis round_pause { 50 };
constexpr Millis gather_pause { 3 };
constexpr Millis inputs_pause { 200 };
constexpr Millis first_commit_pause { 40 }; ///< Lets changes share a transaction.
constexpr Millis longest_commit_pause { 1000 };
constexpr Millis foreign_check_pause { 100 };

} // namespace

void Node::keeper_loop()
{
    while (!m_stopping) {
        keeper_round();
        std::unique_lock<std::mutex> lock(m_wake_mutex);
        m_wake.wait_for(lock, std::chrono::milliseconds(round_pause.count()),
                        [this] { return m_keeper_due || m_stopping; });
        m_keeper_due = false;
        lock.unlock();
        // What comes in together is worked on together.
        std::this_thread::sleep_for(std::chrono::milliseconds(gather_pause.count()));
    }
}

bool Node::inputs_changed()
{
    const Millis now = m_clock.now();
    const auto config = m_config.snapshot();
    const int64_t boxes = m_cell.boxes_version();
    if (config == m_used_config && boxes == m_used_boxes
        && now - m_inputs_updated < inputs_pause)
        return false;
    m_used_config = config;
    m_used_boxes = boxes;
    m_inputs_updated = now;
    return true;
}

void Node::keeper_round()
{
    if (inputs_changed())
        update_inputs();
    m_keeper.tick(*this);
    m_dispatcher.set_targets(m_keeper.targets());
    for (const DueExchange& due : m_keeper.exchanges_due())
        send_exchange(due);
    move_waiting_tasks();
    const std::lock_guard<std::mutex> lock(m_wake_mutex);
    m_commit_due = true;
    m_wake.notify_all();
}

// The keeper's share of each service follows from what all nodes know alike.
void Node::update_inputs()
{
    const auto config = m_config.snapshot();
    std::vector<BoxInfo> boxes = m_cell.boxes();
    for (BoxInfo& box : boxes) {
        if (box.state == BoxState::live && config->drained_boxes.count(box.id) > 0)
            box.state = BoxState::leaving;
    }
    m_keeper.set_boxes(boxes);
    m_keeper.set_policy(config->policy);
    m_keeper.set_quotas(config->quotas, m_cell.used_elsewhere());
    const std::vector<ShardSummary> summaries = m_cell.summaries();
    std::map<std::string, std::map<std::string, int64_t>> wanted;
    for (const auto& service : config->services) {
        std::vector<ShardShare> shares;
        for (const ShardSummary& summary : summaries) {
            ShardShare share { summary.shard, summary.domain, summary.boxes, -1 };
            for (const ServiceLoad& load : summary.services) {
                if (load.service == service.first && load.refused > 0)
                    share.limit = load.running;
            }
            shares.push_back(share);
        }
        for (const auto& item : apportion(service.first, service.second.replicas, shares))
            wanted[item.first][service.first] = item.second;
    }
    m_keeper.set_services(config->services, wanted);
}

void Node::send_exchange(const DueExchange& due)
{
    const std::string box = due.box.id;
    const int64_t epoch = due.exchange.epoch;
    const int64_t sequence = due.exchange.sequence;
    m_dispatcher.begin_report(box);
    m_metrics.count("pathport_box_exchanges_total");
    m_box_agent.exchange(
        due.box, due.exchange,
        [this, box, epoch, sequence](const std::optional<BoxReport>& report,
                                     const Failure& failure) {
            if (m_stopping)
                return;
            const ReportUse use = m_keeper.on_report(box, epoch, sequence, report, failure);
            if (use != ReportUse::ignored)
                m_dispatcher.end_report(box, report->busy, use == ReportUse::first);
            if (failure.kind() == FailureKind::stale_epoch)
                wake_heartbeat();
            if (report && m_dispatcher.foreign(box) > 0) {
                m_timers->after(foreign_check_pause, [this, box] {
                    m_keeper.hurry(box);
                    wake_keeper();
                });
            }
            wake_keeper();
        });
}

// A task for which no own shard has room goes to the shard with the most room for it.
void Node::move_waiting_tasks()
{
    const std::vector<WaitingTask> waiting = m_keeper.waiting_tasks();
    if (waiting.empty())
        return;
    std::vector<ShardSummary> others = m_cell.summaries();
    const auto own = m_keeper.shards();
    others.erase(
        std::remove_if(others.begin(), others.end(),
                       [&](const ShardSummary& s) { return own.count(s.shard) > 0; }),
        others.end());
    for (const WaitingTask& task : waiting) {
        ShardSummary* best = nullptr;
        for (ShardSummary& shard : others) {
            const bool fits = shard.boxes > 0 && shard.pending == 0
                && (task.record.resources * 2).fits_in(shard.free);
            if (fits && (best == nullptr || best->free.cpu_millis < shard.free.cpu_millis))
                best = &shard;
        }
        if (best == nullptr)
            continue;
        best->free = best->free - task.record.resources;
        m_keeper.move_task(task.record.id, best->shard);
    }
}

void Node::commit_loop()
{
    Millis pause = first_commit_pause;
    while (!m_stopping) {
        {
            std::unique_lock<std::mutex> lock(m_wake_mutex);
            m_wake.wait(lock, [this] { return m_commit_due || m_stopping; });
            m_commit_due = false;
        }
        if (m_stopping)
            return;
        const bool went_well = load_shards() && commit_once();
        // The pause follows the table's rate limit: it doubles on refusal and shrinks
        // slowly.
        if (went_well)
            pause = std::max(first_commit_pause, Millis(pause.count() * 9 / 10));
        else
            pause = std::min(longest_commit_pause, Millis(pause.count() * 2));
        std::this_thread::sleep_for(std::chrono::milliseconds(pause.count()));
    }
}

// Reads the rows of new shards through the lane: once its transaction has taken effect, no
// earlier one of the lane can.
bool Node::load_shards()
{
    const std::vector<std::string> due = m_keeper.loads_due();
    const auto epochs = m_keeper.shards();
    if (due.empty())
        return true;
    TableTxn txn;
    for (const std::string& shard : due) {
        txn.ranges.push_back({ rows::task_prefix(shard), 0 });
        txn.ranges.push_back({ rows::inbox_prefix(shard), 0 });
    }
    Failure reason;
    const auto result = m_task_lane.commit(txn, reason);
    if (!result || !result->committed)
        return false;
    for (size_t i = 0; i < due.size(); ++i) {
        const auto epoch = epochs.find(due[i]);
        if (epoch != epochs.end())
            m_keeper.loaded(due[i], epoch->second, result->ranges[2 * i],
                            result->ranges[2 * i + 1]);
    }
    wake_keeper();
    return true;
}

bool Node::commit_once()
{
    const auto due = m_keeper.commit_due();
    if (!due)
        return true;
    Failure reason;
    const Millis start = m_clock.now();
    const auto result = m_task_lane.commit(due->txn, reason);
    m_metrics.observe_seconds("pathport_task_commit_seconds",
                              double((m_clock.now() - start).count()) / 1000.0);
    const auto lost = m_keeper.on_committed(due->id, result, reason);
    if (!lost.empty())
        wake_heartbeat();
    const auto moved = m_keeper.take_moved_to();
    if (!moved.empty())
        wake(moved);
    wake_keeper();
    return result.has_value();
}

} // namespace pathport
