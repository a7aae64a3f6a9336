// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Times that one node stores on the store's clock and another node reads.

#define BOOST_TEST_MODULE store_clock
#include <boost/test/unit_test.hpp>

#include "silent_workers.h"
#include "store_clock.h"

#include <random>

using namespace pathport;
using namespace pathport::jobs;

namespace {

/// A node whose clock differs from the store's by a fixed offset.
struct ClockedNode {
    int64_t offset_ms = 0; ///< The store's clock minus the node's.
    StoreClock clock;

    Millis local(int64_t store_ms) const { return Millis(store_ms - offset_ms); }
    /// Delivers a reply for which the store read its clock at `store_ms`.
    void reply(int64_t store_ms, int64_t request_ms, int64_t reply_ms)
    {
        clock.update(store_ms, local(store_ms - request_ms), local(store_ms + reply_ms));
    }
};

} // namespace

// However long calls and replies take, a time must never count as reached too early.
BOOST_AUTO_TEST_CASE(converted_times_err_on_the_late_side)
{
    std::mt19937_64 random(5);
    const auto below
        = [&random](int64_t bound) { return int64_t(random() % uint64_t(bound)); };
    for (int i = 0; i < 2000; ++i) {
        ClockedNode writer { below(1000000), {} };
        ClockedNode reader { below(1000000), {} };
        int64_t store_ms = 5000000;
        for (int answers = 0; answers < 20; ++answers) {
            const int64_t slowest = below(10) == 0 ? 3000 : 20;
            writer.reply(store_ms, below(slowest), below(slowest));
            reader.reply(store_ms, below(slowest), below(slowest));
            store_ms += 100 + below(4000);
        }
        const int64_t over_ms = store_ms + below(9000);
        const int64_t written = writer.clock.latest_at(writer.local(over_ms));
        BOOST_TEST(written >= over_ms);
        BOOST_TEST((reader.clock.reached_by(written) >= reader.local(over_ms)));
    }
}

// The fastest reply gives the tightest bounds, which are kept for a while.
BOOST_AUTO_TEST_CASE(fast_reply_is_kept)
{
    ClockedNode node { 700, {} };
    BOOST_TEST(!node.clock.known());
    node.reply(100000, 2, 2);
    node.reply(101000, 900, 900);
    const int64_t error = node.clock.latest_at(node.local(102000)) - 102000;
    BOOST_TEST(error <= 30);
}

// A clock that was reset must be followed at once.
BOOST_AUTO_TEST_CASE(reset_clock_is_followed)
{
    ClockedNode node { 0, {} };
    node.reply(100000, 2, 2);
    node.offset_ms = 50000; // The store's clock was set forward by this.
    node.reply(151000, 90, 90);
    BOOST_TEST(node.clock.latest_at(node.local(152000)) >= 152000);
    BOOST_TEST((node.clock.reached_by(152000) >= node.local(152000)));
    node.offset_ms = -80000;
    node.reply(23000, 90, 90);
    BOOST_TEST((node.clock.reached_by(24000) >= node.local(24000)));
}

// Workers lost together share a rounded time, which must not be earlier than the exact one.
BOOST_AUTO_TEST_CASE(rounded_times_are_no_earlier)
{
    SilentWorkers silent;
    for (int i = 0; i < 500; ++i)
        silent.set("w" + std::to_string(i), 100000 + i * 7 % 130);
    const SilentWorkers rounded = silent.rounded();
    BOOST_TEST(silent.grouped().size() <= 4U);
    BOOST_TEST((rounded == rounded.rounded()));
    for (int i = 0; i < 500; ++i) {
        const std::string worker = "w" + std::to_string(i);
        BOOST_TEST(*rounded.lease_end_ms(worker) >= *silent.lease_end_ms(worker));
        BOOST_TEST(*rounded.lease_end_ms(worker) < *silent.lease_end_ms(worker) + 50);
    }
}
