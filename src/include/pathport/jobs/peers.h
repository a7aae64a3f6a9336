// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Messages between nodes.

#pragma once

#include <pathport/callers/caller.h>
#include <pathport/clock.h>
#include <pathport/jobs/drained_domains.h>
#include <pathport/jobs/job_model.h>
#include <pathport/jobs/worker_client.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pathport::jobs {

/// Maximum time for which a relay holds a leader's long poll open while it has no answers.
constexpr Millis relay_poll_wait { 400 };

/// A queue that is closed to submissions because the advisor has no capacity to decide
/// about further jobs in time.
struct ClosedQueue {
    std::string queue;
    Millis retry_after; ///< Time after which callers should retry.

    bool operator==(const ClosedQueue& other) const
    {
        return queue == other.queue && retry_after == other.retry_after;
    }
};

/// A queue whose jobs wait long for capacity. Those that would end too late are refused.
struct LimitedQueue {
    std::string queue;
    Millis wait; ///< Forecast for a job that arrives now.

    bool operator==(const LimitedQueue& other) const
    {
        return queue == other.queue && wait == other.wait;
    }
};

/// Topic of a peer message.
enum class PeerTopic {
    heartbeat, ///< A follower asks the leader whether it still leads.
    job_accepted, ///< A job was accepted; `row` holds it.
    job_canceled, ///< A cancellation was recorded.
    job_state, ///< Queries the state of a job.
    queue_pending, ///< Queries how many jobs of the queue have not started.
    advice, ///< Queries the advisor about `job` (a step) and `workers`.
    accept_job, ///< Accepts a job for a node that can't reach the store.
    cancel_job, ///< Records a cancellation for a node that can't reach the store.
    configuration, ///< Requests the receiver's configuration.
    worker_calls, ///< Relays calls to workers; the answer returns finished calls.
    job_payload, ///< Requests the payload of a job that the receiver accepted.
    worker_list, ///< Reads the list of workers and returns the changes since `version`.
    candidacy, ///< Asks whether the receiver can claim the leadership if it is vacant.
};

/// Returns the lower-case name of `topic`.
const char* to_string(PeerTopic topic);

/// A node that can become the leader.
struct Candidate {
    std::string address;
    int cpu_millicores = 0; ///< As in NodeSetup.

    bool operator==(const Candidate& other) const
    {
        return address == other.address && cpu_millicores == other.cpu_millicores;
    }
};

/// A message to a peer. Each topic uses a subset of the fields.
struct PeerRequest {
    PeerTopic topic = PeerTopic::heartbeat;
    std::string node; ///< The sender.
    std::string address; ///< Address on which the sender receives messages.
    std::string incarnation; ///< Identifies the sender's process.
    std::string job; ///< Id of a job or of a step.
    std::string queue; ///< Name of a queue.
    std::string row; ///< An accepted job, encoded.
    callers::Caller caller; ///< The client that submits, queries or cancels the job.
    int64_t version = 0; ///< Version at which that job was stored; 0 if unknown.
    std::vector<std::string> workers;
    int64_t epoch = 0; ///< Highest epoch that the sender knows.
    /// Version of the sender's configuration; in every message (VersionGossip).
    int64_t config_version = 0;
    /// Version of the last change of drained failure domains that the sender knows of; in
    /// every message (VersionGossip).
    int64_t drains_changed_at = 0;
    bool leads = false; ///< The sender leads in `epoch`.
    /// The sender led in `epoch` and resigns; or it is a follower that shuts down and must
    /// not be made the successor.
    bool resigned = false;
    int cpu_millicores = 0; ///< The sender's, as in NodeSetup.
    int64_t link_bytes_per_s = 0; ///< The sender's, as in NodeSetup.
    std::string calls; ///< Calls to workers, encoded.
    int64_t peers_hash = 0; ///< Hash of the sender's list of nodes.
    bool store_served = false; ///< Whether the store served the sender recently.
    int64_t store_served_ago_ms = 0; ///< How long ago, if it did.
    bool store_fails = false; ///< Whether the store is unavailable to the sender.
    /// Smoothed time of the sender's recent calls to the store; 0 if not known.
    int64_t store_call_ms = 0;
    bool promises = false; ///< The sender won't claim leadership for `promise_time`.
    /// The leader's time in its last answer; promises are valid from then.
    int64_t echo_ms = 0;
};

/// What turns a node's list into the leader's.
struct PeerListUpdate {
    int64_t hash = 0; ///< Of the leader's list.
    /// `added` is the whole list.
    bool full = false;
    std::vector<std::string> added;
    std::vector<std::string> removed;

    bool empty() const { return added.empty() && removed.empty(); }
    bool operator==(const PeerListUpdate& other) const
    {
        return hash == other.hash && full == other.full && added == other.added
            && removed == other.removed;
    }
};

/// The answer to a peer message.
struct PeerAnswer {
    bool served = false; ///< Whether the peer could handle the request.
    std::string node; ///< Name of the peer.
    std::string incarnation; ///< Identifies the peer's process.
    std::string leader; ///< Address of the leader of `epoch`, if known.
    std::string leader_incarnation;
    bool leads = false; ///< Whether the peer is the leader.
    /// The peer led in `epoch`, has resigned and sends no more orders.
    bool resigned = false;
    int64_t epoch = 0;
    int64_t sent_ms = 0; ///< The leader's clock.
    int64_t config_version = 0;
    int64_t drains_changed_at = 0; ///< As in the request.
    DrainedDomains drains; ///< With a configuration.
    int cpu_millicores = 0; ///< A leader's, as in NodeSetup; 0 if not told.
    /// Highest `cpu_millicores` of a leader's live followers.
    int max_follower_millicores = 0;
    std::vector<Candidate> candidates; ///< A leader's most powerful followers.
    int64_t call_rate = 0; ///< A leader's recent calls to workers, per second.
    int64_t call_bytes_per_s = 0; ///< Network traffic of those calls.
    PeerListUpdate peers; ///< Makes the sender's list of nodes the leader's.
    int status = 0; ///< ClientStatus of a submission, cancellation or state query.
    int64_t count = 0; ///< Pending jobs.
    std::optional<JobState> state;
    std::string row; ///< A configuration, encoded, or the payload of a job.
    std::string calls; ///< Workers' answers, encoded.
    std::vector<WorkerTicket> tickets;
    std::vector<ClosedQueue> closed; ///< Closed queues, in a leader's answer.
    std::vector<LimitedQueue> limited; ///< Limited queues, in a leader's answer.
};

/// Outcome of a message to a peer.
enum class PeerEnd {
    answered,
    refused, ///< The connection was refused; nothing was sent. The process may run.
    silent, ///< No answer before the time-out.
};

using PeerReply = std::function<void(PeerEnd, PeerAnswer)>;
/// Sends the answer to a peer's message; called exactly once.
using PeerResponder = std::function<void(PeerAnswer)>;

/// Sends messages to peers.
class PeerClient {
public:
    virtual ~PeerClient() = default;

    /// Sends `request` to the node that listens at `address`.
    virtual void send(const std::string& address, const PeerRequest& request,
                      Millis timeout, PeerReply done)
        = 0;
};

/// Encodes a message for the wire (JSON).
std::string encode(const PeerRequest& request);
/// Decodes a message; returns nothing when it is malformed.
std::optional<PeerRequest> decode_peer_request(const std::string& text);
/// Encodes an answer for the wire (JSON).
std::string encode(const PeerAnswer& answer);
/// Decodes an answer; returns nothing when it is malformed.
std::optional<PeerAnswer> decode_peer_answer(const std::string& text);

} // namespace pathport::jobs
