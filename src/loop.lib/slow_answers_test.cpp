// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Responses that arrive in pieces over more than their call's time-out, as on a slow link.
///
/// Guards against a long response that is cut off by the time-out while its bytes still
/// arrive, and is then requested again.

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
/// The whole response takes about three times its call's time-out.
constexpr Millis piece_interval { 150 };
constexpr Millis call_time { 500 };
/// No call of this test takes longer, even on a busy machine.
constexpr Millis max_call_time { 10000 };
const Millis all_pieces { int64_t(answer_pieces) * piece_interval.count() };
const std::string feed = "/feed";

/// A server that sends its responses in pieces at regular intervals. Their Content-Length
/// is that of `answer_pieces` pieces.
class PieceServer {
public:
    explicit PieceServer(IoLoop& loop)
        : m_loop(loop)
        , m_acceptor(loop.impl().context,
                     tcp::endpoint(boost::asio::ip::make_address(address.ip), address.port))
    {
        accept();
    }

    /// Number of pieces sent of each response.
    size_t pieces_to_send = answer_pieces;
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
                        send_piece(connection, pieces_to_send);
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
    std::vector<ConnectionPtr> m_connections; ///< Kept open when all is sent.
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

BOOST_AUTO_TEST_CASE(response_still_being_received_is_read_completely)
{
    Fixture fixture;
    const CallOutcome outcome = fixture.send(call_to_feed());
    BOOST_TEST((outcome.end == CallEnd::answered));
    BOOST_TEST(outcome.body == std::string(answer_bytes, 'x'));
    BOOST_TEST(fixture.client.open_connections() == 1U); // Kept for reuse.
}

BOOST_AUTO_TEST_CASE(received_pieces_are_counted_at_once)
{
    Fixture fixture;
    fixture.client.send(call_to_feed(), [](const CallOutcome&) {});
    fixture.run_for(call_time);
    const int64_t received_so_far = fixture.client.traffic().at(feed).received;
    BOOST_TEST(received_so_far > 0);
    BOOST_TEST(received_so_far < int64_t(answer_bytes));
    fixture.run_for(all_pieces);
    BOOST_TEST(fixture.client.traffic().at(feed).received > int64_t(answer_bytes));
}

// A late order to a worker would be worse than none.
BOOST_AUTO_TEST_CASE(call_without_extension_keeps_its_timeout)
{
    Fixture fixture;
    ClientCall call = call_to_feed();
    call.extends_while_receiving = false;
    const CallOutcome outcome = fixture.send(call);
    BOOST_TEST((outcome.end == CallEnd::unknown));
    BOOST_TEST(fixture.client.open_connections() == 0U);
}

BOOST_AUTO_TEST_CASE(response_that_stalls_ends_after_the_timeout)
{
    Fixture fixture;
    fixture.server.pieces_to_send = answer_pieces / 2;
    const Millis started = fixture.loop.now();
    const CallOutcome outcome = fixture.send(call_to_feed());
    BOOST_TEST((outcome.end == CallEnd::unknown));
    BOOST_TEST(
        (fixture.server.last_sent() - started > call_time)); // The time-out was extended.
    const Millis silence = fixture.loop.now() - fixture.server.last_sent();
    BOOST_TEST((silence > call_time - piece_interval));
    BOOST_TEST((silence < max_call_time));
}

BOOST_AUTO_TEST_CASE(response_over_the_maximum_time_is_cut_off)
{
    ClientLimits limits;
    limits.max_response_time = call_time + piece_interval;
    Fixture fixture(limits);
    const Millis started = fixture.loop.now();
    const CallOutcome outcome = fixture.send(call_to_feed());
    BOOST_TEST((outcome.end == CallEnd::unknown));
    BOOST_TEST((fixture.loop.now() - started >= limits.max_response_time));
}

BOOST_AUTO_TEST_CASE(response_counts_as_receiving_while_bytes_arrive)
{
    Fixture fixture;
    fixture.server.pieces_to_send = answer_pieces / 2;
    ClientCall call = call_to_feed();
    call.timeout = max_call_time;
    bool ended = false;
    BOOST_TEST(!fixture.client.is_receiving(feed));
    fixture.client.send(call, [&](const CallOutcome&) { ended = true; });
    BOOST_TEST(!fixture.client.is_receiving(feed));
    fixture.run_for(piece_interval);
    BOOST_TEST(fixture.client.is_receiving(feed));
    BOOST_TEST(!fixture.client.is_receiving("/fee"));
    // The server sends nothing more, and the call is still open.
    fixture.run_for(all_pieces);
    BOOST_TEST(!fixture.client.is_receiving(feed));
    BOOST_TEST(!ended);
}

BOOST_AUTO_TEST_CASE(complete_response_no_longer_counts_as_receiving)
{
    Fixture fixture;
    BOOST_TEST((fixture.send(call_to_feed()).end == CallEnd::answered));
    BOOST_TEST(!fixture.client.is_receiving(feed));
}
