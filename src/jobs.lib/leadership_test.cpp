// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Leader election and head rows: what a claim and a write of the head row prove, and what
/// they don't.

#define BOOST_TEST_MODULE leadership
#include <boost/test/unit_test.hpp>

#include "head_log.h"
#include "leadership.h"
#include "store_keys.h"

#include <pathport/emulator/store.h>
#include <pathport/log.h>

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

using namespace pathport;
using namespace pathport::jobs;

namespace {

struct LogFixture {
    LogFixture() { start_log("test", LogLevel::error); }
};

/// Executes writes without ever replying to them.
class UnresponsiveStore : public JobStore {
public:
    UnresponsiveStore(emulator::Store& store, emulator::ProcessLoop& loop)
        : m_store(store)
        , m_port(store, loop, "b")
    {
    }
    int writes = 0;
    void write(const StoreWrite& write, Millis, StoreReply) override
    {
        ++writes;
        m_store.write_now(write);
    }
    void read(const StoreRange& range, Millis timeout, StoreReply done) override
    {
        m_port.read(range, timeout, std::move(done));
    }
    void watch(const std::string& table, int64_t version, Millis wait,
               StoreReply done) override
    {
        m_port.watch(table, version, wait, std::move(done));
    }

private:
    emulator::Store& m_store;
    emulator::StorePort m_port;
};

/// Holds messages until the test answers them.
class HeldPeers : public PeerClient {
public:
    std::vector<PeerReply> open;
    /// If set, the answer to each question whether a node can claim.
    std::optional<PeerAnswer> candidacy;
    int candidacy_asked = 0;
    void send(const std::string&, const PeerRequest& request, Millis,
              PeerReply done) override
    {
        if (request.topic == PeerTopic::candidacy) {
            ++candidacy_asked;
            if (candidacy)
                done(PeerEnd::answered, *candidacy);
            return;
        }
        open.push_back(std::move(done));
    }
};

class Elections : public LeadershipListener {
public:
    int count = 0;
    bool store_fast = true;
    void elected(const Claim&, const std::string&) override { ++count; }
    void fill_heartbeat(PeerRequest&) override { }
    void leader_answered(const PeerAnswer&) override { }
    void leader_unknown() override { }
    bool could_lead() const override { return store_fast; }
};

/// A node of 500 millicores that follows a leader which writes its row all the time and
/// answers each heartbeat after `answer_delay`.
class AnsweredFollower {
public:
    explicit AnsweredFollower(int leader_millicores)
        : m_leader_millicores(leader_millicores)
        , m_leadership(m_loop, m_port, m_peers, { "b", "b", "y", 500 }, elections)
    {
        StoreWrite rows;
        rows.puts.push_back(
            { lead_row(leader_key),
              encode(LeaderValue { 1, { "a", "a", "x", leader_millicores } }) });
        m_store.write_now(rows);
        write_head();
        m_leadership.begin();
    }

    /// Returns the time until the follower is elected; `limit` if it is not.
    Millis time_until_elected(Millis limit)
    {
        const Millis begun = m_world.now();
        while (elections.count == 0 && m_world.now() - begun < limit) {
            for (const PeerReply& reply : std::exchange(m_peers.open, {})) {
                ++heartbeats;
                if (!answers) {
                    m_world.after(Millis(1200), [reply] { reply(PeerEnd::silent, {}); });
                    continue;
                }
                m_world.after(answer_delay, [this, reply] {
                    PeerAnswer answer;
                    answer.node = "a";
                    answer.incarnation = "x";
                    answer.leads = true;
                    answer.epoch = answer_epoch;
                    answer.cpu_millicores = m_leader_millicores;
                    reply(PeerEnd::answered, answer);
                });
            }
            m_world.run_for(Millis(1));
            if (m_world.now() - m_head_written >= write_interval)
                write_head();
        }
        return m_world.now() - begun;
    }

    const Leadership& leadership() const { return m_leadership; }

    Millis answer_delay { 2 };
    Millis write_interval { 200 };
    bool answers = true;
    int64_t answer_epoch = 1;
    int heartbeats = 0; ///< Number that the follower has sent.
    Elections elections;

private:
    void write_head()
    {
        m_head_written = m_world.now();
        StoreWrite write;
        write.puts.push_back(
            { lead_row(head_key), encode(HeadValue { 1, ++m_number, "x", {} }) });
        m_store.write_now(write);
    }

    emulator::World m_world { 11 };
    emulator::Store m_store { m_world };
    emulator::ProcessLoop m_loop { m_world };
    emulator::StorePort m_port { m_store, m_loop, "b" };
    HeldPeers m_peers;
    int m_leader_millicores;
    int64_t m_number = 0;
    Millis m_head_written;
    Leadership m_leadership;
};

class PlainOwner : public HeadLogOwner {
public:
    std::optional<std::string> progress_of(const std::string& job) override
    {
        return "progress of " + job;
    }
    std::vector<std::string> unrecorded_workers(bool, size_t) override { return {}; }
    SilentWorkers silent_workers() override { return {}; }
    void head_written() override { }
    void early_orders_enabled() override { }
    void log_fenced() override { }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// Guards against a second election in the same epoch: a claim whose reply is late is found
// in the rows, the node leads, and then the reply arrives. A second scheduler would start
// with the old version of the head row, the same fences and the same run ids.
BOOST_AUTO_TEST_CASE(one_claim_elects_once)
{
    emulator::World world { 3 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    UnresponsiveStore port { store, loop };
    HeldPeers peers;
    Elections elections;
    StoreWrite rows;
    rows.puts.push_back(
        { lead_row(leader_key), encode(LeaderValue { 1, { "a", "a", "x", 1000 } }) });
    rows.puts.push_back({ lead_row(head_key), encode(HeadValue { 1, 5, "x", {} }) });
    store.write_now(rows);
    Leadership leadership(loop, port, peers, { "b", "b", "y", 1000 }, elections);
    leadership.begin();
    world.run_for(Millis(40));
    BOOST_REQUIRE(peers.open.size() == 1U); // A heartbeat is open.
    leadership.leader_resigned(1);
    for (int i = 0; i < 100 && port.writes == 0; ++i)
        world.run_for(Millis(1));
    BOOST_REQUIRE(port.writes == 1);
    PeerAnswer answer; // The answer to that heartbeat.
    answer.incarnation = "x";
    answer.leads = true;
    answer.resigned = true;
    answer.epoch = 1;
    peers.open[0](PeerEnd::answered, answer);
    world.run_for(Millis(3000));
    BOOST_TEST(elections.count == 1);
}

// A follower must detect quickly that a heartbeat was lost on a dead connection: the read
// of the rows may hang on a dead connection as well, and clients' calls are not forwarded
// to the leader until it counts as responsive again.
BOOST_AUTO_TEST_CASE(lost_heartbeat_is_sent_again_while_the_rows_are_read)
{
    emulator::World world { 4 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort port { store, loop, "b" };
    HeldPeers peers;
    Elections elections;
    StoreWrite rows;
    rows.puts.push_back(
        { lead_row(leader_key), encode(LeaderValue { 1, { "a", "a", "x", 1000 } }) });
    rows.puts.push_back({ lead_row(head_key), encode(HeadValue { 1, 5, "x", {} }) });
    store.write_now(rows);
    Leadership leadership(loop, port, peers, { "b", "b", "y", 1000 }, elections);
    leadership.begin();
    world.run_for(Millis(40));
    BOOST_REQUIRE(peers.open.size() == 1U);
    PeerAnswer answer;
    answer.incarnation = "x";
    answer.leads = true;
    answer.epoch = 1;
    peers.open[0](PeerEnd::answered, answer);
    world.run_for(Millis(400));
    BOOST_REQUIRE(peers.open.size() == 2U);
    store.injected.unresponsive = true; // For this node only; the leader is healthy.
    peers.open[1](PeerEnd::silent, {});
    world.run_for(Millis(5));
    BOOST_REQUIRE(peers.open.size() == 3U);
    // While it is open, no other heartbeat goes to the same leader.
    world.run_for(Millis(290));
    BOOST_TEST(peers.open.size() == 3U);
    peers.open[2](PeerEnd::answered, answer);
    BOOST_TEST(leadership.leader_responsive());
    world.run_for(Millis(2000));
    BOOST_TEST(elections.count == 0);
    BOOST_TEST(peers.open.size() > 3U);
}

// Guards against a claim for a reason that has passed: a leader resigns in an outage of the
// store and resumes; seconds later one of its answers is late, and a follower that
// remembers the resignation takes its place although it writes its row all the time.
BOOST_AUTO_TEST_CASE(resumed_leader_is_not_replaced_for_its_resignation)
{
    emulator::World world { 5 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort port { store, loop, "b" };
    HeldPeers peers;
    Elections elections;
    const auto write_head = [&store](int64_t number) {
        StoreWrite write;
        write.puts.push_back(
            { lead_row(head_key), encode(HeadValue { 1, number, "x", {} }) });
        store.write_now(write);
    };
    StoreWrite rows;
    rows.puts.push_back(
        { lead_row(leader_key), encode(LeaderValue { 1, { "a", "a", "x", 1000 } }) });
    store.write_now(rows);
    write_head(5);
    Leadership leadership(loop, port, peers, { "b", "b", "y", 1000 }, elections);
    leadership.begin();
    world.run_for(Millis(40));
    BOOST_REQUIRE(peers.open.size() == 1U);
    PeerAnswer answer;
    answer.incarnation = "x";
    answer.leads = true;
    answer.epoch = 1;
    PeerAnswer resignation = answer;
    resignation.resigned = true;
    store.injected.refuse_calls = true;
    peers.open[0](PeerEnd::answered, resignation);
    world.run_for(Millis(400));
    BOOST_REQUIRE(peers.open.size() == 2U);
    peers.open[1](PeerEnd::answered, answer);
    world.run_for(Millis(400));
    BOOST_REQUIRE(peers.open.size() == 3U);
    store.injected.refuse_calls = false;
    peers.open[2](PeerEnd::silent, {});
    for (int64_t number = 6; number < 16; ++number) {
        world.run_for(Millis(200));
        write_head(number);
    }
    BOOST_TEST(elections.count == 0);
}

// Guards against counting an outage of the store as the leader's silence: while the store
// refuses all nodes, the leader can't write its row either.
BOOST_AUTO_TEST_CASE(outage_of_the_store_is_no_stall_of_the_head_row)
{
    emulator::World world { 6 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort port { store, loop, "b" };
    HeldPeers peers;
    Elections elections;
    StoreWrite rows;
    rows.puts.push_back(
        { lead_row(leader_key), encode(LeaderValue { 1, { "a", "a", "x", 1000 } }) });
    rows.puts.push_back({ lead_row(head_key), encode(HeadValue { 1, 5, "x", {} }) });
    store.write_now(rows);
    Leadership leadership(loop, port, peers, { "b", "b", "y", 1000 }, elections);
    leadership.begin();
    world.run_for(Millis(40));
    BOOST_REQUIRE(peers.open.size() == 1U);
    // Silence that begins just before the outage and lasts until just after it.
    const auto stay_silent = [&](Millis span) {
        const Millis until = world.now() + span;
        while (world.now() < until) {
            const std::vector<PeerReply> open = std::exchange(peers.open, {});
            for (const PeerReply& reply : open)
                reply(PeerEnd::silent, {});
            world.run_for(Millis(20));
        }
    };
    stay_silent(Millis(200));
    store.injected.refuse_calls = true;
    stay_silent(Millis(4000));
    store.injected.refuse_calls = false;
    stay_silent(Millis(300));
    BOOST_TEST(elections.count == 0);
    // A leader that is gone is still replaced.
    stay_silent(Millis(2000));
    BOOST_TEST(elections.count == 1);
}

// Guards against a weak node that waited once for stronger ones and then, when the leader
// falls silent for good, claims without asking them: its wait was for an earlier standstill
// of a leader that wrote its row again, but never answered this node.
BOOST_AUTO_TEST_CASE(weak_node_asks_again_after_the_leader_has_written_its_row)
{
    emulator::World world { 7 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort port { store, loop, "b" };
    HeldPeers peers;
    Elections elections;
    int64_t number = 0;
    const auto write_head = [&store, &number] {
        StoreWrite write;
        write.puts.push_back(
            { lead_row(head_key), encode(HeadValue { 1, ++number, "x", {} }) });
        store.write_now(write);
    };
    StoreWrite rows;
    rows.puts.push_back(
        { lead_row(leader_key), encode(LeaderValue { 1, { "a", "a", "x", 500 } }) });
    store.write_now(rows);
    write_head();
    Leadership leadership(loop, port, peers, { "b", "b", "y", 120 }, elections);
    leadership.begin();
    world.run_for(Millis(40));
    BOOST_REQUIRE(peers.open.size() == 1U);
    PeerAnswer answer;
    answer.incarnation = "x";
    answer.leads = true;
    answer.epoch = 1;
    answer.candidates.push_back({ "c", 500 });
    std::exchange(peers.open, {})[0](PeerEnd::answered, answer);
    const auto stay_silent = [&](Millis span) {
        const Millis until = world.now() + span;
        while (world.now() < until) {
            for (const PeerReply& reply : std::exchange(peers.open, {}))
                reply(PeerEnd::silent, {});
            world.run_for(Millis(20));
        }
    };
    for (int i = 0; i < 200 && peers.candidacy_asked == 0; ++i)
        stay_silent(Millis(20));
    BOOST_REQUIRE(peers.candidacy_asked == 1);
    for (int i = 0; i < 20; ++i) {
        write_head();
        stay_silent(Millis(200));
    }
    BOOST_REQUIRE(elections.count == 0);
    peers.candidacy = PeerAnswer();
    peers.candidacy->served = true;
    stay_silent(Millis(2000));
    BOOST_TEST(peers.candidacy_asked > 1);
    BOOST_TEST(elections.count == 0);
    // Stronger nodes that never claim are not waited for without end.
    stay_silent(Millis(6000));
    BOOST_TEST(elections.count == 1);
}

// Guards against a weak node that leads for as long as it answers, for whatever reason it
// does not hand over: a more powerful follower that the store serves waited for it without
// a bound, while accepted jobs stood.
BOOST_AUTO_TEST_CASE(more_powerful_follower_does_not_wait_for_a_hand_over_without_end)
{
    constexpr Millis limit { 10000 };
    constexpr Millis standstill { 3000 }; // The users' limit for jobs with free capacity.
    constexpr Millis heartbeat_time { 500 }; // In large cells.
    AnsweredFollower prompt(120);
    const Millis waited = prompt.time_until_elected(limit);
    BOOST_TEST((waited < standstill), waited.count() << " ms");
    // The leader has heard of it by then.
    BOOST_TEST((waited > heartbeat_time), waited.count() << " ms");
    // Late answers don't count for a more powerful node, but the row is written.
    AnsweredFollower late(120);
    late.answer_delay = Millis(500);
    BOOST_TEST((late.time_until_elected(limit) < standstill));
    // A leader under load writes its row back to back.
    AnsweredFollower busy(120);
    busy.write_interval = Millis(16);
    BOOST_TEST((busy.time_until_elected(limit) < standstill));
}

// A leader of equal or unknown processor time stays, and so does a weaker one while the
// store is too slow for a new leader, which would read all open jobs.
BOOST_AUTO_TEST_CASE(leader_is_not_overtaken_without_need)
{
    constexpr Millis limit { 10000 };
    AnsweredFollower equal(500);
    BOOST_TEST((equal.time_until_elected(limit) == limit));
    AnsweredFollower unknown(0);
    BOOST_TEST((unknown.time_until_elected(limit) == limit));
    AnsweredFollower slow_store(120);
    slow_store.elections.store_fast = false;
    BOOST_TEST((slow_store.time_until_elected(limit) == limit));
    slow_store.elections.store_fast = true;
    const Millis waited = slow_store.time_until_elected(limit);
    BOOST_TEST((waited < Millis(3000) && waited > Millis(500)), waited.count() << " ms");
}

// Guards against a node that is cut off from its peers and takes the leadership from a
// weaker leader that the others follow: nobody would hear its answers, and as it writes its
// row nobody would replace it.
BOOST_AUTO_TEST_CASE(node_that_does_not_hear_the_leader_leaves_it_alone)
{
    constexpr Millis limit { 10000 };
    AnsweredFollower cut_off(120);
    cut_off.answers = false;
    BOOST_TEST((cut_off.time_until_elected(limit) == limit));
    AnsweredFollower heard_before(120);
    heard_before.time_until_elected(Millis(700));
    heard_before.answers = false;
    BOOST_TEST((heard_before.time_until_elected(limit) == limit));
    BOOST_TEST(heard_before.heartbeats > 10);
}

// Guards against a follower that keeps an earlier epoch of its leader, which claimed twice:
// it ignored the hand-over of the later epoch, and told others the earlier one.
BOOST_AUTO_TEST_CASE(follower_learns_a_later_epoch_from_the_leaders_answers)
{
    AnsweredFollower follower(500);
    follower.answer_epoch = 2;
    follower.time_until_elected(Millis(1500));
    BOOST_TEST(follower.leadership().epoch() == 2);
    BOOST_TEST(follower.elections.count == 0);
}

// Guards against a weak node that claims again and again beside strong ones: its process
// ends after a claim, and the next one finds its own address in the leader row, which it
// takes for vacant, while it knows of no candidates.
BOOST_AUTO_TEST_CASE(restarted_weak_node_asks_the_candidates_of_its_own_leader_row)
{
    emulator::World world { 11 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort port { store, loop, "b" };
    HeldPeers peers;
    peers.candidacy = PeerAnswer();
    peers.candidacy->served = true;
    Elections elections;
    StoreWrite rows;
    rows.puts.push_back({ lead_row(leader_key), R"([3,"b","b","x",120,[["c",500]]])" });
    rows.puts.push_back({ lead_row(head_key), encode(HeadValue { 3, 0, "x", {} }) });
    store.write_now(rows);
    Leadership leadership(loop, port, peers, { "b", "b", "y", 120 }, elections);
    leadership.begin();
    world.run_for(Millis(2000));
    BOOST_TEST(peers.candidacy_asked > 0);
    BOOST_TEST(elections.count == 0);
    // Stronger nodes that never claim are not waited for without end.
    world.run_for(Millis(6000));
    BOOST_TEST(elections.count == 1);
}

// Guards against the same after the next claim: a process that ends right after its claim
// has to leave the candidates that it knew in the row, also those that it read there.
BOOST_AUTO_TEST_CASE(claim_keeps_the_candidates_in_the_leader_row)
{
    for (const bool reply_lost : { false, true }) {
        emulator::World world { 12 };
        emulator::Store store { world };
        emulator::ProcessLoop loop { world };
        emulator::StorePort answering { store, loop, "b" };
        UnresponsiveStore unanswering { store, loop };
        HeldPeers peers;
        Elections elections;
        StoreWrite rows;
        rows.puts.push_back(
            { lead_row(leader_key), R"([3,"b","b","x",120,[["c",500],["b",120]]])" });
        rows.puts.push_back({ lead_row(head_key), encode(HeadValue { 3, 0, "x", {} }) });
        store.write_now(rows);
        JobStore& port = reply_lost ? static_cast<JobStore&>(unanswering) : answering;
        Leadership leadership(loop, port, peers, { "b", "b", "y", 120 }, elections);
        leadership.begin();
        world.run_for(Millis(2000));
        BOOST_TEST(elections.count == 1);
        const auto row = nlohmann::json::parse(store.value(lead_row(leader_key)));
        BOOST_TEST(row.at(0).get<int>() == 4);
        BOOST_REQUIRE(row.size() == 6U);
        BOOST_TEST(row.at(5).dump() == R"([["c",500]])");
    }
}

// A node that has heard from a leader goes by its answer: the row may be hours old.
BOOST_AUTO_TEST_CASE(answer_of_the_leader_replaces_the_candidates_of_its_row)
{
    emulator::World world { 13 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort port { store, loop, "b" };
    HeldPeers peers;
    Elections elections;
    StoreWrite rows;
    rows.puts.push_back({ lead_row(leader_key), R"([3,"a","a","x",500,[["c",500]]])" });
    rows.puts.push_back({ lead_row(head_key), encode(HeadValue { 3, 0, "x", {} }) });
    store.write_now(rows);
    Leadership leadership(loop, port, peers, { "b", "b", "y", 120 }, elections);
    leadership.begin();
    world.run_for(Millis(40));
    BOOST_REQUIRE(peers.open.size() == 1U);
    BOOST_REQUIRE(leadership.candidates().size() == 1U);
    PeerAnswer answer;
    answer.incarnation = "x";
    answer.leads = true;
    answer.epoch = 3;
    answer.candidates = { { "d", 500 }, { "e", 120 } };
    std::exchange(peers.open, {})[0](PeerEnd::answered, answer);
    world.run_for(Millis(400));
    BOOST_TEST((leadership.candidates() == answer.candidates));
}

// Guards against a second claim at once by a process that a worker's fence has deposed: the
// rows still name it, and stronger nodes can claim.
BOOST_AUTO_TEST_CASE(deposed_weak_node_that_the_rows_still_name_asks_stronger_ones)
{
    emulator::World world { 14 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort port { store, loop, "b" };
    HeldPeers peers;
    Elections elections;
    StoreWrite rows;
    rows.puts.push_back({ lead_row(leader_key), R"([3,"b","b","x",120,[["c",500]]])" });
    rows.puts.push_back({ lead_row(head_key), encode(HeadValue { 3, 0, "x", {} }) });
    store.write_now(rows);
    Leadership leadership(loop, port, peers, { "b", "b", "y", 120 }, elections);
    leadership.begin();
    world.run_for(Millis(2000));
    BOOST_REQUIRE(elections.count == 1);
    const int asked = peers.candidacy_asked;
    peers.candidacy = PeerAnswer();
    peers.candidacy->served = true;
    StoreWrite logged; // The log's first write.
    logged.puts.push_back({ lead_row(head_key), encode(HeadValue { 4, 7, "y", {} }) });
    store.write_now(logged);
    leadership.deposed();
    world.run_for(Millis(2000));
    BOOST_TEST(peers.candidacy_asked > asked);
    BOOST_TEST(elections.count == 1);
}

// A node whose promise ends soon is worth waiting for, so a weaker one that asks is told
// that it can claim.
BOOST_AUTO_TEST_CASE(promise_that_ends_soon_does_not_rule_out_a_claim)
{
    emulator::World world { 15 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort port { store, loop, "b" };
    HeldPeers peers;
    Elections elections;
    Leadership leadership(loop, port, peers, { "b", "b", "y", 500 }, elections);
    leadership.promise_no_claim_until(world.now() + Millis(1000));
    BOOST_TEST(leadership.may_claim());
    leadership.retire();
    BOOST_TEST(!leadership.may_claim());
}

// Guards against a consequence of electing a node twice for one claim: the second log's
// first write would have the same head as the first log's first write, and would be taken
// for committed although its rows were never written.
BOOST_AUTO_TEST_CASE(head_of_another_log_does_not_prove_a_write)
{
    emulator::World world { 9 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort port { store, loop, "b" };
    PlainOwner owner;
    const HeadValue claimed { 2, 0, "y", {} };
    StoreWrite claim;
    claim.puts.push_back({ lead_row(head_key), encode(claimed) });
    const int64_t version = store.write_now(claim).version;
    {
        HeadLog first(loop, port, owner, claimed, version, world.now());
        first.record("a");
        world.run_for(Millis(100));
    }
    BOOST_REQUIRE(!store.value(progress_row("a")).empty());
    HeadLog second(loop, port, owner, claimed, version, world.now());
    bool recorded = false;
    second.record("b", [&recorded] { recorded = true; });
    world.run_for(Millis(300));
    BOOST_TEST((!recorded || !store.value(progress_row("b")).empty()));
}

// A head row in the format of an earlier version must be decoded, and not be taken for one
// without unrecorded tasks.
BOOST_AUTO_TEST_CASE(head_row_of_earlier_versions_is_decoded)
{
    BOOST_TEST(decode_head("[7,44,\"x\",true]").has_value());
    BOOST_TEST(decode_head("[7,44,\"x\",false]").has_value());
}

// Rows of earlier versions name no candidates, and earlier versions read the first five
// elements of a row.
BOOST_AUTO_TEST_CASE(leader_row_without_candidates_is_as_before)
{
    const LeaderValue plain { 3, { "b", "b", "x", 120 } };
    BOOST_TEST(encode(plain) == R"([3,"b","b","x",120])");
    BOOST_TEST(decode_leader(encode(plain)).has_value());
}
