// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A whole cell in virtual time: nodes of the job path, a store, workers, and clients that
/// hand in jobs and check what they were told.

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

/// A node's process and what it reaches the world through.
class NodeProcess;

/// What a client knows of a job.
struct ClientJob {
    jobs::Queue queue;
    jobs::JobSpec spec;
    std::vector<StepModel> facts;
    std::string key; ///< That its client brings.
    std::string workspace; ///< That the key was of when it was handed in first.
    bool accepted = false; ///< It was told so.
    bool outcome_unknown = false; ///< An attempt got no clear answer.
    bool cancel_requested = false;
    bool canceled = false; ///< It was told so.
    bool expected_to_fail = false; ///< Its tasks fail too often.
    Millis accepted_at;
    Millis canceled_at; ///< When it was told that it is cancelled.
    Millis stalled_since; ///< Since when it could run and doesn't; zero when it does.
};

/// A workspace as the operators have it.
struct WorkspaceSetup {
    callers::Workspace workspace;
    std::vector<std::string> keys;
};

/// A configuration that the operators have written.
struct ConfigurationChange {
    int64_t version = 0;
    Millis at;
    std::vector<WorkspaceSetup> workspaces {};

    /// Returns the workspace that has the key, or "".
    std::string key_owner(const std::string& key) const;
};

/// The cell.
class Cell {
public:
    /// `strengths` are those of the nodes named; the others have 1000. `link_bytes` is what
    /// each node believes of its link, 0 for no bound.
    Cell(uint64_t seed, int nodes, int workers, std::map<std::string, int> strengths = {},
         int64_t link_bytes = 0);
    ~Cell();

    World world;
    Store store;
    Workers workers;

    /// Returns a queue of the configuration; `advised` asks for one with advice.
    const jobs::Queue& queue(bool advised) const;
    std::vector<std::string> node_names() const;
    /// Returns the name of the node that leads, or "".
    std::string leader() const;
    /// Returns how many workers the leader takes for reachable; 0 while nobody leads.
    size_t reachable_workers() const;
    /// Kills a node's process; another one starts after `pause`.
    void kill(const std::string& node, Millis pause);
    /// Freezes a node's process.
    void freeze(const std::string& node, Millis span);
    /// Suspends a node's machine: as a freeze, but its timers count no time meanwhile.
    void suspend(const std::string& node, Millis span);
    /// From now on the work of each node's process takes so long, also of those that start.
    void set_processor_cost(const ProcessorCost& cost);
    /// Cuts a node from its peers.
    void partition_from_peers(const std::string& node, Millis span);
    /// The open connections of all nodes, to the store, the workers, the advisor and each
    /// other, go silent for good, `kept` idle ones each; new ones work.
    void blackhole_connections(int kept);
    /// The operators write a configuration.
    void configure(const jobs::Configuration& configuration);
    /// The operators write one with these workspaces. From then on each call brings a key.
    void configure_workspaces(const std::vector<WorkspaceSetup>& workspaces);
    const std::vector<WorkspaceSetup>& workspaces() const
    {
        return m_changes.back().workspaces;
    }
    /// Returns the version of the configuration that a node goes by, or 0.
    int64_t configuration_version(const std::string& node);
    /// The store is in trouble for `span` from now on; no node counts as in touch meanwhile
    /// and for a while after it.
    void note_contact_loss(Millis span);
    /// The same for one node. Kills, freezes, cuts, stops and silences note it themselves.
    void note_contact_loss(const std::string& node, Millis span);
    /// From now on notes each node in touch that goes by an older configuration than it
    /// may, and each life of a node that goes back to one.
    void watch_configurations();
    /// Returns what was noted.
    const std::vector<std::string>& configuration_violations() const
    {
        return m_late_configurations;
    }
    /// Stops a node in order; another process starts after `pause`.
    void stop(const std::string& node, Millis pause);

    /// Hands in a job at a node that runs, and again elsewhere after an unclear answer.
    void submit(const std::string& id, const jobs::JobSpec& spec,
                const std::vector<StepModel>& facts, bool advised);
    /// Hands in a job on the queue of that name, with a key if it isn't empty.
    void submit_on(const std::string& queue, const std::string& id,
                   const jobs::JobSpec& spec, const std::vector<StepModel>& facts,
                   const std::string& key = "");
    /// Asks any node, with another workspace's key, for the state of a job, and has it
    /// cancelled; notes a breach if that tells or changes anything.
    void attempt_foreign_access(const std::string& id, const std::string& key);
    /// Hands in a job at this node only and waits for the answer, in virtual time; nothing
    /// when the node does not run or does not answer.
    std::optional<jobs::ClientStatus> submit_at(const std::string& node,
                                                const std::string& id,
                                                const jobs::JobSpec& spec,
                                                const std::vector<StepModel>& facts);
    /// Hands in a job that was handed in before, as a client does that got no answer.
    void submit_again(const std::string& id);
    /// Cancels a job.
    void cancel(const std::string& id);
    /// Asks a node for the state of a job and waits, in virtual time.
    std::optional<jobs::JobState> ask_state(const std::string& id);

    /// Asks a node how many jobs of a queue have not begun; waits a little for the answer.
    int64_t ask_pending(bool advised);

    /// Checks that all accepted jobs have come to the end that they should; returns what is
    /// wrong, with all breaches seen so far.
    std::vector<std::string> final_violations();
    /// Notes that there is a disturbance for `span` from now on, and that jobs may stand
    /// for `settles_in` after it.
    void note_disturbance(Millis span, Millis settles_in = Millis(0));
    /// From now on notes each job that stands for 3 s although it could run, in calm, and
    /// each that runs on though it was cancelled.
    void watch_jobs();
    /// Returns the jobs that were found to stand.
    const std::vector<std::string>& liveness_violations() const { return m_standing; }
    const std::map<std::string, ClientJob>& jobs() const { return m_jobs; }

private:
    friend class PeerPort;

    void start(const std::string& node);
    NodeProcess* running(const std::string& node);
    NodeProcess* any_running();
    void describe(const std::string& id, const jobs::JobSpec& spec,
                  const std::vector<StepModel>& facts, const jobs::Queue& queue);
    void try_submit(const std::string& id, int tries);
    void submit_answered(const std::string& id, int tries, jobs::ClientStatus status);
    // Callers (cell_callers.cpp).
    std::optional<callers::Caller> admit(const std::string& node, NodeProcess& process,
                                         const jobs::Queue& queue, const std::string& key);
    void check_admission(const std::string& node, NodeProcess& process,
                         const std::string& key, const callers::CallerCheck& check);
    std::string name_of(const NodeProcess& process) const;
    callers::Caller caller_of(const ClientJob& job) const;
    Resources highest_bound(const std::string& workspace) const;
    void check_state(const std::string& id, const ClientJob& job,
                     std::vector<std::string>& wrong);
    // The configuration (cell_configuration.cpp).
    Millis in_touch_since(const std::string& node, const NodeProcess& process) const;
    int64_t owed_version(const std::string& node, const NodeProcess& process) const;
    void look_at_configuration(const std::string& node, NodeProcess& process);
    void note_configuration(const std::string& node, const char* what, int64_t version,
                            int64_t owed);
    // Liveness (cell_liveness.cpp).
    void look_at_jobs();
    void look_at_job(const std::string& id, ClientJob& job);
    void look_at_canceled(const std::string& id, ClientJob& job);
    bool is_spent(const std::string& id, const ClientJob& job) const;
    static bool has_crashers(const ClientJob& job);
    void check_lasting(const std::string& id, const ClientJob& job,
                       std::vector<std::string>& wrong) const;

    std::map<std::string, int> m_strengths; ///< By node.
    int64_t m_link_bytes = 0;
    ProcessorCost m_processor_cost;
    std::map<std::string, std::unique_ptr<NodeProcess>> m_nodes;
    std::vector<std::unique_ptr<NodeProcess>> m_dead; ///< Kept, since events may name them.
    std::map<std::string, Millis> m_cut_until;
    std::map<std::string, ClientJob> m_jobs;
    Millis m_trouble_until; ///< The last disturbance ends then.
    Millis m_disturbed_until; ///< The same with the time that jobs may stand after it.
    std::vector<std::string> m_standing;
    std::vector<ConfigurationChange> m_changes;
    Millis m_core_trouble_until; ///< The last trouble of the store ends then.
    std::map<std::string, Millis> m_node_trouble_until; ///< The same of single nodes.
    std::vector<std::string> m_late_configurations;
};

} // namespace pathport::emulator
