// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Calls to workers through relays: contents of messages, how a leader handles relays that
/// refuse, stop answering, restart or lack a payload, and polls that a relay repeats.

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
    RelayFixture fixture;
    for (int i = 0; i < 20; ++i)
        fixture.start("job" + std::to_string(i), "payload");
    fixture.world.run_for(Millis(300));
    BOOST_TEST(fixture.accepted == 20);
    BOOST_TEST(fixture.direct_client.starts.empty());
    BOOST_REQUIRE(fixture.relay_client.starts.size() == 20U);
    const StartOrder& order = fixture.relay_client.starts.front();
    BOOST_TEST(order.task.to_string() == "job0.0.0.0");
    BOOST_TEST(order.run == 3);
    BOOST_TEST(order.fence == 9);
    BOOST_TEST(order.lease_until == 1234);
    BOOST_TEST(order.payload == "payload");
    BOOST_TEST(order.ticket == "t");
    BOOST_TEST(order.checkpoint == "c");
    BOOST_TEST(fixture.peers.sent.size() < 5U);
}

// A payload of kilobytes for forty workers is fetched once from the acceptor, and never
// sent by the leader.
BOOST_AUTO_TEST_CASE(payloads_come_from_the_acceptor)
{
    RelayFixture fixture;
    const std::string payload(4000, 'x');
    fixture.peers.payloads["job"] = payload;
    fixture.workers.note_acceptor("job", "a");
    for (int i = 0; i < 40; ++i)
        fixture.start("job", payload);
    fixture.world.run_for(Millis(300));
    BOOST_TEST(fixture.accepted == 40);
    BOOST_TEST(fixture.relay_client.starts.back().payload == payload);
    int asked = 0;
    for (const PeerRequest& request : fixture.peers.sent) {
        asked += request.topic == PeerTopic::job_payload ? 1 : 0;
        BOOST_TEST(request.calls.find(payload) == std::string::npos);
    }
    BOOST_TEST(asked == 1);
}

BOOST_AUTO_TEST_CASE(a_payload_that_cannot_be_fetched_is_sent_by_the_leader)
{
    RelayFixture fixture;
    fixture.workers.note_acceptor("job", "a");
    fixture.start("job", "payload");
    fixture.world.run_for(Millis(300));
    BOOST_TEST(fixture.accepted == 1);
    BOOST_TEST(fixture.relay_client.starts.empty());
    BOOST_REQUIRE(fixture.direct_client.starts.size() == 1U);
    BOOST_TEST(fixture.direct_client.starts.front().payload == "payload");
}

// Nothing listens at the relay: calls that were not sent are made directly, once.
BOOST_AUTO_TEST_CASE(calls_to_a_relay_that_is_gone_are_made_directly)
{
    RelayFixture fixture;
    fixture.peers.refuses = true;
    fixture.start("job1", "p");
    fixture.world.run_for(Millis(100));
    fixture.start("job2", "p");
    fixture.world.run_for(Millis(300));
    BOOST_TEST(fixture.accepted == 2);
    BOOST_TEST(fixture.direct_client.starts.size() == 2U);
    BOOST_TEST(fixture.relay_client.starts.empty());
}

// The relay may have executed its calls: the order is in doubt and must not be repeated
// directly.
BOOST_AUTO_TEST_CASE(calls_of_a_silent_relay_are_in_doubt)
{
    RelayFixture fixture;
    fixture.peers.drops = true;
    fixture.start("job1", "p");
    fixture.world.run_for(Millis(1200));
    BOOST_TEST(fixture.unknown == 1);
    BOOST_TEST(fixture.direct_client.starts.empty());
    // The relay is no longer a follower, and this node makes its calls itself.
    fixture.workers.set_nodes({});
    fixture.start("job2", "p");
    fixture.world.run_for(Millis(300));
    BOOST_TEST(fixture.accepted == 1);
    BOOST_TEST(fixture.direct_client.starts.size() == 1U);
}

// One message is lost on a dead connection; the relay answers later ones.
BOOST_AUTO_TEST_CASE(message_lost_on_a_silent_connection_loses_no_relay)
{
    RelayFixture fixture;
    fixture.world.run_for(Millis(500)); // No message is unanswered.
    fixture.peers.drops_next = true;
    fixture.start("lost", "p");
    fixture.world.run_for(Millis(60));
    fixture.start("begun", "p");
    fixture.world.run_for(Millis(200));
    BOOST_TEST(fixture.accepted == 1);
    constexpr int rounds = 30;
    for (int i = 0; i < rounds; ++i) {
        fixture.start("job" + std::to_string(i), "p");
        fixture.world.run_for(Millis(50));
    }
    fixture.world.run_for(Millis(200));
    BOOST_TEST(fixture.accepted == rounds + 1);
    BOOST_TEST(fixture.unknown == 1);
    BOOST_TEST(fixture.direct_client.starts.empty());
    BOOST_TEST(fixture.workers.first_relay() == "r");
}

// A relay can answer only an unanswered message, and it never received the lost one.
BOOST_AUTO_TEST_CASE(answers_do_not_wait_for_a_message_that_was_lost)
{
    RelayFixture fixture;
    fixture.world.run_for(Millis(500));
    fixture.peers.drops_next = true;
    fixture.start("lost", "p");
    fixture.world.run_for(Millis(60));
    bool received = false;
    PollRequest poll_request;
    poll_request.wait = Millis(1800);
    WorkerInfo worker;
    worker.id = "w1";
    fixture.workers.poll(worker, poll_request, Millis(2100),
                         [&](OrderStatus, const std::optional<PollReport>& report) {
                             received = report.has_value();
                         });
    // The message with the poll is answered empty after its hold time.
    fixture.world.run_for(Millis(60) + relay_poll_wait + Millis(60));
    BOOST_REQUIRE(fixture.relay_client.polls.size() == 1U);
    PollReport report;
    report.ended.push_back({ 12, { "job", 0, 0, 2 }, 3, EndKind::failed, "d" });
    fixture.relay_client.polls.front()(OrderStatus::accepted, report);
    fixture.world.run_for(Millis(60));
    BOOST_TEST(received);
}

BOOST_AUTO_TEST_CASE(calls_of_an_earlier_process_are_in_doubt)
{
    RelayFixture fixture;
    fixture.relay_client.silent = true;
    fixture.start("job1", "p");
    fixture.world.run_for(Millis(50));
    fixture.relay_client.silent = false;
    fixture.restart("two");
    fixture.start("job2", "p");
    fixture.world.run_for(Millis(120));
    BOOST_TEST(fixture.unknown >= 1);
}

BOOST_AUTO_TEST_CASE(a_waiting_poll_is_answered_when_it_ends)
{
    RelayFixture fixture;
    WorkerInfo worker;
    worker.id = "w1";
    std::optional<PollReport> received;
    PollRequest poll_request;
    poll_request.wait = Millis(1800);
    fixture.workers.poll(
        worker, poll_request, Millis(2100),
        [&](OrderStatus, const std::optional<PollReport>& report) { received = report; });
    fixture.world.run_for(Millis(1500));
    BOOST_TEST(!received);
    BOOST_REQUIRE(fixture.relay_client.polls.size() == 1U);
    PollReport report;
    report.clock_ms = 99;
    report.running.push_back({ { "job", 0, 0, 1 }, 4, "c", 55, 1.5 });
    report.ended.push_back({ 12, { "job", 0, 0, 2 }, 3, EndKind::failed, "d" });
    fixture.relay_client.polls.front()(OrderStatus::accepted, report);
    fixture.world.run_for(Millis(60));
    BOOST_REQUIRE(received.has_value());
    BOOST_TEST(received->clock_ms == 99);
    BOOST_REQUIRE(received->running.size() == 1U);
    BOOST_TEST(received->running.front().percent == 55);
    BOOST_REQUIRE(received->ended.size() == 1U);
    BOOST_TEST(received->ended.front().number == 12);
    BOOST_TEST((received->ended.front().kind == EndKind::failed));
}

namespace {

/// A poll that a relay may hold, with the answer that the leader gets.
struct HeldPollFixture : RelayFixture {
    explicit HeldPollFixture(int64_t fence = 7)
    {
        PollRequest request;
        request.fence = fence;
        request.wait = Millis(500);
        request.hold = Millis(1300);
        WorkerInfo worker;
        worker.id = "w1";
        workers.poll(worker, request, Millis(700),
                     [this](OrderStatus answered, const std::optional<PollReport>& found) {
                         ++answers;
                         status = answered;
                         report = found;
                     });
        world.run_for(Millis(100)); // Until the relay has it.
    }
    /// The worker answers its last poll after it has waited for `waited`.
    void answer(OrderStatus with, Millis waited, const PollReport& found = {})
    {
        world.run_for(waited);
        relay_client.polls.back()(with, found);
    }

    int answers = 0;
    OrderStatus status = OrderStatus::unknown;
    std::optional<PollReport> report;
};

} // namespace

// Most polls tell that nothing has ended. Each of them crossed the leader, twice a second
// for each busy worker.
BOOST_AUTO_TEST_CASE(a_held_poll_without_news_is_repeated_by_the_relay)
{
    HeldPollFixture fixture;
    PollReport report;
    report.clock_ms = 10;
    fixture.answer(OrderStatus::accepted, Millis(480), report);
    fixture.answer(OrderStatus::accepted, Millis(480), report);
    BOOST_TEST(fixture.relay_client.polls.size() == 3U);
    BOOST_TEST(fixture.answers == 0);
    report.ended.push_back({ 12, { "job", 0, 0, 2 }, 3, EndKind::done, "" });
    fixture.answer(OrderStatus::accepted, Millis(100), report);
    fixture.world.run_for(Millis(60));
    BOOST_TEST(fixture.answers == 1);
    BOOST_REQUIRE(fixture.report.has_value());
    BOOST_TEST(fixture.report->ended.size() == 1U);
    // The report is no evidence of the time before the last poll was sent.
    BOOST_TEST(fixture.report->polled_after.count() >= 900);
    BOOST_TEST(fixture.report->polled_after.count() < 1100);
}

BOOST_AUTO_TEST_CASE(a_held_poll_is_answered_when_its_time_is_over)
{
    HeldPollFixture fixture;
    fixture.answer(OrderStatus::accepted, Millis(480));
    fixture.answer(OrderStatus::accepted, Millis(500));
    fixture.answer(OrderStatus::accepted, Millis(300));
    fixture.world.run_for(Millis(120));
    BOOST_TEST(fixture.answers == 1);
    BOOST_TEST((fixture.status == OrderStatus::accepted));
    BOOST_TEST(fixture.relay_client.polls.size() == 3U);
}

// A worker that is lost or has restarted must be noticed as soon as without relays.
BOOST_AUTO_TEST_CASE(a_failure_of_a_repeated_poll_is_told_at_once)
{
    for (const OrderStatus failure :
         { OrderStatus::unknown, OrderStatus::refused, OrderStatus::wrong_incarnation }) {
        HeldPollFixture fixture;
        fixture.answer(OrderStatus::accepted, Millis(480));
        fixture.answer(failure, Millis(100));
        fixture.world.run_for(Millis(60));
        BOOST_TEST(fixture.answers == 1);
        BOOST_TEST((fixture.status == failure));
    }
}

// The leader has raised the fence while its poll was held. That is no later leader's fence.
BOOST_AUTO_TEST_CASE(a_held_poll_with_an_outdated_fence_ends_with_the_last_report)
{
    HeldPollFixture fixture;
    PollReport report;
    report.clock_ms = 10;
    fixture.answer(OrderStatus::accepted, Millis(480), report);
    fixture.answer(OrderStatus::stale_fence, Millis(100));
    fixture.world.run_for(Millis(120));
    BOOST_TEST(fixture.answers == 1);
    BOOST_TEST((fixture.status == OrderStatus::accepted));
    BOOST_REQUIRE(fixture.report.has_value());
    BOOST_TEST(fixture.report->clock_ms == 10);
}

// A worker that answers without waiting would be polled without pause.
BOOST_AUTO_TEST_CASE(a_poll_that_did_not_wait_is_not_repeated)
{
    HeldPollFixture fixture;
    fixture.answer(OrderStatus::accepted, Millis(0));
    fixture.world.run_for(Millis(120));
    BOOST_TEST(fixture.answers == 1);
    BOOST_TEST(fixture.relay_client.polls.size() == 1U);
}

BOOST_AUTO_TEST_CASE(nothing_of_an_ended_epoch_comes_back)
{
    RelayFixture fixture;
    fixture.start("job1", "p");
    fixture.workers.end_epoch();
    fixture.world.run_for(Millis(3000));
    BOOST_TEST(fixture.accepted + fixture.unknown == 0);
    BOOST_TEST(fixture.workers.relay_count() == 0U);
}

BOOST_AUTO_TEST_CASE(an_earlier_leaders_batch_is_refused_whole)
{
    RelayFixture fixture;
    PeerRequest later = RelayFixture::leader();
    later.topic = PeerTopic::worker_calls;
    later.incarnation = "leader-2";
    later.epoch = 6;
    fixture.relay->handle(later, [](const PeerAnswer&) {});
    fixture.start("job1", "p");
    fixture.world.run_for(Millis(300));
    // The worker's fence decides about the order that the earlier leader sends itself.
    BOOST_TEST(fixture.relay_client.starts.empty());
    BOOST_TEST(fixture.direct_client.starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_malformed_batch_is_refused_whole)
{
    RelayFixture fixture;
    for (const char* const calls :
         { "[[1", "7", "[[1,9,\"w\",\"a\",5]]", "[[1,3,\"w\",\"a\",5,1,2,3,4],[2]]",
           "[[1,0,\"w\",\"a\",5,\"no task\",1,1,1,\"\",\"\",\"\",false,\"\"]]" }) {
        PeerRequest request = RelayFixture::leader();
        request.topic = PeerTopic::worker_calls;
        request.epoch = 5;
        request.calls = calls;
        std::optional<PeerAnswer> got;
        fixture.relay->handle(request, [&](const PeerAnswer& answer) { got = answer; });
        BOOST_REQUIRE_MESSAGE(got.has_value(), calls);
        BOOST_TEST(!got->served);
    }
    BOOST_TEST(fixture.relay_client.polls.empty());
    BOOST_TEST(fixture.relay_client.starts.empty());
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
