// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Stand-in for one box: leases with epochs, capacity, tasks and request slots. It judges
/// what it is told to do and counts each breach of a promise.

#pragma once

#include <pathport/clock.h>
#include <pathport/platform.h>

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace standin {

/// What the box decides about a request.
enum class RequestVerdict { run, stale_epoch, no_replica, busy };

/// One span in which a batch task ran here. `end` is nothing while it runs.
struct TaskRun {
    std::string id;
    int64_t attempt = 0;
    pathport::Millis start;
    std::optional<pathport::Millis> end;
};

/// How often the box was told to break a promise. A correct scheduler leaves all at 0.
struct BoxBreaches {
    int64_t over_capacity = 0; ///< Starts beyond what the box has; they are refused.
    int64_t over_slots = 0; ///< Requests beyond the slots; they are refused.
};

/// The box. Safe from any thread.
class BoxEngine {
public:
    BoxEngine(const pathport::Clock& clock, std::string incarnation,
              pathport::Resources capacity, int64_t slots);

    /// Handles one exchange. Returns nothing when its epoch is older than one already seen
    /// (`stale_epoch`), or a later exchange of its epoch was handled (`conflict`).
    std::optional<pathport::BoxReport> exchange(const pathport::BoxExchange& exchange,
                                                pathport::Failure& reason);

    /// Decides about a request for `service` under `epoch`. After `run` a slot is taken.
    RequestVerdict begin_request(int64_t epoch, const std::string& service,
                                 const std::string& request_id);
    /// Frees the slot of a request that was run.
    void end_request();

    /// Ends tasks whose time or lease is over. Each other call does so first, so a box that
    /// was paused never goes on with a task whose lease lapsed meanwhile.
    void advance();

    BoxBreaches breaches() const;
    /// Returns all spans in which batch tasks ran.
    std::vector<TaskRun> runs() const;
    /// Returns how often each request id ran.
    std::map<std::string, int64_t> request_runs() const;
    /// Returns what is allocated at present.
    pathport::Resources allocated() const;
    /// Returns how many replicas of `service` run.
    int64_t replicas(const std::string& service) const;

private:
    struct Task {
        pathport::BoxTask task;
        pathport::Millis end_time; ///< Of a batch task.
        int64_t changed = 0; ///< Report version of the last change.
        size_t run = 0; ///< Index of its span, for a batch task.
    };

    void advance_locked();
    void execute(const pathport::BoxCommand& command);
    void start(const pathport::BoxCommand& command);
    void finish(Task& task, pathport::BoxTaskState state, pathport::Millis end);
    pathport::Resources allocated_locked() const;
    pathport::BoxReport report(int64_t known) const;

    const pathport::Clock& m_clock;
    std::string m_incarnation;
    pathport::Resources m_capacity;
    int64_t m_slots;
    mutable std::mutex m_mutex;
    int64_t m_epoch = 0;
    int64_t m_sequence = 0; ///< Of the last exchange under the epoch.
    int64_t m_report = 1;
    int64_t m_busy = 0;
    pathport::Millis m_lease_end;
    std::map<std::string, Task> m_tasks;
    std::vector<TaskRun> m_runs;
    std::map<std::string, int64_t> m_request_runs;
    BoxBreaches m_breaches;
};

} // namespace standin
