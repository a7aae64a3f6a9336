// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#define BOOST_TEST_MODULE node
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include "audit_archive.h"
#include "cell_view.h"
#include "node_settings.h"
#include "table_engine.h"

#include <pathport/codec.h>
#include <pathport/config_view.h>
#include <pathport/log.h>

#include <thread>

using namespace pathport;
using standin::TableEngine;
using standin::TableFaults;

namespace {

const std::string good_settings = R"([node]
id = node-1
region = r1
failure_domain = d1
[listen]
callers = 127.0.0.1:1
operators = 127.0.0.1:2
peers = 127.0.0.1:3
metrics = 127.0.0.1:4
[platform]
table = 127.0.0.1:5
objects = 127.0.0.1:6
box_list = 127.0.0.1:7
[operators]
key = long-enough-key
)";

std::string settings_failure(const std::string& extra)
{
    Failure reason;
    return NodeSettings::parse(good_settings + extra, "node.ini", reason) ? ""
                                                                          : reason.detail();
}

ConfigChange service_change(int64_t replicas,
                            std::optional<int64_t> expected = std::nullopt)
{
    ConfigChange change;
    change.kind = config_kind::service;
    change.name = "s";
    change.value
        = encode(ServiceSpec { "s", "team", { 100, 100, 0 }, replicas, 1000, 100 });
    change.expected = expected;
    change.who = "operator-" + std::to_string(replicas);
    return change;
}

// Two nodes' ways to change one cell.
struct Writers {
    SystemClock clock;
    TableEngine table { clock, 0 };
    ConfigView view_a;
    ConfigView view_b;
    ConfigWriter a { table, view_a, "a", "1" };
    ConfigWriter b { table, view_b, "b", "1" };

    std::vector<TableRow> rows(const std::string& prefix)
    {
        TableTxn read;
        read.ranges.push_back({ prefix, 0 });
        Failure reason;
        return table.run(read, reason)->ranges.front();
    }
};

NodeRecord node(const std::string& name, int64_t counter)
{
    NodeRecord record;
    record.node = name;
    record.incarnation = name + "-1";
    record.counter = counter;
    record.region = "r1";
    record.peer_address = name;
    return record;
}

// A view of node "self" that has seen the rows of others.
struct Observed {
    ManualClock clock;
    CellView view { clock, node("self", 0), MembershipSpans() };
    int64_t revision = 0;

    void beat(const std::vector<NodeRecord>& others)
    {
        TableResult result;
        result.table_time = clock.now();
        std::vector<TableRow> rows;
        for (const NodeRecord& other : others)
            rows.push_back({ "nodes/" + other.node, encode(other), ++revision });
        result.ranges = { rows };
        view.observe(result, clock.now(), clock.now());
        view.renew_lease(clock.now());
    }

    void hear(const std::string& name, Millis promise)
    {
        Beat beat;
        beat.node = name;
        beat.incarnation = name + "-1";
        beat.promise = promise;
        beat.version = 1;
        view.observe_beat(beat, name, clock.now());
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(settings_are_checked_against_each_other)
{
    BOOST_TEST(settings_failure("") == "");
    BOOST_TEST(settings_failure("[membership]\nlease_ms = 3000\n").find("dead_after_ms")
               != std::string::npos);
    BOOST_TEST(settings_failure("[membership]\nheartbeat_ms = 1000\n").find("lease_ms")
               != std::string::npos);
    BOOST_TEST(settings_failure("[membership]\nheart = 1\n").find("unknown key")
               != std::string::npos);
    Failure reason;
    std::string short_key = good_settings;
    short_key.replace(short_key.find("long-enough-key"), 15, "short");
    BOOST_TEST(!NodeSettings::parse(short_key, "node.ini", reason));
}

BOOST_AUTO_TEST_CASE(change_writes_row_revision_and_audit_together)
{
    Writers w;
    Failure reason;
    const auto first = w.a.change(service_change(1), reason);
    BOOST_REQUIRE(first);
    BOOST_TEST(first->revision == 1);
    BOOST_TEST(w.b.change(service_change(2, 1), reason)->revision == 2);
    const auto audit = w.rows("audit/");
    BOOST_REQUIRE(audit.size() == 2U);
    const auto record = decode_audit(audit.back().value, reason);
    BOOST_TEST(record->who == "operator-2");
    BOOST_TEST(record->node == "b");
    BOOST_TEST(record->before == service_change(1).value);
    BOOST_TEST(record->after == service_change(2).value);
    BOOST_TEST(w.view_a.snapshot()->services.at("s").replicas == 1);
}

// Trap 12: two operators change one key.
BOOST_AUTO_TEST_CASE(second_of_two_changes_gets_a_conflict_with_the_present_value)
{
    Writers w;
    Failure reason;
    w.a.change(service_change(1), reason);
    BOOST_TEST(w.a.change(service_change(2, 1), reason).has_value());
    BOOST_TEST(!w.b.change(service_change(3, 1), reason));
    BOOST_TEST((reason.kind() == FailureKind::conflict));
    BOOST_TEST(reason.detail().find("\\\"replicas\\\":2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(repeated_change_whose_answer_was_lost_is_accepted_as_made)
{
    Writers w;
    Failure reason;
    w.a.change(service_change(1), reason);
    TableFaults faults;
    faults.lose_answers = 1;
    const auto made = w.a.change(service_change(2, 1), reason);
    const auto again = w.b.change(service_change(2, 1), reason);
    BOOST_REQUIRE(again);
    BOOST_TEST(again->revision == made->revision);
    BOOST_TEST(w.rows("audit/").size() == 2U);
}

// Concurrent changes, with lost answers, leave one history: each accepted revision once.
BOOST_AUTO_TEST_CASE(accepted_changes_of_concurrent_operators_form_one_order)
{
    Writers w;
    std::vector<int64_t> accepted_a;
    std::vector<int64_t> accepted_b;
    const auto work = [](ConfigWriter& writer, int first, std::vector<int64_t>& accepted) {
        for (int i = 0; i < 60; ++i) {
            Failure reason;
            const auto row = writer.change(service_change(first + 2 * i), reason);
            if (row)
                accepted.push_back(row->revision);
        }
    };
    std::thread one([&] { work(w.a, 1, accepted_a); });
    std::thread two([&] { work(w.b, 2, accepted_b); });
    std::thread faults([&] {
        for (int i = 0; i < 50; ++i) {
            TableFaults some;
            some.lose_answers = 1;
            w.table.set_faults(some);
            std::this_thread::yield();
        }
    });
    one.join();
    two.join();
    faults.join();
    // A fault that no operator met any more would strike the reading below.
    w.table.set_faults({});
    std::set<int64_t> all(accepted_a.begin(), accepted_a.end());
    all.insert(accepted_b.begin(), accepted_b.end());
    BOOST_TEST(all.size() == accepted_a.size() + accepted_b.size());
    BOOST_TEST(std::is_sorted(accepted_a.begin(), accepted_a.end()));
    BOOST_TEST(std::is_sorted(accepted_b.begin(), accepted_b.end()));
    // The audit trail is a chain: each change starts from what the one before it made.
    std::string before;
    Failure reason;
    for (const TableRow& row : w.rows("audit/")) {
        const auto record = decode_audit(row.value, reason);
        BOOST_TEST(record->before == before);
        before = record->after;
    }
}

// Trap 13: an older revision must not come back into force.
RC_BOOST_PROP(configuration_never_goes_back, ())
{
    ConfigView view;
    int64_t highest = 0;
    for (int i = 0; i < 40; ++i) {
        const int64_t revision = *rc::gen::inRange<int64_t>(1, 30);
        const std::string value
            = encode(ServiceSpec { "s", "t", { 1, 1, 0 }, revision, 1000, 100 });
        view.apply({ { "services/s", value, revision } });
        highest = std::max(highest, revision);
        RC_ASSERT(view.snapshot()->services.at("s").replicas == highest);
        RC_ASSERT(view.snapshot()->revision == highest);
    }
}

BOOST_AUTO_TEST_CASE(removed_rows_travel_to_peers_and_stay_removed)
{
    ConfigView view;
    view.apply({ { "services/s", service_change(1).value, 1 } });
    view.apply({ { "services/s", "", 2 } });
    view.apply({ { "services/s", service_change(1).value, 1 } });
    BOOST_TEST(view.snapshot()->services.empty());
    BOOST_TEST(view.since(1).size() == 1U);
}

namespace {

class MemoryObjects : public ObjectStore {
public:
    bool put(const std::string& key, const std::string& content, Failure& reason) override
    {
        if (down) {
            reason = Failure(FailureKind::unavailable, "down");
            return false;
        }
        objects[key] = content;
        return true;
    }
    std::optional<std::string> get(const std::string& key, Failure& /*reason*/) override
    {
        return objects.at(key);
    }

    bool down = false;
    std::map<std::string, std::string> objects;
};

} // namespace

// Each record is in the table or in an object, whatever fails in between.
BOOST_AUTO_TEST_CASE(old_audit_records_move_to_the_object_store_without_loss)
{
    Writers w;
    MemoryObjects objects;
    TableLane lane(w.table, "archiver");
    Failure reason;
    for (int i = 1; i <= 12; ++i)
        w.a.change(service_change(i), reason);
    objects.down = true;
    BOOST_TEST(archive_audit(w.table, lane, objects, 6, 5, reason) == 0U);
    BOOST_TEST(w.rows("audit/").size() == 12U);
    objects.down = false;
    TableFaults faults;
    faults.lose_answers = 2;
    w.table.set_faults(faults);
    BOOST_TEST(archive_audit(w.table, lane, objects, 6, 5, reason) == 5U);
    BOOST_TEST(archive_audit(w.table, lane, objects, 6, 5, reason) == 0U);
    BOOST_TEST(w.rows("audit/").size() == 7U);
    BOOST_REQUIRE(objects.objects.size() == 1U);
    BOOST_TEST(objects.objects.begin()->second.find("operator-5") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(values_are_checked_before_they_are_accepted)
{
    Failure reason;
    BOOST_TEST(!check_config_value("services", "other", service_change(1).value, reason));
    BOOST_TEST(!check_config_value("policies", "cell", "{\"program\":\"x = \"}", reason));
    BOOST_TEST((reason.kind() == FailureKind::policy_error));
    BOOST_TEST(!check_config_value("nothing", "x", "{}", reason));
    BOOST_TEST(!check_config_value("drains", "not a name", "{}", reason));
    BOOST_TEST(check_config_value("drains", "box-1", "", reason).has_value());
}

BOOST_AUTO_TEST_CASE(lease_counts_from_the_start_of_the_last_heartbeat)
{
    Observed o;
    BOOST_TEST(!o.view.lease_point());
    o.beat({});
    o.clock.advance(Millis(999));
    BOOST_TEST(o.view.lease_point().has_value());
    o.clock.advance(Millis(1));
    BOOST_TEST(!o.view.lease_point());
}

// Trap 3 and a table outage: without the table, the lease goes on only while all others
// promise.
BOOST_AUTO_TEST_CASE(promises_of_all_others_carry_the_lease_through_an_outage)
{
    Observed o;
    o.beat({ node("a", 1), node("b", 1) });
    o.view.table_failed();
    for (int i = 0; i < 5; ++i) {
        o.clock.advance(Millis(900));
        BOOST_TEST(o.view.lease_point().has_value());
        o.hear("a", Millis(1500));
        o.hear("b", Millis(1500));
    }
    // One that promises no longer ends it, whatever the other says.
    o.clock.advance(Millis(900));
    o.hear("a", Millis(1500));
    o.hear("b", Millis(0));
    o.clock.advance(Millis(600));
    BOOST_TEST(!o.view.lease_point());
}

// A node that was paused finds its peers promising again, but its shards may be gone since.
BOOST_AUTO_TEST_CASE(promises_do_not_bring_back_a_lease_that_has_ended)
{
    Observed o;
    o.beat({ node("a", 1) });
    o.hear("a", Millis(1500));
    o.clock.advance(Millis(1500));
    o.hear("a", Millis(1500));
    BOOST_TEST(o.view.lease_point().has_value());
    o.clock.advance(Millis(4000));
    o.hear("a", Millis(1500));
    BOOST_TEST(!o.view.lease_point());
}

// Trap 1, found by frozen_node: the first heartbeat after a pause renewed the lease before
// the node had read that its ranges were taken, and it admitted an id that their new owner
// had.
BOOST_AUTO_TEST_CASE(heartbeat_alone_does_not_renew_the_lease)
{
    Observed o;
    TableResult result;
    result.table_time = o.clock.now();
    o.view.observe(result, o.clock.now(), o.clock.now());
    BOOST_TEST(!o.view.lease_point());
    o.view.renew_lease(o.clock.now());
    BOOST_TEST(o.view.lease_point().has_value());
}

BOOST_AUTO_TEST_CASE(node_without_table_is_current_only_with_most_others)
{
    Observed o;
    o.beat({ node("a", 1), node("b", 1), node("c", 1) });
    BOOST_TEST(o.view.is_current(Millis(2500)));
    o.clock.advance(Millis(3000));
    BOOST_TEST(!o.view.is_current(Millis(2500)));
    o.hear("a", Millis());
    BOOST_TEST(!o.view.is_current(Millis(2500)));
    o.hear("b", Millis());
    BOOST_TEST(o.view.is_current(Millis(2500)));
}

BOOST_AUTO_TEST_CASE(barrier_after_a_death_covers_lease_and_promises)
{
    Observed o;
    o.beat({ node("a", 1) });
    const Millis seen = o.clock.now();
    o.clock.advance(Millis(2600));
    o.beat({});
    const Millis taken = o.clock.now();
    BOOST_TEST((o.view.barrier_after("a", taken) == seen + Millis(1000)));
    BOOST_TEST((o.view.barrier_after("nobody", taken) == taken));
}

namespace {

ShardSummary summary(const std::string& shard, int64_t busy, int64_t free_cpu)
{
    ShardSummary s;
    s.shard = shard;
    s.free = { free_cpu, 0, 0 };
    s.services = { { "s", 2, 16, busy, 0, 0 } };
    return s;
}

} // namespace

// Whatever beats are lost, the load that a peer holds is one that the node has had, and the
// next beat that arrives brings it up to date.
RC_BOOST_PROP(load_of_a_peer_follows_through_lost_beats, ())
{
    OwnLoad own;
    PeerLoad seen;
    for (int i = 0; i < 60; ++i) {
        std::vector<ShardSummary> shards;
        const int count = *rc::gen::inRange(0, 4);
        for (int s = 0; s < count; ++s)
            shards.push_back(summary("s" + std::to_string(s),
                                     *rc::gen::inRange<int64_t>(0, 16),
                                     *rc::gen::inRange<int64_t>(0, 16000)));
        std::map<std::string, Resources> teams;
        if (*rc::gen::arbitrary<bool>())
            teams["team"] = { *rc::gen::inRange<int64_t>(1, 3), 0, 0 };
        own.update(shards, teams);
        Beat beat;
        own.fill(beat, seen.version());
        if (*rc::gen::inRange(0, 3) == 0)
            continue;
        seen.apply(beat);
        RC_ASSERT(seen.load().shards.size() == shards.size());
        for (const ShardSummary& shard : shards)
            RC_ASSERT(seen.load().shards.at(shard.shard) == coarse(shard));
        RC_ASSERT(seen.load().teams == teams);
    }
}

BOOST_AUTO_TEST_CASE(unchanged_load_takes_no_bytes)
{
    OwnLoad own;
    own.update({ summary("a", 8, 4000), summary("b", 8, 4000) }, {});
    own.update({ summary("a", 9, 4100), summary("b", 12, 4000) }, {});
    Beat beat;
    own.fill(beat, 1);
    BOOST_TEST(beat.shards.size() == 1U);
    BOOST_TEST(beat.shards.front().shard == "b");
    Beat same;
    own.fill(same, 2);
    BOOST_TEST((same.shards.empty() && same.base == 2));
}

BOOST_AUTO_TEST_CASE(silent_peer_gets_no_requests)
{
    Observed o;
    Beat beat;
    beat.node = "a";
    beat.incarnation = "a-1";
    beat.version = 1;
    ShardSummary shard;
    shard.shard = "d.k";
    shard.services = { { "s", 2, 16, 3, 1, 0 } };
    beat.shards = { shard };
    o.view.observe_beat(beat, "a", o.clock.now());
    BOOST_REQUIRE(o.view.routes("s").size() == 1U);
    BOOST_TEST(o.view.routes("s").front().load == 4);
    BOOST_TEST(o.view.routes("other").empty());
    o.clock.advance(Millis(1500));
    BOOST_TEST(o.view.routes("s").empty());
}
