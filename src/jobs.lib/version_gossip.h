// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Adds the sender's configuration version to every message between nodes, and that of the
/// last change of drained failure domains.

#pragma once

#include "configuration_tracker.h"

#include <pathport/jobs/peers.h>

#include <string>

namespace pathport::jobs {

/// Sends messages through another client and adds the sender's version to each; the
/// versions in the answers are passed to the tracker. A node that the store does not reach
/// learns of a change from any peer that sends it a message, not only from its leader. This
/// adds some ten bytes per message.
class VersionGossip : public PeerClient {
public:
    /// `address` is where this node receives messages.
    VersionGossip(PeerClient& peers, ConfigurationTracker& configuration,
                  std::string address);

    void send(const std::string& address, const PeerRequest& request, Millis timeout,
              PeerReply done) override;
    /// Notes the version in a peer's message and returns a responder that adds this node's
    /// version to the answer.
    PeerResponder receive(const PeerRequest& request, PeerResponder done) const;

private:
    PeerClient& m_peers;
    ConfigurationTracker& m_configuration;
    std::string m_address;
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
