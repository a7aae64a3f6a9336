// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// HTTP as pathport uses it: a listener and a client over cpprestsdk, which stays hidden.

#pragma once

#include <pathport/clock.h>
#include <pathport/failure.h>
#include <pathport/settings.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace pathport {

/// Header names with their values. Names are compared as written, so use lower case.
using HttpHeaders = std::map<std::string, std::string>;

/// A request, with its whole body.
struct HttpRequest {
    std::string method = "GET";
    std::string path; ///< Decoded path, starting with '/'.
    std::map<std::string, std::string> query; ///< Decoded query values.
    HttpHeaders headers; ///< Names in lower case.
    std::string body;

    /// Returns the value of header `name` (lower case), or "" when it is absent.
    std::string header(const std::string& name) const;
};

/// An answer, with its whole body.
struct HttpAnswer {
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

/// Sends the answer to one request; call it exactly once, from any thread.
using HttpReply = std::function<void(HttpAnswer)>;

/// Handles the requests of one listener. Calls arrive on several threads and must not
/// block.
class HttpHandler {
public:
    virtual ~HttpHandler() = default;

    /// Handles one request.
    virtual void handle(HttpRequest request, HttpReply reply) = 0;

    /// Returns the answer to a request that the listener refuses by itself, such as one
    /// whose body is over the limit.
    virtual HttpAnswer refusal(const Failure& failure) = 0;
};

/// Sets the number of threads that all listeners and clients of the process share. Call it
/// once, before the first of them is made.
void start_http_threads(int count);

/// A listener on one address.
class HttpServer {
public:
    /// Makes a listener that refuses bodies over `max_body_bytes`; `handler` outlives it.
    HttpServer(Address address, size_t max_body_bytes, HttpHandler& handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Starts listening. Returns false and sets `reason` when the address can't be used.
    bool start(Failure& reason);
    /// Stops listening. Requests on connections that have begun get their answers first,
    /// for up to 2 s; later connections are refused.
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// What became of one sent request.
struct HttpOutcome {
    std::optional<HttpAnswer> answer;
    /// Set when there is no answer: `unavailable` when the server surely did not get the
    /// whole request, `outcome_unknown` otherwise.
    Failure failure;
    /// The library sent the request more than once by itself: the answer is that to the
    /// last sending, and the server may have taken an earlier one.
    bool sent_again = false;
};

/// Whether a request may travel on a connection that carried others before.
enum class HttpConnection {
    /// A kept connection may be used. cpprestsdk sends a request again by itself when such
    /// a
    /// connection turns out closed, so the server may get it twice.
    reused,
    /// A new connection, so that the server gets the request at most once.
    fresh,
};

/// A client of one server address.
class HttpClient {
public:
    /// Makes a client whose requests end after `timeout`.
    HttpClient(const Address& server, Millis timeout);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Sends `request`; `done` is called exactly once, on some thread.
    void send(const HttpRequest& request, HttpConnection connection,
              std::function<void(HttpOutcome)> done);

    /// Sends `request` and waits for what becomes of it. Not for handlers of listeners.
    HttpOutcome send_and_wait(const HttpRequest& request,
                              HttpConnection connection = HttpConnection::reused);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace pathport
