// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The components of a node and how they are connected.

#pragma once

#include "acceptor.h"
#include "advice_pool.h"
#include "configuration_tracker.h"
#include "followers.h"
#include "leadership.h"
#include "lifetime.h"
#include "payload_cache.h"
#include "peer_list.h"
#include "relayed_directory.h"
#include "relayed_workers.h"
#include "scheduler.h"
#include "store_health.h"
#include "version_gossip.h"
#include "worker_relay.h"

#include <pathport/jobs/job_node.h>
#include <pathport/shortage/room_forecast.h>

#include <set>

namespace pathport::jobs {

/// How long a promise not to claim leadership is valid: three heartbeats plus the time-out
/// of one. After an outage, a leader that has lost power is not replaced earlier, so this
/// is no longer than necessary.
constexpr Millis promise_time { 1000 };
// A node whose claim took effect without its knowledge may promise once more; its
// scheduler allows for orders of earlier leaders during one lease.
static_assert(promise_time < leader_lease, "promises outlast what a new leader allows for");

/// Time limit of a client's call; a write that is not stored by then is abandoned.
constexpr Millis max_request_time { 1200 };
/// Part of a client's time-out that is reserved for returning the reply.
constexpr Millis reply_margin { 150 };
/// Time-out for a query to the leader on behalf of a client.
constexpr Millis leader_query_timeout { 400 };

/// A follower that has been silent for this long is probed, and can't become the successor.
constexpr Millis follower_silence_limit { 600 };
/// Time-out for a message without content.
constexpr Millis probe_timeout { 300 };

/// Why a leader does not hand over.
enum class HandOverObstacle {
    none, ///< It should hand over now.
    in_progress, ///< The log is about to make another node the leader.
    loading, ///< It does not schedule yet, and no live follower is more powerful.
    strongest, ///< No live follower that the store serves is more powerful.
    store_slow, ///< The next leader would read all open jobs from a slow store.
    disabled, ///< The mechanism is off.
};

/// Returns the lower-case name of `obstacle`.
const char* to_string(HandOverObstacle obstacle);

/// Implementation of JobNode.
class JobNode::Impl : public LeadershipListener {
public:
    Impl(const NodeContext& context, const NodeSetup& setup);

    // Life cycle (job_node.cpp).
    void begin();
    void begin_shutdown();
    bool ready() const { return configuration() != nullptr && !m_shutting_down; }
    bool leads() const { return m_scheduler != nullptr; }
    std::shared_ptr<const Configuration> configuration() const
    {
        return m_configuration.current();
    }
    const ConfigurationTracker& tracker() const { return m_configuration; }
    std::shared_ptr<const DrainedDomains> drains() const
    {
        return m_configuration.drains();
    }
    void on_configuration(std::function<void(const Configuration&)> listener)
    {
        m_configuration.on_applied(std::move(listener));
    }
    void update_gauges();
    std::vector<WorkspaceLoad> workspace_loads() const;
    size_t reachable_workers() const
    {
        return m_scheduler ? m_scheduler->reachable_workers() : 0;
    }

    // Clients' calls (job_node_clients.cpp).
    callers::CallerCheck check_caller(const Configuration& configuration,
                                      const Queue& queue, const callers::PresentedKey& key);
    void submit(const Queue& queue, const std::string& id, const JobSpec& spec,
                Millis received, Millis limit, const callers::Caller& caller,
                ClientReply done);
    void cancel(const std::string& id, Millis received, Millis limit,
                const callers::Caller& caller, ClientReply done);
    void query(const std::string& id, Millis received, Millis limit,
               const callers::Caller& caller, StateReply done);
    void count_pending(const Queue& queue, Millis received, Millis limit, CountReply done);

    /// Returns the time after which a caller should retry if the queue is closed to
    /// submissions; zero if it is open.
    Millis closed_queue_retry_after(const std::string& queue) const;
    Millis retry_after_refusal(const Queue& queue, const JobSpec& spec,
                               const std::string& id) const;

    // Peers' messages (job_node_peers.cpp).
    void handle_peer(const PeerRequest& request, PeerResponder done);
    void answer_peer(const PeerRequest& request, PeerResponder done);

    // LeadershipListener
    void elected(const Claim& claim, const std::string& predecessor) override;
    void fill_heartbeat(PeerRequest& request) override;
    void leader_answered(const PeerAnswer& answer) override;
    void leader_unknown() override;
    bool could_lead() const override;

private:
    void deposed();
    std::shared_ptr<const DrainedDomains> recent_drains() const;
    PeerRequest own_message() const;
    PeerRequest own_heartbeat() const;
    void announce(const std::string& address);
    void lead_tick();
    void discount_own_pause();
    void probe_follower(const std::string& address);
    void update_promises();
    void update_peer_list();
    void refresh_relays();
    void refresh_candidates();
    // Succession (job_node_succession.cpp).
    void consider_resigning();
    HandOverObstacle hand_over_obstacle() const;
    void log_hand_over_obstacle();
    void hand_over_to(const std::string& address, const char* reason);
    void withdraw_lost_successor();
    bool is_eligible(const Follower& follower) const;
    void note_follower_served(const Follower& follower);
    bool other_node_served() const;
    bool slow_for_successor() const;
    std::string successor() const;
    void notify_leader_of_shutdown();

    void update_workspace_gauges();
    /// A refusal of a job for lack of capacity, with the inputs that decided it.
    struct CapacityRefusal {
        shortage::KnownWait known;
        shortage::JobAllowance allowance;
        Millis retry_after;
    };
    /// Why a submission is rejected.
    struct Rejection {
        const char* reason = "";
        ClientStatus answer = ClientStatus::refused;
        Millis retry_after;
        std::optional<CapacityRefusal> capacity {};
    };

    std::optional<Rejection> rejection_of(const Queue& queue, const JobSpec& spec,
                                          const std::string& workspace) const;
    void reject_submission(const std::string& queue, const std::string& id, Millis received,
                           const callers::Caller& caller, const Rejection& rejection,
                           ClientReply done);
    void note_rejection(const std::string& queue, const std::string& id,
                        const std::string& workspace, const Rejection& rejection,
                        bool accepted_before);
    std::optional<CapacityRefusal> lacks_capacity(const Queue& queue,
                                                  const JobSpec& spec) const;
    shortage::KnownWait known_wait(const std::string& queue) const;
    bool exceeds_bound(const JobSpec& spec, const std::string& workspace) const;
    void record_call_metrics(const char* call, const char* outcome, Millis received);
    static ClientStatus accepted_status(const std::string& id, const WriteResult& written,
                                        const callers::Caller& caller);
    void accepted(const std::string& id, const WriteResult& written);
    void notify_cancel(const std::string& id, Millis until);
    void retry_notify_cancel(const std::string& id, Millis until);
    void record_cancel(const std::string& id, const callers::Caller& caller,
                       Millis give_up_at, WriteReply done);
    void forward_write(PeerRequest request, WriteOutcome own_outcome, ClientReply done);
    void query_store(const std::string& id, Millis deadline, const callers::Caller& caller,
                     StateReply done);
    void read_state(const std::string& id, const callers::Caller& caller,
                    const std::vector<StoredRow>& rows, StateReply done);
    void query_closed(const std::string& id, std::optional<JobState> open_state,
                      const callers::Caller& caller, StateReply done);
    void query_progress(const std::string& id, bool canceled, const callers::Caller& caller,
                        StateReply done);
    std::string remote_leader() const;
    Millis write_deadline(Millis received, Millis limit) const;

    void handle_heartbeat(const PeerRequest& request, PeerAnswer& answer);
    void note_follower(const PeerRequest& request);
    void handle_state(const PeerRequest& request, PeerAnswer answer, PeerResponder done);
    void handle_accept(const PeerRequest& request, PeerResponder done);
    void handle_candidacy(PeerAnswer& answer);
    void handle_advice(const PeerRequest& request, PeerResponder done);
    void handle_job_accepted(const PeerRequest& request, PeerAnswer& answer);
    void handle_job_payload(const PeerRequest& request, PeerAnswer& answer) const;

    NodeContext m_context;
    NodeSetup m_setup;
    StoreHealth m_store;
    ConfigurationTracker m_configuration;
    VersionGossip m_gossip; ///< Sends messages to peers.
    Acceptor m_acceptor;
    AdvicePool m_advice;
    /// Of jobs that this node accepted or whose starts it relayed.
    PayloadCache m_payloads;
    WorkerRelay m_relay;
    RelayedWorkers m_relayed; ///< Calls workers while this node leads.
    RelayedDirectory m_relayed_directory; ///< Reads the worker list while this node leads.
    WorkerListReader m_list_reader;
    Leadership m_leadership;
    std::unique_ptr<Scheduler> m_scheduler; ///< Set while this node leads.
    Followers m_followers;
    std::vector<Candidate> m_candidates; ///< For this leader's answers.
    std::set<std::string> m_probed; ///< Followers with an open probe.
    PeerList m_peers; ///< All nodes known to the leader.
    /// Nodes known to the previous leader that have sent no heartbeat to this one yet.
    std::set<std::string> m_unheard_peers;
    Millis m_store_checked; ///< On behalf of a leader that the store does not serve.
    Millis m_leader_checked; ///< On behalf of a node that asked for this one's candidacy.
    Millis m_last_lead_tick; ///< When lead_tick() last ran.
    Millis m_elected_at; ///< When this node became the leader.
    bool m_shutting_down = false;
    Millis m_shutdown_started; ///< When the orderly shutdown began.
    std::optional<LeaderValue> m_successor; ///< Named by this leader's last write.
    /// As of the last log line on it.
    HandOverObstacle m_logged_obstacle = HandOverObstacle::none;
    /// When the store first served a follower since it fails this leader.
    std::optional<Millis> m_follower_served_at;
    bool m_handing_over = false; ///< The log is about to make another node the leader.
    std::string m_next_leader; ///< Address of that node.
    /// Whether the store served the leader, as of its last answer.
    bool m_leader_served = false;
    CallLoad m_leader_call_load; ///< Load of its calls to workers, as of its last answer.
    std::vector<ClosedQueue> m_closed_queues; ///< As of the leader's last answer.
    std::vector<LimitedQueue> m_limited_queues; ///< As of the same answer.
    Millis m_queue_lists_updated; ///< When that answer was received.
    int64_t m_leader_sent_ms = 0; ///< The leader's clock in its last answer.
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
