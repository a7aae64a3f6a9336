// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "io_loop_impl.h"

#include <pathport/async_http.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <limits>
#include <map>
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
/// Size of further reads of a request, so that a large body takes few turns of the loop.
constexpr size_t body_read_size = 16384;
/// Bytes that a header field is assumed to take besides its text.
constexpr size_t field_overhead = 96;
/// Memory that a byte of a header takes at most before its fields are counted: the shortest
/// field has four bytes.
constexpr size_t max_field_growth = field_overhead / 4;
/// Time after which a client should retry that was refused for lack of memory, in seconds.
constexpr const char* retry_after_s = "1";
/// Delay before accepting again after an error, such as too many open descriptors.
constexpr Millis accept_retry_delay { 100 };

/// Memory that a request may take, as a multiple of its size: a body that grows is moved to
/// twice its size, beside the old one.
constexpr size_t growth_factor = 4;

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
    /// Sessions in the order in which they began to wait for their clients. One whose
    /// request is being handled is in none.
    using WaitingSessions = std::map<uint64_t, Session*>;

    bool start();
    void accept();
    void drain();
    bool make_room_for_connection();
    bool make_room_for_bytes(const Session& requester);
    size_t max_held_bytes() const;

    IoLoop& loop;
    Address address;
    ServerHandler handler;
    ServerLimits limits;
    std::vector<std::string> captured_headers;
    tcp::acceptor acceptor;
    std::unordered_set<Session*> sessions;
    WaitingSessions idle; ///< No byte of their next request has come.
    WaitingSessions holding; ///< A request or response is on its way and takes memory.
    uint64_t last_wait = 0;
    size_t held_bytes = 0; ///< By all sessions.
    bool draining = false;
    size_t in_progress = 0;
    int64_t evictions = 0; ///< Connections closed to make room for others.
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

    ~Session()
    {
        end_wait();
        hold(0);
        m_server->sessions.erase(this);
    }

    void read()
    {
        m_parser = std::make_unique<http::request_parser<http::string_body>>();
        m_parser->header_limit(static_cast<uint32_t>(m_server->limits.max_header_bytes));
        m_parser->body_limit(m_server->limits.max_body_bytes);
        m_parser->eager(true); // Parse the body as it is received.
        m_header_bytes = 0;
        m_field_bytes = 0;
        m_fields_counted = false;
        // Trailers and the extensions of a chunk are parsed as a whole.
        m_buffer.max_size(m_server->limits.max_header_bytes + body_read_size);
        m_buffer.shrink_to_fit();
        m_buffer.reserve(read_size);
        hold(0); // A small buffer for each connection is not counted.
        m_stream.expires_after(
            std::chrono::milliseconds(m_server->limits.idle_timeout.count()));
        begin_wait(m_server->idle);
        if (m_buffer.size() > 0)
            on_read_some(parse()); // The client did not wait for the response.
        else
            read_some();
    }

    /// Returns the bytes of memory that the session is charged for.
    size_t held() const { return m_held; }
    /// Closes the connection, whatever it carries.
    void evict()
    {
        end_wait();
        hold(0);
        m_evicted = true;
        boost::system::error_code ignored;
        m_stream.socket().close(ignored);
    }

    /// Closes the connection if it waits for a request and has received no byte of it.
    void close_if_idle()
    {
        if (m_waits_among == &m_server->idle)
            close();
    }

private:
    using Waiting = Impl::WaitingSessions;

    void begin_wait(Waiting& among)
    {
        end_wait();
        m_waits_among = &among;
        m_wait = ++m_server->last_wait;
        among.emplace(m_wait, this);
    }

    void end_wait()
    {
        if (m_waits_among != nullptr)
            m_waits_among->erase(m_wait);
        m_waits_among = nullptr;
    }

    // Charges the session for the memory that it holds.
    void hold(size_t bytes)
    {
        m_server->held_bytes += bytes - m_held;
        m_held = bytes;
    }

    // Beast's own read operation would go on for as long as a body comes in small chunks.
    void read_some()
    {
        const size_t room = m_buffer.max_size() - m_buffer.size();
        if (room == 0) {
            on_read_some(http::error::buffer_overflow);
            return;
        }
        const bool is_idle = m_waits_among == &m_server->idle;
        m_stream.async_read_some(
            m_buffer.prepare(std::min(room, is_idle ? read_size : body_read_size)),
            [self = shared_from_this()](boost::system::error_code error, size_t bytes) {
                self->m_server->traffic.received += static_cast<int64_t>(bytes);
                self->m_buffer.commit(bytes);
                if (!self->m_parser->is_header_done())
                    self->m_header_bytes += bytes;
                self->on_read_some(error ? self->end_of_input(error) : self->parse());
            });
    }

    boost::system::error_code parse()
    {
        boost::system::error_code error;
        while (m_buffer.size() > 0 && !m_parser->is_done()) {
            m_buffer.consume(m_parser->put(m_buffer.data(), error));
            if (error == http::error::need_more)
                return {};
            if (error)
                return error;
        }
        return {};
    }

    boost::system::error_code end_of_input(boost::system::error_code error)
    {
        if (error != boost::asio::error::eof)
            return error;
        if (!m_parser->got_some())
            return http::error::end_of_stream;
        boost::system::error_code at_end;
        m_parser->put_eof(at_end);
        return at_end;
    }

    void on_read_some(boost::system::error_code error)
    {
        if (m_evicted)
            return;
        if (!error)
            note_received();
        if (!error && !m_server->make_room_for_bytes(*this)) {
            end_wait();
            refuse(503);
            return;
        }
        if (!error && !m_parser->is_done()) {
            read_some();
            return;
        }
        end_wait();
        on_read(error);
    }

    void note_received()
    {
        if (m_waits_among == &m_server->idle) {
            begin_wait(m_server->holding);
            m_stream.expires_after(
                std::chrono::milliseconds(m_server->limits.idle_timeout.count()));
        }
        if (!m_parser->is_header_done())
            m_field_bytes = m_header_bytes * max_field_growth;
        else if (!m_fields_counted)
            count_fields();
        hold(m_buffer.capacity() + m_parser->get().body().capacity() + m_field_bytes);
    }

    void count_fields()
    {
        m_fields_counted = true;
        m_field_bytes = 0;
        for (const auto& field : m_parser->get())
            m_field_bytes
                += field.name_string().size() + field.value().size() + field_overhead;
    }

    void on_read(boost::system::error_code error)
    {
        if (error == http::error::body_limit) {
            refuse(413);
            return;
        }
        if (error == http::error::header_limit || error == http::error::buffer_overflow) {
            refuse(431);
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
        m_parser.reset();
        m_keep_alive = false;
        ++m_server->in_progress;
        ServerResponse answer;
        answer.status = status;
        answer.body = R"({"error":"bad_request"})";
        if (status == 503) {
            answer.body = R"({"error":"overloaded"})";
            answer.headers.emplace_back("Retry-After", retry_after_s);
        }
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
        begin_wait(m_server->holding);
        hold(m_buffer.capacity() + m_response.body().capacity());
        m_server->make_room_for_bytes(*this);
        http::async_write(
            m_stream, m_response,
            [self = shared_from_this()](boost::system::error_code error, size_t bytes) {
                self->m_server->traffic.sent += static_cast<int64_t>(bytes);
                self->on_written(error);
            });
    }

    void on_written(boost::system::error_code error)
    {
        --m_server->in_progress;
        end_wait();
        m_response = {};
        if (m_evicted)
            return;
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
    bool m_evicted = false; ///< Closed to make room for others.
    Waiting* m_waits_among = nullptr; ///< While it waits for its client.
    uint64_t m_wait = 0; ///< Number of that wait.
    size_t m_held = 0; ///< Bytes of memory that it is charged for.
    size_t m_header_bytes = 0; ///< Received until the header was complete.
    size_t m_field_bytes = 0; ///< Memory of the header fields, at most so until counted.
    bool m_fields_counted = false;
};

// Returns whether there is room for another connection, and closes the one that has waited
// longest for its client if that is needed: a client that sends nothing must not keep
// others out.
bool AsyncHttpServer::Impl::make_room_for_connection()
{
    if (sessions.size() < limits.max_connections)
        return true;
    const auto waits_since = [](const WaitingSessions& waiting) {
        return waiting.empty() ? std::numeric_limits<uint64_t>::max()
                               : waiting.begin()->first;
    };
    WaitingSessions& oldest = waits_since(idle) < waits_since(holding) ? idle : holding;
    if (oldest.empty())
        return false;
    ++evictions;
    oldest.begin()->second->evict();
    return true;
}

// Returns whether the memory held by all connections is within its limit, and closes those
// that have waited longest for their clients if that is needed and suffices. A connection
// whose request is being handled is not closed.
bool AsyncHttpServer::Impl::make_room_for_bytes(const Session& requester)
{
    const size_t limit = max_held_bytes();
    if (held_bytes <= limit)
        return true;
    size_t evictable = 0;
    for (const auto& [wait, session] : holding)
        evictable += session == &requester ? 0 : session->held();
    if (held_bytes - evictable > limit)
        return false;
    for (auto entry = holding.begin(); held_bytes > limit && entry != holding.end();) {
        Session* const session = entry->second;
        ++entry;
        if (session == &requester)
            continue;
        ++evictions;
        session->evict();
    }
    return true;
}

// A single request within the limits is served in calm, whatever the limit on memory.
size_t AsyncHttpServer::Impl::max_held_bytes() const
{
    return std::max(limits.max_held_bytes,
                    growth_factor * (limits.max_body_bytes + limits.max_header_bytes));
}

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
            if (self->make_room_for_connection())
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

int64_t AsyncHttpServer::evictions() const
{
    return m_impl->evictions;
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
