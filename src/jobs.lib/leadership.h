// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Leader election. Rows of the store name the leader; the other nodes send it a heartbeat
/// several times a second and claim its place when it no longer leads.

#pragma once

#include "head_log.h"
#include "lifetime.h"
#include "scheduler.h"

#include <pathport/event_loop.h>
#include <pathport/jobs/job_store.h>
#include <pathport/jobs/peers.h>
#include <pathport/log.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pathport::jobs {

/// Identity of a node's process.
struct NodeIdentity {
    std::string node;
    std::string address; ///< Address on which it receives peers' messages.
    std::string incarnation; ///< Differs for each start of the process.
    int cpu_millicores = 0; ///< As in NodeSetup.
};

/// Content of the leader row.
struct LeaderValue {
    int64_t epoch = 0;
    NodeIdentity identity;
    /// The most powerful other nodes known to the node that wrote the row.
    std::vector<Candidate> candidates {};
};

std::string encode(const LeaderValue& leader);
std::optional<LeaderValue> decode_leader(const std::string& text);

/// Returns `candidates` without the node at `address`.
std::vector<Candidate> without(std::vector<Candidate> candidates,
                               const std::string& address);

/// Receives the events of the election.
class LeadershipListener {
public:
    virtual ~LeadershipListener() = default;

    /// Called when this node becomes the leader; `predecessor` is the address on which the
    /// previous leader received messages.
    virtual void elected(const Claim& claim, const std::string& predecessor) = 0;
    /// Fills in this node's fields of a heartbeat to the leader.
    virtual void fill_heartbeat(PeerRequest& request) = 0;
    /// Called when the leader has answered a heartbeat.
    virtual void leader_answered(const PeerAnswer& answer) = 0;
    /// Called when the known leader is gone and its successor can't be read from the store.
    virtual void leader_unknown() = 0;
    /// Returns whether this node could take over now: the store does not fail it and is
    /// not known to be too slow for a new leader.
    virtual bool could_lead() const = 0;
};

/// Why a node claims leadership.
enum class ClaimReason {
    vacant, ///< The rows name no leader, or this node's own earlier process.
    not_leading, ///< The known leader has answered that it doesn't lead, or has resigned.
    head_stalled, ///< It does not answer, and its head row has not changed for long.
    not_handed_over, ///< It is less powerful and has not handed over in time.
};

/// Returns the lower-case name of `reason`.
const char* to_string(ClaimReason reason);

/// One node's participation in the election.
class Leadership {
public:
    Leadership(EventLoop& loop, JobStore& store, PeerClient& peers, NodeIdentity identity,
               LeadershipListener& listener);
    ~Leadership();

    /// Starts: reads the rows, then follows the leader or claims leadership.
    void begin();
    /// Leaves the election, when the process shuts down.
    void retire();
    /// Called when this node has lost leadership; it then follows the new leader.
    void deposed();

    bool leading() const { return m_leading; }
    int64_t epoch() const { return m_leader.epoch; }
    /// Returns the address of the leader, or "" if none is known or this node leads.
    std::string leader_address() const;
    /// Returns whether the leader has answered recently.
    bool leader_responsive() const;
    /// Sets the number of nodes that send heartbeats to the leader.
    void set_group_size(size_t nodes) { m_group_size = nodes; }
    /// Sends the next heartbeat now instead of at its regular time.
    void heartbeat_now();
    /// Called when this node, as the leader, has handed over to `successor`.
    void handed_over(const LeaderValue& successor);
    /// Called when the leader of `epoch` has resigned or has handed over to this node; the
    /// rows tell which.
    void leader_resigned(int64_t epoch);
    /// Called when another node announces `leader`, which is followed if its epoch is
    /// later, also while the store is unavailable to this node.
    void leader_announced(const LeaderValue& leader);
    /// Returns the last known leader.
    const LeaderValue& leader() const { return m_leader; }
    /// Returns whether this node would claim leadership if it found the leader gone, at the
    /// latest when its promise has ended.
    bool may_claim() const { return !m_retired; }
    /// Returns the most powerful followers of the leader, as it last told, or as its row
    /// names them.
    const std::vector<Candidate>& candidates() const { return m_candidates; }
    /// Promises not to claim leadership before `until`.
    void promise_no_claim_until(Millis until)
    {
        m_no_claim_until = std::max(m_no_claim_until, until);
    }

private:
    void want_claim();
    void read_rows();
    void discount_unobserved_time();
    void rows_read(const StoreResult& result);
    void act_on_rows();
    void follow_new_leader(const LeaderValue& leader);
    void update_leader(const PeerAnswer& answer);
    bool less_powerful_leader() const;
    bool hand_over_overdue();
    void schedule_follow(Millis delay);
    void follow();
    void ask_leader();
    /// A heartbeat that has been sent.
    struct Heartbeat {
        int64_t epoch = 0; ///< Of the leader that it was sent to.
        int64_t number = 0; ///< In the order of sending.
        bool ended = false; ///< It was answered or refused.
        bool overdue = false; ///< Others may be sent to the same leader.
    };
    using HeartbeatPtr = std::shared_ptr<Heartbeat>;
    void heartbeat_answered(PeerEnd end, const PeerAnswer& answer,
                            const HeartbeatPtr& heartbeat);
    void heartbeat_overdue(const HeartbeatPtr& heartbeat);
    Millis next_heartbeat_delay() const;
    void on_heartbeat_refused();
    void note_unresponsive_leader();
    void on_heartbeat_timeout();
    void claim(ClaimReason reason);
    bool should_yield() const;
    std::vector<LogField> claim_inputs() const;
    Millis slow_store_allowance() const;
    Millis late_leader_allowance() const;
    void defer_claim();
    void ask_candidate(const Candidate& candidate);
    void end_deferral(int64_t epoch, Millis begun);
    void forget_deferral();
    int strongest_rival() const;
    void send_claim();
    void claim_answered(const StoreResult& result, Millis sent_at);
    std::optional<int64_t> claim_version(const StoreResult& result) const;
    void become_leader(int64_t head_version, Millis claimed);

    EventLoop& m_loop;
    JobStore& m_store;
    PeerClient& m_peers;
    NodeIdentity m_identity;
    LeadershipListener& m_listener;
    bool m_leading = false;
    bool m_retired = false;
    bool m_claiming = false;
    bool m_reading = false;
    bool m_rows_known = false;
    bool m_claim_wanted = false; ///< Claim leadership once the rows have been read.
    Millis m_claim_wanted_at; ///< When that was last found necessary.
    ClaimReason m_claim_reason = ClaimReason::vacant; ///< Of the last claim.
    bool m_deferring = false; ///< Waiting for more powerful nodes to claim first.
    bool m_deferred = false; ///< That wait is over for the present leader.
    size_t m_group_size = 1; ///< Nodes that send heartbeats to the leader.
    /// As last reported by a leader, or as read from its row before the first report.
    std::vector<Candidate> m_candidates;
    /// A more powerful node has answered this deferral that it can claim.
    bool m_candidate_ready = false;
    std::optional<Millis> m_deferring_since; ///< Since a leader answered last.
    Millis m_read_time; ///< Duration of the last read of the rows.
    Millis m_read_started; ///< Start of the last read of the rows.
    LeaderValue m_leader; ///< As of the last read; epoch 0 if there is none.
    int64_t m_leader_version = 0;
    HeadValue m_head;
    int64_t m_head_version = 0;
    /// Rows written by the last claim, whether or not it took effect.
    LeaderValue m_claimed_leader;
    HeadValue m_claimed_head;
    Millis m_claim_started;
    std::string m_predecessor; ///< Address of the leader that this node followed before.
    LeaderValue m_announced; ///< Last leader announced by another node while this one led.
    Millis m_leader_known_since; ///< When this node learned of the present leader.
    Millis m_leader_answered_at; ///< When the leader last confirmed that it leads.
    Millis m_leader_heard_at; ///< When it last answered that it leads, in time or late.
    /// Since when this node could lead instead of less powerful leaders.
    std::optional<Millis> m_could_lead_since;
    Millis m_hand_over_looked_at; ///< When that was last checked.
    int m_refusals = 0; ///< Consecutive refused connections to the leader.
    HeartbeatPtr m_open_heartbeat; ///< The last one.
    int64_t m_last_heartbeat = 0; ///< Number of the last one sent.
    int64_t m_answered_heartbeat = 0; ///< Highest number that was answered or refused.
    bool m_answers_late = false; ///< The last answer came for an overdue heartbeat.
    static constexpr int64_t no_version = -1;
    /// Version of the head row while the leader does not answer.
    int64_t m_stalled_head_version = no_version;
    Millis m_head_stalled_since;
    Millis m_row_observed_at; ///< When the rows were last read.
    bool m_row_unobserved = false; ///< The last read failed.
    bool m_leader_silent = false;
    Millis m_no_claim_until;
    StoreWriter m_writer;
    EventLoop::TimerId m_timer = 0;
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
