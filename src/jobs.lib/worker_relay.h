// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A node's part as a relay: it makes the calls to workers that a leader sends in batches,
/// and returns the answers in batches. It decides nothing and stores nothing essential:
/// fences and leases of orders are the leader's, so a lost or slow relay is like a lost or
/// slow network to the leader.

#pragma once

#include "lifetime.h"
#include "payload_cache.h"

#include <pathport/event_loop.h>
#include <pathport/jobs/peers.h>
#include <pathport/jobs/relayed_calls.h>
#include <pathport/jobs/worker_client.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pathport::jobs {

/// Makes calls to workers for leaders.
class WorkerRelay {
public:
    /// `payloads` holds payloads of jobs that this node accepted or relayed. All references
    /// must outlive the relay.
    WorkerRelay(EventLoop& loop, WorkerClient& workers, PeerClient& peers,
                PayloadCache& payloads, std::string node, std::string incarnation);

    /// Handles a batch of calls of a leader, which may be empty. `done` gets the answers
    /// available by the leader's next message, or after `relay_hold`. A batch that is
    /// malformed, or that comes from an earlier leader than the latest known one, is
    /// refused whole.
    void handle(const PeerRequest& request, PeerResponder done);

private:
    /// A leader that sends calls.
    struct Leader {
        int64_t epoch = 0;
        std::vector<RelayedAnswer> answers; ///< Not sent yet.
        /// Responder of its last message, until that is answered.
        PeerResponder held_responder;
        EventLoop::TimerId hold_timer = 0;
        Millis reply_at; ///< When the next reply is due, if there are answers.
        Millis last_heard;
        std::map<std::string, Millis>
            running_reported_at; ///< By worker: when `running` was last included.
    };

    PeerAnswer empty_answer() const;
    void refuse(const PeerRequest& request, const char* reason,
                const PeerResponder& done) const;
    void forget_silent_leaders();
    void make_call(const std::string& leader, const RelayedCall& call);
    void start(const std::string& leader, RelayedCall call);
    void fetch_payload(const std::string& leader, const RelayedCall& call);
    void payload_received(const std::string& job, PeerEnd end, const PeerAnswer& answer);
    /// A poll of a leader, which is repeated while reports of it have no news.
    struct HeldPoll {
        RelayedCall call;
        Millis received_at;
        Millis sent_at; ///< When it was last sent to the worker.
        std::optional<PollReport> last_report;
    };

    void send_poll(const std::string& leader, HeldPoll poll);
    bool may_repeat(const std::string& leader, const HeldPoll& poll,
                    const PollReport& report) const;
    void poll_answered(const std::string& leader, HeldPoll poll, OrderStatus status,
                       std::optional<PollReport> report);
    void answer_poll(const std::string& leader, const RelayedCall& call, OrderStatus status,
                     std::optional<PollReport> report);
    void order_answered(const std::string& leader, int64_t number,
                        const OrderAnswer& answer);
    void queue_answer(const std::string& leader, RelayedAnswer answer, Millis delay);
    void reply(Leader& leader);

    EventLoop& m_loop;
    WorkerClient& m_workers;
    PeerClient& m_peers;
    PayloadCache& m_payloads;
    std::string m_node;
    std::string m_incarnation;
    int64_t m_epoch = 0; ///< The highest epoch of a leader known.
    std::map<std::string, Leader> m_leaders; ///< By process.
    /// Starts that wait for the payload of a job, with their leaders.
    std::map<std::string, std::vector<std::pair<std::string, RelayedCall>>>
        m_waiting_starts;
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
