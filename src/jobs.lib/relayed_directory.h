// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Reads the list of workers for a leader. 120 entries, read each 0.7 s, were 73 kB a
/// second; a leader that uses relays lets one of them read the list as well, and receives
/// only the changes.

#pragma once

#include "lifetime.h"
#include "worker_list_changes.h"

#include <pathport/event_loop.h>
#include <pathport/jobs/job_store.h>
#include <pathport/jobs/peers.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace pathport::jobs {

/// A directory that reads the list through a peer if there is one to read it.
class RelayedDirectory : public Directory {
public:
    /// `message` holds the sender's fields; `reader` returns the address of the node that
    /// reads the list, or "" for this node.
    RelayedDirectory(EventLoop& loop, Directory& direct, PeerClient& peers,
                     PeerRequest message, std::function<std::string()> reader);

    void read_workers(
        Millis timeout,
        std::function<void(DirectoryAnswer<std::vector<WorkerInfo>>)> done) override;
    void read_configuration(Millis timeout,
                            std::function<void(OperatorAnswer)> done) override;
    void watch_configuration(int64_t version, Millis wait,
                             std::function<void(OperatorAnswer)> done) override;

private:
    void changes_received(
        const std::string& reader, PeerEnd end, const PeerAnswer& answer, Millis timeout,
        const std::function<void(DirectoryAnswer<std::vector<WorkerInfo>>)>& done);

    EventLoop& m_loop;
    Directory& m_direct;
    PeerClient& m_peers;
    PeerRequest m_message_template;
    std::function<std::string()> m_reader;
    std::string m_list_source; ///< The node whose changes were applied to `m_list`.
    int64_t m_list_version = 0; ///< Version of the last of them; 0 when there are none.
    WorkersById m_list;
    Millis m_avoid_until; ///< Until then this node reads the list itself.
    Lifetime m_lifetime;
};

/// Reads the list for leaders and sends them the changes.
class WorkerListReader {
public:
    explicit WorkerListReader(EventLoop& loop, Directory& directory);

    /// Reads the list for the leader of `request`, which holds the version of the list that
    /// the leader has. `done` gets the changes with their version; not served when the list
    /// could not be read.
    void handle(const PeerRequest& request, PeerAnswer answer, PeerResponder done);

private:
    void list_received(const PeerRequest& request, PeerAnswer answer,
                       const DirectoryAnswer<std::vector<WorkerInfo>>& read,
                       const PeerResponder& done);

    Directory& m_directory;
    std::string m_leader; ///< The process that got the last answer.
    int64_t m_version; ///< Version of that answer; the first is random.
    WorkersById m_last_sent;
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
