// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Claims of queries to the advisor on free capacity. Guards against several steps asking
/// for tickets on the same free capacity, of which only one can use its tickets.

#define BOOST_TEST_MODULE advice_claims
#include <boost/test/unit_test.hpp>

#include "advice_claims.h"

using namespace pathport;
using namespace pathport::jobs;

namespace {

constexpr Resources free_capacity { 8000, 16000, 2 };

} // namespace

BOOST_AUTO_TEST_CASE(claims_of_the_same_and_of_more_urgent_ranks_count)
{
    AdviceClaims claims;
    claims.clear(3);
    claims.add(1, 0, { 1000, 500, 0 });
    claims.add(1, 2, { 3000, 1000, 1 });
    BOOST_TEST((claims.unclaimed(1, 0, free_capacity) == Resources { 7000, 15500, 2 }));
    BOOST_TEST((claims.unclaimed(1, 1, free_capacity) == Resources { 7000, 15500, 2 }));
    BOOST_TEST((claims.unclaimed(1, 2, free_capacity) == Resources { 4000, 14500, 1 }));
    BOOST_TEST((claims.unclaimed(0, 2, free_capacity) == free_capacity));
}

BOOST_AUTO_TEST_CASE(unclaimed_capacity_is_never_negative)
{
    AdviceClaims claims;
    claims.clear(1);
    claims.add(0, 1, { 9000, 1000, 0 });
    BOOST_TEST((claims.unclaimed(0, 1, free_capacity) == Resources { 0, 15000, 2 }));
    BOOST_TEST((claims.unclaimed(0, 1, { -500, 100, 0 }) == Resources()));
}

BOOST_AUTO_TEST_CASE(claims_end_with_the_pass)
{
    AdviceClaims claims;
    claims.clear(2);
    claims.add(0, 1, { 8000, 0, 0 });
    BOOST_TEST(!claims.empty());
    claims.clear(2);
    BOOST_TEST(claims.empty());
    BOOST_TEST((claims.unclaimed(0, 1, free_capacity) == free_capacity));
}

// A worker that was listed after the pass began has no row yet.
BOOST_AUTO_TEST_CASE(claims_on_unknown_workers_are_ignored)
{
    AdviceClaims claims;
    claims.clear(1);
    claims.add(4, 1, { 8000, 0, 0 });
    BOOST_TEST(claims.empty());
    BOOST_TEST((claims.unclaimed(4, 1, free_capacity) == free_capacity));
}
