// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Times that one node writes on the store's clock and another one reads.

#define BOOST_TEST_MODULE store_clock
#include <boost/test/unit_test.hpp>

#include "silent_workers.h"
#include "store_clock.h"

#include <random>

using namespace pathport;
using namespace pathport::jobs;

namespace {

/// A node whose clock differs from the store's by a fixed span.
struct ClockedNode {
    int64_t behind_ms = 0; ///< The store's clock less the node's.
    StoreClock clock;

    Millis local(int64_t store_ms) const { return Millis(store_ms - behind_ms); }
    /// Takes an answer for which the store read its clock at `store_ms`.
    void answer(int64_t store_ms, int64_t way_there_ms, int64_t way_back_ms)
    {
        clock.update(store_ms, local(store_ms - way_there_ms),
                     local(store_ms + way_back_ms));
    }
};

} // namespace

// However long calls and answers take, a time is never taken to be reached before it is.
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
            writer.answer(store_ms, below(slowest), below(slowest));
            reader.answer(store_ms, below(slowest), below(slowest));
            store_ms += 100 + below(4000);
        }
        const int64_t over_ms = store_ms + below(9000);
        const int64_t written = writer.clock.latest_at(writer.local(over_ms));
        BOOST_TEST(written >= over_ms);
        BOOST_TEST((reader.clock.reached_by(written) >= reader.local(over_ms)));
    }
}

// The tightest bounds come from the quickest answer, and are kept for a while.
BOOST_AUTO_TEST_CASE(quick_answer_is_kept)
{
    ClockedNode node { 700, {} };
    BOOST_TEST(!node.clock.known());
    node.answer(100000, 2, 2);
    node.answer(101000, 900, 900);
    const int64_t error = node.clock.latest_at(node.local(102000)) - 102000;
    BOOST_TEST(error <= 30);
}

// A clock that has been set anew is followed at once.
BOOST_AUTO_TEST_CASE(clock_that_was_set_anew_is_followed)
{
    ClockedNode node { 0, {} };
    node.answer(100000, 2, 2);
    node.behind_ms = 50000; // Its clock was set forward by that.
    node.answer(151000, 90, 90);
    BOOST_TEST(node.clock.latest_at(node.local(152000)) >= 152000);
    BOOST_TEST((node.clock.reached_by(152000) >= node.local(152000)));
    node.behind_ms = -80000;
    node.answer(23000, 90, 90);
    BOOST_TEST((node.clock.reached_by(24000) >= node.local(24000)));
}

// Rounded times are shared by workers that were lost together; none comes early.
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
