// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The state of a ShardKeeper, and the steps that work on it. The parts live in
/// keeper_boxes.cpp, keeper_services.cpp, keeper_tasks.cpp and keeper_commits.cpp.

#pragma once

#include <pathport/shard_keeper.h>

#include <deque>
#include <utility>

namespace pathport {

/// Where a replica or a batch task is, as its owner sees it.
enum class Phase {
    committing, ///< A batch task has its place; the row that says so is not yet written.
    starting, ///< A start command is to be sent, or its effect is not yet reported.
    running,
    draining, ///< A replica takes no new requests and will be stopped when it is idle.
    checkpointing, ///< A batch task saves its state and will then be stopped.
    stopping, ///< A stop command is to be sent, or its effect is not yet reported.
    ended, ///< A batch task's end was reported; the row that says so is not yet written.
};

/// Returns a phrase for people.
const char* to_string(Phase phase);

/// What happens to a batch task once it has stopped.
enum class AfterStop { queue_again, end_as_failed };

/// One replica or batch task with a place.
struct Entry {
    std::string id;
    std::string box;
    std::string shard;
    PolicyTask task; ///< Its `is_service` tells replicas from batch tasks.
    TaskRecord record; ///< Of a batch task.
    int64_t attempt = 0;
    int64_t row_version = 0; ///< Of a batch task's row, when it was last read or written.
    Phase phase = Phase::starting;
    Millis since; ///< When the phase began.
    Millis expected_end; ///< Of a running batch task.
    AfterStop after_stop = AfterStop::queue_again;
    bool checkpoint_sent = false;
    bool holds_room = false; ///< Whether it counts in the placer and in its team's use.
};

/// One box of an owned shard.
struct BoxView {
    BoxInfo info;
    bool fenced
        = false; ///< Whether a full report has come under the shard's present epoch.
    int64_t known_report = 0;
    std::string incarnation; ///< As last reported.
    Millis report_time; ///< Box time of the last report.
    Millis last_report; ///< Local time at which it was received; 0 when there was none.
    bool in_exchange = false;
    int64_t taken_sequence = 0; ///< Answers to exchanges up to this one come too late.
    Millis first_failure; ///< Of the present row of failures; 0 when there is none.
    int refusals = 0; ///< Failures in a row that surely did not reach the box.
    bool unreachable = false;
    Millis next_due;
    std::vector<std::string> forget;
    std::set<std::string> entries;
};

/// One owned shard.
struct OwnedShard {
    int64_t epoch = 0;
    int64_t row_version = 0;
    bool loaded = false;
    std::set<std::string> cancels; ///< Jobs whose tasks are being dropped.
};

/// A batch task that waits for a place.
struct Pending {
    TaskRecord record;
    std::string shard;
    int64_t row_version = 0; ///< Of its row in the inbox.
    double rank = 0;
    Millis arrived;
    Failure reason; ///< Why it waits.
    int64_t tried_at = -1; ///< State of the placer when it last found no place.
    bool moving = false;
};

/// Writes that belong together, and what follows once they have taken effect.
struct RowChange {
    enum class Type { assign, end, queue_again, move, uncancel };
    Type type = Type::assign;
    std::string id; ///< Task, or job for `uncancel`.
    std::set<std::string> shards; ///< Owned shards whose rows are checked.
    std::optional<TableCheck> inbox_row; ///< The inbox row that it uses up.
    std::vector<TablePut> puts;
    std::vector<std::string> deletes;
    TaskRecord record; ///< As it is afterwards.
    std::string to_shard; ///< Of a move.
};

/// The state, under one lock.
class ShardKeeper::Impl {
public:
    Impl(const Clock& clock, std::string owner, KeeperSpans spans)
        : m_clock(clock)
        , m_owner(std::move(owner))
        , m_spans(spans)
        , m_policy(std::make_shared<DefaultPolicy>())
    {
    }

    // keeper_boxes.cpp
    void add_boxes_of(const std::string& shard);
    void drop_shard(const std::string& shard);
    void set_boxes(const std::vector<BoxInfo>& boxes);
    void drop_ghosts_of(const std::string& box);
    void update_usable(BoxView& box);
    void check_boxes();
    std::vector<DueExchange> exchanges_due();
    BoxExchange make_exchange(BoxView& box, const OwnedShard& shard);
    ReportUse on_report(const std::string& id, int64_t epoch, int64_t sequence,
                        const std::optional<BoxReport>& report, const Failure& failure);
    void on_exchange_failed(BoxView& box, const Failure& failure);
    void take_report(BoxView& box, const BoxReport& report);
    bool is_overfull(const BoxView& box) const;
    void take_task(BoxView& box, const BoxTask& task);
    void adopt_unknown(BoxView& box, const BoxTask& task);
    void lose_incarnation(BoxView& box);
    bool needs_command(const BoxView& box) const;
    Millis next_exchange(const BoxView& box) const;

    // keeper_services.cpp
    void place_services();
    void place_service(const std::string& shard, const std::string& service, int64_t wanted,
                       const std::vector<Entry*>& replicas);
    std::string new_replica_id(const std::string& service);
    void drain_surplus(std::vector<Entry*> replicas, const ServiceSpec* spec,
                       int64_t surplus);
    void drain_leaving();
    void stop_idle(const ReplicaLoad& load);

    // keeper_tasks.cpp
    void load(const std::string& shard, const std::vector<TableRow>& tasks,
              const std::vector<TableRow>& inbox);
    void arrive(const std::string& shard, const std::vector<TableRow>& inbox);
    void add_pending(const std::string& shard, const TaskRecord& record,
                     int64_t row_version);
    void place_pending();
    bool place_task(Pending& pending);
    bool is_over_quota(const PolicyTask& task, std::string& detail) const;
    void make_room(const Pending& pending);
    void advance_stops();
    void cancel(const std::string& job);
    void check_cancels();
    void end_task(Entry& entry, TaskState state);
    void queue_again(Entry& entry);

    // keeper_commits.cpp
    std::optional<DueCommit> commit_due();
    std::vector<std::string> on_committed(int64_t id,
                                          const std::optional<TableResult>& result,
                                          const Failure& failure);
    void apply(const RowChange& change, int64_t revision);
    void undo_assignment(const RowChange& change);
    void drop_assignment(const RowChange& change);
    void drop_moved(const RowChange& change);
    void reload(const std::string& shard);

    // Shared steps.
    bool is_outdated(const std::string& id, int64_t row_version) const;
    void forget_older(const std::string& id);
    Entry& add_entry(Entry entry, bool force);
    Entry* find_entry(const RowChange& change);
    void remove_entry(const std::string& id, bool forget_on_box);
    void free_room(Entry& entry);
    void set_phase(Entry& entry, Phase phase);
    void changed() { ++m_generation; }

    const Clock& m_clock;
    std::string m_owner;
    KeeperSpans m_spans;
    std::mutex m_mutex;
    std::shared_ptr<const Policy> m_policy;
    Placer m_placer;
    int64_t m_generation = 0; ///< Raised whenever a place may have become free.
    std::map<std::string, BoxInfo> m_box_list;
    std::map<std::string, OwnedShard> m_shards;
    std::map<std::string, BoxView> m_boxes;
    std::map<std::string, Entry> m_entries;
    std::map<std::string, Pending> m_pending;
    std::map<std::string, std::string>
        m_ghosts; ///< Tasks that run where they must not; by id.
    std::map<std::string, Millis>
        m_making_room; ///< Urgent tasks for which others are stopped.
    std::map<std::string, ServiceSpec> m_services;
    std::map<std::string, std::map<std::string, int64_t>>
        m_wanted; ///< By shard and service.
    std::map<std::string, std::map<std::string, int64_t>>
        m_refused; ///< By shard and service.
    std::map<std::string, Resources> m_quotas;
    std::map<std::string, Resources> m_used_elsewhere;
    std::deque<RowChange> m_changes;
    std::vector<RowChange> m_in_commit;
    int64_t m_commit_id = 0;
    bool m_committing = false;
    std::set<std::string> m_moved_to;
    int64_t m_replica_number = 0;
    int64_t m_sequence = 0; ///< Of the last exchange.
    Millis m_services_placed; ///< When place_services() last ran.
    std::map<std::string, Resources> m_team_use; ///< Of all entries that hold room.
    KeeperCounters m_counters;
};

/// Returns what a policy sees of a batch task.
PolicyTask to_policy_task(const TaskRecord& record);

} // namespace pathport
