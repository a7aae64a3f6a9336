// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Open connections that go silent for good, without a reset, while new ones work.
///
/// What is seen: after a network in between has dropped what it knew of the open
/// connections, call after call to a server that is well gets no answer in its time.
/// How it comes about: each server has up to two dozen kept connections, and the one that
/// was used last carries the next call. A silent one looks like any other until its call's
/// time is over, and only that one is closed then. Cause: what one call has found out says
/// something about the connections beside its own. Proof: with five silent connections the
/// second call must be answered at once; only the sixth was before.

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
/// A call that has heard nothing for so long is late.
constexpr Millis late_time { 500 };
/// An answer of a server that is well comes within this time, also on a busy machine.
constexpr Millis at_once { 100 };
const std::string whole_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const std::string begun_answer = "HTTP/1.1 200 OK\r\nContent-";

/// A server whose connections go silent on demand: it takes one more request there and
/// says nothing. It answers `/begin` by the beginning of an answer, and `/wait/MS` after a
/// time.
class SilencingServer {
public:
    explicit SilencingServer(IoLoop& loop)
        : m_loop(loop)
        , m_acceptor(loop.impl().context,
                     tcp::endpoint(boost::asio::ip::make_address(address.ip), address.port))
    {
        accept();
    }

    /// Those that are open now are silent for good.
    void silence_open_connections()
    {
        for (const auto& connection : m_connections)
            connection->silent = true;
    }
    /// The connection of the next request is silent from then on.
    void silence_connection_of_next_request() { m_swallows_next = true; }
    /// All connections are silent, those to come as well.
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
                // Nothing is read from a silent one, so that its buffers fill.
                if (!connection->silent)
                    read(connection);
            });
    }

    void handle(const ConnectionPtr& connection, const std::string& request)
    {
        connection->silent = connection->silent || m_swallows_next;
        m_swallows_next = false;
        if (connection->silent || m_silent)
            return;
        const std::string wait = "GET /wait/";
        if (request.rfind("GET /begin", 0) == 0) {
            answer(connection, begun_answer);
        } else if (request.rfind(wait, 0) == 0) {
            const Millis delay(std::stoll(request.substr(wait.size())));
            m_loop.after(delay, [this, connection] {
                if (!connection->silent)
                    answer(connection, whole_answer);
            });
        } else {
            answer(connection, whole_answer);
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
    bool m_swallows_next = false;
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

/// A client, a server, and `connections` kept connections between them.
class Fixture {
public:
    explicit Fixture(const ClientLimits& limits = {})
        : server(loop)
        , client(loop, limits)
    {
        // Calls that are open at the same time have a connection each.
        send_all(connections, call_to("/wait/20"));
        BOOST_REQUIRE(client.open_connections() == connections);
    }

    /// Sends a call and waits until it has ended.
    CallEnd send(const ClientCall& call) { return send_all(1, call).front(); }

    /// Sends a call so many times at once and waits until all have ended.
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
        const Millis begun = loop.now();
        return send(call_to("/")) == CallEnd::answered && loop.now() - begun < at_once;
    }

    IoLoop loop;
    SilencingServer server;
    AsyncHttpClient client;
};

} // namespace

BOOST_AUTO_TEST_CASE(one_call_finds_out_about_all_silent_connections)
{
    Fixture cell;
    cell.server.silence_open_connections();
    BOOST_TEST((cell.send(call_to("/")) == CallEnd::unknown));
    BOOST_TEST(cell.answers_at_once());
    BOOST_TEST(cell.client.open_connections() == 1U);
    BOOST_TEST(cell.server.accepted() == connections + 1);
}

// A request that fills the socket's buffers is never written whole.
BOOST_AUTO_TEST_CASE(call_that_could_not_be_written_finds_out_as_well)
{
    Fixture cell;
    cell.server.silence_open_connections();
    ClientCall large = call_to("/");
    large.body = std::string(size_t(32) * 1024 * 1024, 'x');
    BOOST_TEST((cell.send(large) == CallEnd::unknown));
    BOOST_TEST(cell.answers_at_once());
}

// Where connections are few, calls that wait for one must not be given a silent one.
BOOST_AUTO_TEST_CASE(waiting_call_gets_a_new_connection_after_a_silent_one)
{
    ClientLimits limits;
    limits.max_connections = connections;
    Fixture cell(limits);
    cell.server.silence_open_connections();
    std::vector<CallEnd> ends;
    const auto note = [&](const CallOutcome& outcome) {
        ends.push_back(outcome.end);
        if (ends.size() == connections + 1)
            cell.loop.stop();
    };
    for (size_t i = 0; i < connections; ++i)
        cell.client.send(call_to("/"), note);
    cell.client.send(call_to("/", long_call_time), note);
    cell.loop.run();
    BOOST_TEST(std::count(ends.begin(), ends.end(), CallEnd::unknown) == connections);
    BOOST_TEST((ends.back() == CallEnd::answered));
    BOOST_TEST(cell.answers_at_once());
}

BOOST_AUTO_TEST_CASE(connections_that_have_answered_since_are_kept)
{
    Fixture cell;
    cell.server.silence_connection_of_next_request();
    CallEnd swallowed = CallEnd::answered;
    cell.client.send(call_to("/"), [&](const CallOutcome& outcome) {
        swallowed = outcome.end;
        cell.loop.stop();
    });
    // All others answer a call while the first one waits.
    size_t answered = 0;
    cell.loop.after(Millis(20), [&] {
        for (size_t i = 0; i + 1 < connections; ++i)
            cell.client.send(call_to("/wait/20"), [&](const CallOutcome& outcome) {
                answered += outcome.end == CallEnd::answered ? 1 : 0;
            });
    });
    cell.loop.run();
    BOOST_TEST((swallowed == CallEnd::unknown));
    BOOST_TEST(answered == connections - 1);
    BOOST_TEST(cell.client.open_connections() == connections - 1);
    BOOST_TEST(cell.answers_at_once());
    BOOST_TEST(cell.server.accepted() == connections);
}

// A connection that answered while the server held the call back may have gone silent
// since.
BOOST_AUTO_TEST_CASE(answers_while_a_call_was_held_back_prove_nothing)
{
    Fixture cell;
    ClientCall held = call_to("/wait/400", Millis(600));
    held.max_response_delay = Millis(400);
    CallEnd end = CallEnd::answered;
    cell.client.send(held, [&](const CallOutcome& outcome) {
        end = outcome.end;
        cell.loop.stop();
    });
    cell.loop.after(Millis(20), [&] {
        for (size_t i = 0; i + 1 < connections; ++i)
            cell.client.send(call_to("/wait/20"), [](const CallOutcome&) {});
    });
    cell.loop.after(Millis(150), [&] { cell.server.silence_open_connections(); });
    cell.loop.run();
    BOOST_TEST((end == CallEnd::unknown));
    BOOST_TEST(cell.answers_at_once());
    BOOST_TEST(cell.client.open_connections() == 1U);
}

// A call that may wait for seconds is no reason to lose others for as long.
BOOST_AUTO_TEST_CASE(late_call_makes_others_suspect_before_its_time_is_over)
{
    Fixture cell;
    cell.server.silence_open_connections();
    bool ended = false;
    cell.client.send(call_to("/", Millis(5000)), [&](const CallOutcome&) { ended = true; });
    cell.run_for(late_time);
    BOOST_TEST(cell.answers_at_once());
    BOOST_TEST(!ended);
    BOOST_TEST(cell.client.open_connections() == 2U); // The call's own is left to it.
}

BOOST_AUTO_TEST_CASE(call_that_the_server_may_hold_back_is_not_late)
{
    Fixture cell;
    ClientCall held = call_to("/wait/1500", Millis(5000));
    held.max_response_delay = Millis(1500);
    CallEnd end = CallEnd::unknown;
    cell.client.send(held, [&](const CallOutcome& outcome) { end = outcome.end; });
    cell.run_for(late_time);
    BOOST_TEST(cell.answers_at_once());
    BOOST_TEST(cell.server.accepted() == connections);
    cell.run_for(held.timeout - late_time - late_time);
    BOOST_TEST((end == CallEnd::answered));
}

BOOST_AUTO_TEST_CASE(late_call_whose_answer_has_begun_makes_nothing_suspect)
{
    Fixture cell;
    cell.client.send(call_to("/begin", Millis(5000)), [](const CallOutcome&) {});
    cell.run_for(late_time);
    BOOST_TEST(cell.answers_at_once());
    BOOST_TEST(cell.server.accepted() == connections);
}

BOOST_AUTO_TEST_CASE(connection_that_carries_a_call_is_not_cut_off)
{
    Fixture cell;
    CallEnd slow = CallEnd::unknown;
    cell.client.send(call_to("/wait/500", Millis(3000)), [&](const CallOutcome& outcome) {
        slow = outcome.end;
        cell.loop.stop();
    });
    cell.loop.after(Millis(30), [&] {
        cell.server.silence_connection_of_next_request();
        cell.client.send(call_to("/"), [](const CallOutcome& outcome) {
            BOOST_TEST((outcome.end == CallEnd::unknown));
        });
    });
    cell.loop.run();
    BOOST_TEST((slow == CallEnd::answered));
    BOOST_TEST(cell.answers_at_once());
    BOOST_TEST(cell.server.accepted() == connections);
}

BOOST_AUTO_TEST_CASE(answer_that_has_begun_makes_nothing_suspect)
{
    Fixture cell;
    BOOST_TEST((cell.send(call_to("/begin")) == CallEnd::unknown));
    BOOST_TEST(cell.client.open_connections() == connections - 1);
    BOOST_TEST(cell.answers_at_once());
    BOOST_TEST(cell.server.accepted() == connections);
}

// A server that is slow as a whole has no more connections than calls at a time, and its
// calls end in their time.
BOOST_AUTO_TEST_CASE(connections_to_a_slow_server_stay_bounded)
{
    ClientLimits limits;
    limits.max_connections = connections;
    Fixture cell(limits);
    constexpr size_t rounds = 4;
    for (size_t round = 0; round < rounds; ++round) {
        const auto ends = cell.send_all(connections, call_to("/wait/300"));
        BOOST_TEST(std::count(ends.begin(), ends.end(), CallEnd::unknown) == connections);
        BOOST_TEST(cell.client.open_connections() == 0U);
    }
    BOOST_TEST(cell.server.accepted() == rounds * connections);
}

BOOST_AUTO_TEST_CASE(calls_to_a_server_that_is_silent_as_a_whole_end_in_their_time)
{
    Fixture cell;
    cell.server.silence_all();
    const Millis begun = cell.loop.now();
    constexpr int calls = 3;
    for (int i = 0; i < calls; ++i)
        BOOST_TEST((cell.send(call_to("/")) == CallEnd::unknown));
    BOOST_TEST((cell.loop.now() - begun < Millis(calls * call_time.count()) + at_once));
    BOOST_TEST(cell.client.open_connections() == 0U);
}
