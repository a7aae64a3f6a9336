// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "http_peers.h"

namespace pathport {

namespace {
/// Path of a message, followed by the name of its topic. The name is only for people who
/// inspect the traffic; the message holds its topic itself.
const std::string peer_path_prefix = "/peer/";

// Returns how long a peer may delay its response.
Millis max_delay_of(jobs::PeerTopic topic, Millis timeout)
{
    if (topic == jobs::PeerTopic::worker_calls)
        return jobs::relay_poll_wait;
    // For these topics the peer waits for the advisor or the store on this node's behalf.
    const bool calls_services = topic == jobs::PeerTopic::advice
        || topic == jobs::PeerTopic::accept_job || topic == jobs::PeerTopic::cancel_job
        || topic == jobs::PeerTopic::job_state || topic == jobs::PeerTopic::worker_list;
    return calls_services ? timeout : Millis(0);
}

} // namespace

HttpPeerClient::HttpPeerClient(AsyncHttpClient& http)
    : m_http(http)
{
}

void HttpPeerClient::send(const std::string& address, const jobs::PeerRequest& request,
                          Millis timeout, jobs::PeerReply done)
{
    ClientCall call;
    const auto server = parse_address(address);
    if (server)
        call.server = *server;
    call.target = peer_path_prefix + to_string(request.topic);
    call.body = encode(request);
    call.timeout = timeout;
    call.max_response_delay = max_delay_of(request.topic, timeout);
    m_http.send(std::move(call), [done = std::move(done)](const CallOutcome& outcome) {
        if (outcome.end == CallEnd::refused) {
            done(jobs::PeerEnd::refused, {});
            return;
        }
        const auto answer = outcome.end == CallEnd::answered && outcome.status == 200
            ? jobs::decode_peer_answer(outcome.body)
            : std::nullopt;
        done(answer ? jobs::PeerEnd::answered : jobs::PeerEnd::silent,
             answer.value_or(jobs::PeerAnswer()));
    });
}

void handle_peer_request(jobs::JobNode& node, const ServerRequest& request,
                         const ServerReply& reply)
{
    const auto message = jobs::decode_peer_request(request.body);
    if (request.target.rfind(peer_path_prefix, 0) != 0 || !message) {
        ServerResponse answer;
        answer.status = 400;
        reply(std::move(answer));
        return;
    }
    node.handle_peer(*message, [reply](const jobs::PeerAnswer& answer) {
        ServerResponse out;
        out.body = encode(answer);
        reply(std::move(out));
    });
}

} // namespace pathport
