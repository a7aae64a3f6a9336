// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Calls to workers through relays: what travels, and what a leader makes of relays that
/// refuse, fall silent, start anew or lack a payload.

#define BOOST_TEST_MODULE relayed_workers
#include <boost/test/unit_test.hpp>

#include "relayed_workers.h"
#include "worker_relay.h"

#include <pathport/emulator/virtual_loop.h>
#include <pathport/log.h>

#include <optional>

using namespace pathport;
using namespace pathport::jobs;

namespace {

struct QuietLog {
    QuietLog() { start_log("test", LogLevel::error); }
};

/// Accepts each start and counts them; looks are answered by hand.
class CountingWorkers : public WorkerClient {
public:
    std::vector<StartOrder> starts;
    int stops = 0;
    std::vector<std::function<void(OrderStatus, std::optional<LookReport>)>> looks;
    bool silent = false;

    void start(const WorkerInfo&, const StartOrder& order, Millis,
               std::function<void(OrderAnswer)> done) override
    {
        starts.push_back(order);
        if (!silent)
            done({ OrderStatus::accepted, 7 });
    }
    void stop(const WorkerInfo&, const RunOrder&, Millis,
              std::function<void(OrderAnswer)> done) override
    {
        ++stops;
        done({ OrderStatus::accepted, 7 });
    }
    void pace(const WorkerInfo&, const RunOrder&, Millis,
              std::function<void(OrderAnswer)>) override
    {
    }
    void look(const WorkerInfo&, const LookOrder&, Millis,
              std::function<void(OrderStatus, std::optional<LookReport>)> done) override
    {
        looks.push_back(std::move(done));
    }
};

/// Carries messages to the relays that are there.
class Wire : public PeerClient {
public:
    explicit Wire(EventLoop& loop)
        : m_loop(loop)
    {
    }
    std::map<std::string, WorkerRelay*> relays;
    std::map<std::string, std::string> payloads; ///< At the acceptor "a".
    std::vector<PeerRequest> sent;
    bool refuses = false;
    bool swallows = false;
    bool swallows_next = false; ///< As a silent connection does.

    void send(const std::string& address, const PeerRequest& request, Millis timeout,
              PeerReply done) override
    {
        sent.push_back(request);
        if (refuses) {
            m_loop.after(Millis(1), [done] { done(PeerEnd::refused, {}); });
            return;
        }
        if (swallows || swallows_next) {
            swallows_next = false;
            m_loop.after(timeout, [done] { done(PeerEnd::silent, {}); });
            return;
        }
        if (request.topic == PeerTopic::job_payload) {
            PeerAnswer answer;
            const auto found = payloads.find(request.job);
            answer.served = found != payloads.end();
            if (answer.served)
                answer.row = found->second;
            m_loop.after(Millis(1), [done, answer] { done(PeerEnd::answered, answer); });
            return;
        }
        const auto message = decode_peer_request(encode(request));
        relays.at(address)->handle(*message, [this, done](const PeerAnswer& answer) {
            const auto decoded = decode_peer_answer(encode(answer));
            m_loop.after(Millis(1), [done, decoded] { done(PeerEnd::answered, *decoded); });
        });
    }

private:
    EventLoop& m_loop;
};

/// A leader whose link is so thin that each call goes through the relay "r".
struct Path {
    emulator::World world { 1 };
    emulator::ProcessLoop loop { world };
    CountingWorkers here; ///< As the leader reaches them itself.
    CountingWorkers there; ///< As the relay does.
    Wire wire { loop };
    PayloadCache payloads { 100000 };
    std::unique_ptr<WorkerRelay> relay;
    RelayedWorkers workers;
    int accepted = 0;
    int unknown = 0;

    Path()
        : workers(loop, here, wire, NodePower { 1000, 1 }, leader())
    {
        restart("one");
        workers.begin_epoch(5, {}, {});
        workers.set_nodes({ { "r", { 1000, 0 } } });
        // The load is known after a while.
        for (int i = 0; i < 10; ++i) {
            start("warm" + std::to_string(i), "p");
            world.run_for(Millis(200));
        }
        BOOST_TEST(workers.relay_count() == 1U);
        here.starts.clear();
        there.starts.clear();
        wire.sent.clear();
        accepted = 0;
        unknown = 0;
    }
    static PeerRequest leader()
    {
        PeerRequest request;
        request.node = "leader";
        request.address = "l";
        request.incarnation = "leader-1";
        return request;
    }
    void restart(const std::string& incarnation)
    {
        relay
            = std::make_unique<WorkerRelay>(loop, there, wire, payloads, "r", incarnation);
        wire.relays["r"] = relay.get();
    }
    void start(const std::string& job, const std::string& payload)
    {
        WorkerInfo worker;
        worker.id = "w1";
        worker.address = "1.2.3.4:5";
        StartOrder order;
        order.task = { job, 0, 0, 0 };
        order.run = 3;
        order.fence = 9;
        order.payload = payload;
        order.ticket = "t";
        order.checkpoint = "c";
        order.hold_until = 1234;
        workers.start(worker, order, Millis(200), [this](const OrderAnswer& answer) {
            accepted += answer.status == OrderStatus::accepted ? 1 : 0;
            unknown += answer.status == OrderStatus::unknown ? 1 : 0;
        });
    }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

BOOST_AUTO_TEST_CASE(orders_arrive_whole_and_share_a_message)
{
    Path path;
    for (int i = 0; i < 20; ++i)
        path.start("job" + std::to_string(i), "payload");
    path.world.run_for(Millis(300));
    BOOST_TEST(path.accepted == 20);
    BOOST_TEST(path.here.starts.empty());
    BOOST_REQUIRE(path.there.starts.size() == 20U);
    const StartOrder& order = path.there.starts.front();
    BOOST_TEST(order.task.to_string() == "job0.0.0.0");
    BOOST_TEST(order.run == 3);
    BOOST_TEST(order.fence == 9);
    BOOST_TEST(order.hold_until == 1234);
    BOOST_TEST(order.payload == "payload");
    BOOST_TEST(order.ticket == "t");
    BOOST_TEST(order.checkpoint == "c");
    BOOST_TEST(path.wire.sent.size() < 5U);
}

// A payload of kilobytes goes to forty workers once from its acceptor, and never through
// the leader.
BOOST_AUTO_TEST_CASE(payloads_come_from_the_acceptor)
{
    Path path;
    const std::string payload(4000, 'x');
    path.wire.payloads["job"] = payload;
    path.workers.note_acceptor("job", "a");
    for (int i = 0; i < 40; ++i)
        path.start("job", payload);
    path.world.run_for(Millis(300));
    BOOST_TEST(path.accepted == 40);
    BOOST_TEST(path.there.starts.back().payload == payload);
    int asked = 0;
    for (const PeerRequest& request : path.wire.sent) {
        asked += request.topic == PeerTopic::job_payload ? 1 : 0;
        BOOST_TEST(request.calls.find(payload) == std::string::npos);
    }
    BOOST_TEST(asked == 1);
}

BOOST_AUTO_TEST_CASE(a_payload_that_nobody_has_goes_with_the_leaders_own_order)
{
    Path path;
    path.workers.note_acceptor("job", "a");
    path.start("job", "payload");
    path.world.run_for(Millis(300));
    BOOST_TEST(path.accepted == 1);
    BOOST_TEST(path.there.starts.empty());
    BOOST_REQUIRE(path.here.starts.size() == 1U);
    BOOST_TEST(path.here.starts.front().payload == "payload");
}

// Nothing listens there: what was not sent goes from here, once.
BOOST_AUTO_TEST_CASE(calls_to_a_relay_that_is_gone_are_made_directly)
{
    Path path;
    path.wire.refuses = true;
    path.start("job1", "p");
    path.world.run_for(Millis(100));
    path.start("job2", "p");
    path.world.run_for(Millis(300));
    BOOST_TEST(path.accepted == 2);
    BOOST_TEST(path.here.starts.size() == 2U);
    BOOST_TEST(path.there.starts.empty());
}

// It may have done what it was given: the order is in doubt and not given again from here.
BOOST_AUTO_TEST_CASE(calls_of_a_silent_relay_are_in_doubt)
{
    Path path;
    path.wire.swallows = true;
    path.start("job1", "p");
    path.world.run_for(Millis(1200));
    BOOST_TEST(path.unknown == 1);
    BOOST_TEST(path.here.starts.empty());
    // Soon it is no follower any more, and this node makes its calls itself.
    path.workers.set_nodes({});
    path.start("job2", "p");
    path.world.run_for(Millis(300));
    BOOST_TEST(path.accepted == 1);
    BOOST_TEST(path.here.starts.size() == 1U);
}

// One message was lost on a connection that went silent; the relay answers later ones.
BOOST_AUTO_TEST_CASE(message_lost_on_a_silent_connection_loses_no_relay)
{
    Path path;
    path.world.run_for(Millis(500)); // No message is open.
    path.wire.swallows_next = true;
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
    BOOST_TEST(path.here.starts.empty());
    BOOST_TEST(path.workers.first_relay() == "r");
}

// Answers need a message that is open at the relay, and the lost one is not.
BOOST_AUTO_TEST_CASE(answers_do_not_wait_for_a_message_that_was_lost)
{
    Path path;
    path.world.run_for(Millis(500));
    path.wire.swallows_next = true;
    path.start("lost", "p");
    path.world.run_for(Millis(60));
    bool seen = false;
    LookOrder look;
    look.wait = Millis(1800);
    WorkerInfo worker;
    worker.id = "w1";
    path.workers.look(worker, look, Millis(2100),
                      [&](OrderStatus, const std::optional<LookReport>& report) {
                          seen = report.has_value();
                      });
    // The message that brought it is given back empty after its hold.
    path.world.run_for(Millis(60) + relay_hold + Millis(60));
    BOOST_REQUIRE(path.there.looks.size() == 1U);
    LookReport report;
    report.ended.push_back({ 12, { "job", 0, 0, 2 }, 3, EndKind::failed, "d" });
    path.there.looks.front()(OrderStatus::accepted, report);
    path.world.run_for(Millis(60));
    BOOST_TEST(seen);
}

BOOST_AUTO_TEST_CASE(calls_of_an_earlier_process_are_in_doubt)
{
    Path path;
    path.there.silent = true;
    path.start("job1", "p");
    path.world.run_for(Millis(50));
    path.there.silent = false;
    path.restart("two");
    path.start("job2", "p");
    path.world.run_for(Millis(120));
    BOOST_TEST(path.unknown >= 1);
}

BOOST_AUTO_TEST_CASE(a_look_that_waits_is_answered_when_it_ends)
{
    Path path;
    WorkerInfo worker;
    worker.id = "w1";
    std::optional<LookReport> seen;
    LookOrder look;
    look.wait = Millis(1800);
    path.workers.look(
        worker, look, Millis(2100),
        [&](OrderStatus, const std::optional<LookReport>& report) { seen = report; });
    path.world.run_for(Millis(1500));
    BOOST_TEST(!seen);
    BOOST_REQUIRE(path.there.looks.size() == 1U);
    LookReport report;
    report.clock_ms = 99;
    report.running.push_back({ { "job", 0, 0, 1 }, 4, "c", 55, 1.5 });
    report.ended.push_back({ 12, { "job", 0, 0, 2 }, 3, EndKind::failed, "d" });
    path.there.looks.front()(OrderStatus::accepted, report);
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
    Path path;
    path.start("job1", "p");
    path.workers.end_epoch();
    path.world.run_for(Millis(3000));
    BOOST_TEST(path.accepted + path.unknown == 0);
    BOOST_TEST(path.workers.relay_count() == 0U);
}

BOOST_AUTO_TEST_CASE(an_earlier_leaders_batch_is_refused_whole)
{
    Path path;
    PeerRequest later = Path::leader();
    later.topic = PeerTopic::worker_calls;
    later.incarnation = "leader-2";
    later.epoch = 6;
    path.relay->handle(later, [](const PeerAnswer&) {});
    path.start("job1", "p");
    path.world.run_for(Millis(300));
    // The worker's fence decides about the order that the earlier leader gives itself.
    BOOST_TEST(path.there.starts.empty());
    BOOST_TEST(path.here.starts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(a_malformed_batch_is_refused_whole)
{
    Path path;
    for (const char* const calls :
         { "[[1", "7", "[[1,9,\"w\",\"a\",5]]", "[[1,3,\"w\",\"a\",5,1,2,3,4],[2]]",
           "[[1,0,\"w\",\"a\",5,\"no task\",1,1,1,\"\",\"\",\"\",false,\"\"]]" }) {
        PeerRequest request = Path::leader();
        request.topic = PeerTopic::worker_calls;
        request.epoch = 5;
        request.calls = calls;
        std::optional<PeerAnswer> got;
        path.relay->handle(request, [&](const PeerAnswer& answer) { got = answer; });
        BOOST_REQUIRE_MESSAGE(got.has_value(), calls);
        BOOST_TEST(!got->served);
    }
    BOOST_TEST(path.there.looks.empty());
    BOOST_TEST(path.there.starts.empty());
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
