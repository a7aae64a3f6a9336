// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The systems around pathport other than the table: boxes, the box list and the object
/// store. Decisions see only these interfaces; docs/protocols.md describes what travels.

#pragma once

#include <pathport/failure.h>
#include <pathport/model.h>
#include <pathport/peer.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pathport {

/// What a task on a box does at present.
enum class BoxTaskState {
    running,
    checkpointed, ///< Its checkpoint is saved; it goes on running until it is stopped.
    done, ///< It ended well.
    failed, ///< It ended with an error.
    stopped, ///< It was stopped by command, or its lease lapsed.
};

/// One task on a box, as the box reports it.
struct BoxTask {
    std::string id;
    int64_t attempt = 0;
    std::string service; ///< The service that it is a replica of; empty for a batch task.
    Resources resources;
    BoxTaskState state = BoxTaskState::running;

    bool operator==(const BoxTask& other) const
    {
        return id == other.id && attempt == other.attempt && service == other.service
            && resources == other.resources && state == other.state;
    }
};

/// What a command asks of a box.
enum class BoxCommandType { start, stop, checkpoint, throttle };

/// The attempt of a command that means whatever attempt runs.
constexpr int64_t any_attempt = -1;

/// One command to a box.
struct BoxCommand {
    BoxCommandType type = BoxCommandType::start;
    std::string id;
    int64_t attempt = 0;
    std::string service; ///< For a replica; empty for a batch task.
    Resources resources; ///< Of a task to start.
    int64_t duration_ms = 0; ///< Of a batch task to start.
};

/// One exchange with a box: it carries the epoch, renews the lease of all its tasks, gives
/// commands, and brings back a report.
///
/// The lease is renewed from a point on the box's own clock, which the owner knows from a
/// report: an exchange that is held up on its way can't stretch the lease beyond what the
/// owner counts from the receipt of that report.
struct BoxExchange {
    std::string shard;
    int64_t epoch = 0;
    /// Rises with each exchange under an epoch. A box carries out none that comes after a
    /// later one: it could start again what has ended since and is forgotten.
    int64_t sequence = 0;
    std::string owner; ///< Node id and incarnation, for the box's log.
    /// The box's incarnation that the commands are for; another one carries none of them
    /// out.
    std::string incarnation;
    Millis lease; ///< The box ends all its tasks when nothing renews them for so long.
    Millis renew_from; ///< Box time from which `lease` counts; 0 renews nothing.
    int64_t known_report
        = 0; ///< Report version that the owner has; 0 asks for a full report.
    std::vector<BoxCommand> commands;
    std::vector<std::string> forget; ///< Ended tasks whose end the owner has recorded.
};

/// What a box reports.
struct BoxReport {
    std::string incarnation;
    Millis time; ///< The box's own clock; only the box compares it.
    int64_t epoch = 0; ///< The highest epoch that the box has accepted.
    int64_t report = 0; ///< Version of this report.
    bool full = false; ///< Whether `tasks` holds all tasks, or just the changed ones.
    std::vector<BoxTask> tasks;
    int64_t busy = 0; ///< Requests that run at present.
    Resources used; ///< Measured use; it lags behind.
};

/// Takes commands for boxes.
class BoxAgent {
public:
    virtual ~BoxAgent() = default;

    /// Makes one exchange with `box`. `done` gets the report, or the failure: `stale_epoch`
    /// when the box has accepted a higher epoch, `conflict` when it has carried out a later
    /// exchange, `unavailable` when nothing has reached it, `outcome_unknown` otherwise.
    virtual void exchange(const BoxInfo& box, const BoxExchange& exchange,
                          std::function<void(std::optional<BoxReport>, Failure)> done)
        = 0;
};

/// Carries requests to targets.
class TargetClient {
public:
    virtual ~TargetClient() = default;

    /// Sends `request` to the replica of its service on `box` under the shard's `epoch`.
    virtual void send(const BoxInfo& box, int64_t epoch, const ForwardRequest& request,
                      std::function<void(ForwardAnswer)> done)
        = 0;
};

/// The list of boxes. It lags behind reality.
class BoxList {
public:
    virtual ~BoxList() = default;

    /// Reads the list and waits for it. Returns nothing when it can't be had, or when it
    /// has not changed since the last read; `reason` is set only in the first case.
    virtual std::optional<std::vector<BoxInfo>> read(Failure& reason) = 0;
};

/// The platform's object store.
class ObjectStore {
public:
    virtual ~ObjectStore() = default;

    /// Stores `content` under `key` and waits. Returns false and sets `reason` on failure.
    virtual bool put(const std::string& key, const std::string& content, Failure& reason)
        = 0;
    /// Reads the object `key` and waits. Returns nothing and sets `reason` on failure.
    virtual std::optional<std::string> get(const std::string& key, Failure& reason) = 0;
};

/// Encodes an exchange for the wire (JSON).
std::string encode(const BoxExchange& exchange);
/// Decodes an exchange; returns nothing and sets `reason` when it is malformed.
std::optional<BoxExchange> decode_exchange(const std::string& text, Failure& reason);
/// Encodes a report for the wire (JSON).
std::string encode(const BoxReport& report);
/// Decodes a report; returns nothing and sets `reason` when it is malformed.
std::optional<BoxReport> decode_report(const std::string& text, Failure& reason);

} // namespace pathport
