// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The emulator's store: rows under conditions, with outages, slowness, lost answers and
/// writes that are done late; and the directory of workers and of the configuration.

#pragma once

#include <pathport/emulator/pooled_connections.h>
#include <pathport/emulator/virtual_loop.h>
#include <pathport/jobs/job_store.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace pathport::emulator {

/// How the store misbehaves at present.
struct InjectedStoreFaults {
    bool refuse_calls = false; ///< Each call is refused.
    bool unresponsive = false; ///< No call is done or answered.
    int64_t latency_factor = 1; ///< Answers take so many times as long.
    double lost_write_replies = 0; ///< So many writes are done and not answered.
    double lost_read_replies = 0; ///< So many reads and watches are not answered.
    bool delay_lost_writes
        = false; ///< Those that are not answered are done 1 to 6 s later.
    std::set<std::string> refused_nodes; ///< Refused for these only.
    std::set<std::string> partitioned_nodes; ///< Silent for these only.
};

/// The store of a world.
class Store {
public:
    explicit Store(World& world);

    InjectedStoreFaults injected;
    /// The workers that the directory lists.
    std::function<std::vector<jobs::WorkerInfo>()> list_workers;

    /// Sets the operators' configuration.
    void configure(const jobs::Configuration& configuration);
    /// Forgets the history of changes.
    void compact() { m_history_from = m_version; }

    jobs::StoreResult write_now(const jobs::StoreWrite& write);
    jobs::StoreResult read_now(const jobs::StoreRange& range) const;
    jobs::StoreResult watch_now(const std::string& table, int64_t version) const;
    const jobs::Configuration& configuration() const { return m_configuration; }
    int64_t configuration_version() const { return m_configuration_version; }
    /// Returns the value of a row, or "" when it is missing.
    std::string value(const jobs::RowKey& row) const;
    /// Returns how long an answer takes at present.
    Millis latency();
    /// Returns the number of writes that were done.
    int64_t version() const { return m_version; }
    /// Returns how many rows a table has.
    size_t count(const std::string& table) const;
    /// Returns how many reads of rows were asked for.
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
};

/// The store as one process reaches it.
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
    void read_configuration(
        Millis timeout,
        std::function<void(jobs::DirectoryAnswer<jobs::Configuration>)> done) override;
    void watch_configuration(
        int64_t version, Millis wait,
        std::function<void(jobs::DirectoryAnswer<jobs::Configuration>)> done) override;

    /// This process's connections.
    PooledConnections connections;

private:
    enum class Reach { served, refused, silent };

    /// A watch of the configuration that is open.
    struct Watch {
        int64_t version = 0;
        Millis left; ///< The store holds it back so long yet, at most.
        Millis gives_up; ///< The caller does.
        int64_t connections = 0; ///< Their generation when it began.
        std::function<void(jobs::DirectoryAnswer<jobs::Configuration>)> done;
    };

    Reach reach() const;
    /// Returns whether a call's connection is silent; then it ends `unknown` in its time.
    bool swallowed(Millis timeout, const jobs::StoreReply& done);
    void look_at_configuration(const Watch& watch);
    void give_up(const Watch& watch);
    /// Answers a watch with the configuration, if it has changed.
    void answer_watch(const Watch& watch);
    /// Answers a call that changes nothing with what `work` returns.
    void call(Millis timeout, std::function<jobs::StoreResult()> work,
              jobs::StoreReply done);
    /// The same for a read, whose answer may be lost.
    void query(Millis timeout, std::function<jobs::StoreResult()> work,
               jobs::StoreReply done);
    bool loses_answer();
    void answer(Millis delay, jobs::StoreResult result, const jobs::StoreReply& done);

    Store& m_store;
    ProcessLoop& m_loop;
    std::string m_node;
};

} // namespace pathport::emulator
