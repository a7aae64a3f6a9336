// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/http.h>

#include "listening_socket.h"

#include <pathport/log.h>

#include <cpprest/http_listener.h>
#include <pplx/threadpool.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <thread>

namespace pathport {

namespace rest = web::http;

void start_http_threads(int count)
{
    crossplat::threadpool::initialize_with_threads(static_cast<size_t>(count));
}

namespace {

// A stop waits for the answers under way, but no longer than this.
constexpr Millis longest_stop { 2000 };
// Connections that have begun are accepted for so long at a stop; it covers a round trip.
constexpr Millis accept_time { 10 };
// An open connection may carry a request that has not been read yet. A stop ends once no
// request has come or been answered for so long.
constexpr Millis quiet_time { 200 };
constexpr Millis stop_check { 2 };

void sleep_for(Millis span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(span.count()));
}

// The requests that a server has received and not answered.
struct UnderWay {
    std::atomic<int64_t> count { 0 };
    std::atomic<int64_t> received { 0 };
    std::atomic<bool> stopping { false };
};

std::string lower_case(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

HttpRequest convert(const rest::http_request& message, const std::vector<uint8_t>& body)
{
    HttpRequest request;
    request.method = message.method();
    request.path = web::uri::decode(message.request_uri().path());
    for (const auto& item : web::uri::split_query(message.request_uri().query()))
        request.query[web::uri::decode(item.first)] = web::uri::decode(item.second);
    for (const auto& header : message.headers())
        request.headers[lower_case(header.first)] = header.second;
    request.body.assign(body.begin(), body.end());
    return request;
}

void send_answer(const rest::http_request& message, const HttpAnswer& answer,
                 const std::shared_ptr<UnderWay>& under_way)
{
    rest::http_response response(static_cast<rest::status_code>(answer.status));
    for (const auto& header : answer.headers)
        response.headers()[header.first] = header.second;
    response.set_body(std::vector<uint8_t>(answer.body.begin(), answer.body.end()));
    const auto type = answer.headers.find("content-type");
    response.headers().set_content_type(type == answer.headers.end() ? "application/json"
                                                                     : type->second);
    if (under_way->stopping)
        response.headers()["Connection"] = "close";
    // A caller that has gone away is no fault of ours; the task's error is observed.
    message.reply(response).then([under_way](const pplx::task<void>& sent) {
        --under_way->count;
        try {
            sent.get();
        } catch (const std::exception& error) {
            log_event(LogLevel::debug, "reply_not_sent", { { "error", error.what() } });
        }
    });
}

} // namespace

class HttpServer::Impl {
public:
    Impl(const Address& address, size_t max_body_bytes, HttpHandler& handler)
        : m_address(address)
        , m_listener(web::uri("http://" + address.to_string()))
        , m_max_body_bytes(max_body_bytes)
        , m_handler(handler)
    {
        m_listener.support([this](const rest::http_request& message) { receive(message); });
    }

    bool start(Failure& reason)
    {
        try {
            m_listener.open().get();
            return true;
        } catch (const std::exception& error) {
            reason = Failure(FailureKind::unavailable,
                             "can't listen on " + m_listener.uri().to_string() + ": "
                                 + error.what());
            return false;
        }
    }

    void stop()
    {
        wait_for_answers();
        try {
            m_listener.close().get();
        } catch (const std::exception& error) {
            log_event(LogLevel::debug, "listener_close", { { "error", error.what() } });
        }
    }

private:
    // The library closes all connections with its listener, whatever they carry.
    void wait_for_answers()
    {
        const SystemClock clock;
        const Millis end = clock.now() + longest_stop;
        m_under_way->stopping = true;
        const ListeningSocket socket(m_address);
        socket.drop_new_connections();
        sleep_for(accept_time);
        while (socket.has_waiting_connections() && clock.now() < end)
            sleep_for(stop_check);
        socket.refuse_connections();
        Millis busy = clock.now();
        int64_t received = m_under_way->received;
        while (clock.now() < std::min(end, busy + quiet_time)) {
            sleep_for(stop_check);
            if (m_under_way->count > 0 || m_under_way->received != received)
                busy = clock.now();
            received = m_under_way->received;
        }
        if (m_under_way->count > 0)
            log_event(LogLevel::warn, "requests_cut_off",
                      { { "address", m_address.to_string() },
                        { "requests", m_under_way->count.load() } });
    }

    // The length is judged before the body is read. A body without a declared length is
    // refused, since its size is known only once it is in memory.
    void receive(const rest::http_request& message)
    {
        ++m_under_way->received;
        ++m_under_way->count;
        if (message.headers().has(rest::header_names::transfer_encoding)) {
            refuse(message,
                   Failure(FailureKind::bad_input, "a body needs a content-length"));
            return;
        }
        if (message.headers().content_length() > m_max_body_bytes) {
            refuse(
                message,
                Failure(FailureKind::too_large,
                        "the body is over " + std::to_string(m_max_body_bytes) + " bytes"));
            return;
        }
        message.extract_vector().then([this, message](
                                          const pplx::task<std::vector<uint8_t>>& read) {
            try {
                const std::vector<uint8_t> body = read.get();
                m_handler.handle(convert(message, body),
                                 [message, under_way = m_under_way](const HttpAnswer& a) {
                                     send_answer(message, a, under_way);
                                 });
            } catch (const std::exception& error) {
                refuse(message, Failure(FailureKind::bad_input, error.what()));
            }
        });
    }

    void refuse(const rest::http_request& message, const Failure& failure)
    {
        HttpAnswer answer = m_handler.refusal(failure);
        answer.headers["Connection"] = "close";
        // The library reads a body to its end before it answers, however long it is. A
        // closed stream makes the next part of it fail, which ends the reading.
        const auto reason = std::make_exception_ptr(rest::http_exception(failure.detail()));
        message.body().streambuf().close(std::ios_base::out, reason);
        send_answer(message, answer, m_under_way);
    }

    const Address m_address;
    rest::experimental::listener::http_listener m_listener;
    size_t m_max_body_bytes;
    HttpHandler& m_handler;
    const std::shared_ptr<UnderWay> m_under_way = std::make_shared<UnderWay>();
};

HttpServer::HttpServer(Address address, size_t max_body_bytes, HttpHandler& handler)
    : m_impl(std::make_unique<Impl>(address, max_body_bytes, handler))
{
}

HttpServer::~HttpServer() = default;

bool HttpServer::start(Failure& reason)
{
    return m_impl->start(reason);
}

void HttpServer::stop()
{
    m_impl->stop();
}

} // namespace pathport
