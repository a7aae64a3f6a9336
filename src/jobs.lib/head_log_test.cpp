// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The sequence of a leader's writes, and what the head row guarantees to a successor.

#define BOOST_TEST_MODULE head_log
#include <boost/test/unit_test.hpp>

#include "head_log.h"
#include "leadership.h"
#include "store_keys.h"

#include <pathport/emulator/store.h>

#include <algorithm>
#include <memory>
#include <set>

using namespace pathport;
using namespace pathport::jobs;

namespace {

/// Provides a fixed value for each job.
class FixedOwner : public HeadLogOwner {
public:
    std::optional<std::string> progress_of(const std::string& job) override
    {
        return "row of " + job;
    }
    std::vector<std::string> unrecorded_workers(bool early_orders, size_t) override
    {
        return early_orders ? std::vector<std::string> { "w1" }
                            : std::vector<std::string>();
    }
    SilentWorkers silent_workers() override { return {}; }
    void head_written() override { }
    void early_orders_enabled() override { }
    void log_fenced() override { lost = true; }
    bool lost = false;
};

StoreWrite claim_of(const HeadValue& head)
{
    StoreWrite claim;
    claim.puts.push_back({ lead_row(head_key), encode(head) });
    return claim;
}

/// The log of a leader that has just claimed leadership, with its own store.
struct LoggedStore {
    explicit LoggedStore(uint64_t seed)
        : world(seed)
    {
    }

    emulator::World world;
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort port { store, loop, "n1" };
    FixedOwner owner;
    HeadValue head { 1, 0, "first", {} };
    HeadLog log { loop,       port, owner, head, store.write_now(claim_of(head)).version,
                  world.now() };
};

} // namespace

BOOST_AUTO_TEST_CASE(leader_writes_are_chained)
{
    LoggedStore logged(5);
    emulator::World& world = logged.world;
    emulator::Store& store = logged.store;
    FixedOwner& owner = logged.owner;
    HeadLog& log = logged.log;
    bool recorded = false;
    log.record("job", [&] { recorded = true; });
    world.run_for(Millis(100));
    BOOST_TEST(recorded);
    BOOST_TEST(store.value(progress_row("job")) == "row of job");
    // Another leader's claim fences the log: nothing more is written.
    store.write_now(claim_of(HeadValue { 2, 0, "second", {} }));
    recorded = false;
    log.record("late", [&] { recorded = true; });
    world.run_for(Millis(2000));
    BOOST_TEST(owner.lost);
    BOOST_TEST(!recorded);
    BOOST_TEST(store.value(progress_row("late")).empty());
}

BOOST_AUTO_TEST_CASE(lost_and_late_answers_write_each_row_once)
{
    for (const bool late : { false, true }) {
        LoggedStore logged(6);
        emulator::World& world = logged.world;
        emulator::Store& store = logged.store;
        FixedOwner& owner = logged.owner;
        HeadLog& log = logged.log;
        store.injected.lost_write_replies = 0.5;
        store.injected.delay_lost_writes = late;
        int recorded = 0;
        for (int i = 0; i < 30; ++i) {
            log.record("job" + std::to_string(i), [&] { ++recorded; });
            world.run_for(Millis(100));
        }
        world.run_for(Millis(10000));
        BOOST_TEST(recorded == 30);
        BOOST_TEST(!owner.lost);
        BOOST_TEST(log.served());
    }
}

// Guards against an overloaded leader that wants to hand over and never does: it waited for
// a write that contains all pending rows, and more of them came than it could write.
BOOST_AUTO_TEST_CASE(successor_is_named_although_rows_come_faster_than_they_are_written)
{
    LoggedStore logged(8);
    emulator::World& world = logged.world;
    HeadLog& log = logged.log;
    int jobs = 0;
    const auto add_rows = [&](Millis span) {
        constexpr int rows_per_ms = 15;
        for (Millis at; at < span; at = at + Millis(1)) {
            for (int i = 0; i < rows_per_ms; ++i)
                log.record("job" + std::to_string(jobs++));
            world.run_for(Millis(1));
        }
    };
    add_rows(Millis(200));
    bool handed_over = false;
    const LeaderValue next { 2, { "n2", "n2", "second", 1000 } };
    log.hand_over(encode(next), next.identity.incarnation, [&] { handed_over = true; });
    add_rows(Millis(1000));
    BOOST_TEST(handed_over);
    const auto head = decode_head(logged.store.value(lead_row(head_key)));
    BOOST_REQUIRE(head.has_value());
    BOOST_TEST(head->handed_over());
    BOOST_TEST(head->incarnation == "second");
    // Rows that were left out may belong to orders that preceded them.
    BOOST_TEST(head->may_run_unrecorded("w1"));
}

// Guards against a hand-over that takes seconds: each write leaves out a few rows less than
// the one before, so no more of them come than are written, but hardly any fewer.
BOOST_AUTO_TEST_CASE(successor_is_named_while_the_backlog_shrinks_slowly)
{
    LoggedStore logged(8);
    emulator::World& world = logged.world;
    HeadLog& log = logged.log;
    // The users' limit on how long work with free capacity may stand.
    constexpr Millis max_standstill { 3000 };
    constexpr int backlog = 6000;
    logged.store.injected.latency_factor = 10;
    for (int i = 0; i < backlog; ++i)
        log.record("job" + std::to_string(i));
    bool handed_over = false;
    const LeaderValue next { 2, { "n2", "n2", "second", 1000 } };
    log.hand_over(encode(next), next.identity.incarnation, [&] { handed_over = true; });
    world.run_for(max_standstill);
    BOOST_TEST(handed_over);
    const auto head = decode_head(logged.store.value(lead_row(head_key)));
    BOOST_REQUIRE(head.has_value());
    BOOST_TEST(head->handed_over());
    // Rows that were left out may belong to orders that preceded them.
    BOOST_TEST(head->may_run_unrecorded("w1"));
}

// Guards against a hand-over that waits for timers of a leader that is short of processor
// time: each of them runs as late as the leader is.
BOOST_AUTO_TEST_CASE(late_leader_names_its_successor_without_waiting_for_a_timer)
{
    constexpr Millis event_time { 20 };
    LoggedStore logged(9);
    emulator::World& world = logged.world;
    HeadLog& log = logged.log;
    log.record("job");
    world.run_for(Millis(50));
    emulator::ProcessorCost cost;
    cost.event = event_time;
    logged.loop.set_processor_cost(cost);
    // The work that keeps the processor busy.
    for (int64_t at = 0; at < 4500; at += 15)
        logged.loop.after(Millis(at), [] {});
    world.run_for(Millis(2000));
    bool handed_over = false;
    const LeaderValue next { 2, { "n2", "n2", "second", 1000 } };
    log.record("last");
    log.hand_over(encode(next), next.identity.incarnation, [&] { handed_over = true; });
    // The reply to a write in flight is read before this.
    constexpr Millis reply_time { 50 };
    bool reply_read = false;
    logged.loop.after(reply_time, [&] { reply_read = true; });
    const Millis begun = world.now();
    while (!reply_read)
        world.run_for(Millis(1));
    BOOST_TEST((world.now() - begun > Millis(200)), "the leader is not late");
    world.run_for(reply_time);
    const auto head = decode_head(logged.store.value(lead_row(head_key)));
    BOOST_REQUIRE(head.has_value());
    BOOST_TEST(head->handed_over());
    world.run_for(Millis(3000));
    BOOST_TEST(handed_over);
}

BOOST_AUTO_TEST_CASE(lease_ends_while_the_store_is_away)
{
    LoggedStore logged(7);
    emulator::World& world = logged.world;
    emulator::Store& store = logged.store;
    HeadLog& log = logged.log;
    world.run_for(Millis(3000));
    BOOST_TEST((world.now() < log.lease_until()));
    store.injected.refuse_calls = true;
    world.run_for(leader_lease + Millis(100));
    BOOST_TEST((world.now() > log.lease_until()));
    BOOST_TEST(!log.served());
    store.injected.refuse_calls = false;
    world.run_for(Millis(1000));
    BOOST_TEST((world.now() < log.lease_until()));
}

// Guards against a task that runs twice: the write that revokes early orders was still in
// flight while orders were sent before their records. It took effect, the leader was lost,
// and its successor did not expect the unrecorded runs.
BOOST_AUTO_TEST_CASE(head_lists_all_unrecorded_orders)
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        LoggedStore logged(seed);
        emulator::World& world = logged.world;
        emulator::Store& store = logged.store;
        std::set<std::string> sent; // Orders sent before their records.
        int unlisted = 0;
        for (int ms = 0; ms < 12000; ++ms) {
            if (ms % 2000 == 0)
                store.injected.latency_factor = ms % 4000 == 0 ? 90 : 1;
            if (ms % 7 == 0 && logged.log.may_order_early("w1")) {
                const std::string job = "job" + std::to_string(ms);
                sent.insert(job);
                logged.log.record(job);
            }
            world.run_for(Millis(1));
            const auto present = decode_head(store.value(lead_row(head_key)));
            const bool all_recorded
                = std::all_of(sent.begin(), sent.end(), [&](const std::string& job) {
                      return !store.value(progress_row(job)).empty();
                  });
            if (!all_recorded && !present->may_run_unrecorded("w1"))
                ++unlisted;
        }
        BOOST_TEST(!sent.empty());
        BOOST_TEST(unlisted == 0, "seed " << seed << ": " << unlisted << " ms");
    }
}

// A write that was lost in a store outage must be sent again soon after the outage.
BOOST_AUTO_TEST_CASE(log_is_written_soon_after_a_store_outage)
{
    for (int outage_ms = 2000; outage_ms < 4000; outage_ms += 100) {
        LoggedStore logged(8);
        logged.world.run_for(Millis(1000));
        logged.store.injected.unresponsive = true;
        logged.log.record("job");
        logged.world.run_for(Millis(outage_ms));
        logged.store.injected.unresponsive = false;
        logged.world.run_for(Millis(600));
        BOOST_TEST(!logged.store.value(progress_row("job")).empty(),
                   "outage of " << outage_ms << " ms");
    }
}

namespace {

/// Lists one worker as silent for as long as the test wants.
class SilentOwner : public FixedOwner {
public:
    SilentWorkers silent_workers() override { return silent; }
    void head_written() override { ++written; }
    SilentWorkers silent;
    int written = 0;
};

} // namespace

// A successor relies on the head row that it finds: while that row lists a worker as
// silent, or a write that lists it may still take effect, the worker must get no lease.
BOOST_AUTO_TEST_CASE(no_lease_is_given_while_the_head_row_may_name_the_worker)
{
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        emulator::World world(seed);
        emulator::Store store { world };
        emulator::ProcessLoop loop { world };
        emulator::StorePort port { store, loop, "n1" };
        SilentOwner owner;
        owner.silent.set("w1", 5000);
        HeadValue head { 1, 0, "first", {}, owner.silent.rounded() };
        HeadLog log {
            loop, port, owner, head, store.write_now(claim_of(head)).version, world.now()
        };
        BOOST_TEST(!log.may_lease("w1"));
        int unsafe = 0;
        int allowed = 0;
        for (int ms = 0; ms < 20000; ++ms) {
            if (ms % 3000 == 0) {
                store.injected.latency_factor = ms % 9000 == 0 ? 1 : 70;
                store.injected.lost_write_replies = ms % 6000 == 0 ? 0.3 : 0;
            }
            if (ms % 700 == 0)
                owner.silent.erase("w1");
            if (ms % 1400 == 0)
                owner.silent.set("w1", ms + 6000);
            if (ms % 350 == 0)
                log.write_soon();
            world.run_for(Millis(1));
            const auto present = decode_head(store.value(lead_row(head_key)));
            allowed += log.may_lease("w1") ? 1 : 0;
            unsafe += log.may_lease("w1") && present->silent.contains("w1") ? 1 : 0;
        }
        BOOST_TEST(unsafe == 0, "seed " << seed << ": " << unsafe << " ms");
        BOOST_TEST(allowed > 0);
        BOOST_TEST(owner.written > 0);
    }
}

// The platform's store limits a row to 65,536 bytes (row_bytes).
BOOST_AUTO_TEST_CASE(head_row_of_a_large_cell_fits_the_store)
{
    constexpr size_t row_bytes = 65536;
    constexpr size_t base64_of_three = 4;
    SilentOwner owner;
    HeadValue head { 1, 0, "first", {}, {} };
    for (int i = 0; i < 1100; ++i) {
        const std::string id = "worker-" + std::to_string(1000000 + i);
        owner.silent.set(id, int64_t(1700000000000) + int64_t(i) * 50);
        head.unrecorded_task_workers.push_back(id);
    }
    emulator::World world(1);
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort port { store, loop, "n1" };
    HeadLog log { loop,       port, owner, head, store.write_now(claim_of(head)).version,
                  world.now() };
    world.run_for(Millis(1000));
    const std::string row = store.value(lead_row(head_key));
    const auto written = decode_head(row);
    BOOST_REQUIRE(written);
    BOOST_TEST(written->silent.size() > 500U);
    BOOST_TEST(written->silent.contains("worker-1001099"));
    BOOST_TEST(!written->silent.contains("worker-1000000"));
    HeadValue whole = *written;
    whole.unrecorded_task_workers = head.unrecorded_task_workers;
    BOOST_TEST(encode(whole).size() / 3 * base64_of_three < row_bytes);
}

namespace {

/// A cell of `count` workers with ids of 24 bytes, all of which could get orders early.
class LargeCellOwner : public FixedOwner {
public:
    explicit LargeCellOwner(int count)
    {
        for (int i = 0; i < count; ++i)
            m_ids.push_back("worker-0123456789-" + std::to_string(100000 + i));
    }

    std::vector<std::string> unrecorded_workers(bool early_orders,
                                                size_t max_bytes) override
    {
        std::vector<std::string> listed;
        size_t bytes = 0;
        for (const std::string& id : m_ids) {
            bytes += bytes_in_head(id);
            if (early_orders && bytes <= max_bytes)
                listed.push_back(id);
        }
        return listed;
    }
    SilentWorkers silent_workers() override
    {
        SilentWorkers silent;
        for (size_t i = 0; i < m_ids.size() / 7; ++i)
            silent.set(m_ids[i], 1000000 + int64_t(i));
        return silent;
    }

private:
    std::vector<std::string> m_ids;
};

/// A log with this owner.
struct OwnedLog {
    explicit OwnedLog(HeadLogOwner& owner)
        : log(loop, port, owner, head, store.write_now(claim_of(head)).version, world.now())
    {
    }

    /// Records `count` jobs and returns how many are stored within `span`.
    int record(int count, Millis span)
    {
        const auto stored = std::make_shared<int>(0);
        for (int i = 0; i < count; ++i)
            log.record("job" + std::to_string(i), [stored] { ++*stored; });
        world.run_for(span);
        return *stored;
    }

    emulator::World world { 11 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort port { store, loop, "n1" };
    HeadValue head { 1, 0, "first", {}, {} };
    HeadLog log;
};

} // namespace

// Guards against a leader that stops writing in a large cell: with rows waiting, the head
// row named each worker that might get orders early, grew beyond what the store takes, and
// the same write was sent again for ever. The row must have the same bound at any size.
BOOST_AUTO_TEST_CASE(head_row_is_bounded_at_any_number_of_workers)
{
    for (const int workers : { 600, 6120, 12240 }) {
        LargeCellOwner owner(workers);
        OwnedLog owned(owner);
        constexpr int jobs = 400; // More than one write holds.
        BOOST_TEST(owned.record(jobs, Millis(1500)) == jobs, workers << " workers");
        BOOST_TEST(owned.store.value(lead_row(head_key)).size() <= max_row_bytes);
        BOOST_TEST(owned.log.served());
    }
}

namespace {

/// One job's row is larger than the store takes.
class OversizedRowOwner : public FixedOwner {
public:
    std::optional<std::string> progress_of(const std::string& job) override
    {
        constexpr size_t oversized = 70000;
        return job == "job7" ? std::string(oversized, 'x') : "row of " + job;
    }
};

} // namespace

// Guards against a row that the store will never take and that holds back all others: a
// rejection was handled as if the store were away.
BOOST_AUTO_TEST_CASE(rejected_row_holds_back_no_other)
{
    OversizedRowOwner owner;
    OwnedLog owned(owner);
    constexpr int jobs = 60;
    BOOST_TEST(owned.record(jobs, Millis(1500)) == jobs - 1);
    BOOST_TEST(owned.log.rejected_rows() == 1U);
    BOOST_TEST(owned.log.served());
    BOOST_TEST(!owner.lost);
    BOOST_TEST((owned.world.now() < owned.log.lease_until()));
}

BOOST_AUTO_TEST_CASE(head_rows_of_earlier_versions_are_decoded)
{
    const auto head = decode_head(R"([7,12,"first",["w1"]])");
    BOOST_REQUIRE(head);
    BOOST_TEST(head->may_run_unrecorded("w1"));
    BOOST_TEST(head->silent.empty());
}
