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

#include <memory>
#include <string>

namespace pathport::jobs {

/// Keeps the newest configuration that the store or a peer has told of. A life of a node
/// never goes back to an older one.
class ConfigurationTracker {
public:
    ConfigurationTracker(EventLoop& loop, Directory& directory, PeerClient& peers,
                         Metrics& metrics, std::string node);

    /// Begins to read and to watch.
    void begin();
    /// A peer that takes messages at `address` has the configuration of this version.
    void peer_has(const std::string& address, int64_t version);

    /// Returns the newest configuration that is known, or nothing when there is none yet.
    std::shared_ptr<const Configuration> current() const { return m_current; }
    /// Returns its version, or 0.
    int64_t version() const { return m_current ? m_current->version : 0; }
    /// Returns how long ago the store last told that nothing newer is there.
    Millis age() const;

private:
    /// One call to the store.
    struct Call {
        const char* name = "";
        Millis sent;
        Millis hold; ///< The store may hold its answer back for so long.
    };

    void read();
    void watch(int64_t version);
    void answered(const Call& call, const DirectoryAnswer<Configuration>& answer);
    void note_heard(const Call& call, const DirectoryAnswer<Configuration>& answer);
    void note_failure(const Call& call, StoreStatus status);
    void apply(const Configuration& configuration, const char* source);
    void fetch(const std::string& address, int64_t version);
    void fetched(const std::string& address, Millis asked, PeerEnd end,
                 const PeerAnswer& answer);

    EventLoop& m_loop;
    Directory& m_directory;
    PeerClient& m_peers;
    Metrics& m_metrics;
    std::string m_node;
    std::shared_ptr<const Configuration> m_current;
    Millis m_heard; ///< When the store had nothing newer than what it told.
    int m_failures = 0; ///< Calls to the store that failed since one was answered.
    bool m_fetching = false;
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
