// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#define BOOST_TEST_MODULE rpc
#include <boost/test/unit_test.hpp>

#include <pathport/peer.h>

#include <future>
#include <mutex>
#include <thread>

using namespace pathport;

namespace {

constexpr uint16_t first_port = 23870;

Address address(int index)
{
    return { "127.0.0.1", static_cast<uint16_t>(first_port + index) };
}

// Answers forwards when the test says so, and everything else at once.
class Peer : public PeerHandler {
public:
    void on_forward(ForwardRequest request,
                    std::function<void(ForwardAnswer)> done) override
    {
        ForwardAnswer answer;
        answer.outcome = RequestOutcome::answered;
        answer.status = 200;
        answer.body = request.request_id + ":" + request.body;
        if (!hold) {
            done(answer);
            return;
        }
        const std::lock_guard<std::mutex> lock(mutex);
        held.emplace_back([done, answer] { done(answer); });
    }
    Beat on_beat(const Beat& beat) override
    {
        Beat answer = beat;
        answer.node = "peer";
        return answer;
    }
    std::vector<ConfigRow> on_config_since(int64_t revision) override
    {
        return { { "services/s", "{}", revision + 1 } };
    }
    void on_wake(const std::vector<std::string>& shards) override
    {
        woken.set_value(shards);
    }
    void on_hand_over(const std::string& shard, int64_t epoch,
                      const RangeMemory& memory) override
    {
        handed.set_value(
            { { shard + std::to_string(epoch), memory.barrier }, memory.ids.front() });
    }
    std::optional<std::string> on_ask(const std::string& kind,
                                      const std::string& name) override
    {
        return name.empty() ? std::nullopt : std::optional<std::string>(kind + " " + name);
    }

    std::atomic<bool> hold { false };
    std::mutex mutex;
    std::vector<std::function<void()>> held;
    std::promise<std::vector<std::string>> woken;
    std::promise<std::vector<AdmittedId>> handed;
};

ForwardAnswer forward(PeerHub& hub, const Address& to, const ForwardRequest& request)
{
    std::promise<ForwardAnswer> answered;
    hub.forward(to.to_string(), request,
                [&](ForwardAnswer answer) { answered.set_value(std::move(answer)); });
    return answered.get_future().get();
}

ForwardRequest request(const std::string& id)
{
    ForwardRequest r;
    r.request_id = id;
    r.service = "s";
    r.body = std::string("a\0b", 3);
    r.time_left = Millis(5000);
    return r;
}

} // namespace

BOOST_AUTO_TEST_CASE(calls_travel_whole_between_two_hubs)
{
    Peer one;
    Peer two;
    PeerHub client(address(0), Millis(5000), one);
    PeerHub server(address(1), Millis(5000), two);
    Failure reason;
    BOOST_REQUIRE(client.start(reason));
    BOOST_REQUIRE(server.start(reason));
    const ForwardAnswer answer = forward(client, address(1), request("id"));
    BOOST_TEST((answer.outcome == RequestOutcome::answered));
    BOOST_TEST(answer.body == "id:" + std::string("a\0b", 3));

    Beat beat;
    beat.node = "one";
    beat.promise = Millis(1500);
    ShardSummary shard;
    shard.shard = "d.k";
    shard.free = { 1, 2, 3 };
    shard.services = { { "s", 1, 8, 2, 3, 4 } };
    beat.shards = { shard };
    beat.teams = { { "team", { 4, 5, 6 } } };
    std::promise<std::optional<Beat>> beaten;
    client.beat(address(1).to_string(), beat,
                [&](std::optional<Beat> b) { beaten.set_value(std::move(b)); });
    const auto echoed = beaten.get_future().get();
    BOOST_REQUIRE(echoed);
    BOOST_TEST((echoed->shards == beat.shards));
    BOOST_TEST((echoed->teams == beat.teams));
    BOOST_TEST((echoed->promise == beat.promise));

    std::promise<std::optional<std::vector<ConfigRow>>> rows;
    client.config_since(
        address(1).to_string(), 6,
        [&](std::optional<std::vector<ConfigRow>> r) { rows.set_value(r); });
    BOOST_TEST(rows.get_future().get()->front().revision == 7);

    client.wake(address(1).to_string(), { "d.k" });
    BOOST_TEST(two.woken.get_future().get().front() == "d.k");

    std::promise<bool> taken;
    client.hand_over(address(1).to_string(), "admit.03", 7,
                     { Millis(5), { { "id", Millis(9) } } },
                     [&](bool done) { taken.set_value(done); });
    BOOST_TEST(taken.get_future().get());
    const auto handed = two.handed.get_future().get();
    BOOST_TEST((handed.front() == AdmittedId { "admit.037", Millis(5) }));
    BOOST_TEST((handed.back() == AdmittedId { "id", Millis(9) }));

    std::promise<std::optional<std::string>> asked;
    client.ask(address(1).to_string(), "why", "t.1",
               [&](std::optional<std::string> a) { asked.set_value(a); });
    BOOST_TEST(asked.get_future().get().value_or("") == "why t.1");
}

// A node that restarts is given a range before others have connected to it again: the
// failed attempt of before holds back new ones, and the only message with the range's ids
// was lost.
BOOST_AUTO_TEST_CASE(memory_of_a_range_reaches_a_peer_that_has_just_started)
{
    Peer one;
    Peer two;
    PeerHub client(address(12), Millis(5000), one);
    Failure reason;
    BOOST_REQUIRE(client.start(reason));
    const ForwardAnswer refused = forward(client, address(13), request("id"));
    BOOST_TEST((refused.outcome == RequestOutcome::not_run));
    PeerHub server(address(13), Millis(5000), two);
    BOOST_REQUIRE(server.start(reason));
    std::promise<bool> taken;
    client.hand_over(address(13).to_string(), "admit.03", 7,
                     { Millis(5), { { "id", Millis(9) } } },
                     [&](bool done) { taken.set_value(done); });
    BOOST_REQUIRE(taken.get_future().get());
    BOOST_TEST((two.handed.get_future().get().back() == AdmittedId { "id", Millis(9) }));
}

// Trap 7: answers that come out of order each reach their own request.
BOOST_AUTO_TEST_CASE(late_answers_reach_their_own_requests)
{
    Peer one;
    Peer two;
    two.hold = true;
    PeerHub client(address(2), Millis(5000), one);
    PeerHub server(address(3), Millis(5000), two);
    Failure reason;
    BOOST_REQUIRE(client.start(reason));
    BOOST_REQUIRE(server.start(reason));
    constexpr size_t count = 50;
    std::vector<std::promise<ForwardAnswer>> answers(count);
    for (size_t i = 0; i < count; ++i) {
        client.forward(
            address(3).to_string(), request(std::to_string(i)),
            [&answers, i](ForwardAnswer a) { answers[i].set_value(std::move(a)); });
    }
    for (;;) {
        const std::lock_guard<std::mutex> lock(two.mutex);
        if (two.held.size() == count)
            break;
    }
    for (auto answer = two.held.rbegin(); answer != two.held.rend(); ++answer)
        (*answer)();
    for (size_t i = 0; i < count; ++i)
        BOOST_TEST(answers[i].get_future().get().body.find(std::to_string(i) + ":") == 0U);
}

BOOST_AUTO_TEST_CASE(peer_that_can_not_be_reached_means_not_run)
{
    Peer one;
    PeerHub client(address(4), Millis(5000), one);
    Failure reason;
    BOOST_REQUIRE(client.start(reason));
    const ForwardAnswer answer = forward(client, address(9), request("id"));
    BOOST_TEST((answer.outcome == RequestOutcome::not_run));
    BOOST_TEST((answer.failure.kind() == FailureKind::unavailable));
}

BOOST_AUTO_TEST_CASE(peer_that_goes_away_with_a_request_means_may_have_run)
{
    Peer one;
    Peer two;
    two.hold = true;
    PeerHub client(address(5), Millis(5000), one);
    auto server = std::make_unique<PeerHub>(address(6), Millis(5000), two);
    Failure reason;
    BOOST_REQUIRE(client.start(reason));
    BOOST_REQUIRE(server->start(reason));
    std::promise<ForwardAnswer> answered;
    client.forward(address(6).to_string(), request("id"),
                   [&](ForwardAnswer answer) { answered.set_value(std::move(answer)); });
    for (;;) {
        const std::lock_guard<std::mutex> lock(two.mutex);
        if (!two.held.empty())
            break;
    }
    server->stop();
    BOOST_TEST((answered.get_future().get().outcome == RequestOutcome::may_have_run));
    // The connection is opened anew once the peer is back.
    PeerHub again(address(6), Millis(5000), one);
    BOOST_REQUIRE(again.start(reason));
    ForwardAnswer answer;
    for (int i = 0; i < 100 && answer.outcome != RequestOutcome::answered; ++i)
        answer = forward(client, address(6), request("id"));
    BOOST_TEST((answer.outcome == RequestOutcome::answered));
}

// The answer is known, and the hub's thread is busy when the stop comes.
BOOST_AUTO_TEST_CASE(answer_that_is_known_at_a_stop_reaches_its_caller)
{
    // Keeps the hub's thread after the answer has been given.
    class BusyPeer : public Peer {
    public:
        void on_forward(ForwardRequest request,
                        std::function<void(ForwardAnswer)> done) override
        {
            Peer::on_forward(std::move(request), std::move(done));
            answered.set_value();
            stop_called.get_future().wait();
        }
        std::promise<void> answered;
        std::promise<void> stop_called;
    };
    Peer one;
    BusyPeer two;
    PeerHub client(address(10), Millis(5000), one);
    PeerHub server(address(11), Millis(5000), two);
    Failure reason;
    BOOST_REQUIRE(client.start(reason));
    BOOST_REQUIRE(server.start(reason));
    std::promise<ForwardAnswer> answered;
    client.forward(address(11).to_string(), request("id"),
                   [&](ForwardAnswer answer) { answered.set_value(std::move(answer)); });
    two.answered.get_future().wait();
    std::thread stopper([&] { server.stop(); });
    // Lets the stop begin; nothing is judged by this time.
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    two.stop_called.set_value();
    const ForwardAnswer answer = answered.get_future().get();
    BOOST_TEST((answer.outcome == RequestOutcome::answered), answer.failure.detail());
    stopper.join();
}

BOOST_AUTO_TEST_CASE(address_in_use_is_a_typed_failure)
{
    Peer one;
    PeerHub first(address(7), Millis(5000), one);
    PeerHub second(address(7), Millis(5000), one);
    Failure reason;
    BOOST_REQUIRE(first.start(reason));
    BOOST_TEST(!second.start(reason));
    BOOST_TEST((reason.kind() == FailureKind::unavailable));
}
