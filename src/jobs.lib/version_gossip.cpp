// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "version_gossip.h"

#include <utility>

namespace pathport::jobs {

VersionGossip::VersionGossip(PeerClient& peers, ConfigurationTracker& configuration,
                             std::string address)
    : m_peers(peers)
    , m_configuration(configuration)
    , m_address(std::move(address))
{
}

void VersionGossip::send(const std::string& address, const PeerRequest& request,
                         Millis timeout, PeerReply done)
{
    PeerRequest message = request;
    message.config_version = m_configuration.version();
    message.drains_changed_at = m_configuration.drains()->changed_at();
    if (message.address.empty())
        message.address = m_address;
    auto note
        = m_lifetime.wrap([this, address](int64_t version, int64_t drains_changed_at) {
              m_configuration.note_peer_version(address, version, drains_changed_at);
          });
    m_peers.send(address, message, timeout,
                 [note, done = std::move(done)](PeerEnd end, PeerAnswer answer) mutable {
                     note(answer.config_version, answer.drains_changed_at);
                     done(end, std::move(answer));
                 });
}

PeerResponder VersionGossip::receive(const PeerRequest& request, PeerResponder done) const
{
    m_configuration.note_peer_version(request.address, request.config_version,
                                      request.drains_changed_at);
    return [this, alive = m_lifetime.observe(), done = std::move(done)](PeerAnswer answer) {
        if (!alive.expired()) {
            answer.config_version = m_configuration.version();
            answer.drains_changed_at = m_configuration.drains()->changed_at();
        }
        done(std::move(answer));
    };
}

} // namespace pathport::jobs
