// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a node does as a relay: it makes the calls to workers that a leader sends it in
/// batches, and gives the answers back in batches. It decides nothing and keeps nothing
/// that matters: the fences and leases of the orders are the leader's, so a relay that is
/// lost or late is to the leader like a network that is.

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

/// The relay.
class WorkerRelay {
public:
    /// `payloads` holds those of jobs that this node accepted or relayed; all outlive it.
    WorkerRelay(EventLoop& loop, WorkerClient& workers, PeerClient& peers,
                PayloadCache& payloads, std::string node, std::string incarnation);

    /// Handles a batch of calls of a leader, which may be empty. `done` gets whatever
    /// answers there are by the time of the leader's next message, or after `relay_hold`.
    /// A batch that is malformed, or that comes from an earlier leader than one that was
    /// heard of, is refused whole.
    void handle(const PeerRequest& request, PeerResponder done);

private:
    /// A leader that sends calls.
    struct Leader {
        int64_t epoch = 0;
        std::vector<RelayedAnswer> answers; ///< Not sent yet.
        PeerResponder held_responder; ///< Its last message, not answered yet.
        EventLoop::TimerId hold_timer = 0;
        Millis reply_at; ///< When the next reply is due, if there are answers.
        Millis last_heard;
        std::map<std::string, Millis>
            running_reported_at; ///< By worker: when all was last told.
    };

    PeerAnswer empty_answer() const;
    void refuse(const PeerRequest& request, const char* reason,
                const PeerResponder& done) const;
    void forget_silent_leaders();
    void make_call(const std::string& leader, const RelayedCall& call);
    void start(const std::string& leader, RelayedCall call);
    void fetch_payload(const std::string& leader, const RelayedCall& call);
    void payload_received(const std::string& job, PeerEnd end, const PeerAnswer& answer);
    void poll_answered(const std::string& leader, const RelayedCall& call,
                       OrderStatus status, std::optional<PollReport> report);
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
    int64_t m_epoch = 0; ///< The highest of a leader that was heard of.
    std::map<std::string, Leader> m_leaders; ///< By process.
    /// Starts that wait for the payload of a job, with their leaders.
    std::map<std::string, std::vector<std::pair<std::string, RelayedCall>>>
        m_waiting_starts;
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
