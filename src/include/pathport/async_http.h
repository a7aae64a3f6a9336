// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Asynchronous HTTP/1.1 server and client on an event loop. Boost.Beast is hidden in the
/// implementation. Used instead of cpprestsdk where a node has a quarter of a core;
/// docs/design/platform.md has the figures.

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

/// A request that a server has received completely.
struct ServerRequest {
    std::string method;
    std::string target; ///< Path and query, as sent.
    std::string host; ///< The Host header.
    std::string body;
    /// The headers of the request whose names were passed to capture_header().
    HeaderList headers;
    Millis received; ///< When the last byte was read.
    Millis time_limit; ///< From the header `X-Deadline-Ms`; 0 when it is absent.
};

/// The response to one request.
struct ServerResponse {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    HeaderList headers;
};

/// Bytes sent and received, including headers.
struct HttpTraffic {
    int64_t sent = 0;
    int64_t received = 0;

    bool operator==(const HttpTraffic& other) const
    {
        return sent == other.sent && received == other.received;
    }
};
/// Traffic by path, without the query. The number of entries is the number of different
/// paths that the program uses.
using HttpTrafficByPath = std::map<std::string, HttpTraffic>;

/// Sends the response; must be called exactly once, on the loop's thread.
using ServerReply = std::function<void(ServerResponse)>;
/// Handles one request; must not block.
using ServerHandler = std::function<void(ServerRequest, ServerReply)>;

/// Limits of a server. Requests over a limit get status 413 or 431, or their connection is
/// closed. At the limits on all connections together, those are closed that have waited
/// longest for their clients, and a request that finds no room all the same gets 503.
struct ServerLimits {
    size_t max_header_bytes = 16384;
    size_t max_body_bytes = 1048576;
    Millis idle_timeout { 60000 };
    size_t max_connections = 2000;
    /// Memory for the requests and responses of all connections, in bytes. A single request
    /// within the other limits is served even if this is less than it takes.
    size_t max_held_bytes = size_t(24) * 1024 * 1024;
};

/// An HTTP server listening on one address.
class AsyncHttpServer {
public:
    AsyncHttpServer(IoLoop& loop, const Address& address, ServerHandler handler,
                    ServerLimits limits);
    ~AsyncHttpServer();
    AsyncHttpServer(const AsyncHttpServer&) = delete;
    AsyncHttpServer& operator=(const AsyncHttpServer&) = delete;

    /// Starts listening; returns false when the address can't be used.
    bool start();
    /// Adds all headers of this name to later requests.
    void capture_header(const std::string& name);
    /// Closes each connection after its next response.
    void close_after_responses();
    /// Closes the listener and idle connections; others are closed after the response to
    /// their present request.
    void drain();
    /// Returns the number of requests whose response has not been sent.
    size_t requests_in_progress() const;
    /// Sets the limits for later requests.
    void set_limits(const ServerLimits& limits);
    /// Returns the number of connections closed so far to make room for others.
    int64_t evictions() const;
    /// Returns the traffic of all requests so far.
    const HttpTraffic& traffic() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

/// How a call ended.
enum class CallEnd {
    answered, ///< A response was received; status and body are set.
    refused, ///< Connection refused; nothing was sent.
    unreachable, ///< No connection was established; nothing was sent.
    unknown, ///< Sent at least in part, without a response.
};

/// A request to a server.
struct ClientCall {
    Address server;
    std::string method = "POST";
    std::string target;
    std::string body;
    std::string content_type = "application/json";
    HeaderList headers;
    /// Replaces `body` if the request goes over a connection that was open before the call
    /// with the sequence number `opened_before_call` was sent. Use it for data meant only
    /// for the server process that answered that call: a process started in its place has
    /// none of its connections.
    std::string reused_connection_body;
    int64_t opened_before_call = 0; ///< CallOutcome::sequence; 0: none.
    Millis timeout { 1000 };
    /// How long the server may delay its response (long poll); a part of `timeout`.
    Millis max_response_delay;
    /// While the response is being received, `timeout` limits each gap between bytes, and
    /// ClientLimits::max_response_time the whole response. Not for calls that must not take
    /// effect late.
    bool extends_while_receiving = false;
};

/// The outcome of a call.
struct CallOutcome {
    CallEnd end = CallEnd::unknown;
    int status = 0;
    std::string body;
    /// Of an answered call: its position, from 1 on, in the sequence of calls sent and
    /// connections opened by this client.
    int64_t sequence = 0;
};

/// Limits of a client.
struct ClientLimits {
    /// Maximum number of connections to one server. Further calls are queued in order of
    /// arrival; a call that gets no connection within its time-out ends as `unreachable`.
    size_t max_connections = 256;
    /// An idle connection is closed after this time, since the server may be about to close
    /// it.
    Millis max_idle { 12000 };
    /// Time limit, from the time at which a response was due, for calls with
    /// `extends_while_receiving`. The largest accepted response takes 7 s at 10 Mbit/s.
    Millis max_response_time { 10000 };
    /// Memory for the responses that are being received, in bytes. A call whose response
    /// finds no room ends as `unknown`.
    size_t max_held_bytes = size_t(32) * 1024 * 1024;
};

/// An HTTP client with a connection pool per server. When a call on a reused connection
/// times out without a byte of a response, idle connections to the same server that have
/// not carried a response since that one was due are closed as well.
class AsyncHttpClient {
public:
    explicit AsyncHttpClient(IoLoop& loop, ClientLimits limits = {});
    ~AsyncHttpClient();
    AsyncHttpClient(const AsyncHttpClient&) = delete;
    AsyncHttpClient& operator=(const AsyncHttpClient&) = delete;

    /// Sends `call`. `done` is called exactly once, after this function has returned, on
    /// the loop's thread.
    void send(ClientCall call, std::function<void(CallOutcome)> done);
    /// Closes the idle connections to `server`.
    void close_idle_connections(const Address& server);
    /// Returns the number of connections, idle ones and those in use.
    size_t open_connections() const;
    /// Returns the traffic of all calls so far.
    const HttpTrafficByPath& traffic() const;
    /// Returns whether a response from `path` is being received: a call with
    /// `extends_while_receiving` is open, and got bytes within the last 0.5 s.
    bool is_receiving(const std::string& path) const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace pathport
