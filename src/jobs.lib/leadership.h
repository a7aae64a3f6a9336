// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Which node leads. A leader is named by rows of the store; the others ask it several
/// times a second whether it still leads, and claim its place when it doesn't.

#pragma once

#include "head_log.h"
#include "lifetime.h"
#include "scheduler.h"

#include <pathport/event_loop.h>
#include <pathport/jobs/job_store.h>
#include <pathport/jobs/peers.h>

#include <functional>
#include <optional>
#include <string>

namespace pathport::jobs {

/// Who a process is.
struct NodeIdentity {
    std::string node;
    std::string address; ///< Where it takes peers' messages.
    std::string incarnation; ///< Changes with each start.
    int cpu_millicores = 0; ///< As in NodeSetup.
};

/// What the leader row holds.
struct LeaderValue {
    int64_t epoch = 0;
    NodeIdentity identity;
};

std::string encode(const LeaderValue& leader);
std::optional<LeaderValue> decode_leader(const std::string& text);

/// Told by the election.
class LeadershipListener {
public:
    virtual ~LeadershipListener() = default;

    /// This node leads from now on; `predecessor` is where the earlier leader took
    /// messages.
    virtual void elected(const Claim& claim, const std::string& predecessor) = 0;
    /// Fills in what a heartbeat to the leader tells about this node.
    virtual void fill_heartbeat(PeerRequest& request) = 0;
    /// The leader has answered a heartbeat.
    virtual void leader_answered(const PeerAnswer& answer) = 0;
    /// The leader that was known is gone, and the store does not tell who follows it.
    virtual void leader_unknown() = 0;
};

/// The election as one node takes part in it.
class Leadership {
public:
    Leadership(EventLoop& loop, JobStore& store, PeerClient& peers, NodeIdentity identity,
               LeadershipListener& listener);
    ~Leadership();

    /// Begins: reads who leads, and follows or claims.
    void begin();
    /// Stops taking part, for the end of the process.
    void retire();
    /// This node leads no more: follow whoever does.
    void deposed();

    bool leading() const { return m_leading; }
    int64_t epoch() const { return m_leader.epoch; }
    /// Returns the address of the leader, or "" when none is known or this node leads.
    std::string leader_address() const;
    /// Returns whether the leader has answered lately.
    bool leader_responsive() const;
    /// Sets how many nodes ask the leader.
    void set_group_size(size_t nodes) { m_group_size = nodes; }
    /// Asks the leader now instead of at the next regular time.
    void heartbeat_now();
    /// This node led and has handed over to `successor`.
    void handed_over(const LeaderValue& successor);
    /// The leader of `epoch` says that it gives its place up, or that it has handed over to
    /// this node, as the rows then tell.
    void leader_resigned(int64_t epoch);
    /// Another node says who leads. It is followed if its epoch is later, also while the
    /// store does not serve this node.
    void leader_announced(const LeaderValue& leader);
    /// Returns who leads, as well as it is known.
    const LeaderValue& leader() const { return m_leader; }
    /// Promises not to claim before `until`.
    void promise_no_claim_until(Millis until)
    {
        m_no_claim_until = std::max(m_no_claim_until, until);
    }

private:
    void read_rows();
    void rows_read(const StoreResult& result);
    void act_on_rows();
    void follow_new_leader(const LeaderValue& leader);
    void schedule_follow(Millis delay);
    void follow();
    void ask_leader();
    void heartbeat_answered(PeerEnd end, const PeerAnswer& answer, int64_t epoch);
    Millis next_heartbeat_delay() const;
    void on_heartbeat_refused();
    void on_heartbeat_timeout();
    void claim();
    bool should_yield() const;
    Millis slow_store_allowance() const;
    void defer_claim();
    void send_claim();
    void claim_answered(const StoreResult& result, Millis asked);
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
    bool m_claim_wanted = false; ///< Claim when the rows have been read.
    bool m_deferring = false; ///< Stronger nodes are given time to claim first.
    bool m_deferred = false; ///< They have had it, for the present leader's place.
    size_t m_group_size = 1; ///< Nodes that ask the leader.
    int m_max_peer_millicores = 0; ///< Among the other followers, as the leader last told.
    Millis m_read_time; ///< How long the last read of the rows took.
    Millis m_read_started; ///< When the last read of the rows began.
    LeaderValue m_leader; ///< As of the last read; epoch 0 when there is none.
    int64_t m_leader_version = 0;
    HeadValue m_head;
    int64_t m_head_version = 0;
    HeadValue m_claimed_head; ///< What the last claim wrote, whether or not it took effect.
    Millis m_claim_started;
    std::string m_predecessor; ///< Address of the leader that this node has followed.
    LeaderValue m_announced; ///< The last that another node told of while this one led.
    Millis m_leader_known_since; ///< When the present leader was first read of.
    Millis m_leader_answered_at; ///< When the leader last answered that it leads.
    int m_refusals = 0; ///< In a row, of the leader's address.
    static constexpr int64_t no_epoch = -1;
    int64_t m_open_heartbeat_epoch
        = no_epoch; ///< Of the leader to whom a heartbeat is open.
    int64_t m_stalled_head_version = 0; ///< The head's version while the leader is silent.
    Millis m_head_stalled_since;
    bool m_leader_silent = false;
    Millis m_no_claim_until;
    StoreWriter m_writer;
    EventLoop::TimerId m_timer = 0;
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
