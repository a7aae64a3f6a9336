// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Calls of a node to the store and to peers for the configuration.

#define BOOST_TEST_MODULE configuration_tracker
#include <boost/test/unit_test.hpp>

#include "configuration_tracker.h"
#include "version_gossip.h"

#include <pathport/emulator/virtual_loop.h>
#include <pathport/jobs/job_node.h>
#include <pathport/log.h>

#include <utility>
#include <vector>

using namespace pathport;
using namespace pathport::jobs;

namespace {

using ConfigurationReply = std::function<void(OperatorAnswer)>;

/// A call to the directory, answered or not.
struct OpenCall {
    int64_t after = 0; ///< 0 for a read.
    Millis poll_time;
    ConfigurationReply done;
};

/// A directory whose calls are answered by the test.
class ManualDirectory : public Directory {
public:
    std::vector<OpenCall> calls; ///< All calls; `done` is empty once answered.

    void
    read_workers(Millis,
                 std::function<void(DirectoryAnswer<std::vector<WorkerInfo>>)>) override
    {
    }
    void read_configuration(Millis, ConfigurationReply done) override
    {
        calls.push_back({ 0, Millis(0), std::move(done) });
    }
    void watch_configuration(int64_t version, Millis wait, ConfigurationReply done) override
    {
        calls.push_back({ version, wait, std::move(done) });
    }

    void answer(size_t call, const OperatorAnswer& with)
    {
        const ConfigurationReply done = std::exchange(calls.at(call).done, nullptr);
        BOOST_REQUIRE(done != nullptr);
        done(with);
    }
};

/// Records messages and their reply functions.
class ManualPeers : public PeerClient {
public:
    struct Message {
        std::string address;
        PeerRequest request;
        PeerReply done;
    };
    std::vector<Message> sent;

    void send(const std::string& address, const PeerRequest& request, Millis,
              PeerReply done) override
    {
        sent.push_back({ address, request, std::move(done) });
    }
};

Configuration configuration_of(int64_t version)
{
    Configuration configuration;
    configuration.version = version;
    return configuration;
}

/// Returns the answer of a store at `store_version`; version 0 stands for no change.
OperatorAnswer store_answer(int64_t store_version, int64_t version = 0)
{
    OperatorAnswer answer;
    answer.status = StoreStatus::ok;
    answer.version = store_version;
    if (version != 0)
        answer.value = configuration_of(version);
    return answer;
}

OperatorAnswer failed(StoreStatus status)
{
    OperatorAnswer answer;
    answer.status = status;
    return answer;
}

/// A tracker that has read configuration 5 at store version 100.
struct Fixture {
    emulator::World world { 3 };
    emulator::ProcessLoop loop { world };
    ManualDirectory directory;
    ManualPeers peers;
    Metrics metrics;
    ConfigurationTracker tracker { loop, directory, peers, metrics, "n1" };

    Fixture()
    {
        start_log("test", LogLevel::error);
        tracker.begin();
        directory.answer(0, store_answer(100, 5));
        run(1);
        BOOST_REQUIRE(directory.calls.size() == 2U);
    }

    void run(int64_t ms) { world.run_for(Millis(ms)); }
    const OpenCall& last() const { return directory.calls.back(); }
    void answer_last(const OperatorAnswer& with)
    {
        directory.answer(directory.calls.size() - 1, with);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(watch_continues_from_last_read_version, Fixture)
{
    BOOST_TEST(tracker.version() == 5);
    BOOST_TEST(last().after == 100);
    run(last().poll_time.count());
    answer_last(store_answer(130));
    run(1);
    BOOST_TEST(last().after == 130);
    answer_last(store_answer(140, 6));
    run(1);
    BOOST_TEST(tracker.version() == 6);
    BOOST_TEST(last().after == 140);
    BOOST_TEST(directory.calls.size() == 4U);
}

BOOST_FIXTURE_TEST_CASE(late_watch_is_followed_by_call_with_short_poll, Fixture)
{
    run(1500);
    BOOST_REQUIRE(directory.calls.size() == 3U);
    BOOST_TEST(last().after == 100);
    BOOST_TEST(last().poll_time.count() <= 50);
    answer_last(store_answer(120, 7));
    BOOST_TEST(tracker.version() == 7);
}

BOOST_FIXTURE_TEST_CASE(late_answer_is_applied_without_another_call, Fixture)
{
    run(1400);
    BOOST_REQUIRE(directory.calls.size() == 3U);
    directory.answer(1, store_answer(120, 7));
    BOOST_TEST(tracker.version() == 7);
    run(1);
    BOOST_TEST(directory.calls.size() == 3U);
    answer_last(store_answer(110, 6));
    BOOST_TEST(tracker.version() == 7);
    run(1);
    BOOST_TEST(last().after == 120);
}

BOOST_FIXTURE_TEST_CASE(open_calls_to_silent_store_are_bounded, Fixture)
{
    run(20000);
    BOOST_TEST(directory.calls.size() == 1U + 8U);
    directory.answer(1, failed(StoreStatus::unknown));
    run(301);
    BOOST_TEST(directory.calls.size() == 1U + 9U);
}

BOOST_FIXTURE_TEST_CASE(refused_call_is_delayed_and_lost_history_is_read_at_once, Fixture)
{
    answer_last(failed(StoreStatus::refused));
    run(390);
    BOOST_TEST(directory.calls.size() == 2U);
    run(20);
    BOOST_REQUIRE(directory.calls.size() == 3U);
    answer_last(failed(StoreStatus::history_lost));
    run(1);
    BOOST_REQUIRE(directory.calls.size() == 4U);
    BOOST_TEST(last().after == 0);
}

BOOST_FIXTURE_TEST_CASE(malformed_configuration_leaves_the_current_one_in_force, Fixture)
{
    auto answer = store_answer(120);
    answer.unreadable = "no JSON";
    answer_last(answer);
    BOOST_TEST(tracker.version() == 5);
    run(1);
    answer_last(store_answer(130, 6));
    BOOST_TEST(tracker.version() == 6);
}

BOOST_FIXTURE_TEST_CASE(age_counts_from_last_confirmation_by_the_store, Fixture)
{
    run(999);
    answer_last(store_answer(130));
    BOOST_TEST(tracker.age().count() <= 1);
    BOOST_TEST(tracker.is_fresh());
    run(1501);
    BOOST_TEST(!tracker.is_fresh());
    // The store answers at once on a change, so that answer confirms nothing for the time
    // of its long poll.
    directory.answer(2, store_answer(140, 6));
    BOOST_TEST(tracker.age().count() >= 1500);
}

// The peer's configuration may itself be outdated.
BOOST_AUTO_TEST_CASE(configuration_from_a_peer_only_is_not_fresh)
{
    emulator::World world(4);
    emulator::ProcessLoop loop(world);
    ManualDirectory directory;
    ManualPeers peers;
    Metrics metrics;
    ConfigurationTracker tracker(loop, directory, peers, metrics, "n1");
    tracker.begin();
    tracker.note_peer_version("n2", 3);
    world.run_for(Millis(410));
    BOOST_REQUIRE(peers.sent.size() == 1U);
    PeerAnswer answer;
    answer.row = encode(configuration_of(3));
    peers.sent[0].done(PeerEnd::answered, answer);
    BOOST_TEST(tracker.version() == 3);
    BOOST_TEST(!tracker.is_fresh());
    directory.answer(0, store_answer(100, 3));
    BOOST_TEST(tracker.is_fresh());
}

BOOST_FIXTURE_TEST_CASE(version_never_decreases, Fixture)
{
    answer_last(store_answer(140, 8));
    run(1);
    answer_last(store_answer(150, 6));
    BOOST_TEST(tracker.version() == 8);
}

BOOST_FIXTURE_TEST_CASE(newer_version_of_a_peer_causes_a_call_to_the_store, Fixture)
{
    tracker.note_peer_version("n2", 9);
    run(110);
    BOOST_REQUIRE(directory.calls.size() == 3U);
    answer_last(store_answer(140, 9));
    run(1000);
    BOOST_TEST(peers.sent.empty());
}

BOOST_FIXTURE_TEST_CASE(configuration_is_fetched_from_peer_when_the_store_does_not_answer,
                        Fixture)
{
    tracker.note_peer_version("n2", 9);
    run(410);
    BOOST_REQUIRE(peers.sent.size() == 1U);
    BOOST_TEST(peers.sent[0].address == "n2");
    // The first fetch gets no answer; a fetch from another peer must not wait for it.
    run(500);
    tracker.note_peer_version("n3", 9);
    run(410);
    BOOST_REQUIRE(peers.sent.size() == 2U);
    BOOST_TEST(peers.sent[1].address == "n3");
    PeerAnswer answer;
    answer.row = encode(configuration_of(9));
    peers.sent[1].done(PeerEnd::answered, answer);
    BOOST_TEST(tracker.version() == 9);
    answer.row = "no configuration";
    peers.sent[0].done(PeerEnd::answered, answer);
    BOOST_TEST(tracker.version() == 9);
}

BOOST_FIXTURE_TEST_CASE(older_or_same_version_of_a_peer_is_ignored, Fixture)
{
    tracker.note_peer_version("n2", 5);
    tracker.note_peer_version("n3", 4);
    tracker.note_peer_version("", 9);
    run(900);
    BOOST_TEST(directory.calls.size() == 2U);
    BOOST_TEST(peers.sent.empty());
}

BOOST_FIXTURE_TEST_CASE(every_message_carries_the_version_in_both_directions, Fixture)
{
    VersionGossip gossip(peers, tracker, "n1-address");
    PeerRequest request;
    request.topic = PeerTopic::queue_pending;
    bool answered = false;
    gossip.send("n2", request, Millis(100),
                [&](PeerEnd, const PeerAnswer&) { answered = true; });
    BOOST_REQUIRE(peers.sent.size() == 1U);
    BOOST_TEST(peers.sent[0].request.config_version == 5);
    BOOST_TEST(peers.sent[0].request.address == "n1-address");
    PeerAnswer answer;
    answer.config_version = 6;
    peers.sent[0].done(PeerEnd::answered, answer);
    BOOST_TEST(answered);
    run(110);
    BOOST_TEST(directory.calls.size() == 3U);

    int64_t reported_version = 0;
    const PeerResponder respond = gossip.receive(
        request, [&](const PeerAnswer& sent) { reported_version = sent.config_version; });
    respond(PeerAnswer());
    BOOST_TEST(reported_version == 5);
}

BOOST_FIXTURE_TEST_CASE(listener_is_called_once_per_configuration, Fixture)
{
    std::vector<int64_t> versions;
    tracker.on_applied(
        [&](const Configuration& applied) { versions.push_back(applied.version); });
    answer_last(store_answer(140, 8));
    run(1);
    answer_last(store_answer(150, 8));
    run(1);
    answer_last(store_answer(160, 11));
    BOOST_TEST(versions == (std::vector<int64_t> { 8, 11 }),
               boost::test_tools::per_element());
}

BOOST_FIXTURE_TEST_CASE(drains_come_with_reads_and_watches, Fixture)
{
    int changes = 0;
    tracker.on_drains_changed([&] { ++changes; });
    OperatorAnswer answer = store_answer(120);
    answer.drains = { { "a", true, 110 } };
    answer_last(answer);
    BOOST_TEST(tracker.drains()->contains("a"));
    BOOST_TEST(changes == 1);
    run(1);
    answer_last(store_answer(130));
    BOOST_TEST(changes == 1);
    run(1);
    answer = store_answer(150);
    answer.drains = { { "a", false, 140 } };
    answer_last(answer);
    BOOST_TEST(tracker.drains()->empty());
    BOOST_TEST(changes == 2);
}

// While the store is silent, a drain known to a peer is fetched from it.
BOOST_FIXTURE_TEST_CASE(drain_is_fetched_from_a_peer, Fixture)
{
    tracker.note_peer_version("10.0.0.2:1", 5, 110);
    run(500);
    BOOST_REQUIRE(!peers.sent.empty());
    PeerAnswer answer;
    answer.served = true;
    answer.drains = DrainedDomains({ "a" }, 115, 110);
    peers.sent.back().done(PeerEnd::answered, answer);
    BOOST_TEST(tracker.drains()->contains("a"));
    const size_t sent = peers.sent.size();
    // The change is known now.
    tracker.note_peer_version("10.0.0.2:1", 5, 110);
    run(1500);
    BOOST_TEST(peers.sent.size() == sent);
}
