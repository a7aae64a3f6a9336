// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a job feed says of how old its knowledge is.

#define BOOST_TEST_MODULE job_feed
#include <boost/test/unit_test.hpp>

#include "job_feed.h"
#include "store_keys.h"

#include <pathport/emulator/store.h>
#include <pathport/log.h>

#include <set>

using namespace pathport;
using namespace pathport::jobs;

namespace {

/// A feed on a store of its own, and the keys that it has told.
struct FollowedStore {
    emulator::World world { 11 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort port { store, loop, "n1" };
    std::set<std::string> seen;
    JobFeed feed { loop, port, [this](const StoredRow& row) { seen.insert(row.id.key); } };

    FollowedStore()
    {
        start_log("test", LogLevel::error);
        feed.begin(0, world.now());
    }

    void put(const std::string& id)
    {
        StoreWrite write;
        write.puts.push_back({ job_row(id), "1" });
        store.write_now(write);
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(feed_tells_new_rows_and_advances)
{
    FollowedStore followed;
    followed.put("aa");
    followed.world.run_for(Millis(1200));
    BOOST_TEST(followed.seen.count("aa") == 1U);
    BOOST_TEST((followed.world.now() - followed.feed.known_at() < Millis(700)));
}

// What is known is never said to be newer than the beginning of the read that brought it.
BOOST_AUTO_TEST_CASE(feed_never_claims_to_know_rows_that_it_has_not_read)
{
    for (const int64_t slow : { 1, 20, 100 }) {
        FollowedStore followed;
        followed.store.trouble.slow = slow;
        std::vector<std::pair<std::string, Millis>> written;
        for (int i = 0; i < 400; ++i) {
            const std::string id = "job" + std::to_string(i);
            followed.put(id);
            written.emplace_back(id, followed.world.now());
            if (i % 7 == 0)
                followed.store.compact();
            if (i % 3 == 0)
                followed.feed.poll_now();
            followed.world.run_for(Millis(13));
            for (const auto& [key, when] : written) {
                const bool claimed = when < followed.feed.known_at();
                BOOST_TEST((!claimed || followed.seen.count(key) > 0), key);
            }
        }
    }
}

// Found on the bench (grown boards, inc-bab9): 64 reads at once opened 64 connections while
// all nodes started; one was dropped, and the take-over waited 1.5 s for it.
BOOST_AUTO_TEST_CASE(few_parts_are_read_at_a_time)
{
    /// Counts the reads that are open.
    class CountingStore : public emulator::StorePort {
    public:
        using StorePort::StorePort;
        void read(const StoreRange& range, Millis timeout, StoreReply done) override
        {
            most = std::max(most, ++open);
            StorePort::read(range, timeout, [this, done](const StoreResult& result) {
                --open;
                done(result);
            });
        }
        int open = 0;
        int most = 0;
    };
    emulator::World world(12);
    emulator::Store store(world);
    emulator::ProcessLoop loop(world);
    CountingStore port(store, loop, "n1");
    for (int i = 0; i < 300; ++i) {
        StoreWrite write;
        write.puts.push_back({ job_row("job" + std::to_string(i)), "1" });
        store.write_now(write);
    }
    TableReader reader(loop, port);
    size_t rows = 0;
    int64_t version = 0;
    reader.read(
        jobs_table, job_part_names(),
        [&](const std::vector<StoredRow>& some) { rows += some.size(); },
        [&](int64_t lowest) { version = lowest; });
    world.run_for(Millis(1000));
    BOOST_TEST(rows == 300U);
    BOOST_TEST(version == store.version());
    BOOST_TEST(!reader.reading());
    BOOST_TEST(port.most <= 8);
}

BOOST_AUTO_TEST_CASE(feed_reads_on_after_an_outage)
{
    FollowedStore followed;
    followed.store.trouble.busy = true;
    followed.world.run_for(Millis(2000));
    const Millis before = followed.feed.known_at();
    followed.put("aa");
    followed.store.compact();
    followed.world.run_for(Millis(2000));
    BOOST_TEST((followed.feed.known_at() == before));
    followed.store.trouble.busy = false;
    followed.world.run_for(Millis(2000));
    BOOST_TEST(followed.seen.count("aa") == 1U);
}

// A call that was lost with the store's outage must not hold up the first one after it.
BOOST_AUTO_TEST_CASE(feed_knows_all_rows_soon_after_a_silent_store_is_back)
{
    for (int outage_ms = 2000; outage_ms < 3000; outage_ms += 100) {
        FollowedStore followed;
        followed.world.run_for(Millis(1000));
        followed.store.trouble.silent = true;
        followed.world.run_for(Millis(outage_ms));
        followed.store.trouble.silent = false;
        const Millis back = followed.world.now();
        followed.put("aa");
        followed.world.run_for(Millis(600));
        BOOST_TEST(followed.seen.count("aa") == 1U, "outage of " << outage_ms << " ms");
        BOOST_TEST((followed.feed.known_at() >= back), "outage of " << outage_ms << " ms");
    }
}

// A take-over reads all rows; its reads may be lost with an outage as well.
BOOST_AUTO_TEST_CASE(table_is_read_soon_after_a_silent_store_is_back)
{
    for (int outage_ms = 200; outage_ms < 4000; outage_ms += 100) {
        emulator::World world { 12 };
        emulator::Store store { world };
        emulator::ProcessLoop loop { world };
        emulator::StorePort port { store, loop, "n1" };
        TableReader reader(loop, port);
        bool done = false;
        store.trouble.silent = true;
        reader.read(
            jobs_table, job_part_names(), [](const std::vector<StoredRow>&) {},
            [&](int64_t) { done = true; });
        world.run_for(Millis(outage_ms));
        store.trouble.silent = false;
        world.run_for(Millis(500));
        BOOST_TEST(done, "outage of " << outage_ms << " ms");
    }
}
