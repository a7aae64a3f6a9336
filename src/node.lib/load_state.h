// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What nodes tell each other of their loads: coarse amounts, and only what has changed
/// since the version that the other node says it has.

#pragma once

#include <pathport/peer.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace pathport {

/// One version of a node's load.
struct LoadVersion {
    int64_t version = 0;
    std::map<std::string, ShardSummary> shards;
    std::map<std::string, Resources> teams;
};

/// Returns the summary with its changing amounts made coarse, so that small changes are not
/// worth a message: busy and queued in eighths of the slots, free amounts rounded down.
ShardSummary coarse(const ShardSummary& summary);

/// This node's own load, in its last versions.
class OwnLoad {
public:
    /// Takes in the present load; it becomes a new version when anything has changed.
    void update(const std::vector<ShardSummary>& shards,
                const std::map<std::string, Resources>& teams);

    /// Fills `beat` with the changes since version `known`, or with all when that version
    /// is no longer kept.
    void fill(Beat& beat, int64_t known) const;

private:
    std::deque<LoadVersion> m_versions;
};

/// The load of another node, as put together from its heartbeats.
class PeerLoad {
public:
    /// Takes in a heartbeat. One that builds on a version not held here changes nothing.
    void apply(const Beat& beat);

    /// Returns the version that is held; 0 for none.
    int64_t version() const { return m_load.version; }
    const LoadVersion& load() const { return m_load; }

private:
    LoadVersion m_load;
};

} // namespace pathport
