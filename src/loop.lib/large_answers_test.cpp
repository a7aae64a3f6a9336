// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How many turns of a busy loop pass until a response that has arrived is handled.
///
/// Guards against a process that handles large messages the later the more else it has to
/// do. Each read of a response is a completion of its own, which waits behind all others
/// that are ready. If a read takes 512 bytes, a message of 20 kB that lies complete in the
/// socket needs 40 turns of the loop: at 20 ms a turn it is handled 0.8 s late, while a
/// timer is 20 ms late. A relay puts all answers that it has into one message, so the later
/// its leader is, the more turns the next message takes.

#define BOOST_TEST_MODULE large_answers
#include <boost/test/unit_test.hpp>

#include "io_loop_impl.h"

#include <pathport/async_http.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <string>

using namespace pathport;

namespace {

using tcp = boost::asio::ip::tcp;

const Address address { "127.0.0.1", 19793 };
constexpr Millis call_time { 5000 };

/// Answers one call with a body of a given size, written at once, and counts the turns of
/// the loop from then on.
class Fixture {
public:
    explicit Fixture(size_t body_bytes)
        : m_body(body_bytes, 'x')
        , m_acceptor(m_loop.impl().context,
                     tcp::endpoint(boost::asio::ip::make_address(address.ip), address.port))
        , m_socket(m_loop.impl().context)
        , m_client(m_loop, {})
    {
        m_acceptor.async_accept(m_socket, [this](boost::system::error_code error) {
            if (!error)
                read_request();
        });
    }

    /// Returns the number of turns from the writing of the response to its handling.
    int turns_until_handled()
    {
        ClientCall call;
        call.server = address;
        call.method = "GET";
        call.target = "/answers";
        call.timeout = call_time;
        m_client.send(call, [this](const CallOutcome& outcome) {
            BOOST_TEST((outcome.end == CallEnd::answered));
            BOOST_TEST(outcome.body.size() == m_body.size());
            m_handled = true;
            m_loop.stop();
        });
        m_loop.run();
        return m_turns;
    }

private:
    void read_request()
    {
        boost::asio::async_read_until(
            m_socket, m_input, "\r\n\r\n", [this](boost::system::error_code error, size_t) {
                if (error)
                    return;
                const std::string text = "HTTP/1.1 200 OK\r\nContent-Length: "
                    + std::to_string(m_body.size()) + "\r\n\r\n" + m_body;
                boost::asio::write(m_socket, boost::asio::buffer(text));
                count_turn();
            });
    }
    void count_turn()
    {
        if (m_handled)
            return;
        ++m_turns;
        boost::asio::post(m_loop.impl().context, [this] { count_turn(); });
    }

    IoLoop m_loop;
    std::string m_body;
    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    boost::asio::streambuf m_input;
    AsyncHttpClient m_client;
    int m_turns = 0;
    bool m_handled = false;
};

} // namespace

// The size of the answers of some hundred calls through a relay.
BOOST_AUTO_TEST_CASE(large_response_that_has_arrived_is_handled_within_some_turns)
{
    constexpr size_t small_bytes = 200;
    constexpr size_t large_bytes = 20000;
    constexpr int extra_turns = 6;
    const int small = Fixture(small_bytes).turns_until_handled();
    const int large = Fixture(large_bytes).turns_until_handled();
    BOOST_TEST_MESSAGE("turns: " << small << " and " << large);
    BOOST_TEST(large <= small + extra_turns);
}
