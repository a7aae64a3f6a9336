// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "io_loop_impl.h"

#include <pathport/async_http.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <unordered_set>

namespace pathport {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = boost::asio::ip::tcp;

constexpr int listen_backlog = 1024;
/// Limit on the time for writing a response to a slow client.
constexpr std::chrono::seconds write_timeout { 30 };
/// Room for reading at the start, in bytes: without room a read takes 512, and each read
/// waits for its turn in the loop.
constexpr size_t read_size = 4096;
/// Delay before accepting again after an error, such as too many open descriptors.
constexpr Millis accept_retry_delay { 100 };

/// Upper bound on the time limit of a request: a day.
constexpr int64_t max_time_limit_ms = 86400000;

Millis time_limit_of(const http::request<http::string_body>& request)
{
    const auto field = request["X-Deadline-Ms"];
    const auto value = parse_integer(std::string_view(field.data(), field.size()));
    return Millis(std::clamp<int64_t>(value.value_or(0), 0, max_time_limit_ms));
}

} // namespace

class AsyncHttpServer::Impl : public std::enable_shared_from_this<AsyncHttpServer::Impl> {
public:
    Impl(IoLoop& loop, const Address& address, ServerHandler handler, ServerLimits limits)
        : loop(loop)
        , address(address)
        , handler(std::move(handler))
        , limits(limits)
        , acceptor(loop.impl().context)
    {
    }

    class Session;

    bool start();
    void accept();
    void drain();

    IoLoop& loop;
    Address address;
    ServerHandler handler;
    ServerLimits limits;
    std::vector<std::string> captured_headers;
    tcp::acceptor acceptor;
    std::unordered_set<Session*> sessions;
    bool draining = false;
    size_t in_progress = 0;
    HttpTraffic traffic;
};

/// A connection: reads a request, waits for the response, writes it, then reads the next
/// one.
class AsyncHttpServer::Impl::Session : public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<Impl> server, tcp::socket socket)
        : m_server(std::move(server))
        , m_stream(std::move(socket))
    {
        m_server->sessions.insert(this);
        m_buffer.reserve(read_size);
        boost::system::error_code ignored;
        m_stream.socket().set_option(tcp::no_delay(true), ignored);
    }

    ~Session() { m_server->sessions.erase(this); }

    void read()
    {
        m_parser = std::make_unique<http::request_parser<http::string_body>>();
        m_parser->header_limit(static_cast<uint32_t>(m_server->limits.max_header_bytes));
        m_parser->body_limit(m_server->limits.max_body_bytes);
        m_stream.expires_after(
            std::chrono::milliseconds(m_server->limits.idle_timeout.count()));
        http::async_read(
            m_stream, m_buffer, *m_parser,
            [self = shared_from_this()](boost::system::error_code error, size_t bytes) {
                self->m_server->traffic.received += static_cast<int64_t>(bytes);
                self->on_read(error);
            });
    }

    /// Closes the connection if it waits for a request and has received no byte of it.
    void close_if_idle()
    {
        if (!m_busy && m_buffer.size() == 0)
            close();
    }

private:
    void on_read(boost::system::error_code error)
    {
        if (error == http::error::body_limit || error == http::error::header_limit) {
            refuse(error == http::error::body_limit ? 413 : 431);
            return;
        }
        if (error && error != http::error::end_of_stream
            && error.category()
                == http::make_error_code(http::error::bad_method).category()) {
            refuse(400);
            return;
        }
        if (error) {
            close();
            return;
        }
        m_busy = true;
        ++m_server->in_progress;
        auto message = m_parser->release();
        m_keep_alive = message.keep_alive();
        ServerRequest request;
        const auto method = message.method_string();
        request.method.assign(method.data(), method.size());
        const auto target = message.target();
        request.target.assign(target.data(), target.size());
        const auto host = message[http::field::host];
        request.host.assign(host.data(), host.size());
        request.time_limit = time_limit_of(message);
        for (const std::string& name : m_server->captured_headers)
            append_headers(name, message, request.headers);
        request.body = std::move(message.body());
        request.received = m_server->loop.now();
        m_stream.expires_never();
        m_server->handler(std::move(request),
                          [self = shared_from_this()](ServerResponse answer) {
                              self->write(std::move(answer));
                          });
    }

    static void append_headers(const std::string& name,
                               const http::request<http::string_body>& message,
                               HeaderList& captured)
    {
        const auto [first, last] = message.equal_range(name);
        for (auto field = first; field != last; ++field) {
            const auto value = field->value();
            captured.emplace_back(name, std::string(value.data(), value.size()));
        }
    }

    void refuse(int status)
    {
        m_keep_alive = false;
        m_busy = true;
        ++m_server->in_progress;
        ServerResponse answer;
        answer.status = status;
        answer.body = R"({"error":"bad_request"})";
        write(std::move(answer));
    }

    void write(ServerResponse answer)
    {
        m_response = {};
        m_response.version(11);
        m_response.result(static_cast<unsigned>(answer.status));
        if (!answer.body.empty())
            m_response.set(http::field::content_type, answer.content_type);
        for (const auto& [name, value] : answer.headers)
            m_response.set(name, value);
        m_keep_alive = m_keep_alive && !m_server->draining;
        m_response.keep_alive(m_keep_alive);
        m_response.body() = std::move(answer.body);
        m_response.prepare_payload();
        m_stream.expires_after(write_timeout);
        http::async_write(
            m_stream, m_response,
            [self = shared_from_this()](boost::system::error_code error, size_t bytes) {
                self->m_server->traffic.sent += static_cast<int64_t>(bytes);
                self->on_written(error);
            });
    }

    void on_written(boost::system::error_code error)
    {
        m_busy = false;
        --m_server->in_progress;
        if (error || !m_keep_alive) {
            close();
            return;
        }
        read();
    }

    void close()
    {
        boost::system::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        m_stream.close();
    }

    std::shared_ptr<Impl> m_server;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::unique_ptr<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    bool m_keep_alive = true;
    bool m_busy = false;
};

bool AsyncHttpServer::Impl::start()
{
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address_v4(address.ip, error);
    if (error)
        return false;
    const tcp::endpoint endpoint(ip, address.port);
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(listen_backlog, error);
    if (error)
        return false;
    accept();
    return true;
}

void AsyncHttpServer::Impl::accept()
{
    acceptor.async_accept(
        [self = shared_from_this()](boost::system::error_code error, tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted || !self->acceptor.is_open())
                return;
            if (error) {
                self->loop.after(accept_retry_delay, [self] { self->accept(); });
                return;
            }
            if (self->sessions.size() < self->limits.max_connections)
                std::make_shared<Session>(self, std::move(socket))->read();
            self->accept();
        });
}

void AsyncHttpServer::Impl::drain()
{
    draining = true;
    boost::system::error_code ignored;
    acceptor.close(ignored);
    const std::vector<Session*> open(sessions.begin(), sessions.end());
    for (Session* session : open)
        session->close_if_idle();
}

AsyncHttpServer::AsyncHttpServer(IoLoop& loop, const Address& address,
                                 ServerHandler handler, ServerLimits limits)
    : m_impl(std::make_shared<Impl>(loop, address, std::move(handler), limits))
{
}

AsyncHttpServer::~AsyncHttpServer() = default;

bool AsyncHttpServer::start()
{
    return m_impl->start();
}

void AsyncHttpServer::capture_header(const std::string& name)
{
    m_impl->captured_headers.push_back(name);
}

void AsyncHttpServer::close_after_responses()
{
    m_impl->draining = true;
}

void AsyncHttpServer::drain()
{
    m_impl->drain();
}

size_t AsyncHttpServer::requests_in_progress() const
{
    return m_impl->in_progress;
}

const HttpTraffic& AsyncHttpServer::traffic() const
{
    return m_impl->traffic;
}

void AsyncHttpServer::set_limits(const ServerLimits& limits)
{
    m_impl->limits = limits;
}

} // namespace pathport
