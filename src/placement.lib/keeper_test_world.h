// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The world of keeper_test: two keepers, a table and four boxes under random schedules,
/// with the checks of what must always hold.

#pragma once

#include "box_engine.h"
#include "table_engine.h"

#include <pathport/codec.h>
#include <pathport/shard_keeper.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace keeper_test {

using namespace pathport;
using standin::BoxEngine;
using standin::TableEngine;
using standin::TableFaults;

constexpr int node_count = 2;
constexpr int task_count = 12;
constexpr char job[] = "job";
constexpr int64_t wanted = 2; ///< Replicas on each shard.
const Resources capacity { 4000, 8192, 0 };

class NoLoad : public ReplicaLoad {
public:
    int64_t in_flight(const std::string& /*box*/,
                      const std::string& /*service*/) const override
    {
        return 0;
    }
};

// An exchange on its way to a box.
struct Message {
    int node = 0;
    DueExchange due;
    bool timed_out = false; ///< Its sender no longer waits for the answer.
};

// A report on its way back.
struct Answer {
    int node = 0;
    std::string box;
    int64_t epoch = 0;
    int64_t sequence = 0;
    std::optional<BoxReport> report;
    Failure failure;
};

// Rows of an inbox on their way to a keeper.
struct ReadRows {
    int node = 0;
    std::string shard;
    std::vector<TableRow> rows;
};

class World {
public:
    explicit World(uint64_t seed)
        : m_random(seed)
        , m_table(m_clock, 0)
    {
        for (int i = 0; i < 4; ++i) {
            BoxInfo info;
            info.id = "box" + std::to_string(i);
            info.domain = "d" + std::to_string(i / 2);
            info.rack = "k1";
            info.capacity = capacity;
            m_list.push_back(info);
            boot(m_list.back());
        }
        for (int i = 0; i < node_count; ++i) {
            const std::string name = "node" + std::to_string(i);
            m_keepers.push_back(
                std::make_unique<ShardKeeper>(m_clock, name, KeeperSpans()));
            m_lanes.push_back(std::make_unique<TableLane>(m_table, name));
            m_keepers.back()->set_boxes(m_list);
            const ServiceSpec spec { "svc", "team", { 500, 512, 0 }, 4, 1000, 100 };
            m_keepers.back()->set_services(
                { { "svc", spec } },
                { { "d0.k1", { { "svc", wanted } } }, { "d1.k1", { { "svc", wanted } } } });
        }
        take(0, "d0.k1");
        take(1, "d1.k1");
        submit();
    }

    void step()
    {
        const int node = pick(node_count);
        switch (pick(14)) {
        case 0:
        case 1:
            m_clock.advance(Millis(pick(400)));
            break;
        case 2:
            m_clock.advance(Millis(pick(4000)));
            break;
        case 3:
        case 4:
            work(node);
            break;
        case 5:
        case 6:
        case 7:
            deliver();
            break;
        case 8:
        case 9:
            answer();
            break;
        case 10:
            m_table.set_faults(random_faults());
            commit(node);
            m_table.set_faults(TableFaults());
            break;
        case 11:
            commit(node);
            if (pick(2) == 0)
                read_inbox(node);
            else
                hand_over_rows();
            break;
        case 12:
            if (pick(3) == 0)
                take(node, pick(2) == 0 ? "d0.k1" : "d1.k1");
            break;
        default:
            mishap();
            break;
        }
    }

    // The faults end, and all hear of what has happened.
    bool settle()
    {
        m_paused.clear();
        for (int round = 0; round < 3000 && open_tasks() > 0; ++round)
            settle_once();
        return open_tasks() == 0;
    }

    std::string violation()
    {
        std::map<std::string, std::vector<standin::TaskRun>> runs = m_past_runs;
        for (auto& box : m_boxes) {
            box.second->advance();
            if (box.second->breaches().over_capacity > 0)
                return box.first + " was given more than it has";
            for (const standin::TaskRun& run : box.second->runs())
                runs[run.id].push_back(run);
        }
        for (auto& item : runs) {
            auto& list = item.second;
            std::sort(list.begin(), list.end(),
                      [](const auto& a, const auto& b) { return a.start < b.start; });
            for (size_t i = 1; i < list.size(); ++i) {
                const Millis end = list[i - 1].end.value_or(m_clock.now());
                if (list[i].start < end)
                    return item.first + " ran in two places at once";
            }
        }
        return "";
    }

    // Returns the replicas that run, over all boxes, once nothing changes any more.
    int64_t settled_replicas()
    {
        for (int round = 0; round < 100; ++round)
            settle_once();
        int64_t count = 0;
        for (const auto& box : m_boxes)
            count += box.second->replicas("svc");
        return count;
    }

    // Says what the rows and the keepers hold of the tasks that have not ended.
    std::string stuck()
    {
        Failure reason;
        TableTxn read;
        read.ranges = { { "inbox/", 0 }, { "tasks/", 0 } };
        const auto result = m_table.run(read, reason);
        std::string text;
        for (const auto& range : result->ranges) {
            for (const TableRow& row : range) {
                text += row.key + " " + row.value + "\n";
                for (const auto& keeper : m_keepers) {
                    const std::string id = row.key.substr(row.key.rfind('/') + 1);
                    text += "  " + keeper->explain(id).value_or("(unknown)") + "\n";
                }
            }
        }
        return text;
    }

    int open_tasks()
    {
        Failure reason;
        TableTxn read;
        read.ranges.push_back({ rows::ended_prefix(job), 0 });
        return task_count
            - static_cast<int>(m_table.run(read, reason)->ranges.front().size());
    }

private:
    void settle_once()
    {
        m_clock.advance(Millis(100));
        for (int node = 0; node < node_count; ++node) {
            learn(node);
            work(node);
            commit(node);
        }
        while (!m_messages.empty())
            deliver_at(0, false);
        while (!m_answers.empty())
            answer_at(0);
    }

    int pick(int bound)
    {
        return static_cast<int>(m_random() % static_cast<uint64_t>(bound));
    }

    void boot(BoxInfo& info)
    {
        info.incarnation = "boot" + std::to_string(++m_boots);
        m_boxes[info.id]
            = std::make_unique<BoxEngine>(m_clock, info.incarnation, capacity, 8);
    }

    void submit()
    {
        TableTxn txn;
        for (int i = 0; i < task_count; ++i) {
            TaskRecord task;
            task.id = std::string(job) + "." + std::to_string(i);
            task.job = job;
            task.team = "team";
            task.resources = { 500 + 500 * pick(4), 1024, 0 };
            task.duration_ms = 200 + pick(5000);
            task.priority = pick(5) == 0 ? urgent_priority : 10;
            const std::string shard = pick(2) == 0 ? "d0.k1" : "d1.k1";
            txn.puts.push_back({ rows::inbox_key(shard, task.id), encode(task) });
        }
        Failure reason;
        m_table.run(txn, reason);
    }

    // A node takes a shard; its old owner hears nothing of it until it learns.
    void take(int node, const std::string& shard)
    {
        Failure reason;
        TableTxn read;
        read.ranges.push_back({ rows::shard_key(shard), 0 });
        const auto rows = m_table.run(read, reason)->ranges.front();
        ShardRecord record { shard, "node" + std::to_string(node), "1", 1 };
        TableTxn txn;
        txn.checks.push_back({ rows::shard_key(shard), 0 });
        if (!rows.empty()) {
            record.epoch = decode_shard(rows.front().value, reason)->epoch + 1;
            txn.checks.front().version = rows.front().version;
        }
        txn.puts.push_back({ rows::shard_key(shard), encode(record) });
        const auto result = m_table.run(txn, reason);
        m_keepers[static_cast<size_t>(node)]->acquire(shard, record.epoch,
                                                      result->revision);
    }

    void learn(int node)
    {
        Failure reason;
        TableTxn read;
        read.ranges.push_back({ rows::shard_key(""), 0 });
        const auto result = m_table.run(read, reason);
        for (const TableRow& row : result->ranges.front()) {
            const auto record = decode_shard(row.value, reason);
            ShardKeeper& keeper = *m_keepers[static_cast<size_t>(node)];
            const auto held = keeper.shards();
            const auto found = held.find(record->shard);
            const bool mine = record->owner == "node" + std::to_string(node);
            const bool holds = found != held.end() && found->second == record->epoch;
            if (!mine && found != held.end())
                keeper.lose(record->shard);
            if (mine && !holds)
                keeper.acquire(record->shard, record->epoch, row.version);
        }
        m_keepers[static_cast<size_t>(node)]->set_boxes(m_list);
    }

    void work(int node)
    {
        ShardKeeper& keeper = *m_keepers[static_cast<size_t>(node)];
        keeper.tick(m_load);
        for (const DueExchange& due : keeper.exchanges_due()) {
            const bool times_out = m_paused.count(due.box.id) > 0 && pick(2) == 0;
            m_messages.push_back({ node, due, times_out });
            if (times_out)
                m_answers.push_back(timed_out(m_messages.back()));
        }
    }

    static Answer timed_out(const Message& message)
    {
        return { message.node,
                 message.due.box.id,
                 message.due.exchange.epoch,
                 message.due.exchange.sequence,
                 std::nullopt,
                 Failure(FailureKind::outcome_unknown, "paused") };
    }

    // A heartbeat reads an inbox, and may reach the keeper when the rows are long out of
    // date.
    void read_inbox(int node)
    {
        for (const auto& shard : m_keepers[static_cast<size_t>(node)]->shards()) {
            Failure reason;
            const auto result
                = read_table(m_table, { { rows::inbox_prefix(shard.first), 0 } }, reason);
            m_read_rows.push_back({ node, shard.first, result->ranges.front() });
        }
    }

    void hand_over_rows()
    {
        if (m_read_rows.empty())
            return;
        const auto index = static_cast<size_t>(pick(static_cast<int>(m_read_rows.size())));
        const ReadRows read = m_read_rows[index];
        m_read_rows.erase(m_read_rows.begin() + static_cast<long>(index));
        m_keepers[static_cast<size_t>(read.node)]->arrived(read.shard, read.rows);
    }

    // Any message may overtake any other.
    void deliver()
    {
        if (!m_messages.empty())
            deliver_at(static_cast<size_t>(pick(static_cast<int>(m_messages.size()))),
                       pick(6) == 0);
    }

    void deliver_at(size_t index, bool lose_answer)
    {
        const Message message = m_messages[index];
        m_messages.erase(m_messages.begin() + static_cast<long>(index));
        Answer answer { message.node,
                        message.due.box.id,
                        message.due.exchange.epoch,
                        message.due.exchange.sequence,
                        {},
                        {} };
        if (m_paused.count(message.due.box.id) > 0) {
            // The box gets it when it goes on; the node hears that time ran out.
            m_messages.push_back(message);
            return;
        }
        answer.report = m_boxes.at(message.due.box.id)
                            ->exchange(message.due.exchange, answer.failure);
        if (lose_answer) {
            answer.report.reset();
            answer.failure = Failure(FailureKind::outcome_unknown, "lost");
        }
        if (!message.timed_out)
            m_answers.push_back(answer);
    }

    void answer()
    {
        if (!m_answers.empty())
            answer_at(static_cast<size_t>(pick(static_cast<int>(m_answers.size()))));
    }

    void answer_at(size_t index)
    {
        const Answer answer = m_answers[index];
        m_answers.erase(m_answers.begin() + static_cast<long>(index));
        m_keepers[static_cast<size_t>(answer.node)]->on_report(
            answer.box, answer.epoch, answer.sequence, answer.report, answer.failure);
    }

    void commit(int node)
    {
        ShardKeeper& keeper = *m_keepers[static_cast<size_t>(node)];
        TableLane& lane = *m_lanes[static_cast<size_t>(node)];
        const auto epochs = keeper.shards();
        for (const std::string& shard : keeper.loads_due()) {
            TableTxn txn;
            txn.ranges
                = { { rows::task_prefix(shard), 0 }, { rows::inbox_prefix(shard), 0 } };
            Failure reason;
            const auto result = lane.commit(txn, reason);
            if (result && result->committed)
                keeper.loaded(shard, epochs.at(shard), result->ranges[0],
                              result->ranges[1]);
        }
        const auto due = keeper.commit_due();
        if (!due)
            return;
        Failure reason;
        const auto result = lane.commit(due->txn, reason);
        keeper.on_committed(due->id, result, reason);
    }

    TableFaults random_faults()
    {
        TableFaults faults;
        faults.lose_answers = pick(6);
        faults.lose_requests = pick(6);
        faults.down = pick(4) == 0;
        return faults;
    }

    void mishap()
    {
        BoxInfo& info = m_list[static_cast<size_t>(pick(static_cast<int>(m_list.size())))];
        switch (pick(6)) {
        case 0:
            // The exchanges that wait time out at their senders and arrive all the same.
            m_paused.insert(info.id);
            for (Message& message : m_messages) {
                if (message.due.box.id != info.id || message.timed_out)
                    continue;
                message.timed_out = true;
                m_answers.push_back(timed_out(message));
            }
            break;
        case 1:
        case 2:
            m_paused.erase(info.id);
            break;
        case 3:
            if (pick(3) == 0)
                restart(info);
            break;
        case 4:
            m_clock.advance(Millis(30000 + pick(60000)));
            break;
        default:
            learn(pick(node_count));
            break;
        }
    }

    void restart(BoxInfo& info)
    {
        m_boxes.at(info.id)->advance();
        for (standin::TaskRun run : m_boxes.at(info.id)->runs()) {
            run.end = run.end.value_or(m_clock.now());
            m_past_runs[run.id].push_back(run);
        }
        m_paused.erase(info.id);
        boot(info);
    }

    std::mt19937_64 m_random;
    ManualClock m_clock;
    TableEngine m_table;
    NoLoad m_load;
    int m_boots = 0;
    std::vector<BoxInfo> m_list;
    std::map<std::string, std::unique_ptr<BoxEngine>> m_boxes;
    std::set<std::string> m_paused;
    std::vector<std::unique_ptr<ShardKeeper>> m_keepers;
    std::vector<std::unique_ptr<TableLane>> m_lanes;
    std::vector<Message> m_messages;
    std::vector<Answer> m_answers;
    std::vector<ReadRows> m_read_rows;
    std::map<std::string, std::vector<standin::TaskRun>> m_past_runs;
};

} // namespace keeper_test
