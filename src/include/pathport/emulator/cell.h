// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A complete cell in virtual time: scheduler nodes, a store, workers, and clients that
/// submit jobs and check the replies.

#pragma once

#include <pathport/emulator/store.h>
#include <pathport/emulator/virtual_loop.h>
#include <pathport/emulator/workers.h>
#include <pathport/jobs/job_node.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pathport::emulator {

/// A node process with its connections to the store, the workers and its peers.
class NodeProcess;

/// A client's view of a job.
struct ClientJob {
    jobs::Queue queue;
    jobs::JobSpec spec;
    std::vector<StepModel> step_models;
    std::string key; ///< API key that the client presents.
    std::string workspace; ///< Owner of the key at the first submission.
    bool accepted = false; ///< Acceptance was acknowledged.
    bool outcome_unknown = false; ///< A submission got no definite reply.
    int refusals = 0; ///< Submissions that were refused.
    Millis retry_after; ///< Delay that the last refusal asked for.
    bool cancel_requested = false;
    bool canceled = false; ///< Cancellation was acknowledged.
    bool expected_to_fail = false; ///< Its tasks fail too often for the queue.
    Millis accepted_at;
    Millis canceled_at; ///< When the cancellation was acknowledged.
    Millis stalled_since; ///< Start of the present stall; zero when not stalled.
};

/// A workspace with the API keys that the operators have assigned to it.
struct WorkspaceSetup {
    callers::Workspace workspace;
    std::vector<std::string> keys;
};

/// A configuration version written by the operators.
struct ConfigurationChange {
    int64_t version = 0;
    Millis at;
    std::vector<WorkspaceSetup> workspaces {};

    /// Returns the workspace that owns the key, or "".
    std::string key_owner(const std::string& key) const;
};

/// An emulated cell, driven by the events of its world.
class Cell {
public:
    /// `node_cpu_millicores` gives the processor share of individual nodes; the others have
    /// 1000. `link_bytes_per_s` is the link speed that each node is configured with; 0
    /// means unlimited. `domain_drain_time` is the time within which a failure domain gets
    /// no more tasks after it was drained; 0 if domains are never drained. `mechanisms`
    /// are those that the nodes use.
    Cell(uint64_t seed, int nodes, int workers,
         std::map<std::string, int> node_cpu_millicores = {}, int64_t link_bytes_per_s = 0,
         Millis domain_drain_time = Millis(0), const jobs::Mechanisms& mechanisms = {});
    ~Cell();

    World world;
    Store store;
    Workers workers;

    /// Returns the initial queue with or without advice.
    const jobs::Queue& queue(bool advised) const;
    std::vector<std::string> node_names() const;
    /// Returns the name of the present leader, or "".
    std::string leader() const;
    /// Returns the number of workers that the leader considers reachable; 0 without a
    /// leader.
    size_t reachable_workers() const;
    /// Returns the sum of a counter over the present processes of all nodes.
    double counter(const std::string& name) const;
    /// Kills a node's process and starts a new one after `pause`.
    void kill(const std::string& node, Millis pause);
    /// Freezes a node's process for `span`.
    void freeze(const std::string& node, Millis span);
    /// Suspends a node's box: like a freeze, but the time does not count for its timers.
    void suspend(const std::string& node, Millis span);
    /// Sets the processor cost of work in all present and future node processes.
    void set_processor_cost(const ProcessorCost& cost);
    /// Sets the speed of a node's processor, in percent of that in the processor cost.
    void set_processor_speed(const std::string& node, int percent);
    /// Partitions a node from its peers for `span`.
    void partition_from_peers(const std::string& node, Millis span,
                              PartitionMode mode = PartitionMode::drops);
    /// Black-holes the open connections of all nodes (to the store, the workers, the
    /// advisor and each other), each with `kept` idle ones in the pool. New connections
    /// work.
    void blackhole_connections(int kept);
    /// Writes a configuration, as the operators do.
    void configure(const jobs::Configuration& configuration);
    /// Writes a configuration with these workspaces, after which each call needs a key.
    void configure_workspaces(const std::vector<WorkspaceSetup>& workspaces);
    const std::vector<WorkspaceSetup>& workspaces() const
    {
        return m_configurations.back().workspaces;
    }
    /// Drains a failure domain or withdraws the request, as the operators do.
    void drain_domain(const std::string& domain, bool drained);
    /// Returns the configuration version in force on a node, or 0.
    int64_t configuration_version(const std::string& node);
    /// Records that the store is disturbed for `span` from now on. Until some time after
    /// it, no node is required to have applied new configurations.
    void note_contact_loss(Millis span);
    /// Records the same for one node. Faults injected through this class do so themselves.
    void note_contact_loss(const std::string& node, Millis span);
    /// Starts checking that nodes in contact with the store apply configurations in time,
    /// and that no node process reverts to an older one.
    void watch_configurations();
    /// Returns the violations found by watch_configurations().
    const std::vector<std::string>& configuration_violations() const
    {
        return m_configuration_violations;
    }
    /// Stops a node gracefully and starts a new process after `pause`.
    void stop(const std::string& node, Millis pause);

    /// Submits a job to any running node, and retries at others without a definite reply.
    void submit(const std::string& id, const jobs::JobSpec& spec,
                const std::vector<StepModel>& step_models, bool advised);
    /// Submits a job on the queue of that name, with a key unless it is empty.
    void submit_on(const std::string& queue, const std::string& id,
                   const jobs::JobSpec& spec, const std::vector<StepModel>& step_models,
                   const std::string& key = "");
    /// Queries, cancels and resubmits a job with another workspace's key at any node.
    /// Records a violation if any of it succeeds.
    void attempt_foreign_access(const std::string& id, const std::string& key);
    /// Submits a job to this node only and waits for the reply in virtual time. Returns
    /// nothing when the node is down or does not reply.
    std::optional<jobs::ClientStatus> submit_at(const std::string& node,
                                                const std::string& id,
                                                const jobs::JobSpec& spec,
                                                const std::vector<StepModel>& step_models);
    /// Resubmits a job, as a client does that got no reply.
    void submit_again(const std::string& id);
    /// Cancels a job through any running node.
    void cancel(const std::string& id);
    /// Queries the state of a job at any running node and waits in virtual time.
    std::optional<jobs::JobState> ask_state(const std::string& id);

    /// Queries how many jobs of a queue are pending; -1 without a reply within 50 ms.
    int64_t ask_pending(bool advised);

    /// Checks the final state of all accepted jobs. Returns these violations and all that
    /// were recorded before.
    std::vector<std::string> final_violations();
    /// Records a disturbance for `span` from now on, after which jobs may be stalled for
    /// `settles_in`.
    void note_disturbance(Millis span, Millis settles_in = Millis(0));
    /// Starts checking for jobs that are stalled for 3 s without a disturbance, and for
    /// cancelled jobs that keep running.
    void watch_jobs();
    /// Returns the violations found by watch_jobs().
    const std::vector<std::string>& liveness_violations() const
    {
        return m_liveness_violations;
    }
    const std::map<std::string, ClientJob>& jobs() const { return m_jobs; }

private:
    friend class NodeProcess;
    friend class PeerPort;

    void start(const std::string& node);
    ProcessorCost processor_cost_of(const std::string& node) const;
    NodeProcess* running(const std::string& node);
    /// Returns the partition of the node from its peers that is in effect, or null.
    const Partition* peer_partition(const std::string& node) const;
    NodeProcess* random_running_node();
    void add_job(const std::string& id, const jobs::JobSpec& spec,
                 const std::vector<StepModel>& step_models, const jobs::Queue& queue);
    void try_submit(const std::string& id, int tries);
    void note_refusal(const NodeProcess& process, const std::string& id);
    void on_submit_reply(const std::string& id, int tries, jobs::ClientStatus status);
    // Callers and their workspaces (cell_callers.cpp).
    std::optional<callers::Caller> admit(const std::string& node, NodeProcess& process,
                                         const jobs::Queue& queue, const std::string& key);
    void check_admission(const std::string& node, NodeProcess& process,
                         const std::string& key, const callers::CallerCheck& check);
    std::string name_of(const NodeProcess& process) const;
    callers::Caller caller_of(const ClientJob& job) const;
    Resources highest_bound(const std::string& workspace) const;
    void check_state(const std::string& id, const ClientJob& job,
                     std::vector<std::string>& problems);
    // The configuration (cell_configuration.cpp).
    Millis in_contact_since(const std::string& node, const NodeProcess& process) const;
    int64_t required_version(const std::string& node, const NodeProcess& process) const;
    void check_configuration(const std::string& node, NodeProcess& process);
    void record_configuration_violation(const std::string& node, const char* what,
                                        int64_t version, int64_t required);
    // Liveness (cell_liveness.cpp).
    void check_jobs();
    void check_stall(const std::string& id, ClientJob& job);
    void check_canceled(const std::string& id, ClientJob& job);
    bool job_may_fail(const std::string& id, const ClientJob& job) const;
    static bool has_crashing_tasks(const ClientJob& job);
    void check_lasting_tasks(const std::string& id, const ClientJob& job,
                             std::vector<std::string>& problems) const;

    std::map<std::string, int> m_node_cpu_millicores; ///< By node.
    int64_t m_link_bytes_per_s = 0;
    Millis m_domain_drain_time;
    jobs::Mechanisms m_mechanisms;
    ProcessorCost m_processor_cost;
    std::map<std::string, int> m_processor_speed; ///< In percent, by node; others have 100.
    std::map<std::string, std::unique_ptr<NodeProcess>> m_nodes;
    /// Kept, since pending events refer to them.
    std::vector<std::unique_ptr<NodeProcess>> m_dead_processes;
    std::map<std::string, Partition> m_peer_partitions; ///< By node.
    std::map<std::string, ClientJob> m_jobs;
    Millis m_disturbance_end; ///< End of the last disturbance.
    Millis m_settled_at; ///< The same plus the time in which jobs may be stalled.
    std::vector<std::string> m_liveness_violations;
    std::vector<ConfigurationChange> m_configurations;
    Millis m_store_disturbance_end; ///< End of the last disturbance of the store.
    std::map<std::string, Millis> m_node_disturbance_end; ///< The same by node.
    std::vector<std::string> m_configuration_violations;
};

} // namespace pathport::emulator
