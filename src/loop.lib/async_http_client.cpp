// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "io_loop_impl.h"

#include <pathport/async_http.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>

namespace pathport {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = boost::asio::ip::tcp;

/// Maximum number of idle connections to one server.
constexpr size_t max_idle_connections = 24;
/// The largest response that is accepted.
constexpr size_t max_response_bytes = size_t(8) * 1024 * 1024;

/// Read size for responses that may be long, so that the largest one takes hundreds of
/// reads instead of thousands.
constexpr size_t read_size = 16384;
/// What is parsed as a whole (the header, trailers, the extensions of a chunk) has to fit.
constexpr size_t max_buffer_bytes = 4 * read_size;
/// Maximum size of the part of a response that is read in one turn of the loop.
constexpr size_t max_turn_bytes = size_t(256) * 1024;
/// A response counts as being received for this time after its last bytes. It equals the
/// interval between polls of the job table.
constexpr Millis receiving_window { 500 };

/// A response not begun so long after it was due is late: about thirty times the usual
/// response time of the store, and less than the time after which a heartbeat is repeated
/// while the first one is open.
constexpr Millis late_after { 250 };

struct Connection {
    explicit Connection(boost::asio::io_context& context)
        : stream(context)
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer { max_buffer_bytes };
    int64_t sequence = 0; ///< In the sequence of calls sent and connections opened.
    Millis idle_since; ///< When the last response was received.
    bool reused = false; ///< It has carried an earlier call.
};

std::string pool_key(const Address& address)
{
    return address.to_string();
}

} // namespace

class AsyncHttpClient::Impl : public std::enable_shared_from_this<AsyncHttpClient::Impl> {
public:
    Impl(IoLoop& loop, ClientLimits limits)
        : m_loop(loop)
        , m_limits(limits)
    {
    }

    /// A call and the connection that carries it.
    struct Exchange {
        ClientCall call;
        std::function<void(CallOutcome)> done;
        std::unique_ptr<Connection> connection;
        Millis queue_deadline; ///< Of a call queued for a connection.
        Millis sent; ///< When writing the request was started.
        int64_t sequence = 0; ///< See CallOutcome.
        size_t held = 0; ///< Bytes of memory that its response takes.
        Millis last_received; ///< When bytes of the response last came; 0: none.
        http::request<http::string_body> request;
        std::unique_ptr<http::response_parser<http::string_body>> parser;

        /// Returns the time at which the response is due.
        Millis response_due() const { return sent + call.max_response_delay; }
        /// Returns whether any byte of the response has been received.
        bool response_begun() const
        {
            return connection->buffer.size() > 0 || (parser && parser->got_some());
        }
    };
    using ExchangePtr = std::shared_ptr<Exchange>;

    const HttpTrafficByPath& traffic() const { return m_traffic; }

    bool is_receiving(const std::string& path) const
    {
        return std::any_of(
            m_extending.begin(), m_extending.end(), [&](const ExchangePtr& exchange) {
                return exchange->last_received > Millis()
                    && m_loop.now() - exchange->last_received < receiving_window
                    && path_of(exchange->call) == path;
            });
    }

    void send(ClientCall call, std::function<void(CallOutcome)> done)
    {
        auto exchange = std::make_shared<Exchange>();
        exchange->call = std::move(call);
        exchange->done = std::move(done);
        Server& server = m_servers[pool_key(exchange->call.server)];
        if (server.busy >= m_limits.max_connections) {
            enqueue(server, exchange);
            return;
        }
        start_call(server, exchange);
    }

    void close_idle_connections(const Address& server)
    {
        m_servers[pool_key(server)].idle.clear();
    }

    size_t open_connections() const
    {
        size_t count = 0;
        for (const auto& [key, server] : m_servers)
            count += server.busy + server.idle.size();
        return count;
    }

private:
    /// Connections and calls of one server.
    struct Server {
        std::vector<std::unique_ptr<Connection>> idle;
        std::deque<ExchangePtr> waiting; ///< Calls queued for a connection.
        size_t busy = 0; ///< Number of connections in use.
        std::vector<ExchangePtr> calls_on_reused; ///< Calls on reused connections.
    };

    void start_call(Server& server, const ExchangePtr& exchange)
    {
        ++server.busy;
        close_suspects_of_late_calls(server);
        exchange->connection = take_idle(server);
        if (exchange->connection) {
            server.calls_on_reused.push_back(exchange);
            write(exchange);
            return;
        }
        connect(exchange);
    }

    void enqueue(Server& server, const ExchangePtr& exchange)
    {
        exchange->queue_deadline = m_loop.now() + exchange->call.timeout;
        server.waiting.push_back(exchange);
        m_loop.after(exchange->call.timeout, [self = shared_from_this(), exchange] {
            if (exchange->connection || exchange->done == nullptr)
                return;
            self->expire_queued(exchange);
        });
    }

    void expire_queued(const ExchangePtr& exchange)
    {
        auto& waiting = m_servers[pool_key(exchange->call.server)].waiting;
        const auto found = std::find(waiting.begin(), waiting.end(), exchange);
        if (found == waiting.end())
            return;
        waiting.erase(found);
        CallOutcome outcome;
        outcome.end = CallEnd::unreachable;
        complete(exchange, std::move(outcome));
    }

    void hold(const ExchangePtr& exchange, size_t bytes)
    {
        m_held += bytes - exchange->held;
        exchange->held = bytes;
    }

    // Frees the connection slot of an ended call, and starts the next queued one.
    void release(const ExchangePtr& exchange)
    {
        hold(exchange, 0);
        Server& server = m_servers[pool_key(exchange->call.server)];
        --server.busy;
        auto& reused = server.calls_on_reused;
        reused.erase(std::remove(reused.begin(), reused.end(), exchange), reused.end());
        m_extending.erase(std::remove(m_extending.begin(), m_extending.end(), exchange),
                          m_extending.end());
        if (server.waiting.empty())
            return;
        const ExchangePtr next = server.waiting.front();
        server.waiting.pop_front();
        // The rest of its time-out is left for the call itself.
        next->call.timeout = std::max(Millis(1), next->queue_deadline - m_loop.now());
        start_call(server, next);
    }

    static void complete(const ExchangePtr& exchange, CallOutcome outcome)
    {
        const auto done = std::move(exchange->done);
        exchange->done = nullptr;
        done(std::move(outcome));
    }

    std::unique_ptr<Connection> take_idle(Server& server)
    {
        while (!server.idle.empty()) {
            std::unique_ptr<Connection> connection = std::move(server.idle.back());
            server.idle.pop_back();
            if (!is_usable(*connection))
                continue;
            connection->reused = true;
            return connection;
        }
        return nullptr;
    }

    void schedule_sweep()
    {
        if (m_sweep_scheduled)
            return;
        m_sweep_scheduled = true;
        m_loop.after(m_limits.max_idle, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->close_expired();
        });
    }

    // Closes connections that were idle for too long. Each server's list is sorted by
    // idle_since, the oldest first.
    void close_expired()
    {
        m_sweep_scheduled = false;
        const Millis oldest = m_loop.now() - m_limits.max_idle;
        bool any_idle = false;
        for (auto entry = m_servers.begin(); entry != m_servers.end();) {
            Server& server = entry->second;
            const auto unexpired = std::find_if(
                server.idle.begin(), server.idle.end(),
                [&](const auto& connection) { return connection->idle_since > oldest; });
            server.idle.erase(server.idle.begin(), unexpired);
            any_idle = any_idle || !server.idle.empty();
            const bool unused
                = server.idle.empty() && server.waiting.empty() && server.busy == 0;
            entry = unused ? m_servers.erase(entry) : std::next(entry);
        }
        if (any_idle)
            schedule_sweep();
    }

    // An idle connection with something to read was closed by the server, or holds a late
    // response.
    bool is_usable(Connection& connection) const
    {
        if (m_loop.now() - connection.idle_since > m_limits.max_idle)
            return false;
        auto& socket = connection.stream.socket();
        boost::system::error_code error;
        char byte = 0;
        socket.non_blocking(true, error);
        socket.receive(boost::asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error == boost::asio::error::would_block;
    }

    void connect(const ExchangePtr& exchange)
    {
        exchange->connection = std::make_unique<Connection>(m_loop.impl().context);
        auto& stream = exchange->connection->stream;
        boost::system::error_code error;
        const auto ip = boost::asio::ip::make_address_v4(exchange->call.server.ip, error);
        if (error) {
            finish_later(exchange, CallEnd::unreachable);
            return;
        }
        stream.expires_after(std::chrono::milliseconds(exchange->call.timeout.count()));
        stream.async_connect(
            tcp::endpoint(ip, exchange->call.server.port),
            [self = shared_from_this(), exchange](boost::system::error_code failure) {
                self->on_connected(exchange, failure);
            });
    }

    void on_connected(const ExchangePtr& exchange, boost::system::error_code error)
    {
        if (error == boost::asio::error::connection_refused) {
            finish(exchange, CallEnd::refused);
            return;
        }
        if (error) {
            finish(exchange, CallEnd::unreachable);
            return;
        }
        exchange->connection->sequence = ++m_last_sequence;
        boost::system::error_code ignored;
        auto& socket = exchange->connection->stream.socket();
        socket.set_option(tcp::no_delay(true), ignored);
        write(exchange);
    }

    void write(const ExchangePtr& exchange)
    {
        exchange->sent = m_loop.now();
        exchange->sequence = ++m_last_sequence;
        const ClientCall& call = exchange->call;
        auto& request = exchange->request;
        request.version(11);
        request.method_string(call.method);
        request.target(call.target);
        request.set(http::field::host, pool_key(call.server));
        if (!call.body.empty())
            request.set(http::field::content_type, call.content_type);
        for (const auto& [name, value] : call.headers)
            request.set(name, value);
        request.body() = std::move(body_for(*exchange));
        request.prepare_payload();
        auto& stream = exchange->connection->stream;
        stream.expires_after(std::chrono::milliseconds(call.timeout.count()));
        http::async_write(stream, request,
                          [self = shared_from_this(),
                           exchange](boost::system::error_code error, size_t bytes) {
                              self->traffic_of(exchange->call).sent
                                  += static_cast<int64_t>(bytes);
                              self->on_written(exchange, error);
                          });
    }

    static std::string& body_for(Exchange& exchange)
    {
        ClientCall& call = exchange.call;
        const bool opened_before = exchange.connection->sequence < call.opened_before_call;
        return opened_before ? call.reused_connection_body : call.body;
    }

    static std::string path_of(const ClientCall& call)
    {
        return call.target.substr(0, call.target.find('?'));
    }

    HttpTraffic& traffic_of(const ClientCall& call) { return m_traffic[path_of(call)]; }

    void on_written(const ExchangePtr& exchange, boost::system::error_code error)
    {
        if (error) {
            if (error == beast::error::timeout)
                close_suspects(*exchange);
            finish(exchange, CallEnd::unknown);
            return;
        }
        exchange->parser = std::make_unique<http::response_parser<http::string_body>>();
        exchange->parser->body_limit(max_response_bytes);
        exchange->parser->eager(true); // Parse the body as it is received.
        if (exchange->call.extends_while_receiving) {
            exchange->connection->buffer.reserve(read_size);
            m_extending.push_back(exchange);
        }
        read_some(exchange);
    }

    void read_some(const ExchangePtr& exchange)
    {
        auto& connection = *exchange->connection;
        http::async_read_some(connection.stream, connection.buffer, *exchange->parser,
                              [self = shared_from_this(),
                               exchange](boost::system::error_code failure, size_t bytes) {
                                  self->traffic_of(exchange->call).received
                                      += static_cast<int64_t>(bytes);
                                  self->on_read_some(exchange, failure);
                              });
    }

    void on_read_some(const ExchangePtr& exchange, boost::system::error_code error)
    {
        if (!error)
            error = read_arrived(exchange);
        if (!error && !exchange->parser->is_done()) {
            hold(exchange, exchange->parser->get().body().size());
            if (m_held > m_limits.max_held_bytes) {
                finish(exchange, CallEnd::unknown);
                return;
            }
            continue_reading(exchange);
            return;
        }
        if (error == beast::error::timeout && !exchange->response_begun())
            close_suspects(*exchange);
        on_response(exchange, error);
    }

    // Reads what has arrived of a response that has begun. Each read that the loop
    // completes waits for its turn, and a page of five hundred rows takes more than ten of
    // them.
    boost::system::error_code read_arrived(const ExchangePtr& exchange)
    {
        Connection& connection = *exchange->connection;
        auto& socket = connection.stream.socket();
        boost::system::error_code error;
        if (!exchange->parser->is_done())
            socket.non_blocking(true, error);
        size_t taken = 0;
        while (!error && !exchange->parser->is_done() && taken < max_turn_bytes) {
            reserve_for_rest(*exchange);
            const size_t bytes
                = http::read_some(socket, connection.buffer, *exchange->parser, error);
            traffic_of(exchange->call).received += static_cast<int64_t>(bytes);
            taken += bytes;
            hold(exchange, exchange->parser->get().body().size());
            if (m_held > m_limits.max_held_bytes)
                break;
        }
        return error == boost::asio::error::would_block ? boost::system::error_code()
                                                        : error;
    }

    // Without room a read takes 512 bytes.
    static void reserve_for_rest(Exchange& exchange)
    {
        const auto left_bytes = exchange.parser->content_length_remaining();
        if (left_bytes)
            exchange.connection->buffer.reserve(
                std::min<size_t>(read_size, static_cast<size_t>(*left_bytes)));
    }

    // Extends the time-out of a long response. A feed's response grows with the changes
    // that were missed, and may take longer than the time-out on a slow link. If it were
    // cut off while bytes still arrive, the next response would be even larger.
    void continue_reading(const ExchangePtr& exchange)
    {
        reserve_for_rest(*exchange);
        if (exchange->call.extends_while_receiving) {
            exchange->last_received = m_loop.now();
            const Millis left = extended_time(*exchange);
            if (left <= Millis(0)) {
                finish(exchange, CallEnd::unknown);
                return;
            }
            exchange->connection->stream.expires_after(
                std::chrono::milliseconds(left.count()));
        }
        read_some(exchange);
    }

    // Returns the time-out for the next bytes of a response, never shorter than without an
    // extension.
    Millis extended_time(const Exchange& exchange) const
    {
        const Millis timeout = exchange.call.timeout;
        const Millis latest = std::max(
            exchange.sent + timeout, exchange.response_due() + m_limits.max_response_time);
        return std::min(timeout, latest - exchange.last_received);
    }

    void on_response(const ExchangePtr& exchange, boost::system::error_code error)
    {
        if (error) {
            finish(exchange, CallEnd::unknown);
            return;
        }
        CallOutcome outcome;
        outcome.end = CallEnd::answered;
        outcome.sequence = exchange->sequence;
        outcome.status = exchange->parser->get().result_int();
        outcome.body = std::move(exchange->parser->get().body());
        if (exchange->parser->get().keep_alive())
            return_to_pool(exchange->call.server, std::move(exchange->connection));
        release(exchange);
        complete(exchange, std::move(outcome));
    }

    // Handles a call that timed out on a reused connection without receiving a byte. Open
    // connections may go silent without a reset while new ones work, and usually most
    // connections to a server do so together. So those idle connections are closed that
    // have not carried a response since this call's response was due. Without this, each of
    // up to 24 idle connections would cost one more call its full time-out; with it, the
    // call after the first is answered at once (silent_connections_test). Connections in
    // use are left to their calls, and a new connection without a response says nothing
    // about older ones.
    void close_suspects(const Exchange& silent)
    {
        if (silent.connection->reused)
            close_idle_since(m_servers[pool_key(silent.call.server)],
                             silent.response_due());
    }

    // Late calls raise the same suspicion before they time out, when a connection is chosen
    // for the next call. Otherwise calls with a time-out of a second or more would hide
    // silent connections from other calls for that long: 0.5 s into a call with a 5 s
    // time-out the next one is answered at once (silent_connections_test).
    static bool is_late(const Exchange& exchange, Millis now)
    {
        return now - exchange.response_due() > late_after && !exchange.response_begun();
    }

    void close_suspects_of_late_calls(Server& server)
    {
        const Millis now = m_loop.now();
        for (const ExchangePtr& exchange : server.calls_on_reused) {
            if (is_late(*exchange, now))
                close_idle_since(server, exchange->response_due());
        }
    }

    static void close_idle_since(Server& server, Millis response_due)
    {
        const auto used_since = std::find_if(
            server.idle.begin(), server.idle.end(),
            [&](const auto& connection) { return connection->idle_since > response_due; });
        server.idle.erase(server.idle.begin(), used_since); // Sorted, longest idle first.
    }

    void return_to_pool(const Address& server, std::unique_ptr<Connection> connection)
    {
        auto& idle = m_servers[pool_key(server)].idle;
        if (idle.size() >= max_idle_connections)
            return;
        connection->stream.expires_never();
        connection->idle_since = m_loop.now();
        connection->buffer.clear();
        connection->buffer.shrink_to_fit();
        idle.push_back(std::move(connection));
        schedule_sweep();
    }

    void finish(const ExchangePtr& exchange, CallEnd end)
    {
        exchange->connection.reset();
        release(exchange);
        CallOutcome outcome;
        outcome.end = end;
        complete(exchange, std::move(outcome));
    }

    void finish_later(const ExchangePtr& exchange, CallEnd end)
    {
        m_loop.after(Millis(0), [self = shared_from_this(), exchange, end] {
            self->finish(exchange, end);
        });
    }

    IoLoop& m_loop;
    ClientLimits m_limits;
    std::map<std::string, Server> m_servers; ///< By address.
    HttpTrafficByPath m_traffic;
    std::vector<ExchangePtr> m_extending; ///< Open calls with extends_while_receiving.
    size_t m_held = 0; ///< By all responses that are being received.
    bool m_sweep_scheduled = false; ///< A run of close_expired() is scheduled.
    int64_t m_last_sequence = 0;
};

AsyncHttpClient::AsyncHttpClient(IoLoop& loop, ClientLimits limits)
    : m_impl(std::make_shared<Impl>(loop, limits))
{
}

AsyncHttpClient::~AsyncHttpClient() = default;

void AsyncHttpClient::send(ClientCall call, std::function<void(CallOutcome)> done)
{
    m_impl->send(std::move(call), std::move(done));
}

void AsyncHttpClient::close_idle_connections(const Address& server)
{
    m_impl->close_idle_connections(server);
}

const HttpTrafficByPath& AsyncHttpClient::traffic() const
{
    return m_impl->traffic();
}

bool AsyncHttpClient::is_receiving(const std::string& path) const
{
    return m_impl->is_receiving(path);
}

size_t AsyncHttpClient::open_connections() const
{
    return m_impl->open_connections();
}

} // namespace pathport
