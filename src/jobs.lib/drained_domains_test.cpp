// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The state of drained failure domains, as read, watched and received from peers. A change
/// must not be lost or undone by answers that overlap, come late or in another order: a
/// node that misses a withdrawal keeps a domain empty for good, one that misses a request
/// starts tasks there.

#define BOOST_TEST_MODULE drained_domains
#include <boost/test/unit_test.hpp>

#include <pathport/jobs/drained_domains.h>
#include <pathport/jobs/peers.h>

using namespace pathport::jobs;

namespace {

const DrainChange request_a { "a", true, 110 };
const DrainChange withdrawal_a { "a", false, 130 };
const DrainChange request_b { "b", true, 120 };

} // namespace

BOOST_AUTO_TEST_CASE(read_replaces_the_state)
{
    const auto state = DrainedDomains().after_read({ request_a, request_b }, 125);
    BOOST_TEST(state.contains("a"));
    BOOST_TEST(state.contains("b"));
    BOOST_TEST(!state.contains("c"));
    BOOST_TEST(state.version() == 125);
    BOOST_TEST(state.changed_at() == 120);
}

BOOST_AUTO_TEST_CASE(read_shows_a_withdrawal_by_absence)
{
    const auto before = DrainedDomains().after_read({ request_a }, 115);
    const auto state = before.after_read({}, 140);
    BOOST_TEST(state.empty());
    // Other nodes that know of the request have to learn of the withdrawal.
    BOOST_TEST(state.changed_at() > before.version());
}

BOOST_AUTO_TEST_CASE(late_read_changes_nothing)
{
    const auto state = DrainedDomains().after_read({}, 140);
    BOOST_TEST((state.after_read({ request_a }, 115) == state));
}

BOOST_AUTO_TEST_CASE(overlapping_watches_may_be_answered_in_any_order)
{
    const auto start = DrainedDomains().after_read({}, 100);
    const auto in_order = start.after_changes({ request_a }, 115)
                              .after_changes({ request_a, request_b, withdrawal_a }, 135);
    const auto reversed = start.after_changes({ request_a, request_b, withdrawal_a }, 135)
                              .after_changes({ request_a }, 115);
    BOOST_TEST((in_order == reversed));
    BOOST_TEST(!reversed.contains("a"));
    BOOST_TEST(reversed.contains("b"));
}

BOOST_AUTO_TEST_CASE(newer_state_of_a_peer_is_adopted)
{
    const auto older = DrainedDomains().after_read({ request_a }, 115);
    const auto newer = older.after_changes({ withdrawal_a }, 135);
    BOOST_TEST((older.merged_with(newer) == newer));
    BOOST_TEST((newer.merged_with(older) == newer));
    // A watch that began before the peer's answer repeats changes that it included.
    BOOST_TEST(newer.after_changes({ request_a }, 120).empty());
}

BOOST_AUTO_TEST_CASE(state_survives_the_message_codec)
{
    PeerAnswer answer;
    answer.drains = DrainedDomains().after_read({ request_a, request_b }, 125);
    answer.drains_changed_at = 120;
    const auto decoded = decode_peer_answer(encode(answer));
    BOOST_REQUIRE(decoded);
    BOOST_TEST((decoded->drains == answer.drains));
    BOOST_TEST(decoded->drains_changed_at == 120);
    PeerRequest request;
    request.drains_changed_at = 120;
    BOOST_TEST(decode_peer_request(encode(request))->drains_changed_at == 120);
}
