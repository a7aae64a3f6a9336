// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// HTTP/1.1 on an event loop, over Boost.Beast, which stays hidden. It replaces cpprestsdk
/// where a node has a quarter of a core; docs/design/platform.md has the figures.

#pragma once

#include <pathport/clock.h>
#include <pathport/io_loop.h>
#include <pathport/settings.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace pathport {

/// Header names with their values.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// A request that a server has read whole.
struct ServerRequest {
    std::string method;
    std::string target; ///< Path and query as sent.
    std::string host; ///< The Host header.
    std::string body;
    /// Of the headers that the server was told to keep, those that the request has.
    HeaderList headers;
    Millis received; ///< When its last byte was read.
    Millis time_limit; ///< From the header `X-Deadline-Ms`; 0 when it is absent.
};

/// The answer to one request.
struct ServerResponse {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    HeaderList headers;
};

/// Bytes that calls took on the link, with their headers.
struct HttpTraffic {
    int64_t sent = 0;
    int64_t received = 0;

    bool operator==(const HttpTraffic& other) const
    {
        return sent == other.sent && received == other.received;
    }
};
/// The traffic by path, without queries. There are as many as a program names.
using HttpTrafficByPath = std::map<std::string, HttpTraffic>;

/// Sends the answer; call it exactly once, on the loop's thread.
using ServerReply = std::function<void(ServerResponse)>;
/// Handles one request; must not block.
using ServerHandler = std::function<void(ServerRequest, ServerReply)>;

/// Limits of a server. Requests over them are refused with 413, 431 or closed.
struct ServerLimits {
    size_t max_header_bytes = 16384;
    size_t max_body_bytes = 1048576;
    Millis idle_timeout { 60000 };
    size_t max_connections = 2000;
};

/// A listener on one address.
class AsyncHttpServer {
public:
    AsyncHttpServer(IoLoop& loop, const Address& address, ServerHandler handler,
                    ServerLimits limits);
    ~AsyncHttpServer();
    AsyncHttpServer(const AsyncHttpServer&) = delete;
    AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

    /// Starts listening; returns false when the address can't be used.
    bool start();
    /// From now on requests hold all headers of this name.
    void capture_header(const std::string& name);
    /// From now on each connection is closed after its next answer.
    void close_after_responses();
    /// Closes the listener; open connections end after their present answer.
    void drain();
    /// Returns the number of requests whose answer has not been sent.
    size_t requests_in_progress() const;
    /// Changes the limits of requests that come later.
    void set_limits(const ServerLimits& limits);
    /// Returns what all requests so far took.
    const HttpTraffic& traffic() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

/// How a call ended.
enum class CallEnd {
    answered, ///< The status and the body are there.
    refused, ///< Nothing listens at the address; nothing was sent.
    unreachable, ///< No connection came about; nothing was sent.
    unknown, ///< It was sent, at least in part, and no answer came.
};

/// One call to a server.
struct ClientCall {
    Address server;
    std::string method = "POST";
    std::string target;
    std::string body;
    std::string content_type = "application/json";
    HeaderList headers;
    /// Goes in place of `body` over a connection that was open when the call of this number
    /// (CallOutcome) was sent: what only the process may have that answered it. Another one
    /// in its place has none of its connections.
    std::string reused_connection_body;
    int64_t opened_before_call = 0; ///< Zero for none.
    Millis timeout { 1000 };
    /// Of `timeout`: the server may hold its answer back for so long.
    Millis max_response_delay;
    /// While bytes of the answer keep coming, `timeout` is for each silence between them
    /// (ClientLimits::longest_answer holds for the whole). Not for calls whose effect must
    /// not come late.
    bool extends_while_receiving = false;
};

/// What became of a call.
struct CallOutcome {
    CallEnd end = CallEnd::unknown;
    int status = 0;
    std::string body;
    /// Of an answered call: its number among all calls that this client has sent and the
    /// connections that it has opened, from 1 on.
    int64_t sequence = 0;
};

/// Limits of a client.
struct ClientLimits {
    /// Connections to one server, at most. Further calls wait for one, in the order in
    /// which they came; one that gets none in its time ends `unreachable`.
    size_t max_connections = 256;
    /// A kept connection that nothing has used for so long is closed, since the server may
    /// be about to close it.
    Millis max_idle { 12000 };
    /// An answer that extends its call's time has to be there so long after it was due: the
    /// largest one that is read takes 7 s on a link of 10 Mbit/s.
    Millis max_response_time { 10000 };
};

/// A client with kept connections to any number of servers. Once a call on a kept
/// connection has got no byte in its time, others of that server which have not answered
/// since its answer was due are closed as well.
class AsyncHttpClient {
public:
    explicit AsyncHttpClient(IoLoop& loop, ClientLimits limits = {});
    ~AsyncHttpClient();
    AsyncHttpClient(const AsyncHttpClient&) = delete;
    AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

    /// Sends `call`; `done` is called exactly once, later, on the loop's thread.
    void send(ClientCall call, std::function<void(CallOutcome)> done);
    /// Closes kept connections to `server`.
    void close_idle_connections(const Address& server);
    /// Returns the number of connections, kept ones and those that carry a call.
    size_t open_connections() const;
    /// Returns what all calls so far took.
    const HttpTrafficByPath& traffic() const;
    /// Returns whether an answer at `path` is under way: a call that extends its time is
    /// open there, and bytes for it came a moment ago.
    bool is_receiving(const std::string& path) const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace pathport
