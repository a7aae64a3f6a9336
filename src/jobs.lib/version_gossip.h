// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Every message between nodes tells which configuration its sender has.

#pragma once

#include "configuration_tracker.h"

#include <pathport/jobs/peers.h>

#include <string>

namespace pathport::jobs {

/// Sends messages through another client and adds the sender's version to each; the
/// versions in the answers are told to the tracker. A node to which the store is deaf hears
/// of a change from any peer that speaks to it, not from its leader alone. It costs some
/// ten bytes a message.
class VersionGossip : public PeerClient {
public:
    /// `address` is where this node takes messages.
    VersionGossip(PeerClient& peers, ConfigurationTracker& configuration,
                  std::string address);

    void send(const std::string& address, const PeerRequest& request, Millis timeout,
              PeerReply done) override;
    /// Takes note of a peer's message and returns `done` such that the answer tells this
    /// node's version.
    PeerResponder receive(const PeerRequest& request, PeerResponder done) const;

private:
    PeerClient& m_peers;
    ConfigurationTracker& m_configuration;
    std::string m_address;
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
