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
