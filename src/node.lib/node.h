// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// One node: it ties the decisions to the table, the boxes, the peers and the callers.

#pragma once

#include "cell_view.h"
#include "node_settings.h"

#include <pathport/config_view.h>
#include <pathport/dispatcher.h>
#include <pathport/http_platform.h>
#include <pathport/metrics.h>
#include <pathport/router.h>
#include <pathport/shard_keeper.h>
#include <pathport/timers.h>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <thread>

namespace pathport {

/// What a node says about its own health.
struct NodeHealth {
    bool table_reachable = false;
    bool config_current = false;
    bool leaving = false;
    int64_t config_revision = 0;
    int64_t queued = 0;
    size_t remembered_ids = 0;
};

/// A node. It works from start() to stop() on threads of its own.
class Node : private PeerHandler,
             private RequestSink,
             private DispatchListener,
             private ReplicaLoad {
public:
    explicit Node(const NodeSettings& settings);
    ~Node() override;
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;

    /// Opens the peers' address and starts to work. Returns false and sets `reason` when it
    /// can't.
    bool start(Failure& reason);
    /// Hands over all shards and waits for requests under way, up to the setting's limit.
    void leave();
    /// Ends all threads.
    void stop();

    /// Carries a caller's request. `done` is called exactly once, at the latest shortly
    /// after the request's time.
    void request(const ForwardRequest& request,
                 const std::function<void(ForwardAnswer)>& done);

    const NodeSettings& settings() const { return m_settings; }
    const CellView& cell() const { return m_cell; }
    const ConfigView& config() const { return m_config; }
    ConfigWriter& config_writer() { return m_config_writer; }
    Table& table() { return m_table; }
    TableLane& job_lane() { return m_job_lane; }
    const ShardKeeper& keeper() const { return m_keeper; }
    Metrics& metrics() { return m_metrics; }
    const Clock& clock() const { return m_clock; }
    NodeHealth health() const;
    /// Returns whether another process has started under this node's id. This one must end.
    bool is_replaced() const { return m_replaced; }

    /// Tells the owners of these shards that rows have arrived for them; with no shards,
    /// tells all peers that the configuration has changed.
    void wake(const std::vector<std::string>& shards);
    /// Asks all nodes, this one included, and returns the first answer.
    std::optional<std::string> ask_all(const std::string& kind, const std::string& name);

private:
    // Counts the requests that this node has taken and not answered.
    struct Open {
        std::atomic<bool> answered { false };
    };

    // heartbeat.cpp, peer_loop.cpp
    void heartbeat_loop();
    bool beat_table();
    TableTxn make_beat(NodeState state) const;
    void take_beat(const TableResult& result);
    void rejoin();
    void own_shards();
    void plan_steps();
    TableTxn steps_txn(const std::vector<OwnershipStep>& steps) const;
    void make_steps(std::vector<OwnershipStep> steps);
    void take_step(const OwnershipStep& step, const TableResult& result);
    void hand_over(const std::string& address, const ShardRecord& given,
                   const RangeMemory& memory);
    void retire_dead();
    void beat_peers();
    void peer_loop();
    void platform_loop();
    void read_boxes();
    void move_old_audit();
    Beat make_own_beat(const std::string& to);
    void update_own_load();
    void apply_config(const std::vector<ConfigRow>& rows);
    void fetch_config(const std::string& address);

    // keeper_loop.cpp
    void keeper_loop();
    bool inputs_changed();
    void keeper_round();
    void update_inputs();
    void send_exchange(const DueExchange& due);
    void move_waiting_tasks();
    void commit_loop();
    bool load_shards();
    bool commit_once();

    // node.cpp
    void on_forward(ForwardRequest request,
                    std::function<void(ForwardAnswer)> done) override;
    Beat on_beat(const Beat& beat) override;
    std::vector<ConfigRow> on_config_since(int64_t revision) override;
    void on_wake(const std::vector<std::string>& shards) override;
    void on_hand_over(const std::string& shard, int64_t epoch,
                      const RangeMemory& memory) override;
    std::optional<std::string> on_ask(const std::string& kind,
                                      const std::string& name) override;
    void dispatch_here(const ForwardRequest& request,
                       std::function<void(ForwardAnswer)> done) override;
    AdmissionVerdict admit_here(const ForwardRequest& request) override;
    void release_here(const ForwardRequest& request) override;
    void forward(const std::string& address, const ForwardRequest& request,
                 std::function<void(ForwardAnswer)> done) override;
    void on_target_trouble(const std::string& box) override;
    int64_t in_flight(const std::string& box, const std::string& service) const override;
    void wake_heartbeat();
    void wake_keeper();
    void sweep();

    const NodeSettings m_settings;
    SystemClock m_clock;
    std::string m_incarnation;
    Metrics m_metrics;
    HttpTable m_table;
    HttpBoxList m_box_list;
    HttpObjectStore m_objects;
    HttpBoxAgent m_box_agent;
    HttpTargetClient m_target_client;
    CellView m_cell;
    ConfigView m_config;
    ConfigWriter m_config_writer;
    TableLane m_own_lane;
    TableLane m_task_lane;
    TableLane m_job_lane;
    TableLane m_audit_lane;
    AdmissionLedger m_admission;
    ShardKeeper m_keeper;
    Dispatcher m_dispatcher;
    Router m_router;

    // Of the heartbeat's thread.
    int64_t m_counter = 0;
    int64_t m_row_version = 0;
    int64_t m_seen_revision = 0;
    std::map<std::string, int64_t> m_admission_epochs;
    Departure m_departure;
    Millis m_beat_sent; ///< When the last heartbeat that the table took was sent.
    Millis m_first_beat; ///< When the table took the first heartbeat; 0 before.

    // Of the keeper's thread.
    std::shared_ptr<const ConfigSnapshot> m_used_config;
    int64_t m_used_boxes = -1;
    Millis m_inputs_updated;

    std::mutex m_load_mutex;
    OwnLoad m_own_load;
    std::atomic<int64_t> m_open_requests { 0 };
    /// Admission ranges given away whose next owner does not know their ids yet.
    std::atomic<int64_t> m_open_hand_overs { 0 };
    std::atomic<bool> m_leaving { false };
    std::atomic<bool> m_refusing { false };
    std::atomic<bool> m_left { false };
    std::atomic<bool> m_replaced { false };
    std::atomic<bool> m_stopping { false };
    std::mutex m_wake_mutex;
    std::condition_variable m_wake;
    bool m_heartbeat_due = false;
    bool m_keeper_due = false;
    bool m_commit_due = false;

    std::thread m_heartbeat_thread;
    std::thread m_peer_thread;
    std::thread m_platform_thread;
    std::thread m_keeper_thread;
    std::thread m_commit_thread;
    std::unique_ptr<Timers> m_timers;
    std::unique_ptr<PeerHub> m_hub;
};

} // namespace pathport
