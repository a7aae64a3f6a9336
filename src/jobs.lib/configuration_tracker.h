// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Tracks the operators' configuration and their drained failure domains on a node.

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

/// Holds the newest configuration received from the store or a peer, and the time since the
/// store last confirmed it. While a node's process runs, it never goes back to an older
/// version.
///
/// The store is watched by long polls of up to a second. When a call is late, another one
/// is sent on another connection, and any answer counts, whichever call it belongs to. When
/// a peer reports a newer version, the node calls the store at once, and fetches the
/// configuration from that peer if the store doesn't answer.
class ConfigurationTracker {
public:
    ConfigurationTracker(EventLoop& loop, Directory& directory, PeerClient& peers,
                         Metrics& metrics, std::string node);

    /// Starts reading and watching the configuration.
    void begin();
    /// Sets the function that is called with each configuration that is applied.
    void on_applied(std::function<void(const Configuration&)> listener);
    /// Sets the function that is called when the drained failure domains change.
    void on_drains_changed(std::function<void()> listener);
    /// Records that the peer at `address` has reported this configuration version and this
    /// version of the last change of drained failure domains.
    void note_peer_version(const std::string& address, int64_t version,
                           int64_t drains_changed_at = 0);

    /// Returns the newest known configuration, or null when there is none yet.
    std::shared_ptr<const Configuration> current() const { return m_current; }
    /// Returns the version of current(), or 0 when there is none.
    int64_t version() const { return m_current ? m_current->version : 0; }
    /// Returns the drained failure domains.
    std::shared_ptr<const DrainedDomains> drains() const { return m_drains; }
    /// Returns the time since the store last confirmed that there is no newer version.
    Millis age() const;
    /// Returns whether age() is so low that every change which has to be in force by now
    /// has been applied. Only then may a caller be told that a queue does not exist.
    bool is_fresh() const;

private:
    /// One call to the store.
    struct Call {
        const char* name = "";
        bool is_read = false; ///< Not a watch.
        int64_t number = 0; ///< Increases with each call.
        Millis sent;
        Millis poll_time; ///< How long the store may delay its answer (long poll).
    };

    void send_next_call();
    void schedule_next_call(Millis pause);
    void send(const Call& call);
    Millis next_poll_time() const;
    void on_answer(const Call& call, const OperatorAnswer& answer);
    void record_answer(const Call& call, const OperatorAnswer& answer);
    void record_failure(const Call& call, const char* outcome);
    void apply(const Configuration& configuration, const char* source);
    void apply_drains(DrainedDomains drains, const char* source);
    bool peer_is_newer() const;
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
    std::function<void()> m_drains_listener;
    std::shared_ptr<const Configuration> m_current;
    std::shared_ptr<const DrainedDomains> m_drains;
    Millis m_confirmed_at; ///< When the store last had no newer version.
    bool m_store_answered = false; ///< Since this process started.
    int64_t m_watch_version = 0; ///< Store version to watch from; 0: read.
    Call m_last_call; ///< The call sent last.
    bool m_last_call_open = false;
    int m_open_calls = 0; ///< Calls not answered yet.
    int m_failures = 0; ///< Failed or late calls since the last answer.
    EventLoop::TimerId m_timer = 0; ///< For the next call, also while one is open.
    std::string m_newer_peer; ///< A peer with a newer configuration.
    int64_t m_newest_peer_version = 0; ///< The highest version reported by a peer.
    /// The highest version of a change of drains reported by a peer.
    int64_t m_newest_peer_drains = 0;
    bool m_peer_check_pending = false;
    int m_open_fetches = 0; ///< Fetches from peers not answered yet.
    Millis m_last_fetch_sent; ///< When the last fetch was sent.
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
