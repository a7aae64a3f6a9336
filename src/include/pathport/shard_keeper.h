// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What an owner holds of its shards: boxes, replicas and batch tasks. It decides what runs
/// where, and says which exchanges and transactions are due; it does no input or output
/// itself. docs/design/tasks.md describes the states.

#pragma once

#include <pathport/clock.h>
#include <pathport/dispatcher.h>
#include <pathport/placer.h>
#include <pathport/platform.h>
#include <pathport/policy.h>
#include <pathport/table.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pathport {

/// The spans of the exchanges with boxes.
struct KeeperSpans {
    Millis box_lease { 60000 }; ///< Lease of the tasks on a box.
    Millis lapse_margin { 2000 }; ///< Waited beyond a lease before it counts as lapsed.
    Millis idle_beat { 5000 }; ///< Between exchanges with a box on which nothing changes.
    Millis busy_beat {
        250
    }; ///< Between exchanges with a box whose state will change soon.
    Millis retry_beat { 500 }; ///< Between exchanges with a box that does not answer.
    Millis unreachable_after {
        3000
    }; ///< Without an answer so long, replicas count as lost.
    Millis drain_limit { 30000 }; ///< Longest wait for requests on a replica to be stopped.
    Millis checkpoint_limit { 3000 }; ///< Longest wait for a checkpoint before a stop.
    Millis move_after {
        300
    }; ///< A task without a place may move to another shard after this.
};

/// An exchange that is due.
struct DueExchange {
    BoxInfo box;
    BoxExchange exchange;
};

/// A transaction that is due. Report its result with on_committed().
struct DueCommit {
    int64_t id = 0;
    TableTxn txn;
};

/// A pending task that has found no place on this node's shards.
struct WaitingTask {
    TaskRecord record;
    std::string shard; ///< Under which it waits.
    Failure reason;
};

/// Tells how busy replicas are.
class ReplicaLoad {
public:
    virtual ~ReplicaLoad() = default;

    /// Returns how many requests may be under way for `service` on `box`.
    virtual int64_t in_flight(const std::string& box, const std::string& service) const = 0;
};

/// What the keeper did with a report.
enum class ReportUse {
    ignored, ///< There was none, or it belongs to an earlier ownership.
    taken,
    first, ///< Taken, as the first under the present epoch: the box is fenced now.
};

/// What the keeper has done so far.
struct KeeperCounters {
    int64_t placements = 0; ///< Tasks and replicas that got a place.
    int64_t tasks_done = 0;
    int64_t tasks_failed = 0;
    int64_t tasks_lost = 0; ///< Tasks whose box went away; they were queued again.
    int64_t tasks_stopped = 0; ///< Tasks stopped for a more urgent one.
    int64_t replicas_lost = 0;
};

/// Keys of the rows that a keeper works on.
namespace rows {
std::string shard_key(const std::string& shard);
std::string inbox_prefix(const std::string& shard);
std::string inbox_key(const std::string& shard, const std::string& task);
std::string task_prefix(const std::string& shard);
std::string task_key(const std::string& shard, const std::string& task);
std::string ended_prefix(const std::string& job);
std::string ended_key(const std::string& job, const std::string& task);
} // namespace rows

/// Keeps the shards that this node owns. Safe from any thread; one lock guards it all.
class ShardKeeper {
public:
    ShardKeeper(const Clock& clock, std::string owner, KeeperSpans spans);
    ~ShardKeeper();
    ShardKeeper(const ShardKeeper&) = delete;
    ShardKeeper& operator=(const ShardKeeper&) = delete;

    /// Takes over a shard under `epoch`. `row_version` is the version of its row, which
    /// each transaction checks. Its rows have to be loaded next.
    void acquire(const std::string& shard, int64_t epoch, int64_t row_version);
    /// Gives up a shard, with all that is held of it.
    void lose(const std::string& shard);
    /// Returns the owned shards with their epochs.
    std::map<std::string, int64_t> shards() const;

    /// Returns shards whose rows have to be loaded: all under rows::task_prefix() and
    /// rows::inbox_prefix().
    std::vector<std::string> loads_due() const;
    /// Takes in the rows of a shard, as they stood at one revision.
    void loaded(const std::string& shard, int64_t epoch, const std::vector<TableRow>& tasks,
                const std::vector<TableRow>& inbox);
    /// Takes in new rows of the inbox of a loaded shard.
    void arrived(const std::string& shard, const std::vector<TableRow>& inbox);

    /// Replaces the list of boxes.
    void set_boxes(const std::vector<BoxInfo>& boxes);
    /// Replaces the policy.
    void set_policy(std::shared_ptr<const Policy> policy);
    /// Replaces the services, and how many replicas of each the owned shards have to run.
    void
    set_services(const std::map<std::string, ServiceSpec>& services,
                 const std::map<std::string, std::map<std::string, int64_t>>& by_shard);
    /// Replaces the quotas, and what the teams hold on other nodes.
    void set_quotas(const std::map<std::string, Resources>& limits,
                    const std::map<std::string, Resources>& used_elsewhere);

    /// Decides what is to be decided at present. `load` tells whether a replica is idle and
    /// may be stopped.
    void tick(const ReplicaLoad& load);

    /// Returns the exchanges that are due, and counts them as sent.
    std::vector<DueExchange> exchanges_due();
    /// Takes in what came of the exchange `sequence` with `box` under `epoch`. One that was
    /// sent before the shard was acquired or loaded, or before one that has been taken, is
    /// ignored.
    ReportUse on_report(const std::string& box, int64_t epoch, int64_t sequence,
                        const std::optional<BoxReport>& report, const Failure& failure);
    /// Asks for an exchange with `box` at once.
    void hurry(const std::string& box);

    /// Returns the transaction that is due, if any; there is at most one at a time.
    std::optional<DueCommit> commit_due();
    /// Takes in what came of a transaction. A result whose shard rows have changed means
    /// that the shards are lost, and their names are returned. No result with
    /// `outcome_unknown` makes the shards load again.
    std::vector<std::string> on_committed(int64_t id,
                                          const std::optional<TableResult>& result,
                                          const Failure& failure);

    /// Returns the boxes that take requests now.
    std::vector<Target> targets() const;
    /// Returns how many boxes of each owned shard take work, what is free there, and how
    /// many tasks wait.
    std::vector<ShardSummary> summaries() const;
    /// Returns what each team's batch tasks and replicas hold on the owned shards.
    std::map<std::string, Resources> team_use() const;
    /// Returns tasks that have waited for some time without finding a place here.
    std::vector<WaitingTask> waiting_tasks() const;
    /// Moves a waiting task to the inbox of a shard of another node, with the next
    /// transaction.
    void move_task(const std::string& task, const std::string& to_shard);
    /// Returns the shards of other nodes to whose inboxes tasks were moved since the last
    /// call.
    std::vector<std::string> take_moved_to();
    /// Returns why a task waits, or where it is; nothing when it is not known here.
    std::optional<std::string> explain(const std::string& task) const;
    /// Returns what has been done so far.
    KeeperCounters counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pathport
