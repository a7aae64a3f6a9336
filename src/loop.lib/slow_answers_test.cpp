// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Answers that come in pieces, over longer than their call's time, as through a thin link.

#define BOOST_TEST_MODULE slow_answers
#include <boost/test/unit_test.hpp>

#include "io_loop_impl.h"

#include <pathport/async_http.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace pathport;

namespace {

using tcp = boost::asio::ip::tcp;

const Address address { "127.0.0.1", 19771 };
constexpr size_t piece_bytes = 10000;
constexpr size_t answer_pieces = 10;
constexpr size_t answer_bytes = piece_bytes * answer_pieces;
/// The whole answer takes about three times as long as its call may.
constexpr Millis piece_interval { 150 };
constexpr Millis call_time { 500 };
/// No call of this test ends later, also on a busy machine.
constexpr Millis long_past { 10000 };
const Millis all_pieces { int64_t(answer_pieces) * piece_interval.count() };
const std::string feed = "/feed";

/// A server that answers each request by pieces at regular times. It announces
/// `answer_pieces` of them.
class PieceServer {
public:
    explicit PieceServer(IoLoop& loop)
        : m_loop(loop)
        , m_acceptor(loop.impl().context,
                     tcp::endpoint(boost::asio::ip::make_address(address.ip), address.port))
    {
        accept();
    }

    /// So many pieces are sent of each answer, then nothing more.
    size_t sends_pieces = answer_pieces;
    /// The time of the last piece.
    Millis last_sent() const { return m_last_sent; }

private:
    struct Connection {
        explicit Connection(tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        tcp::socket socket;
        boost::asio::streambuf input;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept()
    {
        m_acceptor.async_accept(
            [this](boost::system::error_code error, tcp::socket socket) {
                if (error)
                    return;
                const auto connection = std::make_shared<Connection>(std::move(socket));
                m_connections.push_back(connection);
                boost::asio::async_read_until(
                    connection->socket, connection->input, "\r\n\r\n",
                    [this, connection](boost::system::error_code failure, size_t) {
                        if (failure)
                            return;
                        write(connection,
                              "HTTP/1.1 200 OK\r\nContent-Length: "
                                  + std::to_string(answer_bytes) + "\r\n\r\n");
                        send_piece(connection, sends_pieces);
                    });
                accept();
            });
    }

    void send_piece(const ConnectionPtr& connection, size_t left)
    {
        if (left == 0)
            return;
        write(connection, std::string(piece_bytes, 'x'));
        m_last_sent = m_loop.now();
        m_loop.after(piece_interval,
                     [this, connection, left] { send_piece(connection, left - 1); });
    }

    static void write(const ConnectionPtr& connection, const std::string& text)
    {
        boost::system::error_code ignored;
        boost::asio::write(connection->socket, boost::asio::buffer(text), ignored);
    }

    IoLoop& m_loop;
    tcp::acceptor m_acceptor;
    std::vector<ConnectionPtr> m_connections; ///< They stay open, also when all is sent.
    Millis m_last_sent;
};

ClientCall call_to_feed()
{
    ClientCall call;
    call.server = address;
    call.method = "GET";
    call.target = feed + "?after=7";
    call.timeout = call_time;
    call.extends_while_receiving = true;
    return call;
}

/// A client and a server.
class Fixture {
public:
    explicit Fixture(const ClientLimits& limits = {})
        : server(loop)
        , client(loop, limits)
    {
    }

    /// Sends a call and waits until it has ended.
    CallOutcome send(const ClientCall& call)
    {
        CallOutcome result;
        client.send(call, [&](CallOutcome outcome) {
            result = std::move(outcome);
            loop.stop();
        });
        loop.run();
        return result;
    }

    void run_for(Millis span)
    {
        loop.after(span, [this] { loop.stop(); });
        loop.run();
    }

    IoLoop loop;
    PieceServer server;
    AsyncHttpClient client;
};

} // namespace

BOOST_AUTO_TEST_CASE(answer_that_keeps_coming_is_read_to_its_end)
{
    Fixture cell;
    const CallOutcome outcome = cell.send(call_to_feed());
    BOOST_TEST((outcome.end == CallEnd::answered));
    BOOST_TEST(outcome.body == std::string(answer_bytes, 'x'));
    BOOST_TEST(cell.client.open_connections() == 1U); // It is kept.
}

BOOST_AUTO_TEST_CASE(bytes_that_come_in_pieces_are_counted)
{
    Fixture cell;
    cell.client.send(call_to_feed(), [](const CallOutcome&) {});
    cell.run_for(call_time);
    const int64_t half_way = cell.client.traffic().at(feed).received;
    BOOST_TEST(half_way > 0);
    BOOST_TEST(half_way < int64_t(answer_bytes));
    cell.run_for(all_pieces);
    BOOST_TEST(cell.client.traffic().at(feed).received > int64_t(answer_bytes));
}

// An order to a worker that came late would be worse than none.
BOOST_AUTO_TEST_CASE(call_that_does_not_ask_for_it_keeps_its_time)
{
    Fixture cell;
    ClientCall call = call_to_feed();
    call.extends_while_receiving = false;
    const CallOutcome outcome = cell.send(call);
    BOOST_TEST((outcome.end == CallEnd::unknown));
    BOOST_TEST(cell.client.open_connections() == 0U);
}

BOOST_AUTO_TEST_CASE(answer_that_stops_in_the_middle_ends_in_the_calls_time)
{
    Fixture cell;
    cell.server.sends_pieces = answer_pieces / 2;
    const Millis begun = cell.loop.now();
    const CallOutcome outcome = cell.send(call_to_feed());
    BOOST_TEST((outcome.end == CallEnd::unknown));
    BOOST_TEST((cell.server.last_sent() - begun > call_time)); // It was extended.
    const Millis silence = cell.loop.now() - cell.server.last_sent();
    BOOST_TEST((silence > call_time - piece_interval));
    BOOST_TEST((silence < long_past));
}

BOOST_AUTO_TEST_CASE(answer_that_never_ends_is_cut_off)
{
    ClientLimits limits;
    limits.max_response_time = call_time + piece_interval;
    Fixture cell(limits);
    const Millis begun = cell.loop.now();
    const CallOutcome outcome = cell.send(call_to_feed());
    BOOST_TEST((outcome.end == CallEnd::unknown));
    BOOST_TEST((cell.loop.now() - begun >= limits.max_response_time));
}

BOOST_AUTO_TEST_CASE(answer_under_way_is_seen_while_its_bytes_come)
{
    Fixture cell;
    cell.server.sends_pieces = answer_pieces / 2;
    ClientCall call = call_to_feed();
    call.timeout = long_past;
    bool ended = false;
    BOOST_TEST(!cell.client.is_receiving(feed));
    cell.client.send(call, [&](const CallOutcome&) { ended = true; });
    BOOST_TEST(!cell.client.is_receiving(feed));
    cell.run_for(piece_interval);
    BOOST_TEST(cell.client.is_receiving(feed));
    BOOST_TEST(!cell.client.is_receiving("/fee"));
    // The server sends nothing more, and the call waits on.
    cell.run_for(all_pieces);
    BOOST_TEST(!cell.client.is_receiving(feed));
    BOOST_TEST(!ended);
}

BOOST_AUTO_TEST_CASE(answer_that_has_come_is_no_longer_under_way)
{
    Fixture cell;
    BOOST_TEST((cell.send(call_to_feed()).end == CallEnd::answered));
    BOOST_TEST(!cell.client.is_receiving(feed));
}
