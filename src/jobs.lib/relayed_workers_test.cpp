// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Calls to workers through relays: what travels, and what a leader makes of relays that
/// refuse, fall silent, start anew or lack a payload.

#define BOOST_TEST_MODULE relayed_workers
#include <boost/test/unit_test.hpp>

#include "relay_fixture.h"

#include <pathport/log.h>

#include <optional>

using namespace pathport;
using namespace pathport::jobs;

namespace {

struct LogFixture {
    LogFixture() { start_log("test", LogLevel::error); }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(orders_arrive_whole_and_share_a_message)
{
    RelayFixture path;
    for (int i = 0; i < 20; ++i)
        path.start("job" + std::to_string(i), "payload");
    path.world.run_for(Millis(300));
    BOOST_TEST(path.accepted == 20);
    BOOST_TEST(path.direct_client.starts.empty());
    BOOST_REQUIRE(path.relay_client.starts.size() == 20U);
    const StartOrder& order = path.relay_client.starts.front();
    BOOST_TEST(order.task.to_string() == "job0.0.0.0");
    BOOST_TEST(order.run == 3);
    BOOST_TEST(order.fence == 9);
    BOOST_TEST(order.lease_until == 1234);
    BOOST_TEST(order.payload == "payload");
    BOOST_TEST(order.ticket == "t");
    BOOST_TEST(order.checkpoint == "c");
    BOOST_TEST(path.wire.sent.size() < 5U);
}

// A payload of kilobytes goes to forty workers once from its acceptor, and never through
// the leader.
BOOST_AUTO_TEST_CASE(payloads_come_from_the_acceptor)
{
    RelayFixture path;
    const std::string payload(4000, 'x');
    path.wire.payloads["job"] = payload;
    path.workers.note_acceptor("job", "a");
    for (int i = 0; i < 40; ++i)
        path.start("job", payload);
    path.world.run_for(Millis(300));
    BOOST_TEST(path.accepted == 40);
    BOOST_TEST(path.relay_client.starts.back().payload == payload);
    int asked = 0;
    for (const PeerRequest& request : path.wire.sent) {
        asked += request.topic == PeerTopic::job_payload ? 1 : 0;
        BOOST_TEST(request.calls.find(payload) == std::string::npos);
    }
    BOOST_TEST(asked == 1);
}

BOOST_AUTO_TEST_CASE(a_payload_that_nobody_has_goes_with_the_leaders_own_order)
{
    RelayFixture path;
    path.workers.note_acceptor("job", "a");
    path.start("job", "payload");
    path.world.run_for(Millis(300));
    BOOST_TEST(path.accepted == 1);
    BOOST_TEST(path.relay_client.starts.empty());
    BOOST_REQUIRE(path.direct_client.starts.size() == 1U);
    BOOST_TEST(path.direct_client.starts.front().payload == "payload");
}

// Nothing listens there: what was not sent goes from here, once.
BOOST_AUTO_TEST_CASE(calls_to_a_relay_that_is_gone_are_made_directly)
{
    RelayFixture path;
    path.wire.refuses = true;
    path.start("job1", "p");
    path.world.run_for(Millis(100));
    path.start("job2", "p");
    path.world.run_for(Millis(300));
    BOOST_TEST(path.accepted == 2);
    BOOST_TEST(path.direct_client.starts.size() == 2U);
    BOOST_TEST(path.relay_client.starts.empty());
}

// It may have done what it was given: the order is in doubt and not given again from here.
BOOST_AUTO_TEST_CASE(calls_of_a_silent_relay_are_in_doubt)
{
    RelayFixture path;
    path.wire.drops = true;
    path.start("job1", "p");
    path.world.run_for(Millis(1200));
    BOOST_TEST(path.unknown == 1);
    BOOST_TEST(path.direct_client.starts.empty());
    // Soon it is no follower any more, and this node makes its calls itself.
    path.workers.set_nodes({});
    path.start("job2", "p");
    path.world.run_for(Millis(300));
    BOOST_TEST(path.accepted == 1);
    BOOST_TEST(path.direct_client.starts.size() == 1U);
}

// One message was lost on a connection that went silent; the relay answers later ones.
BOOST_AUTO_TEST_CASE(message_lost_on_a_silent_connection_loses_no_relay)
{
    RelayFixture path;
    path.world.run_for(Millis(500)); // No message is open.
    path.wire.drops_next = true;
    path.start("lost", "p");
    path.world.run_for(Millis(60));
    path.start("begun", "p");
    path.world.run_for(Millis(200));
    BOOST_TEST(path.accepted == 1);
    constexpr int rounds = 30;
    for (int i = 0; i < rounds; ++i) {
        path.start("job" + std::to_string(i), "p");
        path.world.run_for(Millis(50));
    }
    path.world.run_for(Millis(200));
    BOOST_TEST(path.accepted == rounds + 1);
    BOOST_TEST(path.unknown == 1);
    BOOST_TEST(path.direct_client.starts.empty());
    BOOST_TEST(path.workers.first_relay() == "r");
}

// Answers need a message that is open at the relay, and the lost one is not.
BOOST_AUTO_TEST_CASE(answers_do_not_wait_for_a_message_that_was_lost)
{
    RelayFixture path;
    path.world.run_for(Millis(500));
    path.wire.drops_next = true;
    path.start("lost", "p");
    path.world.run_for(Millis(60));
    bool seen = false;
    PollRequest look;
    look.wait = Millis(1800);
    WorkerInfo worker;
    worker.id = "w1";
    path.workers.poll(worker, look, Millis(2100),
                      [&](OrderStatus, const std::optional<PollReport>& report) {
                          seen = report.has_value();
                      });
    // The message that brought it is given back empty after its hold.
    path.world.run_for(Millis(60) + relay_poll_wait + Millis(60));
    BOOST_REQUIRE(path.relay_client.looks.size() == 1U);
    PollReport report;
    report.ended.push_back({ 12, { "job", 0, 0, 2 }, 3, EndKind::failed, "d" });
    path.relay_client.looks.front()(OrderStatus::accepted, report);
    path.world.run_for(Millis(60));
    BOOST_TEST(seen);
}

BOOST_AUTO_TEST_CASE(calls_of_an_earlier_process_are_in_doubt)
{
    RelayFixture path;
    path.relay_client.silent = true;
    path.start("job1", "p");
    path.world.run_for(Millis(50));
    path.relay_client.silent = false;
    path.restart("two");
    path.start("job2", "p");
    path.world.run_for(Millis(120));
    BOOST_TEST(path.unknown >= 1);
}

BOOST_AUTO_TEST_CASE(a_look_that_waits_is_answered_when_it_ends)
{
    RelayFixture path;
    WorkerInfo worker;
    worker.id = "w1";
    std::optional<PollReport> seen;
    PollRequest look;
    look.wait = Millis(1800);
    path.workers.poll(
        worker, look, Millis(2100),
        [&](OrderStatus, const std::optional<PollReport>& report) { seen = report; });
    path.world.run_for(Millis(1500));
    BOOST_TEST(!seen);
    BOOST_REQUIRE(path.relay_client.looks.size() == 1U);
    PollReport report;
    report.clock_ms = 99;
    report.running.push_back({ { "job", 0, 0, 1 }, 4, "c", 55, 1.5 });
    report.ended.push_back({ 12, { "job", 0, 0, 2 }, 3, EndKind::failed, "d" });
    path.relay_client.looks.front()(OrderStatus::accepted, report);
    path.world.run_for(Millis(60));
    BOOST_REQUIRE(seen.has_value());
    BOOST_TEST(seen->clock_ms == 99);
    BOOST_REQUIRE(seen->running.size() == 1U);
    BOOST_TEST(seen->running.front().percent == 55);
    BOOST_REQUIRE(seen->ended.size() == 1U);
    BOOST_TEST(seen->ended.front().number == 12);
    BOOST_TEST((seen->ended.front().kind == EndKind::failed));
}

BOOST_AUTO_TEST_CASE(nothing_of_an_ended_epoch_comes_back)
{
    RelayFixture path;
    path.start("job1", "p");
    path.workers.end_epoch();
    path.world.run_for(Millis(3000));
    BOOST_TEST(path.accepted + path.unknown == 0);
    BOOST_TEST(path.workers.relay_count() == 0U);
}

BOOST_AUTO_TEST_CASE(an_earlier_leaders_batch_is_refused_whole)
{
    RelayFixture path;
    PeerRequest later = RelayFixture::leader();
    later.topic = PeerTopic::worker_calls;
    later.incarnation = "leader-2";
    later.epoch = 6;
    path.relay->handle(later, [](const PeerAnswer&) {});
    path.start("job1", "p");
    path.world.run_for(Millis(300));
    // The worker's fence decides about the order that the earlier leader gives itself.
    BOOST_TEST(path.relay_client.starts.empty());
    BOOST_TEST(path.direct_client.starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_malformed_batch_is_refused_whole)
{
    RelayFixture path;
    for (const char* const calls :
         { "[[1", "7", "[[1,9,\"w\",\"a\",5]]", "[[1,3,\"w\",\"a\",5,1,2,3,4],[2]]",
           "[[1,0,\"w\",\"a\",5,\"no task\",1,1,1,\"\",\"\",\"\",false,\"\"]]" }) {
        PeerRequest request = RelayFixture::leader();
        request.topic = PeerTopic::worker_calls;
        request.epoch = 5;
        request.calls = calls;
        std::optional<PeerAnswer> got;
        path.relay->handle(request, [&](const PeerAnswer& answer) { got = answer; });
        BOOST_REQUIRE_MESSAGE(got.has_value(), calls);
        BOOST_TEST(!got->served);
    }
    BOOST_TEST(path.relay_client.looks.empty());
    BOOST_TEST(path.relay_client.starts.empty());
}

BOOST_AUTO_TEST_CASE(the_oldest_payloads_go_first)
{
    PayloadCache cache(100);
    cache.put("a", std::string(40, 'a'));
    cache.put("b", std::string(40, 'b'));
    cache.put("a", "other");
    BOOST_TEST(cache.find("a")->size() == 40U);
    cache.put("c", std::string(40, 'c'));
    BOOST_TEST(cache.find("a") == nullptr);
    BOOST_TEST(cache.find("b") != nullptr);
    BOOST_TEST(cache.bytes() <= 100U);
}
