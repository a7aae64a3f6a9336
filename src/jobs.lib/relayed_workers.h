// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Makes a leader's calls to its workers. The leader makes them directly while they are
/// few; once they take too much of its processor or its link, other nodes relay them, each
/// for its share of the workers. Calls are sent in batches, without payloads: a relay
/// fetches those from the node that accepted the job.

#pragma once

#include "answer_lag.h"
#include "lifetime.h"
#include "payload_cache.h"
#include "relay_choice.h"

#include <pathport/event_loop.h>
#include <pathport/jobs/peers.h>
#include <pathport/jobs/relayed_calls.h>
#include <pathport/jobs/worker_client.h>

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace pathport::jobs {

/// A worker client that makes calls directly or through relays.
class RelayedWorkers : public WorkerClient {
public:
    /// `own` is the capacity of this node, `identity` holds its fields of a message.
    RelayedWorkers(EventLoop& loop, WorkerClient& direct, PeerClient& peers,
                   NodeCapacity own, PeerRequest identity);

    /// Begins an epoch in which this node leads. `expected` is the load of the last
    /// leader's calls and `peers` are the nodes that it knew: a take-over polls all workers
    /// at once, before this node has heard of any other node.
    void begin_epoch(int64_t epoch, const CallLoad& expected,
                     const std::vector<std::string>& peers);
    /// Ends the epoch: outstanding answers are dropped.
    void end_epoch();
    /// Sets the nodes that may be relays.
    void set_nodes(std::vector<RelayNode> nodes);
    /// Notes which node accepted a job and therefore has its payload.
    void note_acceptor(const std::string& job, const std::string& address);
    /// Returns the number of relays in use; 0 while this node makes the calls.
    size_t relay_count() const { return m_relays.size(); }
    /// Returns the smoothed load of recent calls.
    const CallLoad& load() const { return m_load; }
    /// Returns the address of the first relay that was not lost recently, or "".
    std::string first_relay();

    void start(const WorkerInfo& worker, const StartOrder& order, Millis timeout,
               std::function<void(OrderAnswer)> done) override;
    void stop(const WorkerInfo& worker, const RunOrder& order, Millis timeout,
              std::function<void(OrderAnswer)> done) override;
    void set_speed(const WorkerInfo& worker, const RunOrder& order, Millis timeout,
                   std::function<void(OrderAnswer)> done) override;
    void poll(const WorkerInfo& worker, const PollRequest& order, Millis timeout,
              std::function<void(OrderStatus, std::optional<PollReport>)> done) override;

private:
    using Done = std::function<void(RelayedAnswer)>;

    /// A call that is queued for a relay or in flight there.
    struct PendingCall {
        RelayedCall call;
        Done done;
        std::string relay;
        Millis submitted_at;
        Millis deadline; ///< End of the time-out of the call itself.
    };
    /// State of a relay.
    struct Relay {
        std::vector<int64_t> queued; ///< Numbers of calls that wait for the next batch.
        Millis batch_at; ///< When the next batch is due, if `batch_due`.
        bool batch_due = false;
        std::set<int64_t> open_messages; ///< Unanswered messages, in the order of sending.
        size_t pending_calls = 0; ///< Number of calls, queued or in flight.
        std::string incarnation; ///< Process that answered last.
        Millis last_heard;
        Millis avoid_until;
    };

    /// Outcomes of calls, for the log.
    struct AnswerCounts {
        int64_t in_time = 0;
        int64_t late = 0; ///< Arrived after their calls had expired.
        int64_t missing = 0; ///< Calls that expired without an answer.
    };

    /// A message to a relay.
    struct Message {
        int64_t number = 0;
        Millis sent;
        std::vector<int64_t> calls; ///< Numbers of the calls in it.
    };

    void submit(const WorkerInfo& worker, RelayedCall call, double bytes, Done done);
    void call_directly(const RelayedCall& call, Done done);
    void note_load(double bytes);
    void update_relays();
    const RelayNode* route(const std::string& worker);
    bool usable(const RelayNode& node);
    void enqueue(const std::string& relay, PendingCall pending);
    void omit_payload(RelayedCall& call) const;
    void send_batch(const std::string& address);
    void batch_answered(const std::string& address, const Message& message, PeerEnd end,
                        const PeerAnswer& answer);
    void message_unanswered(const std::string& address, const Message& message);
    void keep_message_open(const std::string& address);
    void handle_lost_relay(const std::string& address, const std::vector<int64_t>& unsent,
                           const char* reason);
    void handle_answer(const RelayedAnswer& answer);
    std::optional<PendingCall> remove_pending(int64_t number);
    void expire_call(int64_t number);
    void forget_expired(Millis now);
    void log_answer_counts();
    bool other_relays_answered(const PendingCall& pending) const;
    void sweep();

    EventLoop& m_loop;
    WorkerClient& m_direct;
    PeerClient& m_peers;
    NodeCapacity m_own_capacity;
    PeerRequest m_message_template; ///< Fields common to all messages.
    bool m_leads = false;
    std::vector<RelayNode> m_nodes;
    std::vector<RelayNode> m_relays; ///< Empty while this node makes the calls.
    std::unordered_map<std::string, size_t> m_routes; ///< Index into `m_relays`, by worker.
    std::map<std::string, Relay> m_relay_states; ///< By address.
    std::map<int64_t, PendingCall> m_pending; ///< By number.
    int64_t m_last_number = 0;
    int64_t m_last_message = 0;
    std::unordered_map<std::string, std::string> m_acceptors; ///< By job.
    std::deque<std::string> m_acceptor_order; ///< Jobs, the oldest first.
    CallLoad m_load; ///< Smoothed.
    CallLoad m_recent_load; ///< Calls since the last update of `m_load`.
    Millis m_load_updated_at;
    AnswerLag m_lag;
    Millis m_sweep_due; ///< When overdue calls should be looked for next.
    /// Deadlines of calls that have expired and may still be answered, by number.
    std::map<int64_t, Millis> m_expired;
    AnswerCounts m_answer_counts; ///< Since the last log line.
    Millis m_answers_logged_at;
    Lifetime m_lifetime;
    Lifetime m_epoch_lifetime; ///< Guards callbacks of the current epoch.
};

} // namespace pathport::jobs
