// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// HTTP on the event loop: reused connections, limits, time-outs, orderly shutdown.

#define BOOST_TEST_MODULE loop
#include <boost/test/unit_test.hpp>

#include <pathport/async_http.h>

#include <algorithm>
#include <memory>
#include <string>

using namespace pathport;

namespace {

const Address address { "127.0.0.1", 19751 };

ClientCall call_with(const std::string& body)
{
    ClientCall call;
    call.server = address;
    call.target = "/x?y=1";
    call.body = body;
    call.headers.emplace_back("X-Deadline-Ms", "1234");
    call.timeout = Millis(2000);
    return call;
}

/// Sends `call`, and runs the loop until the call has ended.
CallOutcome send_and_run(IoLoop& loop, AsyncHttpClient& client, ClientCall call)
{
    CallOutcome result;
    client.send(std::move(call), [&](CallOutcome outcome) {
        result = std::move(outcome);
        loop.stop();
    });
    loop.run();
    return result;
}

void echo(const ServerRequest& request, const ServerReply& reply)
{
    ServerResponse answer;
    answer.body = request.method + " " + request.target + " "
        + std::to_string(request.time_limit.count()) + " " + request.body;
    reply(std::move(answer));
}

} // namespace

BOOST_AUTO_TEST_CASE(request_arrives_completely_and_response_is_returned)
{
    IoLoop loop;
    AsyncHttpServer server(loop, address, echo, {});
    BOOST_REQUIRE(server.start());
    AsyncHttpClient client(loop);
    const CallOutcome outcome = send_and_run(loop, client, call_with("hello"));
    BOOST_TEST((outcome.end == CallEnd::answered));
    BOOST_TEST(outcome.status == 200);
    BOOST_TEST(outcome.body == "POST /x?y=1 1234 hello");
}

BOOST_AUTO_TEST_CASE(closed_port_is_reported_as_refused)
{
    IoLoop loop;
    AsyncHttpClient client(loop);
    BOOST_TEST((send_and_run(loop, client, call_with("")).end == CallEnd::refused));
}

BOOST_AUTO_TEST_CASE(silent_server_leaves_the_outcome_unknown)
{
    IoLoop loop;
    std::vector<ServerReply> pending_replies;
    AsyncHttpServer server(loop, address,
                           [&](const ServerRequest&, ServerReply reply) {
                               pending_replies.push_back(std::move(reply));
                           },
                           {});
    BOOST_REQUIRE(server.start());
    AsyncHttpClient client(loop);
    ClientCall call = call_with("a");
    call.timeout = Millis(100);
    BOOST_TEST((send_and_run(loop, client, call).end == CallEnd::unknown));
    BOOST_TEST(pending_replies.size() == 1U);
}

BOOST_AUTO_TEST_CASE(body_over_the_limit_is_refused)
{
    IoLoop loop;
    ServerLimits limits;
    limits.max_body_bytes = 10;
    AsyncHttpServer server(loop, address, echo, limits);
    BOOST_REQUIRE(server.start());
    AsyncHttpClient client(loop);
    const CallOutcome outcome
        = send_and_run(loop, client, call_with("more than ten bytes"));
    BOOST_TEST(outcome.status == 413);
}

BOOST_AUTO_TEST_CASE(connections_are_closed_after_their_response_at_a_planned_stop)
{
    IoLoop loop;
    AsyncHttpServer server(loop, address, echo, {});
    BOOST_REQUIRE(server.start());
    AsyncHttpClient client(loop);
    BOOST_TEST(send_and_run(loop, client, call_with("1")).status == 200);
    server.close_after_responses();
    BOOST_TEST(send_and_run(loop, client, call_with("2")).status == 200);
    server.drain();
    BOOST_TEST((send_and_run(loop, client, call_with("3")).end == CallEnd::refused));
    BOOST_TEST(server.requests_in_progress() == 0U);
}

// A server may reset connections over its own limit, which includes those of dead clients.
BOOST_AUTO_TEST_CASE(calls_share_a_bounded_number_of_connections)
{
    IoLoop loop;
    size_t most_under_way = 0;
    size_t under_way = 0;
    AsyncHttpServer server(loop, address,
                           [&](const ServerRequest&, const ServerReply& reply) {
                               most_under_way = std::max(most_under_way, ++under_way);
                               loop.after(Millis(10), [&under_way, reply] {
                                   --under_way;
                                   reply({});
                               });
                           },
                           {});
    BOOST_REQUIRE(server.start());
    constexpr size_t connections = 3;
    constexpr int calls = 20;
    ClientLimits limits;
    limits.max_connections = connections;
    AsyncHttpClient client(loop, limits);
    int answered = 0;
    int ended = 0;
    for (int i = 0; i < calls; ++i) {
        client.send(call_with(std::to_string(i)), [&](const CallOutcome& outcome) {
            answered += outcome.end == CallEnd::answered ? 1 : 0;
            if (++ended == calls)
                loop.stop();
        });
    }
    loop.run();
    BOOST_TEST(answered == calls);
    BOOST_TEST(most_under_way == connections);
}

// A call that got no connection within its time-out reports that nothing was sent.
BOOST_AUTO_TEST_CASE(call_without_a_connection_within_its_timeout_is_unreachable)
{
    IoLoop loop;
    std::vector<ServerReply> pending_replies;
    AsyncHttpServer server(loop, address,
                           [&](const ServerRequest&, ServerReply reply) {
                               pending_replies.push_back(std::move(reply));
                           },
                           {});
    BOOST_REQUIRE(server.start());
    ClientLimits limits;
    limits.max_connections = 1;
    AsyncHttpClient client(loop, limits);
    client.send(call_with("first"), [](const CallOutcome&) {});
    ClientCall second = call_with("second");
    second.timeout = Millis(100);
    BOOST_TEST((send_and_run(loop, client, second).end == CallEnd::unreachable));
    BOOST_TEST(pending_replies.size() == 1U);
}

// Otherwise a node that is no longer the leader would keep its connections to all workers
// forever.
BOOST_AUTO_TEST_CASE(idle_connections_are_closed)
{
    IoLoop loop;
    AsyncHttpServer server(loop, address, echo, {});
    BOOST_REQUIRE(server.start());
    ClientLimits limits;
    limits.max_idle = Millis(50);
    AsyncHttpClient client(loop, limits);
    BOOST_TEST(send_and_run(loop, client, call_with("1")).status == 200);
    BOOST_TEST(client.open_connections() == 1U);
    loop.after(Millis(300), [&] { loop.stop(); });
    loop.run();
    BOOST_TEST(client.open_connections() == 0U);
}

// Data meant only for the process that answered before must not go over a new connection,
// which may lead to another process in its place.
BOOST_AUTO_TEST_CASE(reused_connection_carries_its_own_body)
{
    IoLoop loop;
    auto server = std::make_unique<AsyncHttpServer>(loop, address, echo, ServerLimits());
    BOOST_REQUIRE(server->start());
    AsyncHttpClient client(loop);
    const auto body_sent = [&](int64_t opened_by) {
        ClientCall call = call_with("any");
        call.reused_connection_body = "known";
        call.opened_before_call = opened_by;
        const CallOutcome outcome = send_and_run(loop, client, call);
        return outcome.body.substr(outcome.body.rfind(' ') + 1);
    };
    const CallOutcome first = send_and_run(loop, client, call_with("first"));
    BOOST_REQUIRE(first.sequence > 0);
    BOOST_TEST(body_sent(0) == "any");
    BOOST_TEST(body_sent(first.sequence) == "known");
    client.close_idle_connections(address);
    BOOST_TEST(body_sent(first.sequence) == "any");
    const CallOutcome later = send_and_run(loop, client, call_with("later"));
    BOOST_TEST(body_sent(first.sequence) == "any");
    BOOST_TEST(body_sent(later.sequence) == "known");
}

BOOST_AUTO_TEST_CASE(timers_fire_in_order_and_can_be_canceled)
{
    IoLoop loop;
    std::string order;
    loop.after(Millis(20), [&] { order += "b"; });
    loop.after(Millis(5), [&] { order += "a"; });
    const auto canceled = loop.after(Millis(10), [&] { order += "x"; });
    loop.cancel(canceled);
    loop.after(Millis(40), [&] { loop.stop(); });
    loop.run();
    BOOST_TEST(order == "ab");
}
