// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How a node learns of the operators' configuration.

#pragma once

#include "lifetime.h"

#include <pathport/event_loop.h>
#include <pathport/jobs/job_model.h>
#include <pathport/jobs/job_store.h>
#include <pathport/jobs/peers.h>
#include <pathport/metrics.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace pathport::jobs {

/// Keeps the newest configuration that the store or a peer has told of, and knows how old
/// that knowledge is. A life of a node never goes back to an older configuration.
///
/// It watches the store by calls that are held back there for up to a second. A call that
/// is late is not waited for: another one follows on another connection, and whichever is
/// answered counts. A peer that tells of a newer version makes the node ask the store at
/// once, and that peer when the store doesn't answer.
class ConfigurationTracker {
public:
    ConfigurationTracker(EventLoop& loop, Directory& directory, PeerClient& peers,
                         Metrics& metrics, std::string node);

    /// Begins to read and to watch.
    void begin();
    /// From now on `listener` is told of each configuration that is applied.
    void on_applied(std::function<void(const Configuration&)> listener);
    /// A peer that takes messages at `address` has the configuration of this version.
    void note_peer_version(const std::string& address, int64_t version);

    /// Returns the newest configuration that is known, or nothing when there is none yet.
    std::shared_ptr<const Configuration> current() const { return m_current; }
    /// Returns its version, or 0.
    int64_t version() const { return m_current ? m_current->version : 0; }
    /// Returns how long ago the store last told that nothing newer is there.
    Millis age() const;
    /// Returns whether that is so short ago that a change which has to be in force by now
    /// is known. Only then may a caller be told that a queue does not exist.
    bool is_fresh() const;

private:
    /// One call to the store.
    struct Call {
        const char* name = "";
        int64_t number = 0; ///< Rises from call to call.
        Millis sent;
        Millis hold; ///< The store may hold its answer back for so long.
    };

    void send_next_call();
    void schedule_next_call(Millis pause);
    void send(const Call& call);
    Millis next_hold() const;
    void on_answer(const Call& call, const DirectoryAnswer<Configuration>& answer);
    void record_answer(const Call& call, const DirectoryAnswer<Configuration>& answer);
    void record_failure(const Call& call, const char* outcome);
    void apply(const Configuration& configuration, const char* source);
    void check_peer_version();
    void fetch_from_peer();
    void on_fetched(const std::string& address, Millis asked, PeerEnd end,
                    const PeerAnswer& answer);

    EventLoop& m_loop;
    Directory& m_directory;
    PeerClient& m_peers;
    Metrics& m_metrics;
    std::string m_node;
    std::function<void(const Configuration&)> m_listener;
    std::shared_ptr<const Configuration> m_current;
    Millis m_confirmed_at; ///< When the store had nothing newer than what it told.
    bool m_store_answered = false; ///< It has told of something in this life.
    int64_t m_watch_version = 0; ///< Changes after this version are watched for; 0: read.
    Call m_last_call; ///< The call that was sent last.
    bool m_last_call_open = false;
    int m_open_calls = 0; ///< Calls without an answer.
    int m_failures = 0; ///< Calls that failed or were late since one was answered.
    EventLoop::TimerId m_timer = 0; ///< Sends the next call, also while one is open.
    std::string m_newer_peer; ///< A peer that has a newer configuration than this node.
    int64_t m_newest_peer_version = 0; ///< The version of that.
    bool m_peer_check_pending = false;
    int m_open_fetches = 0; ///< Open ones.
    Millis m_last_fetch_sent; ///< When the last one was sent.
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
