// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Names of mechanisms in the settings of experiments.

#define BOOST_TEST_MODULE mechanisms
#include <boost/test/unit_test.hpp>

#include <pathport/jobs/mechanisms.h>

#include <set>

using namespace pathport;
using namespace pathport::jobs;

BOOST_AUTO_TEST_CASE(all_are_in_use_unless_named)
{
    Failure reason;
    const auto none = Mechanisms::without("none", reason);
    BOOST_REQUIRE(none);
    BOOST_TEST((*none == Mechanisms()));
    const auto some = Mechanisms::without("preemption,hand_over", reason);
    BOOST_REQUIRE(some);
    for (const Mechanism mechanism : all_mechanisms()) {
        const bool named
            = mechanism == Mechanism::preemption || mechanism == Mechanism::hand_over;
        BOOST_TEST(none->uses(mechanism));
        BOOST_TEST(some->uses(mechanism) == !named, to_string(mechanism));
    }
}

// Settings of the daemon exclude a mechanism without naming it to experiments.
BOOST_AUTO_TEST_CASE(one_can_be_excluded)
{
    const Mechanisms some = Mechanisms().without(Mechanism::capacity_admission);
    for (const Mechanism mechanism : all_mechanisms())
        BOOST_TEST(some.uses(mechanism) == (mechanism != Mechanism::capacity_admission));
}

BOOST_AUTO_TEST_CASE(each_has_a_name_of_its_own)
{
    std::set<std::string> names;
    for (const Mechanism mechanism : all_mechanisms())
        names.insert(to_string(mechanism));
    BOOST_TEST(names.size() == mechanism_count);
    Failure reason;
    const auto last = Mechanisms::without("archive", reason);
    BOOST_REQUIRE(last);
    BOOST_TEST(!last->uses(Mechanism::archive));
}

BOOST_AUTO_TEST_CASE(unknown_names_are_rejected)
{
    for (const char* names : { "", "preempt", "preemption,", "none,preemption" }) {
        Failure reason;
        BOOST_TEST(!Mechanisms::without(names, reason), names);
        BOOST_TEST(reason.detail().find("preemption") != std::string::npos, names);
    }
}
