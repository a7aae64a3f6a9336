// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#define BOOST_TEST_MODULE ownership
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <pathport/admission.h>
#include <pathport/ids.h>
#include <pathport/membership.h>

#include <algorithm>
#include <set>

using namespace pathport;

namespace {

constexpr Millis start { 100000 };

NodeRecord node(const std::string& name, int64_t counter = 1,
                const std::string& region = "r1")
{
    NodeRecord record;
    record.node = name;
    record.incarnation = name + "-1";
    record.counter = counter;
    record.region = region;
    return record;
}

Membership observed_twice(const std::string& name)
{
    Membership members("self", MembershipSpans(), start);
    members.observe(node(name, 1), 1, start, start);
    members.observe(node(name, 2), 2, start + Millis(500), start);
    return members;
}

// Applies the steps of all nodes until nothing changes, as the table would.
std::vector<ShardView> settle(std::vector<ShardView> shards,
                              const std::vector<NodeRecord>& live,
                              const std::set<std::string>& dead)
{
    std::map<std::string, bool> is_dead;
    for (const std::string& name : dead)
        is_dead[name] = true;
    for (int round = 0; round < 200; ++round) {
        bool changed = false;
        for (const NodeRecord& self : live) {
            for (const OwnershipStep& step : plan_ownership(self, live, is_dead, shards)) {
                for (ShardView& shard : shards) {
                    if (shard.shard != step.record.shard
                        || shard.row_version != step.row_version)
                        continue;
                    shard.record = step.record;
                    ++shard.row_version;
                    changed = true;
                }
            }
        }
        if (!changed)
            break;
    }
    return shards;
}

std::map<std::string, int> owners_of(const std::vector<ShardView>& shards)
{
    std::map<std::string, int> counts;
    for (const ShardView& shard : shards)
        ++counts[shard.record ? shard.record->owner : ""];
    return counts;
}

std::vector<ShardView> make_shards(int count)
{
    std::vector<ShardView> shards;
    for (int i = 0; i < count; ++i)
        shards.push_back({ "s" + std::to_string(i), "r1", std::nullopt, 0 });
    return shards;
}

std::string id_at(Millis time)
{
    return make_uuid7(time);
}

} // namespace

BOOST_AUTO_TEST_CASE(node_is_dead_only_after_its_counter_stood_still)
{
    Membership members = observed_twice("a");
    BOOST_TEST(!members.may_take_from("a", start + Millis(2299)));
    BOOST_TEST(members.may_take_from("a", start + Millis(2300)));
    members.observe(node("a", 3), 3, start + Millis(2300), start);
    BOOST_TEST(!members.may_take_from("a", start + Millis(2300)));
}

// A node that has just started knows nothing of when a row was last written.
BOOST_AUTO_TEST_CASE(new_node_takes_nothing_from_nodes_it_never_met)
{
    Membership members("self", MembershipSpans(), start);
    members.observe(node("a"), 1, start, start);
    BOOST_TEST(!members.may_take_from("a", start + Millis(5000)));
    BOOST_TEST(members.may_take_from("a", start + Millis(10000)));
}

// Trap 3: a node that can't write to the table, but whose peers hear it, keeps its shards
// while the table is away for all, and loses them when it alone is cut off.
BOOST_AUTO_TEST_CASE(promise_holds_back_a_taker_until_it_ends)
{
    Membership members = observed_twice("a");
    const Millis stale = start + Millis(3000);
    BOOST_TEST((members.promise_to("a", "a-1", false, stale) == Millis(1500)));
    BOOST_TEST(!members.may_take_from("a", stale + Millis(1499)));
    BOOST_TEST(members.may_take_from("a", stale + Millis(1500)));
    BOOST_TEST((members.promise_to("a", "a-1", true, stale) == Millis()));
}

// A node whose row stands still is given nothing, although peers hear it: its shards were
// once all meant for itself, so that nobody took them.
BOOST_AUTO_TEST_CASE(node_that_can_not_write_its_row_is_given_nothing)
{
    Membership members = observed_twice("a");
    const Millis stale = start + Millis(3000);
    members.heard("a", "a-1", stale);
    BOOST_TEST(members.is_live("a", stale));
    BOOST_TEST(members.live(node("self"), stale).size() == 2U);
    BOOST_TEST(members.owners(node("self"), stale).size() == 1U);
    BOOST_TEST(members.may_take_from("a", stale));
}

// A node that had just joined was stopped; in the same moment another gave it a range. It
// wrote that it had left in the transaction that read the gift.
BOOST_AUTO_TEST_CASE(node_tells_that_it_leaves_before_it_has_left)
{
    Departure departure;
    BOOST_TEST((departure.next(false, true) == NodeState::live));
    BOOST_TEST((departure.next(true, true) == NodeState::leaving));
    departure.taken(NodeState::leaving);
    BOOST_TEST((departure.next(true, false) == NodeState::leaving));
    BOOST_TEST((departure.next(true, true) == NodeState::left));
}

BOOST_AUTO_TEST_CASE(node_reads_changed_rows_before_it_has_left)
{
    Departure departure;
    departure.taken(NodeState::leaving);
    departure.overtaken();
    BOOST_TEST((departure.next(true, true) == NodeState::leaving));
    departure.taken(NodeState::leaving);
    BOOST_TEST((departure.next(true, true) == NodeState::left));
}

BOOST_AUTO_TEST_CASE(promise_is_for_one_incarnation)
{
    Membership members = observed_twice("a");
    BOOST_TEST((members.promise_to("a", "a-2", false, start) == Millis()));
    BOOST_TEST((members.promise_to("b", "b-1", false, start) == Millis()));
}

BOOST_AUTO_TEST_CASE(shards_are_shared_out_evenly_and_follow_a_death)
{
    const std::vector<NodeRecord> three = { node("a"), node("b"), node("c") };
    auto shards = settle(make_shards(9), three, {});
    for (const auto& count : owners_of(shards))
        BOOST_TEST(count.second == 3);
    const auto before = shards;
    shards = settle(shards, { three[0], three[1] }, { "c" });
    BOOST_TEST(owners_of(shards).count("c") == 0U);
    for (size_t i = 0; i < shards.size(); ++i) {
        const bool was_dead = before[i].record->owner == "c";
        const bool changed = before[i].record->owner != shards[i].record->owner;
        BOOST_TEST(was_dead == changed);
        BOOST_TEST(shards[i].record->epoch == before[i].record->epoch + (changed ? 1 : 0));
    }
}

BOOST_AUTO_TEST_CASE(leaving_node_gives_all_away_and_a_joining_one_gets_its_part)
{
    std::vector<NodeRecord> two = { node("a"), node("b") };
    auto shards = settle(make_shards(8), two, {});
    NodeRecord leaving = two[1];
    leaving.state = NodeState::leaving;
    const auto steps = plan_ownership(leaving, { two[0] }, {}, shards);
    BOOST_TEST(steps.size() == 4U);
    for (const OwnershipStep& step : steps)
        BOOST_TEST(step.record.owner == "a");
    two.push_back(node("c"));
    shards = settle(shards, two, {});
    for (const auto& count : owners_of(shards))
        BOOST_TEST(count.second >= 2);
}

// A node that is stopped right after its start gives on at once what others have just given
// it. Only what an earlier process of the node owned has to wait for that process's lease;
// the node once waited with all of it and ended before, so that its ids were in doubt.
BOOST_AUTO_TEST_CASE(only_shards_of_an_earlier_process_wait_for_its_lease)
{
    NodeRecord restarted = node("a");
    restarted.incarnation = "a-2";
    std::vector<ShardView> shards = make_shards(2);
    shards[0].record = ShardRecord { "s0", "a", "a-1", 4 };
    shards[1].record = ShardRecord { "s1", "a", "a-2", 7 };
    const auto claims = plan_ownership(restarted, { restarted }, {}, shards);
    BOOST_REQUIRE(claims.size() == 1U);
    BOOST_TEST(claims[0].record.shard == "s0");
    BOOST_TEST(claims[0].from_earlier_process);
    restarted.state = NodeState::leaving;
    const auto gifts = plan_ownership(restarted, { node("b") }, {}, shards);
    BOOST_REQUIRE(gifts.size() == 1U);
    BOOST_TEST(gifts[0].record.shard == "s1");
    BOOST_TEST(!gifts[0].from_earlier_process);
}

BOOST_AUTO_TEST_CASE(shards_stay_in_their_region_while_a_node_lives_there)
{
    std::vector<ShardView> shards = make_shards(6);
    for (size_t i = 0; i < shards.size(); ++i)
        shards[i].region = i < 4 ? "r1" : "r2";
    const std::vector<NodeRecord> nodes = { node("a"), node("b", 1, "r2") };
    shards = settle(shards, nodes, {});
    for (const ShardView& shard : shards)
        BOOST_TEST(shard.record->owner == (shard.region == "r1" ? "a" : "b"));
    shards = settle(shards, { nodes[0] }, { "b" });
    BOOST_TEST(owners_of(shards)["a"] == 6);
    shards = settle(shards, nodes, {});
    for (const ShardView& shard : shards)
        BOOST_TEST(shard.record->owner == (shard.region == "r1" ? "a" : "b"));
}

RC_BOOST_PROP(every_shard_gets_one_live_owner, ())
{
    const int shard_count = *rc::gen::inRange(1, 60);
    const int node_count = *rc::gen::inRange(1, 9);
    std::vector<NodeRecord> live;
    for (int i = 0; i < node_count; ++i)
        live.push_back(node("n" + std::to_string(i)));
    auto shards = settle(make_shards(shard_count), live, {});
    std::set<std::string> dead;
    while (live.size() > 1 && *rc::gen::arbitrary<bool>()) {
        dead.insert(live.back().node);
        live.pop_back();
    }
    shards = settle(shards, live, dead);
    int least = shard_count;
    int most = 0;
    const auto counts = owners_of(shards);
    for (const NodeRecord& n : live) {
        const auto found = counts.find(n.node);
        const int count = found == counts.end() ? 0 : found->second;
        least = std::min(least, count);
        most = std::max(most, count);
    }
    RC_ASSERT(most - least <= 1);
    for (const auto& count : counts)
        RC_ASSERT(dead.count(count.first) == 0U);
}

BOOST_AUTO_TEST_CASE(id_is_admitted_once_and_again_only_after_release)
{
    AdmissionLedger ledger { AdmissionSpans() };
    const std::string id = id_at(start);
    const int range = admission_range(id);
    BOOST_TEST((ledger.admit(id, start, start) == AdmissionVerdict::not_owner));
    ledger.acquire(range, 1, start - Millis(60000));
    BOOST_TEST((ledger.admit(id, start, start) == AdmissionVerdict::admitted));
    BOOST_TEST((ledger.admit(id, start, start) == AdmissionVerdict::duplicate));
    ledger.release(id);
    BOOST_TEST((ledger.admit(id, start, start) == AdmissionVerdict::admitted));
}

BOOST_AUTO_TEST_CASE(id_from_the_future_or_too_old_is_not_admitted)
{
    const AdmissionSpans spans;
    AdmissionLedger ledger(spans);
    const std::string id = id_at(start);
    ledger.acquire(admission_range(id), 1, start - Millis(600000));
    BOOST_TEST((ledger.admit(id, start, start - spans.margin - Millis(1))
                == AdmissionVerdict::too_new));
    BOOST_TEST(
        (ledger.admit(id, start, start + spans.memory) == AdmissionVerdict::unknown));
    // A thread that was held up before the clock moved on must not bring the old time back.
    BOOST_TEST((ledger.admit(id, start, start) == AdmissionVerdict::unknown));
}

// Traps 1 and 6: the caller repeats through another node while the owner of the id's range
// is paused after its check; a successor decides meanwhile. Whatever the order, one admits
// it.
RC_BOOST_PROP(two_owners_never_both_admit_an_id, ())
{
    const AdmissionSpans spans;
    AdmissionLedger old_owner(spans);
    AdmissionLedger successor(spans);
    const Millis taken(*rc::gen::inRange<int64_t>(100000, 200000));
    // The old owner decided at a moment at which it held its lease, so before the
    // take-over.
    const Millis decided(*rc::gen::inRange<int64_t>(90000, taken.count()));
    const Millis id_time(*rc::gen::inRange<int64_t>(80000, 210000));
    const Millis later = taken + Millis(*rc::gen::inRange<int64_t>(0, 20000));
    const std::string id = id_at(id_time);
    const int range = admission_range(id);
    old_owner.acquire(range, 1, Millis(0));
    successor.acquire(range, 1, taken);
    const auto first = old_owner.admit(id, id_time, decided);
    const auto second = successor.admit(id, id_time, later);
    RC_ASSERT(first != AdmissionVerdict::admitted || second != AdmissionVerdict::admitted);
}

// At a planned hand-over the memory goes along: what was admitted stays known, and fresh
// ids are not in doubt. It may come before or after the new owner has read its row.
BOOST_AUTO_TEST_CASE(memory_of_a_range_goes_to_its_next_owner)
{
    const std::string old_id = id_at(start);
    const std::string new_id = id_at(start);
    const int range = admission_range(old_id);
    for (const bool memory_first : { true, false }) {
        AdmissionLedger giver { AdmissionSpans() };
        AdmissionLedger taker { AdmissionSpans() };
        giver.acquire(range, 1, Millis(0));
        giver.admit(old_id, start, start);
        const auto memory = giver.lose(range);
        BOOST_TEST((giver.admit(old_id, start, start) == AdmissionVerdict::not_owner));
        if (memory_first)
            taker.take_memory(range, 2, memory);
        taker.acquire(range, 2, start + Millis(10));
        if (!memory_first)
            taker.take_memory(range, 2, memory);
        BOOST_TEST((taker.admit(old_id, start, start) == AdmissionVerdict::duplicate));
        if (admission_range(new_id) == range)
            BOOST_TEST((taker.admit(new_id, start, start) == AdmissionVerdict::admitted));
    }
}

// The first owner dies, the second takes over behind a barrier and gives the range away at
// once: the third must not admit what the first one did. It once did, under load in
// frozen_node.
BOOST_AUTO_TEST_CASE(barrier_of_the_giver_goes_along_with_its_memory)
{
    AdmissionLedger first { AdmissionSpans() };
    AdmissionLedger second { AdmissionSpans() };
    AdmissionLedger third { AdmissionSpans() };
    const std::string id = id_at(start);
    const int range = admission_range(id);
    first.acquire(range, 1, Millis(0));
    BOOST_TEST((first.admit(id, start, start) == AdmissionVerdict::admitted));
    second.acquire(range, 2, start + Millis(2000));
    third.acquire(range, 3, start + Millis(4000));
    third.take_memory(range, 3, second.lose(range));
    BOOST_TEST((third.admit(id, start, start + Millis(5000)) == AdmissionVerdict::unknown));
}

// The row of a given range may be read before the giver's message comes. Until then nobody
// can tell a fresh id from one that the giver admitted, and the id is not put into doubt.
BOOST_AUTO_TEST_CASE(given_range_decides_about_no_fresh_id_before_its_memory_comes)
{
    const AdmissionSpans spans;
    const std::string id = id_at(start);
    const int range = admission_range(id);
    const Millis given = start + Millis(10);
    AdmissionLedger ledger(spans);
    ledger.acquire_given(range, 2, given);
    BOOST_TEST(ledger.awaits_memory(range, given));
    BOOST_TEST((ledger.admit(id, start, given) == AdmissionVerdict::not_owner));
    ledger.take_memory(range, 2, {});
    BOOST_TEST(!ledger.awaits_memory(range, given));
    BOOST_TEST((ledger.admit(id, start, given) == AdmissionVerdict::admitted));
}

// When the memory is lost on its way, the barrier decides in the end.
BOOST_AUTO_TEST_CASE(memory_of_a_given_range_is_not_waited_for_for_ever)
{
    const AdmissionSpans spans;
    const std::string id = id_at(start);
    const int range = admission_range(id);
    AdmissionLedger ledger(spans);
    ledger.acquire_given(range, 2, start);
    const Millis later = start + spans.memory_wait;
    BOOST_TEST(!ledger.awaits_memory(range, later));
    BOOST_TEST((ledger.admit(id, start, later) == AdmissionVerdict::unknown));
}

// Memory that came before its range leaves nothing to wait for.
BOOST_AUTO_TEST_CASE(given_range_whose_memory_has_come_waits_for_nothing)
{
    const std::string id = id_at(start);
    const int range = admission_range(id);
    AdmissionLedger ledger { AdmissionSpans() };
    ledger.take_memory(range, 2, {});
    ledger.acquire_given(range, 2, start);
    BOOST_TEST(!ledger.awaits_memory(range, start));
    BOOST_TEST((ledger.admit(id, start, start) == AdmissionVerdict::admitted));
}

// A step that gives the range away fails, and the owner keeps it: what it had admitted
// under its epoch must stay refused, and the memory that it began with says nothing of
// that.
BOOST_AUTO_TEST_CASE(memory_is_used_once)
{
    const std::string id = id_at(start);
    const int range = admission_range(id);
    AdmissionLedger ledger { AdmissionSpans() };
    ledger.take_memory(range, 2, {});
    ledger.acquire(range, 2, start - Millis(10));
    BOOST_TEST((ledger.admit(id, start, start) == AdmissionVerdict::admitted));
    ledger.lose(range);
    ledger.acquire(range, 2, start + Millis(10));
    BOOST_TEST((ledger.admit(id, start, start + Millis(10)) != AdmissionVerdict::admitted));
}

// The same step fails; nobody else decided about ids meanwhile, so fresh ones are clear.
BOOST_AUTO_TEST_CASE(range_that_is_kept_after_all_keeps_its_memory)
{
    const std::string id = id_at(start);
    const int range = admission_range(id);
    AdmissionLedger ledger { AdmissionSpans() };
    ledger.acquire(range, 2, Millis(0));
    ledger.lose(range);
    ledger.acquire_given(range, 2, start + Millis(10));
    BOOST_TEST((ledger.admit(id, start, start + Millis(10)) == AdmissionVerdict::admitted));
}

BOOST_AUTO_TEST_CASE(memory_of_an_earlier_epoch_does_not_lift_the_barrier)
{
    const std::string id = id_at(start);
    const int range = admission_range(id);
    AdmissionLedger ledger { AdmissionSpans() };
    ledger.take_memory(range, 2, {});
    ledger.acquire(range, 3, start);
    ledger.take_memory(range, 2, {});
    BOOST_TEST((ledger.admit(id, start, start) == AdmissionVerdict::unknown));
}

BOOST_AUTO_TEST_CASE(old_ids_are_forgotten_and_stay_refused)
{
    const AdmissionSpans spans;
    AdmissionLedger ledger(spans);
    const std::string id = id_at(start);
    ledger.acquire(admission_range(id), 1, Millis(0));
    ledger.admit(id, start, start);
    BOOST_TEST(ledger.size() == 1U);
    ledger.expire(start + spans.memory);
    BOOST_TEST(ledger.size() == 0U);
    BOOST_TEST((ledger.admit(id, start, start) == AdmissionVerdict::unknown));
}

BOOST_AUTO_TEST_CASE(table_time_is_bounded_from_both_sides)
{
    TableTime time;
    BOOST_TEST(!time.earliest(start));
    time.observe(Millis(5000), start, start + Millis(40));
    BOOST_TEST((*time.earliest(start + Millis(140)) == Millis(5100)));
    BOOST_TEST((*time.latest(start + Millis(140)) == Millis(5140)));
}
