// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Open connections that go silent without a reset, while new ones work.
///
/// Guards against a series of calls to a healthy server that all time out, after the
/// network in between has lost its state of the open connections. Each server has up to 24
/// idle connections, and the last used one carries the next call. If a time-out closes only
/// the connection of its own call, each silent connection costs another call. With five
/// silent connections the second call must be answered at once, not only the sixth.

#define BOOST_TEST_MODULE silent_connections
#include <boost/test/unit_test.hpp>

#include "io_loop_impl.h"

#include <pathport/async_http.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <string>

using namespace pathport;

namespace {

using tcp = boost::asio::ip::tcp;

const Address address { "127.0.0.1", 19761 };
constexpr size_t connections = 5;
constexpr Millis call_time { 200 };
constexpr Millis long_call_time { 800 };
/// A call without a byte of a response after this time is late.
constexpr Millis late_after { 500 };
/// A healthy server responds within this time, even on a busy machine.
constexpr Millis at_once { 100 };
const std::string complete_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string partial_response = "HTTP/1.1 200 OK\r\nContent-";

/// A server whose connections go silent on demand: one more request is read there, and not
/// answered. `/begin` gets the start of a response, `/wait/MS` a response after MS ms.
class SilencingServer {
public:
    explicit SilencingServer(IoLoop& loop)
        : m_loop(loop)
        , m_acceptor(loop.impl().context,
                     tcp::endpoint(boost::asio::ip::make_address(address.ip), address.port))
    {
        accept();
    }

    /// Makes all open connections silent for good.
    void silence_open_connections()
    {
        for (const auto& connection : m_connections)
            connection->silent = true;
    }
    /// Makes the connection of the next request silent from then on.
    void silence_connection_of_next_request() { m_silence_next = true; }
    /// Makes all connections silent, including future ones.
    void silence_all() { m_silent = true; }
    size_t accepted() const { return m_connections.size(); }

private:
    struct Connection {
        explicit Connection(tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        tcp::socket socket;
        boost::asio::streambuf input;
        bool silent = false;
    };
    using ConnectionPtr = std::shared_ptr<Connection>;

    void accept()
    {
        m_acceptor.async_accept(
            [this](boost::system::error_code error, tcp::socket socket) {
                if (error)
                    return;
                m_connections.push_back(std::make_shared<Connection>(std::move(socket)));
                read(m_connections.back());
                accept();
            });
    }

    void read(const ConnectionPtr& connection)
    {
        boost::asio::async_read_until(
            connection->socket, connection->input, "\r\n\r\n",
            [this, connection](boost::system::error_code error, size_t bytes) {
                if (error)
                    return;
                const auto* const begin
                    = static_cast<const char*>(connection->input.data().data());
                const std::string request(begin, bytes);
                connection->input.consume(bytes);
                handle(connection, request);
                // A silent connection is not read, so that its buffers fill up.
                if (!connection->silent)
                    read(connection);
            });
    }

    void handle(const ConnectionPtr& connection, const std::string& request)
    {
        connection->silent = connection->silent || m_silence_next;
        m_silence_next = false;
        if (connection->silent || m_silent)
            return;
        const std::string wait = "GET /wait/";
        if (request.rfind("GET /begin", 0) == 0) {
            answer(connection, partial_response);
        } else if (request.rfind(wait, 0) == 0) {
            const Millis delay(std::stoll(request.substr(wait.size())));
            m_loop.after(delay, [this, connection] {
                if (!connection->silent)
                    answer(connection, complete_response);
            });
        } else {
            answer(connection, complete_response);
        }
    }

    static void answer(const ConnectionPtr& connection, const std::string& text)
    {
        boost::system::error_code ignored;
        boost::asio::write(connection->socket, boost::asio::buffer(text), ignored);
    }

    IoLoop& m_loop;
    tcp::acceptor m_acceptor;
    std::vector<ConnectionPtr> m_connections;
    bool m_silence_next = false;
    bool m_silent = false;
};

ClientCall call_to(const std::string& target, Millis timeout = call_time)
{
    ClientCall call;
    call.server = address;
    call.method = "GET";
    call.target = target;
    call.timeout = timeout;
    return call;
}

/// A client, a server, and `connections` idle connections between them.
class Fixture {
public:
    explicit Fixture(const ClientLimits& limits = {})
        : server(loop)
        , client(loop, limits)
    {
        // Each of the concurrent calls gets its own connection.
        send_all(connections, call_to("/wait/20"));
        BOOST_REQUIRE(client.open_connections() == connections);
    }

    /// Sends a call and waits until it has ended.
    CallEnd send(const ClientCall& call) { return send_all(1, call).front(); }

    /// Sends `count` copies of a call at once and waits until all have ended.
    std::vector<CallEnd> send_all(size_t count, const ClientCall& call)
    {
        std::vector<CallEnd> ends;
        for (size_t i = 0; i < count; ++i) {
            client.send(call, [&](const CallOutcome& outcome) {
                ends.push_back(outcome.end);
                if (ends.size() == count)
                    loop.stop();
            });
        }
        loop.run();
        return ends;
    }

    void run_for(Millis span)
    {
        loop.after(span, [this] { loop.stop(); });
        loop.run();
    }

    /// Returns whether a call is answered at once.
    bool answers_at_once()
    {
        const Millis started = loop.now();
        return send(call_to("/")) == CallEnd::answered && loop.now() - started < at_once;
    }

    IoLoop loop;
    SilencingServer server;
    AsyncHttpClient client;
};

} // namespace

BOOST_AUTO_TEST_CASE(one_timeout_closes_all_silent_connections)
{
    Fixture fixture;
    fixture.server.silence_open_connections();
    BOOST_TEST((fixture.send(call_to("/")) == CallEnd::unknown));
    BOOST_TEST(fixture.answers_at_once());
    BOOST_TEST(fixture.client.open_connections() == 1U);
    BOOST_TEST(fixture.server.accepted() == connections + 1);
}

// A request that fills the socket's buffers is never written completely.
BOOST_AUTO_TEST_CASE(write_timeout_closes_silent_connections_as_well)
{
    Fixture fixture;
    fixture.server.silence_open_connections();
    ClientCall large = call_to("/");
    large.body = std::string(size_t(32) * 1024 * 1024, 'x');
    BOOST_TEST((fixture.send(large) == CallEnd::unknown));
    BOOST_TEST(fixture.answers_at_once());
}

// With few connections, queued calls must not be given a silent one.
BOOST_AUTO_TEST_CASE(queued_call_gets_a_new_connection_after_a_silent_one)
{
    ClientLimits limits;
    limits.max_connections = connections;
    Fixture fixture(limits);
    fixture.server.silence_open_connections();
    std::vector<CallEnd> ends;
    const auto note = [&](const CallOutcome& outcome) {
        ends.push_back(outcome.end);
        if (ends.size() == connections + 1)
            fixture.loop.stop();
    };
    for (size_t i = 0; i < connections; ++i)
        fixture.client.send(call_to("/"), note);
    fixture.client.send(call_to("/", long_call_time), note);
    fixture.loop.run();
    BOOST_TEST(std::count(ends.begin(), ends.end(), CallEnd::unknown) == connections);
    BOOST_TEST((ends.back() == CallEnd::answered));
    BOOST_TEST(fixture.answers_at_once());
}

BOOST_AUTO_TEST_CASE(connections_used_since_the_response_was_due_are_kept)
{
    Fixture fixture;
    fixture.server.silence_connection_of_next_request();
    CallEnd unanswered = CallEnd::answered;
    fixture.client.send(call_to("/"), [&](const CallOutcome& outcome) {
        unanswered = outcome.end;
        fixture.loop.stop();
    });
    // All other connections carry a response while the first call waits.
    size_t answered = 0;
    fixture.loop.after(Millis(20), [&] {
        for (size_t i = 0; i + 1 < connections; ++i)
            fixture.client.send(call_to("/wait/20"), [&](const CallOutcome& outcome) {
                answered += outcome.end == CallEnd::answered ? 1 : 0;
            });
    });
    fixture.loop.run();
    BOOST_TEST((unanswered == CallEnd::unknown));
    BOOST_TEST(answered == connections - 1);
    BOOST_TEST(fixture.client.open_connections() == connections - 1);
    BOOST_TEST(fixture.answers_at_once());
    BOOST_TEST(fixture.server.accepted() == connections);
}

// A connection that carried a response during another call's long poll may have gone silent
// since.
BOOST_AUTO_TEST_CASE(responses_during_a_long_poll_do_not_prove_a_connection)
{
    Fixture fixture;
    ClientCall held = call_to("/wait/400", Millis(600));
    held.max_response_delay = Millis(400);
    CallEnd end = CallEnd::answered;
    fixture.client.send(held, [&](const CallOutcome& outcome) {
        end = outcome.end;
        fixture.loop.stop();
    });
    fixture.loop.after(Millis(20), [&] {
        for (size_t i = 0; i + 1 < connections; ++i)
            fixture.client.send(call_to("/wait/20"), [](const CallOutcome&) {});
    });
    fixture.loop.after(Millis(150), [&] { fixture.server.silence_open_connections(); });
    fixture.loop.run();
    BOOST_TEST((end == CallEnd::unknown));
    BOOST_TEST(fixture.answers_at_once());
    BOOST_TEST(fixture.client.open_connections() == 1U);
}

// A call with a time-out of seconds must not make other calls fail for that long.
BOOST_AUTO_TEST_CASE(late_call_closes_suspects_before_its_timeout)
{
    Fixture fixture;
    fixture.server.silence_open_connections();
    bool ended = false;
    fixture.client.send(call_to("/", Millis(5000)),
                        [&](const CallOutcome&) { ended = true; });
    fixture.run_for(late_after);
    BOOST_TEST(fixture.answers_at_once());
    BOOST_TEST(!ended);
    BOOST_TEST(fixture.client.open_connections() == 2U); // One still carries the late call.
}

// A heartbeat that is repeated while the first one is open must not take another of the
// connections that have gone silent.
BOOST_AUTO_TEST_CASE(repeated_heartbeat_gets_a_new_connection)
{
    constexpr Millis repeated_after { 300 };
    Fixture fixture;
    fixture.server.silence_open_connections();
    bool repeated = false;
    fixture.loop.after(repeated_after, [&] {
        repeated = true;
        fixture.loop.stop();
    });
    fixture.client.send(call_to("/", Millis(1200)), [](const CallOutcome&) {});
    fixture.loop.run();
    BOOST_REQUIRE(repeated);
    BOOST_TEST(fixture.answers_at_once());
}

BOOST_AUTO_TEST_CASE(long_poll_is_not_late)
{
    Fixture fixture;
    ClientCall held = call_to("/wait/1500", Millis(5000));
    held.max_response_delay = Millis(1500);
    CallEnd end = CallEnd::unknown;
    fixture.client.send(held, [&](const CallOutcome& outcome) { end = outcome.end; });
    fixture.run_for(late_after);
    BOOST_TEST(fixture.answers_at_once());
    BOOST_TEST(fixture.server.accepted() == connections);
    fixture.run_for(held.timeout - late_after - late_after);
    BOOST_TEST((end == CallEnd::answered));
}

BOOST_AUTO_TEST_CASE(late_call_with_response_begun_closes_nothing)
{
    Fixture fixture;
    fixture.client.send(call_to("/begin", Millis(5000)), [](const CallOutcome&) {});
    fixture.run_for(late_after);
    BOOST_TEST(fixture.answers_at_once());
    BOOST_TEST(fixture.server.accepted() == connections);
}

BOOST_AUTO_TEST_CASE(connection_that_carries_a_call_is_not_cut_off)
{
    Fixture fixture;
    CallEnd slow = CallEnd::unknown;
    fixture.client.send(call_to("/wait/500", Millis(3000)),
                        [&](const CallOutcome& outcome) {
                            slow = outcome.end;
                            fixture.loop.stop();
                        });
    fixture.loop.after(Millis(30), [&] {
        fixture.server.silence_connection_of_next_request();
        fixture.client.send(call_to("/"), [](const CallOutcome& outcome) {
            BOOST_TEST((outcome.end == CallEnd::unknown));
        });
    });
    fixture.loop.run();
    BOOST_TEST((slow == CallEnd::answered));
    BOOST_TEST(fixture.answers_at_once());
    BOOST_TEST(fixture.server.accepted() == connections);
}

BOOST_AUTO_TEST_CASE(timeout_with_response_begun_closes_nothing_else)
{
    Fixture fixture;
    BOOST_TEST((fixture.send(call_to("/begin")) == CallEnd::unknown));
    BOOST_TEST(fixture.client.open_connections() == connections - 1);
    BOOST_TEST(fixture.answers_at_once());
    BOOST_TEST(fixture.server.accepted() == connections);
}

// With a server that is slow on all connections there are no more connections than
// concurrent calls, and the calls end within their time-outs.
BOOST_AUTO_TEST_CASE(connections_to_a_slow_server_stay_bounded)
{
    ClientLimits limits;
    limits.max_connections = connections;
    Fixture fixture(limits);
    constexpr size_t rounds = 4;
    for (size_t round = 0; round < rounds; ++round) {
        const auto ends = fixture.send_all(connections, call_to("/wait/300"));
        BOOST_TEST(std::count(ends.begin(), ends.end(), CallEnd::unknown) == connections);
        BOOST_TEST(fixture.client.open_connections() == 0U);
    }
    BOOST_TEST(fixture.server.accepted() == rounds * connections);
}

BOOST_AUTO_TEST_CASE(calls_to_a_fully_silent_server_end_within_their_timeout)
{
    Fixture fixture;
    fixture.server.silence_all();
    const Millis started = fixture.loop.now();
    constexpr int calls = 3;
    for (int i = 0; i < calls; ++i)
        BOOST_TEST((fixture.send(call_to("/")) == CallEnd::unknown));
    BOOST_TEST(
        (fixture.loop.now() - started < Millis(calls * call_time.count()) + at_once));
    BOOST_TEST(fixture.client.open_connections() == 0U);
}
