// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The emulator's store: conditional writes of rows, with injected outages, latency, lost
/// replies and delayed writes; and the directory of workers and configuration.

#pragma once

#include <pathport/emulator/pooled_connections.h>
#include <pathport/emulator/virtual_loop.h>
#include <pathport/jobs/job_store.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

namespace pathport::emulator {

/// Faults of the store that are in effect at present.
struct InjectedStoreFaults {
    bool refuse_calls = false; ///< Every call is refused.
    bool unresponsive = false; ///< Calls are neither executed nor answered.
    int64_t latency_factor = 1; ///< Multiplies the latency of replies.
    double lost_write_replies = 0; ///< Share of writes that are executed but not answered.
    double lost_read_replies = 0; ///< Share of reads and watches that are not answered.
    bool delay_lost_writes = false; ///< Writes without a reply are executed 1 to 6 s later.
    std::set<std::string> refused_nodes; ///< Nodes whose calls are refused.
    std::set<std::string> partitioned_nodes; ///< Nodes whose calls are not answered.
    /// Nodes whose writes to the scheduler's partition are refused; all else is served.
    std::set<std::string> refused_log_nodes;
    /// Nodes whose writes to the scheduler's partition are rejected; all else is served.
    std::set<std::string> rejected_log_nodes;
};

/// The store's rows and configuration, shared by all nodes.
class Store {
public:
    explicit Store(World& world);

    InjectedStoreFaults injected;
    /// Returns the workers that the directory lists.
    std::function<std::vector<jobs::WorkerInfo>()> list_workers;

    /// Sets the operators' configuration.
    void configure(const jobs::Configuration& configuration);
    /// Drains a failure domain, or withdraws the request.
    void drain(const std::string& domain, bool drained);
    /// Drops the history of changes, so that watches from earlier versions fail.
    void compact() { m_history_from = m_version; }

    jobs::StoreResult write_now(const jobs::StoreWrite& write);
    jobs::StoreResult read_now(const jobs::StoreRange& range) const;
    jobs::StoreResult watch_now(const std::string& table, int64_t version) const;
    const jobs::Configuration& configuration() const { return m_configuration; }
    int64_t configuration_version() const { return m_configuration_version; }
    /// Returns the version of the last change of the configuration or of a drain.
    int64_t operator_version() const { return m_operator_version; }
    /// Returns the changes of drains after `version`; all drained domains if it is 0.
    std::vector<jobs::DrainChange> drains_after(int64_t version) const;
    /// Returns the value of a row, or "" when it is missing.
    std::string value(const jobs::RowKey& row) const;
    /// Returns a random latency for the next reply.
    Millis latency();
    /// Returns the number of changes so far, which is the store's version.
    int64_t version() const { return m_version; }
    /// Returns the number of rows of a table.
    size_t count(const std::string& table) const;
    /// Returns the number of row reads that were requested.
    int64_t reads() const { return m_reads; }

private:
    friend class StorePort;

    using Key = std::tuple<std::string, std::string, std::string>;
    struct Row {
        std::string value;
        int64_t version = 0;
    };
    static Key key(const jobs::RowKey& row)
    {
        return { row.table, row.partition, row.key };
    }

    World& m_world;
    std::map<Key, Row> m_rows;
    int64_t m_version = 0;
    int64_t m_reads = 0;
    int64_t m_history_from = 0;
    jobs::Configuration m_configuration;
    int64_t m_configuration_version = 0;
    std::map<std::string, jobs::DrainChange> m_drains; ///< The last change by domain.
    int64_t m_operator_version = 0; ///< Of the last change of the operators' rows.
};

/// Connects one node process to the store.
class StorePort : public jobs::JobStore, public jobs::Directory {
public:
    StorePort(Store& store, ProcessLoop& loop, std::string node);

    void write(const jobs::StoreWrite& write, Millis timeout,
               jobs::StoreReply done) override;
    void read(const jobs::StoreRange& range, Millis timeout,
              jobs::StoreReply done) override;
    void watch(const std::string& table, int64_t version, Millis wait,
               jobs::StoreReply done) override;
    void
    read_workers(Millis timeout,
                 std::function<void(jobs::DirectoryAnswer<std::vector<jobs::WorkerInfo>>)>
                     done) override;
    void read_configuration(Millis timeout,
                            std::function<void(jobs::OperatorAnswer)> done) override;
    void watch_configuration(int64_t version, Millis wait,
                             std::function<void(jobs::OperatorAnswer)> done) override;

    /// The process's connections to the store.
    PooledConnections connections;

private:
    enum class Reach { served, refused, no_reply };

    /// An open watch of the configuration.
    struct Watch {
        int64_t version = 0;
        Millis remaining; ///< Time for which the store may still delay the reply.
        Millis deadline; ///< The caller's deadline.
        int64_t connections = 0; ///< Generation of the connections at the start.
        std::function<void(jobs::OperatorAnswer)> done;
    };

    Reach reach() const;
    /// Returns how a write to the scheduler's partition fails; nothing if it does not.
    std::optional<jobs::StoreStatus> log_failure(const jobs::StoreWrite& write) const;
    /// Takes a connection; if it is black-holed, ends the call as `unknown` after `timeout`
    /// and returns true.
    bool lose_call(Millis timeout, const jobs::StoreReply& done);
    void check_watch(const Watch& watch);
    void expire_watch(const Watch& watch);
    /// Replies to a watch, with the configuration if it has changed.
    void answer_watch(const Watch& watch);
    /// Executes `work` at the store and replies with its result.
    void call(Millis timeout, std::function<jobs::StoreResult()> work,
              jobs::StoreReply done);
    /// The same for a read, whose reply may be lost.
    void query(Millis timeout, std::function<jobs::StoreResult()> work,
               jobs::StoreReply done);
    bool loses_reply();
    void answer(Millis delay, jobs::StoreResult result, const jobs::StoreReply& done);

    Store& m_store;
    ProcessLoop& m_loop;
    std::string m_node;
};

} // namespace pathport::emulator
