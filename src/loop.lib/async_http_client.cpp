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

/// Kept connections to one server, at most.
constexpr size_t max_kept_connections = 24;
/// The largest answer that is read.
constexpr size_t max_answer_bytes = size_t(8) * 1024 * 1024;

/// Read at a time of an answer that may be long, so that the largest one takes hundreds of
/// reads instead of thousands.
constexpr size_t piece_bytes = 16384;
/// An answer of which bytes came so long ago is under way: a poll of the jobs' table is
/// followed by the next one after as long.
constexpr Millis receiving_time { 500 };

/// An answer that has not begun so long after it was due is late: about thirty times what
/// the users' store takes, and as long as a heartbeat waits.
constexpr Millis late_time { 300 };

struct Connection {
    explicit Connection(boost::asio::io_context& context)
        : stream(context)
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    int64_t number = 0; ///< Among all calls sent and connections opened.
    Millis idle_since; ///< When its last answer came.
    bool reused = false; ///< It has answered an earlier call.
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

    /// One call and the connection that carries it.
    struct Exchange {
        ClientCall call;
        std::function<void(CallOutcome)> done;
        std::unique_ptr<Connection> connection;
        Millis waits_until; ///< Of a call that waits for a connection.
        Millis sent; ///< When it was given to its connection.
        int64_t number = 0; ///< As in CallOutcome.
        Millis last_heard; ///< When bytes of its answer came; zero before the first.
        http::request<http::string_body> request;
        std::unique_ptr<http::response_parser<http::string_body>> parser;

        /// Returns when the server should have answered.
        Millis due() const { return sent + call.max_response_delay; }
        /// Returns whether any byte of the answer has come.
        bool heard() const
        {
            return connection->buffer.size() > 0 || (parser && parser->got_some());
        }
    };
    using ExchangePtr = std::shared_ptr<Exchange>;

    const HttpTrafficByPath& traffic() const { return m_traffic; }

    bool receiving(const std::string& path) const
    {
        return std::any_of(m_extending.begin(), m_extending.end(),
                           [&](const ExchangePtr& exchange) {
                               return exchange->last_heard > Millis()
                                   && m_loop.now() - exchange->last_heard < receiving_time
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
            wait(server, exchange);
            return;
        }
        begin(server, exchange);
    }

    void forget(const Address& server) { m_servers[pool_key(server)].kept.clear(); }

    size_t open_connections() const
    {
        size_t count = 0;
        for (const auto& [key, server] : m_servers)
            count += server.busy + server.kept.size();
        return count;
    }

private:
    /// What there is of one server.
    struct Server {
        std::vector<std::unique_ptr<Connection>> kept;
        std::deque<ExchangePtr> waiting; ///< For a connection.
        size_t busy = 0; ///< Connections that carry a call.
        std::vector<ExchangePtr> on_reused; ///< Calls on connections that were kept.
    };

    void begin(Server& server, const ExchangePtr& exchange)
    {
        ++server.busy;
        doubt_late_calls(server);
        exchange->connection = take_kept(server);
        if (exchange->connection) {
            server.on_reused.push_back(exchange);
            write(exchange);
            return;
        }
        connect(exchange);
    }

    void wait(Server& server, const ExchangePtr& exchange)
    {
        exchange->waits_until = m_loop.now() + exchange->call.timeout;
        server.waiting.push_back(exchange);
        m_loop.after(exchange->call.timeout, [self = shared_from_this(), exchange] {
            if (exchange->connection || exchange->done == nullptr)
                return;
            self->give_up_waiting(exchange);
        });
    }

    void give_up_waiting(const ExchangePtr& exchange)
    {
        auto& waiting = m_servers[pool_key(exchange->call.server)].waiting;
        const auto found = std::find(waiting.begin(), waiting.end(), exchange);
        if (found == waiting.end())
            return;
        waiting.erase(found);
        CallOutcome outcome;
        outcome.end = CallEnd::unreachable;
        tell(exchange, std::move(outcome));
    }

    // A call has ended: the next one that waits may have its place.
    void release(const ExchangePtr& exchange)
    {
        Server& server = m_servers[pool_key(exchange->call.server)];
        --server.busy;
        auto& reused = server.on_reused;
        reused.erase(std::remove(reused.begin(), reused.end(), exchange), reused.end());
        m_extending.erase(std::remove(m_extending.begin(), m_extending.end(), exchange),
                          m_extending.end());
        if (server.waiting.empty())
            return;
        const ExchangePtr next = server.waiting.front();
        server.waiting.pop_front();
        // What is left of its time is for the call itself.
        next->call.timeout = std::max(Millis(1), next->waits_until - m_loop.now());
        begin(server, next);
    }

    static void tell(const ExchangePtr& exchange, CallOutcome outcome)
    {
        const auto done = std::move(exchange->done);
        exchange->done = nullptr;
        done(std::move(outcome));
    }

    std::unique_ptr<Connection> take_kept(Server& server)
    {
        while (!server.kept.empty()) {
            std::unique_ptr<Connection> connection = std::move(server.kept.back());
            server.kept.pop_back();
            if (!is_usable(*connection))
                continue;
            connection->reused = true;
            return connection;
        }
        return nullptr;
    }

    void sweep_later()
    {
        if (m_sweeping)
            return;
        m_sweeping = true;
        m_loop.after(m_limits.max_idle, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->sweep();
        });
    }

    // Closes what has been idle for too long; the oldest of a server come first.
    void sweep()
    {
        m_sweeping = false;
        const Millis oldest = m_loop.now() - m_limits.max_idle;
        bool any_kept = false;
        for (auto entry = m_servers.begin(); entry != m_servers.end();) {
            Server& server = entry->second;
            const auto fresh = std::find_if(
                server.kept.begin(), server.kept.end(),
                [&](const auto& connection) { return connection->idle_since > oldest; });
            server.kept.erase(server.kept.begin(), fresh);
            any_kept = any_kept || !server.kept.empty();
            const bool unused
                = server.kept.empty() && server.waiting.empty() && server.busy == 0;
            entry = unused ? m_servers.erase(entry) : std::next(entry);
        }
        if (any_kept)
            sweep_later();
    }

    // A kept connection that has something to read was closed, or holds a late answer.
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
                self->connected(exchange, failure);
            });
    }

    void connected(const ExchangePtr& exchange, boost::system::error_code error)
    {
        if (error == boost::asio::error::connection_refused) {
            finish(exchange, CallEnd::refused);
            return;
        }
        if (error) {
            finish(exchange, CallEnd::unreachable);
            return;
        }
        exchange->connection->number = ++m_last_number;
        boost::system::error_code ignored;
        auto& socket = exchange->connection->stream.socket();
        socket.set_option(tcp::no_delay(true), ignored);
        write(exchange);
    }

    void write(const ExchangePtr& exchange)
    {
        exchange->sent = m_loop.now();
        exchange->number = ++m_last_number;
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
                              self->written(exchange, error);
                          });
    }

    static std::string& body_for(Exchange& exchange)
    {
        ClientCall& call = exchange.call;
        const bool proven = exchange.connection->number < call.opened_before_call;
        return proven ? call.reused_connection_body : call.body;
    }

    static std::string path_of(const ClientCall& call)
    {
        return call.target.substr(0, call.target.find('?'));
    }

    HttpTraffic& traffic_of(const ClientCall& call) { return m_traffic[path_of(call)]; }

    void written(const ExchangePtr& exchange, boost::system::error_code error)
    {
        if (error) {
            if (error == beast::error::timeout)
                suspect_kept(*exchange);
            finish(exchange, CallEnd::unknown);
            return;
        }
        exchange->parser = std::make_unique<http::response_parser<http::string_body>>();
        exchange->parser->body_limit(max_answer_bytes);
        exchange->parser->eager(true); // The body as it comes.
        if (exchange->call.extends_while_receiving) {
            exchange->connection->buffer.reserve(piece_bytes);
            m_extending.push_back(exchange);
        }
        read_piece(exchange);
    }

    void read_piece(const ExchangePtr& exchange)
    {
        auto& connection = *exchange->connection;
        http::async_read_some(connection.stream, connection.buffer, *exchange->parser,
                              [self = shared_from_this(),
                               exchange](boost::system::error_code failure, size_t bytes) {
                                  self->traffic_of(exchange->call).received
                                      += static_cast<int64_t>(bytes);
                                  self->piece_read(exchange, failure);
                              });
    }

    void piece_read(const ExchangePtr& exchange, boost::system::error_code error)
    {
        if (!error && !exchange->parser->is_done()) {
            read_on(exchange);
            return;
        }
        if (error == beast::error::timeout && !exchange->heard())
            suspect_kept(*exchange);
        read(exchange, error);
    }

    // Answers that grow with what was missed take longer than their calls' time on a thin
    // link: cut off though their bytes kept coming, they were asked for again, and grew.
    void read_on(const ExchangePtr& exchange)
    {
        if (exchange->call.extends_while_receiving) {
            exchange->last_heard = m_loop.now();
            const Millis left = extended_time(*exchange);
            if (left <= Millis(0)) {
                finish(exchange, CallEnd::unknown);
                return;
            }
            exchange->connection->stream.expires_after(
                std::chrono::milliseconds(left.count()));
        }
        read_piece(exchange);
    }

    // Returns how long more bytes of an answer are waited for, never shorter than without
    // an extension.
    Millis extended_time(const Exchange& exchange) const
    {
        const Millis timeout = exchange.call.timeout;
        const Millis latest = std::max(exchange.sent + timeout,
                                       exchange.due() + m_limits.max_response_time);
        return std::min(timeout, latest - exchange.last_heard);
    }

    void read(const ExchangePtr& exchange, boost::system::error_code error)
    {
        if (error) {
            finish(exchange, CallEnd::unknown);
            return;
        }
        CallOutcome outcome;
        outcome.end = CallEnd::answered;
        outcome.sequence = exchange->number;
        outcome.status = exchange->parser->get().result_int();
        outcome.body = std::move(exchange->parser->get().body());
        if (exchange->parser->get().keep_alive())
            keep(exchange->call.server, std::move(exchange->connection));
        release(exchange);
        tell(exchange, std::move(outcome));
    }

    // A call on a kept connection heard nothing in its time. Open connections may go silent
    // without a reset while new ones work, and then most of a server's do so together:
    // whichever of them has not answered since the call's answer was due is not used again.
    // Without this each of up to 24 kept connections takes one more call and all of its
    // time; with it the call after the first is answered at once (silent_connections_test).
    // A connection that carries a call is left to that call, and a new one that got no
    // answer says nothing about older ones.
    void suspect_kept(const Exchange& silent)
    {
        if (silent.connection->reused)
            drop_unproven(m_servers[pool_key(silent.call.server)], silent.due());
    }

    // The same before its time is over, when a connection is chosen for the next call.
    // Calls with a second or more would otherwise hide silent connections from others for
    // so long: after 0.5 s of a call's 5 s the next one is answered at once
    // (silent_connections_test).
    static bool is_late(const Exchange& exchange, Millis now)
    {
        return now - exchange.due() > late_time && !exchange.heard();
    }

    void doubt_late_calls(Server& server)
    {
        const Millis now = m_loop.now();
        for (const ExchangePtr& exchange : server.on_reused) {
            if (is_late(*exchange, now))
                drop_unproven(server, exchange->due());
        }
    }

    static void drop_unproven(Server& server, Millis due)
    {
        const auto proven = std::find_if(
            server.kept.begin(), server.kept.end(),
            [&](const auto& connection) { return connection->idle_since > due; });
        server.kept.erase(server.kept.begin(), proven); // The longest idle come first.
    }

    void keep(const Address& server, std::unique_ptr<Connection> connection)
    {
        auto& kept = m_servers[pool_key(server)].kept;
        if (kept.size() >= max_kept_connections)
            return;
        connection->stream.expires_never();
        connection->idle_since = m_loop.now();
        connection->buffer.clear();
        connection->buffer.shrink_to_fit();
        kept.push_back(std::move(connection));
        sweep_later();
    }

    void finish(const ExchangePtr& exchange, CallEnd end)
    {
        exchange->connection.reset();
        release(exchange);
        CallOutcome outcome;
        outcome.end = end;
        tell(exchange, std::move(outcome));
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
    std::vector<ExchangePtr> m_extending; ///< Calls whose answers extend their time.
    bool m_sweeping = false; ///< sweep() is due.
    int64_t m_last_number = 0;
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
    m_impl->forget(server);
}

const HttpTrafficByPath& AsyncHttpClient::traffic() const
{
    return m_impl->traffic();
}

bool AsyncHttpClient::is_receiving(const std::string& path) const
{
    return m_impl->receiving(path);
}

size_t AsyncHttpClient::open_connections() const
{
    return m_impl->open_connections();
}

} // namespace pathport
