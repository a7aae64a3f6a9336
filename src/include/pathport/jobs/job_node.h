// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// One node of the job path. Every node accepts and cancels jobs and answers for them; one
/// of them at a time schedules. It keeps nothing that must last.

#pragma once

#include <pathport/callers/caller.h>
#include <pathport/event_loop.h>
#include <pathport/jobs/job_model.h>
#include <pathport/jobs/job_store.h>
#include <pathport/jobs/mechanisms.h>
#include <pathport/jobs/peers.h>
#include <pathport/jobs/worker_client.h>
#include <pathport/metrics.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pathport::jobs {

/// The systems around a node. All of them outlive it.
struct NodeContext {
    EventLoop& loop;
    JobStore& store;
    Directory& directory;
    WorkerClient& workers;
    Advisor& advisor;
    PeerClient& peers;
    Metrics& metrics;
    std::function<int64_t()> wall_ms; ///< Time since 1970.
};

/// What a node has to be told.
struct NodeSetup {
    std::string node; ///< Its name.
    std::string peer_address; ///< IP:port where it takes peers' messages.
    std::string incarnation; ///< Changes with each start.
    Millis max_lease { 6000 }; ///< The longest lease of a worker.
    Millis kill_grace { 400 }; ///< How long a stop takes at a worker.
    Millis gang_timeout { 3000 }; ///< So long a gang's member waits for the others.
    /// Within this time a worker that announces its end gets no new task any more.
    Millis drain_margin { 2000 };
    /// The processor time that the node may use, in thousandths of a core. A node leads
    /// only while no stronger one can.
    int cpu_millicores = 1000;
    /// What the node's link moves in a second, in bytes; 0 for no bound.
    int64_t link_bytes_per_s = 0;
    /// A leader that stops in order waits so long at most for a slow store to be quick
    /// again before it hands over.
    Millis max_hand_over_delay { 2500 };
    /// So many closed jobs of one part of the store are archived together.
    size_t archive_batch = 12;
    /// For experiments only.
    Mechanisms mechanisms;
};

/// How a client's call ended.
enum class ClientStatus {
    ok,
    refused, ///< Not done and never will be by this call; come back later.
    in_doubt, ///< It may have been done; ask again.
    not_found, ///< There is no such job.
    unavailable, ///< Nobody can say at present; come back later.
    id_taken, ///< A job of another workspace has this id; not done and never will be.
    over_bound, ///< It needs more at once than its workspace may have; it never runs.
};

/// Answers a hand-in or a cancellation.
using ClientReply = std::function<void(ClientStatus)>;
/// Answers a question for a job's state.
using StateReply = std::function<void(ClientStatus, JobState)>;
/// Answers a question for a number of jobs.
using CountReply = std::function<void(ClientStatus, int64_t)>;

/// What one workspace has and waits for, as the leader knows it.
struct WorkspaceLoad {
    callers::Workspace workspace;
    Resources running; ///< With what may run on workers that have not reported.
    int waiting_jobs = 0; ///< Of which nothing is placed.
    int beyond_share = 0; ///< Open jobs that came beyond its share.
    int steps_at_bound = 0; ///< That wait for room below its bound.
};

/// A node.
class JobNode {
public:
    JobNode(const NodeContext& parts, const NodeSetup& setup);
    ~JobNode();
    JobNode(const JobNode&) = delete;
    JobNode& operator=(const JobNode&) = delete;

    /// Begins to work.
    void begin();
    /// Begins a planned stop: it takes no more part in the election and hands over.
    void begin_shutdown();

    /// Returns whether clients should be sent here.
    bool ready() const;
    /// Returns whether this node schedules at present.
    bool leads() const;
    /// Returns the configuration in force, or nothing when there is none yet.
    std::shared_ptr<const Configuration> configuration() const;
    /// Returns how long ago the store last told that no newer one is there.
    Millis configuration_age() const;
    /// Returns whether that is so short ago that a caller may be told that a queue does not
    /// exist. Otherwise nobody can say, and the caller should come back.
    bool configuration_is_fresh() const;
    /// Returns when a caller whose job the queue does not take should come back; zero when
    /// it takes it.
    Millis closed_queue_retry_after(const std::string& queue) const;
    /// Returns when a caller whose job was refused should come back.
    Millis retry_after_refusal(const Queue& queue, const JobSpec& spec,
                               const std::string& id) const;
    /// From now on `listener` is told of each configuration that comes into force.
    void on_configuration(std::function<void(const Configuration&)> listener);

    /// Finds out who makes a call on a queue of the configuration.
    callers::CallerCheck check_caller(const Configuration& configuration,
                                      const Queue& queue, const callers::PresentedKey& key);

    /// Hands in a job for `caller`, whose workspace's it becomes. `received` is when the
    /// call came, `limit` the time that its client waits, 0 when unknown.
    void submit(const Queue& queue, const std::string& id, const JobSpec& spec,
                Millis received, Millis limit, ClientReply done,
                const callers::Caller& caller = {});
    /// Cancels a job. For a caller that may not see it there is none.
    void cancel(const std::string& id, Millis received, Millis limit, ClientReply done,
                const callers::Caller& caller = {});
    /// Asks for the state of a job. For a caller that may not see it there is none.
    void query(const std::string& id, Millis received, Millis limit, StateReply done,
               const callers::Caller& caller = {});
    /// Asks how many jobs of a queue have not begun.
    void count_pending(const Queue& queue, Millis received, Millis limit, CountReply done);

    /// Handles a peer's message.
    void handle_peer(const PeerRequest& request, PeerResponder done);

    /// Returns the load of each workspace of the configuration; empty unless this node
    /// leads.
    std::vector<WorkspaceLoad> workspace_loads() const;
    /// Returns how many workers have answered this node lately; 0 when it does not lead.
    size_t reachable_workers() const;

    /// Brings the gauges among the metrics up to date.
    void update_gauges();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Encodes a configuration for peers.
std::string encode(const Configuration& configuration);
/// Decodes a configuration; returns nothing when it is malformed.
std::optional<Configuration> decode_configuration(const std::string& text);

} // namespace pathport::jobs
