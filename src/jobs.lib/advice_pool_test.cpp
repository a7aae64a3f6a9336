// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Assignment of advisor queries to callers.

#define BOOST_TEST_MODULE advice_pool
#include <boost/test/unit_test.hpp>

#include "advice_pool.h"

#include <pathport/emulator/virtual_loop.h>
#include <pathport/jobs/peers.h>

#include <algorithm>

using namespace pathport;
using namespace pathport::jobs;

namespace {

/// Answers each query after a fixed time and records its step.
class CountingAdvisor : public Advisor {
public:
    explicit CountingAdvisor(emulator::World& world)
        : m_world(world)
    {
    }
    void ask(const std::string& step, const std::vector<std::string>&, Millis,
             std::function<void(std::optional<std::vector<WorkerTicket>>)> done) override
    {
        asked.push_back(step);
        m_world.after(Millis(50), [done] { done(std::vector<WorkerTicket>()); });
    }
    std::vector<std::string> asked;

private:
    emulator::World& m_world;
};

/// Peers that never answer.
class SilentPeers : public PeerClient {
public:
    explicit SilentPeers(emulator::World& world)
        : m_world(world)
    {
    }
    void send(const std::string& address, const PeerRequest& request, Millis timeout,
              PeerReply done) override
    {
        ++sent;
        asked[address].push_back(request.job);
        m_world.after(timeout, [done] { done(PeerEnd::silent, {}); });
    }
    int sent = 0;
    std::map<std::string, std::vector<std::string>> asked; ///< Steps, by address.

private:
    emulator::World& m_world;
};

AdviceQuery query_of(const std::string& step, int priority, double decision_ms)
{
    AdviceQuery query;
    query.step = step;
    query.workers = { "w" };
    query.rule = { decision_ms, 1, 2000 };
    query.priority = priority;
    return query;
}

} // namespace

BOOST_AUTO_TEST_CASE(urgent_queries_overtake_and_slow_ones_use_other_callers)
{
    emulator::World world(8);
    emulator::ProcessLoop loop(world);
    CountingAdvisor advisor(world);
    SilentPeers peers(world);
    AdvicePool pool(loop, advisor, peers);
    const auto ignore = [](const AdviceReply&) {};
    pool.ask(query_of("a", 2, 10), ignore);
    pool.ask(query_of("b", 2, 10), ignore);
    pool.ask(query_of("c", 2, 10), ignore);
    pool.ask(query_of("urgent", 0, 10), ignore);
    world.run_for(Millis(500));
    BOOST_REQUIRE(advisor.asked.size() == 4U);
    BOOST_TEST(advisor.asked[2] == "urgent");
    pool.set_peers({ "10.0.0.2:1" });
    pool.ask(query_of("slow", 1, 400), ignore);
    world.run_for(Millis(10));
    BOOST_TEST(peers.sent == 1);
    BOOST_TEST(advisor.asked.size() == 4U);
}

// A slow query must not delay faster ones behind it at the advisor.
BOOST_AUTO_TEST_CASE(each_latency_class_has_its_own_callers)
{
    emulator::World world(9);
    emulator::ProcessLoop loop(world);
    CountingAdvisor advisor(world);
    SilentPeers peers(world);
    AdvicePool pool(loop, advisor, peers);
    pool.set_peers({ "medium", "slow1", "slow2" });
    const auto ignore = [](const AdviceReply&) {};
    for (const char* step : { "s1", "s2", "s3" })
        pool.ask(query_of(step, 1, 500), ignore);
    pool.ask(query_of("f1", 0, 5), ignore);
    pool.ask(query_of("m1", 2, 60), ignore);
    world.run_for(Millis(10));
    const std::vector<std::string> fast { "f1" };
    const std::vector<std::string> medium { "m1" };
    BOOST_TEST(advisor.asked == fast, boost::test_tools::per_element());
    BOOST_TEST(peers.asked["medium"] == medium, boost::test_tools::per_element());
    BOOST_TEST(peers.asked["slow1"].size() == 1U);
    BOOST_TEST(peers.asked["slow2"].size() == 1U);
    BOOST_TEST(pool.waiting() == 1U);
}

// Steps of an urgent queue that wait for capacity may send queries again and again. Since
// the advisor's time is shared, a less urgent queue still gets its answers.
BOOST_AUTO_TEST_CASE(no_queue_takes_all_of_the_advisors_time)
{
    emulator::World world(10);
    emulator::ProcessLoop loop(world);
    CountingAdvisor advisor(world);
    SilentPeers peers(world);
    AdvicePool pool(loop, advisor, peers);
    const auto ask = [&pool](const std::string& queue, const std::string& step,
                             int priority, std::function<void(AdviceReply)> done) {
        AdviceQuery query = query_of(step, priority, 400);
        query.queue = queue;
        pool.ask(query, std::move(done));
    };
    std::function<void(AdviceReply)> again = [&](const AdviceReply&) {
        ask("scans", "scan", 1, [&](const AdviceReply& reply) { again(reply); });
    };
    for (int i = 0; i < 4; ++i)
        again({});
    std::vector<std::string> answered;
    for (const char* step : { "first", "second", "third" })
        ask("summaries", step, 2,
            [&answered, step](const AdviceReply&) { answered.push_back(step); });
    world.run_for(Millis(1000));
    const std::vector<std::string> all { "first", "second", "third" };
    BOOST_TEST(answered == all, boost::test_tools::per_element());
    // The urgent queue keeps the larger share.
    const auto scans = std::count(advisor.asked.begin(), advisor.asked.end(), "scan");
    BOOST_TEST(scans >= 12);
}

// A slow query needs an idle caller, and a steady flow of fast queries leaves none idle.
BOOST_AUTO_TEST_CASE(overdue_step_has_a_caller_reserved)
{
    for (const size_t peer_count : { size_t(0), size_t(1) }) {
        emulator::World world(11);
        emulator::ProcessLoop loop(world);
        CountingAdvisor advisor(world);
        SilentPeers peers(world);
        AdvicePool pool(loop, advisor, peers);
        if (peer_count > 0)
            pool.set_peers({ "b" });
        std::function<void(AdviceReply)> again = [&](const AdviceReply&) {
            pool.ask(query_of("quick", 2, 30),
                     [&](const AdviceReply& reply) { again(reply); });
        };
        for (int i = 0; i < 6; ++i)
            again({});
        AdviceQuery slow = query_of("slow", 1, 500);
        slow.waiting_since = world.now();
        bool answered = false;
        pool.ask(slow, [&](const AdviceReply&) { answered = true; });
        world.run_for(Millis(3000));
        const bool at_peer = !peers.asked["b"].empty()
            && std::count(peers.asked["b"].begin(), peers.asked["b"].end(), "slow") > 0;
        BOOST_TEST((answered || at_peer), peer_count << " peers");
    }
}

// A slow query that has just arrived leaves idle callers to faster ones.
BOOST_AUTO_TEST_CASE(new_slow_queries_leave_the_callers_of_faster_ones)
{
    emulator::World world(13);
    emulator::ProcessLoop loop(world);
    CountingAdvisor advisor(world);
    SilentPeers peers(world);
    AdvicePool pool(loop, advisor, peers);
    pool.set_peers({ "b", "c" });
    for (const char* step : { "s1", "s2" }) {
        AdviceQuery slow = query_of(step, 1, 500);
        slow.waiting_since = world.now();
        pool.ask(slow, [](const AdviceReply&) {});
    }
    world.run_for(Millis(10));
    BOOST_TEST(peers.asked["b"].empty());
    BOOST_TEST(peers.asked["c"].size() == 1U);
}
