// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A node of the job scheduler. Every node accepts, cancels and reports on jobs; one node
/// at a time, the leader, schedules them. A node keeps no durable state of its own.

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

/// Dependencies of a node. All must outlive it.
struct NodeContext {
    EventLoop& loop;
    JobStore& store;
    Directory& directory;
    WorkerClient& workers;
    Advisor& advisor;
    PeerClient& peers;
    Metrics& metrics;
    std::function<int64_t()> wall_ms; ///< Returns the Unix time.
};

/// Settings of a node.
struct NodeSetup {
    std::string node; ///< Its name.
    std::string peer_address; ///< IP:port on which it receives peers' messages.
    std::string incarnation; ///< Differs for each start of the process.
    Millis max_lease { 6000 }; ///< Maximum lease of a worker.
    Millis kill_grace { 400 }; ///< Time that a worker takes to stop a task.
    /// How long a gang's member waits for the others to start.
    Millis gang_timeout { 3000 };
    /// A worker that announces its shutdown gets no new tasks once less than this is left.
    Millis drain_margin { 2000 };
    /// Time from a request to drain a failure domain until no task is started there any
    /// more; 0 for no limit.
    Millis domain_drain_time;
    /// Processor time available to the node, in thousandths of a core. A node leads only
    /// while no node with more is able to.
    int cpu_millicores = 1000;
    /// Bandwidth of the node's network link; 0 for unlimited.
    int64_t link_bytes_per_s = 0;
    /// During an orderly shutdown, a leader waits at most this long for a slow store to
    /// recover before it hands over.
    Millis max_hand_over_delay { 2500 };
    /// Number of closed jobs of one store partition that are archived in one transaction.
    size_t archive_batch = 12;
    /// Changed in experiments only.
    Mechanisms mechanisms;
};

/// Outcome of a client's call.
enum class ClientStatus {
    ok,
    refused, ///< Not executed, and will not be by this call; retry later.
    in_doubt, ///< It may have been executed; retry with the same id.
    not_found, ///< No such job.
    unavailable, ///< The answer is not known at present; retry later.
    id_taken, ///< A job of another workspace has this id; not executed, and never will be.
    /// It needs more at once than its workspace's bound allows, so it could never run.
    over_bound,
};

/// Receives the result of a submission or a cancellation.
using ClientReply = std::function<void(ClientStatus)>;
/// Receives the result of a query for a job's state.
using StateReply = std::function<void(ClientStatus, JobState)>;
/// Receives the result of a query for a number of jobs.
using CountReply = std::function<void(ClientStatus, int64_t)>;

/// Resource use and backlog of a workspace, as known to the leader.
struct WorkspaceLoad {
    callers::Workspace workspace;
    /// Includes tasks that may run on workers that have not reported yet.
    Resources running;
    int waiting_jobs = 0; ///< Jobs without a placed task.
    int beyond_share = 0; ///< Open jobs that were submitted beyond its fair share.
    int steps_at_bound = 0; ///< Steps that wait because the workspace is at its bound.
};

/// A node of the job scheduler.
class JobNode {
public:
    JobNode(const NodeContext& context, const NodeSetup& setup);
    ~JobNode();
    JobNode(const JobNode&) = delete;
    JobNode& operator=(const JobNode&) = delete;

    /// Starts the node.
    void begin();
    /// Begins an orderly shutdown: the node leaves the election and hands over leadership.
    void begin_shutdown();

    /// Returns whether the node is ready for clients' calls.
    bool ready() const;
    /// Returns whether this node is the leader.
    bool leads() const;
    /// Returns the active configuration, or nullptr if there is none yet.
    std::shared_ptr<const Configuration> configuration() const;
    /// Returns the time since the store last confirmed that there is no newer
    /// configuration.
    Millis configuration_age() const;
    /// Returns whether the configuration was confirmed recently enough to tell a caller
    /// that a queue does not exist. If it was not, the caller should be told to retry.
    bool configuration_is_fresh() const;
    /// Returns the time after which a caller should retry if the queue is closed to
    /// submissions; zero if it is open.
    Millis closed_queue_retry_after(const std::string& queue) const;
    /// Returns the time after which the caller of a refused submission should retry.
    Millis retry_after_refusal(const Queue& queue, const JobSpec& spec,
                               const std::string& id) const;
    /// Registers `listener` to be called for each configuration that becomes active.
    void on_configuration(std::function<void(const Configuration&)> listener);

    /// Identifies the caller of a queue of the configuration.
    callers::CallerCheck check_caller(const Configuration& configuration,
                                      const Queue& queue, const callers::PresentedKey& key);

    /// Submits a job for `caller`, whose workspace will own it. `received` is when the call
    /// arrived; `limit` is how long its client waits, 0 if unknown.
    void submit(const Queue& queue, const std::string& id, const JobSpec& spec,
                Millis received, Millis limit, ClientReply done,
                const callers::Caller& caller = {});
    /// Cancels a job. Returns not_found to a caller that may not see it.
    void cancel(const std::string& id, Millis received, Millis limit, ClientReply done,
                const callers::Caller& caller = {});
    /// Queries the state of a job. Returns not_found to a caller that may not see it.
    void query(const std::string& id, Millis received, Millis limit, StateReply done,
               const callers::Caller& caller = {});
    /// Queries how many jobs of a queue have not started.
    void count_pending(const Queue& queue, Millis received, Millis limit, CountReply done);

    /// Handles a message from a peer.
    void handle_peer(const PeerRequest& request, PeerResponder done);

    /// Returns the load of each workspace of the configuration; empty unless this node is
    /// the leader.
    std::vector<WorkspaceLoad> workspace_loads() const;
    /// Returns the number of workers that answered this node recently; 0 unless it is the
    /// leader.
    size_t reachable_workers() const;

    /// Updates the gauge metrics.
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
