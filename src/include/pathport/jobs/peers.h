// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What nodes say to each other.

#pragma once

#include <pathport/callers/caller.h>
#include <pathport/clock.h>
#include <pathport/jobs/job_model.h>
#include <pathport/jobs/worker_client.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace pathport::jobs {

/// How long a relay holds a leader's message open at most while it has no answers.
constexpr Millis relay_poll_wait { 400 };

/// A queue that takes no jobs at present, since the advice that there is can't decide about
/// them in time.
struct ClosedQueue {
    std::string queue;
    Millis retry_after; ///< Callers should come back after so long.

    bool operator==(const ClosedQueue& other) const
    {
        return queue == other.queue && retry_after == other.retry_after;
    }
};

/// What a peer asks or tells.
enum class PeerTopic {
    heartbeat, ///< A follower asks its leader whether it still leads.
    job_accepted, ///< A job was accepted; `row` holds it.
    job_canceled, ///< A cancellation was recorded.
    job_state, ///< Which state is the job in?
    queue_pending, ///< How many jobs of the queue have not begun?
    advice, ///< Ask the advisor about `job` (a step) and `workers`.
    accept_job, ///< Accept this job for a node that can't reach the store.
    cancel_job, ///< Record this cancellation for a node that can't reach the store.
    configuration, ///< Which configuration do you have?
    worker_calls, ///< Make these calls to workers, and answer those that were made.
    job_payload, ///< What is the payload of this job, which you accepted?
    worker_list, ///< Read the list of workers; what has changed since `version`?
};

/// Returns the lower-case name of `topic`.
const char* to_string(PeerTopic topic);

/// A message to a peer. Each topic uses some of the fields.
struct PeerRequest {
    PeerTopic topic = PeerTopic::heartbeat;
    std::string node; ///< The sender.
    std::string address; ///< Where the sender takes messages.
    std::string incarnation; ///< The sender's process.
    std::string job; ///< A job's id, or a step's.
    std::string queue; ///< A queue's name.
    std::string row; ///< An accepted job, encoded.
    callers::Caller caller; ///< Who hands the job in, asks for its state or cancels it.
    int64_t version = 0; ///< At which that job came into the store; 0 when unknown.
    std::vector<std::string> workers;
    int64_t epoch = 0; ///< The highest that the sender knows.
    int64_t config_version = 0; ///< The sender's; in every message (VersionGossip).
    bool leads = false; ///< The sender leads in `epoch`.
    /// The sender led in `epoch` and gives its place up; or it follows and stops, so that
    /// it must not be made the successor.
    bool resigned = false;
    int cpu_millicores = 0; ///< The sender's, as in NodeSetup.
    int64_t link_bytes_per_s = 0; ///< The same.
    std::string calls; ///< Calls to workers, encoded.
    int64_t peers_hash = 0; ///< Of the list of followers that the sender has.
    bool store_served = false; ///< Whether the store served the sender lately.
    bool store_fails = false; ///< Whether the store does not serve the sender.
    bool promises = false; ///< The sender won't claim leadership for `promise_time`.
    int64_t echo_ms
        = 0; ///< The leader's time from its last answer; promises count from it.
};

/// The answer of a peer.
struct PeerAnswer {
    bool served = false; ///< Whether the peer could serve the request.
    std::string node; ///< The peer.
    std::string incarnation; ///< Its process.
    std::string leader; ///< Where the leader of `epoch` takes messages, if it is known.
    std::string leader_incarnation;
    bool leads = false; ///< Whether it leads at present.
    bool resigned = false; ///< It led in `epoch` and has given no order since it said so.
    int64_t epoch = 0;
    int64_t sent_ms = 0; ///< The leader's clock.
    int64_t config_version = 0;
    int max_follower_millicores
        = 0; ///< The highest strength among a leader's live followers.
    int64_t call_rate = 0; ///< Calls to workers that a leader has made in a second lately.
    int64_t call_bytes_per_s = 0; ///< What they take on a link, in bytes a second.
    int64_t peers_hash = 0; ///< Of the leader's list of followers.
    std::vector<std::string> peers; ///< That list, if the sender's is another one.
    int status = 0; ///< Of an acceptance or cancellation, as to a client.
    int64_t count = 0; ///< Pending jobs.
    std::optional<JobState> state;
    std::string row; ///< A configuration, encoded, or the payload of a job.
    std::string calls; ///< Answers of workers, encoded.
    std::vector<WorkerTicket> tickets;
    std::vector<ClosedQueue> closed; ///< Queues that take no jobs, in a leader's answer.
};

/// How a message to a peer ended.
enum class PeerEnd {
    answered,
    refused, ///< No process listens there.
    silent, ///< No answer.
};

using PeerReply = std::function<void(PeerEnd, PeerAnswer)>;
/// Answers a peer's message; called exactly once.
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
