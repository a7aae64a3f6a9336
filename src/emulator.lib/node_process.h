// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A node process in a cell, with its connections to its peers.

#pragma once

#include <pathport/emulator/cell.h>
#include <pathport/emulator/pooled_connections.h>

#include <map>
#include <memory>
#include <string>

namespace pathport::emulator {

/// Connects one node process to its peers.
class PeerPort : public jobs::PeerClient {
public:
    PeerPort(Cell& cell, ProcessLoop& loop, std::string node)
        : m_cell(cell)
        , m_loop(loop)
        , m_node(std::move(node))
    {
    }

    void send(const std::string& address, const jobs::PeerRequest& request, Millis timeout,
              jobs::PeerReply done) override;

    /// Black-holes the connections to all peers, with `kept` idle ones each.
    void blackhole_connections(int kept)
    {
        for (auto& [address, connections] : m_connections)
            connections.blackhole(kept);
    }

private:
    void deliver(Millis delay, std::function<void()> work)
    {
        m_loop.world().after(delay,
                             [this, alive = m_loop.alive_flag(), work = std::move(work)] {
                                 if (*alive)
                                     m_loop.deliver(work);
                             });
    }

    Cell& m_cell;
    ProcessLoop& m_loop;
    std::string m_node;
    std::map<std::string, PooledConnections> m_connections; ///< By address.
};

/// One process of a node, from its start to its death.
class NodeProcess {
public:
    NodeProcess(Cell& cell, const std::string& name, const std::string& incarnation,
                int cpu_millicores, int64_t link_bytes_per_s);

    ProcessLoop loop;
    StorePort store;
    WorkerPort workers;
    PeerPort peers;
    Metrics metrics;
    std::unique_ptr<jobs::JobNode> node;
    Millis started;
    int64_t highest_version = 0; ///< Highest configuration version seen in force.
    int64_t reported_version = 0; ///< Highest version reported as missing.
};

} // namespace pathport::emulator
