// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The values that pathport's decisions work on. They are plain data: they are filled once
/// and then passed on unchanged.

#pragma once

#include <pathport/clock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace pathport {

/// An amount of what a box offers and a task needs.
struct Resources {
    int64_t cpu_millis = 0; ///< Thousandths of a processor.
    int64_t memory_mb = 0; ///< Mebibytes.
    int64_t accelerators = 0; ///< Whole accelerators.

    bool operator==(const Resources& other) const
    {
        return cpu_millis == other.cpu_millis && memory_mb == other.memory_mb
            && accelerators == other.accelerators;
    }
    bool operator!=(const Resources& other) const { return !(*this == other); }
    Resources operator+(const Resources& other) const
    {
        return { cpu_millis + other.cpu_millis, memory_mb + other.memory_mb,
                 accelerators + other.accelerators };
    }
    Resources operator-(const Resources& other) const
    {
        return { cpu_millis - other.cpu_millis, memory_mb - other.memory_mb,
                 accelerators - other.accelerators };
    }
    Resources operator*(int64_t factor) const
    {
        return { cpu_millis * factor, memory_mb * factor, accelerators * factor };
    }
    /// Returns whether this amount fits into `free` in every dimension.
    bool fits_in(const Resources& free) const
    {
        return cpu_millis <= free.cpu_millis && memory_mb <= free.memory_mb
            && accelerators <= free.accelerators;
    }
};

/// What the box list says about a box.
enum class BoxState {
    live, ///< It takes work.
    leaving, ///< It takes no new work and will go.
    gone, ///< The platform has surely ended it and all that ran there.
};

/// One box, as the platform's box list gives it.
struct BoxInfo {
    std::string id;
    std::string incarnation; ///< Changes each time the box restarts or is replaced.
    std::string region;
    std::string domain; ///< Its failure domain.
    std::string rack;
    Resources capacity;
    int64_t slots = 8; ///< Requests that run at a time.
    int64_t connections = 64; ///< Connections that it accepts.
    std::string control_address; ///< IP:port that takes commands.
    std::string work_address; ///< IP:port that takes requests for its replicas.
    BoxState state = BoxState::live;

    /// Returns the name of the ownership shard that the box belongs to: one for each rack.
    std::string shard() const { return domain + "." + rack; }
    bool operator==(const BoxInfo& other) const;
    bool operator!=(const BoxInfo& other) const { return !(*this == other); }
};

/// A service: a number of interchangeable replicas that answer requests.
struct ServiceSpec {
    std::string name;
    std::string team;
    Resources resources; ///< Of one replica.
    int64_t replicas = 1;
    int64_t window_ms = 1000; ///< Time within which a request must be answered.
    int64_t priority = 100; ///< Higher goes first.

    bool operator==(const ServiceSpec& other) const;
    bool operator!=(const ServiceSpec& other) const { return !(*this == other); }
};

/// A batch job: a number of tasks, each of which runs to its end in one place at a time.
struct JobSpec {
    std::string name;
    std::string team;
    Resources resources; ///< Of one task.
    int64_t tasks = 1;
    int64_t duration_ms = 1000; ///< Expected run time of one task.
    int64_t priority = 10; ///< Higher goes first; 1000 and above is urgent.
    bool stoppable = true; ///< Whether a task may be stopped and started again.

    bool operator==(const JobSpec& other) const;
    bool operator!=(const JobSpec& other) const { return !(*this == other); }
};

/// The priority from which a task counts as urgent.
constexpr int64_t urgent_priority = 1000;

/// The most that one team's tasks may hold in the cell.
struct QuotaSpec {
    std::string team;
    Resources limit;

    bool operator==(const QuotaSpec& other) const
    {
        return team == other.team && limit == other.limit;
    }
    bool operator!=(const QuotaSpec& other) const { return !(*this == other); }
};

/// The cell's policy program.
struct PolicySpec {
    std::string program; ///< Lua source.

    bool operator==(const PolicySpec& other) const { return program == other.program; }
    bool operator!=(const PolicySpec& other) const { return !(*this == other); }
};

/// Where a batch task is in its life.
enum class TaskState {
    pending, ///< It waits for a place.
    assigned, ///< It has a box; it runs there or is about to.
    done, ///< It ended well.
    failed, ///< It ended with an error.
};

/// Returns the lower-case name of `state`.
const char* to_string(TaskState state);

/// One batch task, as its row in the table holds it.
struct TaskRecord {
    std::string id; ///< "<job>.<index>".
    std::string job;
    std::string team;
    Resources resources;
    int64_t duration_ms = 0;
    int64_t priority = 0;
    bool stoppable = true;
    int64_t submitted_ms = 0; ///< Wall time of its submission, for people.
    TaskState state = TaskState::pending;
    int64_t attempt = 0; ///< Raised by each assignment; the task's fencing token.
    std::string box;
    std::string box_incarnation;

    bool operator==(const TaskRecord& other) const;
    bool operator!=(const TaskRecord& other) const { return !(*this == other); }
};

/// Who owns a shard of boxes.
struct ShardRecord {
    std::string shard;
    std::string owner; ///< Node id.
    std::string owner_incarnation;
    int64_t epoch = 0; ///< Raised by each change of owner.

    bool operator==(const ShardRecord& other) const
    {
        return shard == other.shard && owner == other.owner
            && owner_incarnation == other.owner_incarnation && epoch == other.epoch;
    }
    bool operator!=(const ShardRecord& other) const { return !(*this == other); }
};

/// What a node says about itself.
enum class NodeState {
    live, ///< It owns shards and takes requests.
    leaving, ///< It hands its shards over and takes no new ones.
    left, ///< It has ended in order.
};

/// One node's row in the table.
struct NodeRecord {
    std::string node;
    std::string incarnation; ///< Changes with each start of the process.
    int64_t counter = 0; ///< Raised by each heartbeat.
    std::string region;
    std::string domain;
    std::string peer_address; ///< IP:port for peers.
    NodeState state = NodeState::live;

    bool operator==(const NodeRecord& other) const
    {
        return node == other.node && incarnation == other.incarnation
            && counter == other.counter && region == other.region && domain == other.domain
            && peer_address == other.peer_address && state == other.state;
    }
    bool operator!=(const NodeRecord& other) const { return !(*this == other); }
};

/// One accepted change, as the audit trail holds it.
struct AuditRecord {
    int64_t revision = 0;
    std::string who;
    std::string node; ///< The node that accepted it.
    int64_t wall_ms = 0; ///< For people.
    std::string what; ///< "put" or "delete".
    std::string key; ///< "<kind>/<name>".
    std::string before; ///< The value before, as JSON; empty when there was none.
    std::string after; ///< The value after, as JSON; empty when there is none.

    bool operator==(const AuditRecord& other) const;
    bool operator!=(const AuditRecord& other) const { return !(*this == other); }
};

} // namespace pathport
