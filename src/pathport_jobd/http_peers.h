// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Transport of messages between nodes over HTTP.

#pragma once

#include <pathport/async_http.h>
#include <pathport/jobs/job_node.h>
#include <pathport/jobs/peers.h>

namespace pathport {

/// Sends messages to peers as HTTP requests.
class HttpPeerClient : public jobs::PeerClient {
public:
    explicit HttpPeerClient(AsyncHttpClient& http);

    void send(const std::string& address, const jobs::PeerRequest& request, Millis timeout,
              jobs::PeerReply done) override;

private:
    AsyncHttpClient& m_http;
};

/// Passes a peer's HTTP request to `node`, and replies with its answer.
void handle_peer_request(jobs::JobNode& node, const ServerRequest& request,
                         const ServerReply& reply);

} // namespace pathport
