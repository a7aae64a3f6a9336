// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A node's process in a cell, and how it reaches its peers.

#pragma once

#include <pathport/emulator/cell.h>
#include <pathport/emulator/pooled_connections.h>

#include <map>
#include <memory>
#include <string>

namespace pathport::emulator {

/// Carries messages between nodes.
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

    /// The connections to all peers go silent, `kept` idle ones each.
    void blackhole_connections(int kept)
    {
        for (auto& [address, connections] : m_connections)
            connections.blackhole(kept);
    }

private:
    void deliver(Millis delay, std::function<void()> work)
    {
        m_loop.world().after(delay, [this, life = m_loop.life(), work = std::move(work)] {
            if (*life)
                m_loop.deliver(work);
        });
    }

    Cell& m_cell;
    ProcessLoop& m_loop;
    std::string m_node;
    std::map<std::string, PooledConnections> m_connections; ///< By address.
};

/// One life of a node.
class NodeProcess {
public:
    NodeProcess(Cell& cell, const std::string& name, const std::string& incarnation,
                int strength, int64_t link_bytes);

    ProcessLoop loop;
    StorePort store;
    WorkerPort workers;
    PeerPort peers;
    Metrics metrics;
    std::unique_ptr<jobs::JobNode> node;
    Millis started;
    int64_t seen_version = 0; ///< The highest configuration that it went by.
    int64_t told_version = 0; ///< It was reported to lack this one.
};

} // namespace pathport::emulator
