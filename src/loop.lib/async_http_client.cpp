// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "io_loop_impl.h"

#include <pathport/async_http.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <map>

namespace pathport {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = boost::asio::ip::tcp;

/// Kept connections to one server, at most.
constexpr size_t max_kept_connections = 24;
/// A connection that nothing has used for so long is closed rather than reused, since the
/// server may be about to close it.
constexpr Millis max_idle { 12000 };
/// The largest answer that is read.
constexpr size_t max_answer_bytes = size_t(8) * 1024 * 1024;

struct Connection {
    explicit Connection(boost::asio::io_context& context)
        : stream(context)
    {
    }
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    Millis idle_since;
};

std::string pool_key(const Address& address)
{
    return address.to_string();
}

} // namespace

class AsyncHttpClient::Impl : public std::enable_shared_from_this<AsyncHttpClient::Impl> {
public:
    explicit Impl(IoLoop& loop)
        : m_loop(loop)
    {
    }

    /// One call and the connection that carries it.
    struct Exchange {
        ClientCall call;
        std::function<void(CallOutcome)> done;
        std::unique_ptr<Connection> connection;
        http::request<http::string_body> request;
        std::unique_ptr<http::response_parser<http::string_body>> parser;
    };
    using ExchangePtr = std::shared_ptr<Exchange>;

    void send(ClientCall call, std::function<void(CallOutcome)> done)
    {
        auto exchange = std::make_shared<Exchange>();
        exchange->call = std::move(call);
        exchange->done = std::move(done);
        exchange->connection = take_kept(exchange->call.server);
        if (exchange->connection) {
            write(exchange);
            return;
        }
        connect(exchange);
    }

    void forget(const Address& server) { m_kept.erase(pool_key(server)); }

private:
    std::unique_ptr<Connection> take_kept(const Address& server)
    {
        const auto entry = m_kept.find(pool_key(server));
        if (entry == m_kept.end())
            return nullptr;
        auto& kept = entry->second;
        while (!kept.empty()) {
            std::unique_ptr<Connection> connection = std::move(kept.back());
            kept.pop_back();
            if (is_usable(*connection))
                return connection;
        }
        return nullptr;
    }

    // A kept connection that has something to read was closed, or holds a late answer.
    bool is_usable(Connection& connection) const
    {
        if (m_loop.now() - connection.idle_since > max_idle)
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
        boost::system::error_code ignored;
        auto& socket = exchange->connection->stream.socket();
        socket.set_option(tcp::no_delay(true), ignored);
        write(exchange);
    }

    void write(const ExchangePtr& exchange)
    {
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
        request.body() = std::move(exchange->call.body);
        request.prepare_payload();
        auto& stream = exchange->connection->stream;
        stream.expires_after(std::chrono::milliseconds(call.timeout.count()));
        http::async_write(
            stream, request,
            [self = shared_from_this(), exchange](boost::system::error_code error, size_t) {
                self->written(exchange, error);
            });
    }

    void written(const ExchangePtr& exchange, boost::system::error_code error)
    {
        if (error) {
            finish(exchange, CallEnd::unknown);
            return;
        }
        exchange->parser = std::make_unique<http::response_parser<http::string_body>>();
        exchange->parser->body_limit(max_answer_bytes);
        auto& connection = *exchange->connection;
        http::async_read(connection.stream, connection.buffer, *exchange->parser,
                         [self = shared_from_this(),
                          exchange](boost::system::error_code failure, size_t) {
                             self->read(exchange, failure);
                         });
    }

    void read(const ExchangePtr& exchange, boost::system::error_code error)
    {
        if (error) {
            finish(exchange, CallEnd::unknown);
            return;
        }
        CallOutcome outcome;
        outcome.end = CallEnd::answered;
        outcome.status = exchange->parser->get().result_int();
        outcome.body = std::move(exchange->parser->get().body());
        if (exchange->parser->get().keep_alive())
            keep(exchange->call.server, std::move(exchange->connection));
        exchange->done(std::move(outcome));
    }

    void keep(const Address& server, std::unique_ptr<Connection> connection)
    {
        auto& kept = m_kept[pool_key(server)];
        if (kept.size() >= max_kept_connections)
            return;
        connection->stream.expires_never();
        connection->idle_since = m_loop.now();
        connection->buffer.clear();
        connection->buffer.shrink_to_fit();
        kept.push_back(std::move(connection));
    }

    void finish(const ExchangePtr& exchange, CallEnd end)
    {
        exchange->connection.reset();
        CallOutcome outcome;
        outcome.end = end;
        exchange->done(std::move(outcome));
    }

    void finish_later(const ExchangePtr& exchange, CallEnd end)
    {
        m_loop.after(Millis(0), [self = shared_from_this(), exchange, end] {
            self->finish(exchange, end);
        });
    }

    IoLoop& m_loop;
    std::map<std::string, std::vector<std::unique_ptr<Connection>>> m_kept;
};

AsyncHttpClient::AsyncHttpClient(IoLoop& loop)
    : m_impl(std::make_shared<Impl>(loop))
{
}

AsyncHttpClient::~AsyncHttpClient() = default;

void AsyncHttpClient::send(ClientCall call, std::function<void(CallOutcome)> done)
{
    m_impl->send(std::move(call), std::move(done));
}

void AsyncHttpClient::forget(const Address& server)
{
    m_impl->forget(server);
}

} // namespace pathport
