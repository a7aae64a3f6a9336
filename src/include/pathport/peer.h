// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What pathport's nodes say to each other, over Cap'n Proto RPC, which stays hidden.

#pragma once

#include <pathport/admission.h>
#include <pathport/clock.h>
#include <pathport/failure.h>
#include <pathport/model.h>
#include <pathport/settings.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pathport {

/// What became of a caller's request. The kinds are never blurred.
enum class RequestOutcome {
    answered, ///< It ran, and the answer is the target's.
    not_run, ///< It did not run and will not; it is safe to send it again.
    may_have_run, ///< It may have run, or may still run.
    failed, ///< It ran, and the target reports an error.
};

/// Returns the lower-case name of `outcome`.
const char* to_string(RequestOutcome outcome);

/// What the receiver of a forwarded request has to do with it.
enum class ForwardStage {
    dispatch, ///< Send it to a replica on a box that the receiver owns.
    admit, ///< Admit its id, as the owner of the id's admission range, then route it.
};

/// A caller's request on its way between nodes.
struct ForwardRequest {
    std::string request_id;
    std::string service;
    std::string path; ///< Path for the target, starting with '/'.
    std::string content_type;
    std::string body;
    bool repeatable = false;
    Millis time_left; ///< How long the caller still waits.
    ForwardStage stage = ForwardStage::dispatch;
    std::string from; ///< Node that forwards it.
};

/// The answer to a caller's request, on its way back.
struct ForwardAnswer {
    RequestOutcome outcome = RequestOutcome::not_run;
    int status = 0; ///< The target's HTTP status, when it answered.
    std::string content_type;
    std::string body;
    Millis retry_after; ///< When to come back, for a request that was not run.
    Failure failure; ///< Why there is no answer from the target.
};

/// Returns the answer to a request that was not run, and when to come back.
ForwardAnswer not_run_answer(FailureKind kind, const std::string& detail,
                             Millis retry_after);
/// Returns the answer to a request of unknown outcome.
ForwardAnswer may_have_run_answer(const std::string& detail);

/// The load of one service on one shard.
struct ServiceLoad {
    std::string service;
    int64_t running = 0; ///< Running replicas.
    int64_t slots = 0; ///< Slots of the boxes that run them.
    int64_t busy = 0; ///< Requests in flight on those slots.
    int64_t queued = 0; ///< Requests that wait at the owner.
    int64_t refused = 0; ///< Replicas that the shard had no room for.

    bool operator==(const ServiceLoad& other) const
    {
        return service == other.service && running == other.running && slots == other.slots
            && busy == other.busy && queued == other.queued && refused == other.refused;
    }
};

/// What an owner tells its peers about one of its shards.
struct ShardSummary {
    std::string shard;
    int64_t epoch = 0;
    std::string region;
    std::string domain;
    int64_t boxes = 0; ///< Boxes that take work.
    Resources free;
    int64_t pending = 0; ///< Batch tasks that wait for a place.
    std::vector<ServiceLoad> services;

    bool operator==(const ShardSummary& other) const
    {
        return shard == other.shard && epoch == other.epoch && region == other.region
            && domain == other.domain && boxes == other.boxes && free == other.free
            && pending == other.pending && services == other.services;
    }
};

/// What one team's tasks hold on the sender's boxes.
struct TeamUse {
    std::string team;
    Resources used;

    bool operator==(const TeamUse& other) const
    {
        return team == other.team && used == other.used;
    }
};

/// A direct heartbeat between two nodes.
struct Beat {
    std::string node;
    std::string incarnation;
    std::string region;
    int64_t config_revision = 0;
    int64_t version = 0; ///< Of the sender's load, after this beat.
    int64_t base = 0; ///< Version that the changes build on; 0 when all is told.
    int64_t known = 0; ///< Version of the receiver's load that the sender holds.
    Millis promise; ///< The sender takes no shard of the receiver for so long.
    std::vector<ShardSummary> shards; ///< Changed since `base`.
    std::vector<std::string> gone; ///< Shards that the sender no longer owns, since `base`.
    std::vector<TeamUse> teams; ///< Changed since `base`; empty amounts for what has gone.
};

/// One configuration row, as peers pass it on.
struct ConfigRow {
    std::string key; ///< "<kind>/<name>".
    std::string value; ///< JSON; empty for a removed row.
    int64_t revision = 0;

    bool operator==(const ConfigRow& other) const
    {
        return key == other.key && value == other.value && revision == other.revision;
    }
};

/// Handles what peers send. Calls arrive on the hub's thread and must not block.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;

    /// Handles a forwarded request; `done` is called exactly once, from any thread.
    virtual void on_forward(ForwardRequest request, std::function<void(ForwardAnswer)> done)
        = 0;
    /// Handles a heartbeat and returns this node's own.
    virtual Beat on_beat(const Beat& beat) = 0;
    /// Returns the configuration rows with a higher revision than `revision`.
    virtual std::vector<ConfigRow> on_config_since(int64_t revision) = 0;
    /// Tells that work has arrived in the table for some of this node's shards.
    virtual void on_wake(const std::vector<std::string>& shards) = 0;
    /// Takes in what the last owner of an admission range knew of it.
    virtual void on_hand_over(const std::string& shard, int64_t epoch,
                              const RangeMemory& memory)
        = 0;
    /// Answers an operator's question that only this node can answer; nothing when it
    /// can't.
    virtual std::optional<std::string> on_ask(const std::string& kind,
                                              const std::string& name)
        = 0;
};

/// A node's connections with its peers: a server on one address, and a client connection to
/// each peer that is spoken to.
class PeerHub {
public:
    /// Makes a hub; `handler` outlives it. Calls end after `timeout`.
    PeerHub(Address listen, Millis timeout, PeerHandler& handler);
    ~PeerHub();
    PeerHub(const PeerHub&) = delete;
    PeerHub& operator=(const PeerHub&) = delete;

    /// Starts listening. Returns false and sets `reason` when the address can't be used.
    bool start(Failure& reason);
    /// Ends all connections and the hub's thread. Forwards that peers have sent get their
    /// answers first, for up to half a second; own calls under way end as failures.
    void stop();

    /// Forwards `request`. When no answer comes, the outcome is `not_run` only if the
    /// request surely did not leave this node.
    void forward(const std::string& address, const ForwardRequest& request,
                 std::function<void(ForwardAnswer)> done);
    /// Sends a heartbeat; `done` gets the peer's own, or nothing.
    void beat(const std::string& address, const Beat& beat,
              std::function<void(std::optional<Beat>)> done);
    /// Asks for configuration rows; `done` gets them, or nothing.
    void config_since(const std::string& address, int64_t revision,
                      std::function<void(std::optional<std::vector<ConfigRow>>)> done);
    /// Sends a wake-up; a lost one is made good by the peer's next heartbeat to the table.
    void wake(const std::string& address, const std::vector<std::string>& shards);
    /// Hands the memory of an admission range to its next owner, who owns it under `epoch`.
    /// Repeats it for a while if it fails; `done` gets whether that owner has it. If not,
    /// that owner goes by its barrier.
    void hand_over(const std::string& address, const std::string& shard, int64_t epoch,
                   const RangeMemory& memory, std::function<void(bool)> done);
    /// Asks an operator's question; `done` gets the answer, or nothing.
    void ask(const std::string& address, const std::string& kind, const std::string& name,
             std::function<void(std::optional<std::string>)> done);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pathport
