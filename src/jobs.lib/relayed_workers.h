// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A leader's way to its workers. While few calls are made it makes them itself; once they
/// take too much of its processor or its link, other nodes make them, each for its share of
/// the workers. Calls travel in batches, and payloads not at all: a relay gets them from
/// the node that accepted the job.

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

/// The way.
class RelayedWorkers : public WorkerClient {
public:
    /// `own` is what this node can carry, `identity` its fields of a message.
    RelayedWorkers(EventLoop& loop, WorkerClient& direct, PeerClient& peers,
                   NodeCapacity own, PeerRequest identity);

    /// Begins an epoch in which this node leads. `expected` is what the last leader's calls
    /// took, and `peers` are the nodes that it knew: a take-over looks at all workers at
    /// once, before this node has heard of any other.
    void begin_epoch(int64_t epoch, const CallLoad& expected,
                     const std::vector<std::string>& peers);
    /// Ends it: answers that are still to come are dropped.
    void end_epoch();
    /// Sets the nodes that may be relays at present.
    void set_nodes(std::vector<RelayNode> nodes);
    /// Notes which node accepted a job, and so has its payload.
    void note_acceptor(const std::string& job, const std::string& address);
    /// Returns through how many nodes calls go at present; 0 when this one makes them.
    size_t relay_count() const { return m_relays.size(); }
    /// Returns what calls took lately.
    const CallLoad& load() const { return m_load; }
    /// Returns the address of the first relay that was not lost lately, or "".
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

    /// A call that a relay was given, or will be.
    struct PendingCall {
        RelayedCall call;
        Done done;
        std::string relay;
        Millis submitted_at;
        Millis deadline; ///< The time that it may take is over then.
    };
    /// The connection with a relay.
    struct Relay {
        std::vector<int64_t> queued; ///< Calls that wait for the next batch.
        Millis batch_at; ///< When the next batch is due, if any is.
        bool batch_due = false;
        std::set<int64_t>
            open_messages; ///< Messages that may be answered yet, in their order.
        size_t pending_calls = 0; ///< Calls, queued or under way.
        std::string incarnation; ///< Of the process that answered last.
        Millis last_heard;
        Millis avoid_until;
    };

    /// What became of calls, for the log.
    struct AnswerCounts {
        int64_t in_time = 0;
        int64_t late = 0; ///< Came after their calls were given up.
        int64_t missing = 0; ///< Calls that were given up.
    };

    /// A message to a relay.
    struct Message {
        int64_t number = 0;
        Millis sent;
        std::vector<int64_t> calls; ///< That it brings.
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
    PeerRequest m_message_template; ///< With the fields that all messages have.
    bool m_leads = false;
    std::vector<RelayNode> m_nodes;
    std::vector<RelayNode> m_relays; ///< Empty while this node makes the calls.
    std::unordered_map<std::string, size_t> m_routes; ///< By worker, into `m_relays`.
    std::map<std::string, Relay> m_relay_states; ///< By address.
    std::map<int64_t, PendingCall> m_pending; ///< By number.
    int64_t m_last_number = 0;
    int64_t m_last_message = 0;
    std::unordered_map<std::string, std::string> m_acceptors; ///< By job.
    std::deque<std::string> m_acceptor_order; ///< Jobs, the oldest first.
    CallLoad m_load; ///< Smoothed.
    CallLoad m_recent_load; ///< Since the load was weighed.
    Millis m_load_updated_at;
    AnswerLag m_lag;
    /// Calls that were given up and may be answered yet, by number: when their time was
    /// over.
    std::map<int64_t, Millis> m_expired;
    AnswerCounts m_answer_counts; ///< Since they were told of.
    Millis m_answers_logged_at;
    Lifetime m_lifetime;
    Lifetime m_epoch_lifetime; ///< Of what was sent in the present epoch.
};

} // namespace pathport::jobs
