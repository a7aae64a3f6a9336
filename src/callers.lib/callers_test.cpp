// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Lookup of callers by key, and handling of invalid keys and workspaces.

#define BOOST_TEST_MODULE callers
#include <boost/test/unit_test.hpp>

#include <pathport/callers/caller.h>

#include <sstream>

using namespace pathport;
using namespace pathport::callers;

namespace {

Workspace named(const std::string& name)
{
    Workspace workspace;
    workspace.name = name;
    return workspace;
}

/// Returns two workspaces: a with the keys a1 and a2, b with b1.
Workspaces two_workspaces(uint64_t seed = 7)
{
    Workspaces workspaces { KeyHasher(seed) };
    workspaces.add(named("a"));
    workspaces.add_key("a1");
    workspaces.add_key("a2");
    workspaces.add(named("b"));
    workspaces.add_key("b1");
    return workspaces;
}

CallerCheck check(const std::vector<std::string>& headers, bool is_public = false,
                  bool is_fresh = true)
{
    return check_caller(two_workspaces(), is_public, PresentedKey(headers), is_fresh);
}

} // namespace

BOOST_AUTO_TEST_CASE(key_identifies_its_workspace)
{
    BOOST_TEST((check({ "a1" }).caller == Caller::of("a")));
    BOOST_TEST((check({ "a2" }).caller == Caller::of("a")));
    BOOST_TEST((check({ "b1" }).caller == Caller::of("b")));
}

BOOST_AUTO_TEST_CASE(call_without_a_valid_key_is_denied)
{
    const std::vector<std::vector<std::string>> headers {
        {},       { "" },
        { "c1" }, { "a1", "a1" },
        { "A1" }, { std::string(max_key_bytes + 1, 'x') }
    };
    for (const auto& values : headers) {
        BOOST_TEST((check(values).verdict == CallerVerdict::denied));
        BOOST_TEST((check(values, false, false).verdict == CallerVerdict::undecided));
    }
}

BOOST_AUTO_TEST_CASE(key_of_maximum_length_is_valid)
{
    const std::string key(max_key_bytes, 'k');
    Workspaces workspaces { KeyHasher(1) };
    workspaces.add(named("a"));
    BOOST_TEST(!workspaces.add_key(key));
    const auto found = check_caller(workspaces, false, PresentedKey({ key }), true);
    BOOST_TEST((found.verdict == CallerVerdict::admitted));
}

BOOST_AUTO_TEST_CASE(public_queue_admits_any_caller_and_identifies_keys)
{
    BOOST_TEST((check({}, true).caller == Caller::anonymous()));
    BOOST_TEST((check({ "c1" }, true).caller == Caller::anonymous()));
    BOOST_TEST((check({ "b1" }, true).caller == Caller::of("b")));
}

BOOST_AUTO_TEST_CASE(cell_without_workspaces_admits_all_callers_to_all_jobs)
{
    const auto found = check_caller(std::nullopt, false, PresentedKey({ "x" }), true);
    BOOST_TEST((found.verdict == CallerVerdict::admitted));
    BOOST_TEST(found.caller.may_see("a"));
    BOOST_TEST(!found.caller.workspaces_enabled());
}

BOOST_AUTO_TEST_CASE(callers_see_jobs_of_their_workspace_and_of_none)
{
    BOOST_TEST(Caller::of("a").may_see("a"));
    BOOST_TEST(Caller::of("a").may_see(""));
    BOOST_TEST(!Caller::of("a").may_see("b"));
    BOOST_TEST(Caller::anonymous().may_see(""));
    BOOST_TEST(!Caller::anonymous().may_see("a"));
}

BOOST_AUTO_TEST_CASE(key_of_two_workspaces_stays_with_the_first)
{
    Workspaces workspaces = two_workspaces();
    BOOST_TEST((workspaces.add_key("a1") == WorkspaceFault::shared_key));
    BOOST_TEST(!workspaces.add_key("b1")); // Repeated in the same workspace.
    BOOST_TEST(workspaces.find_by_key("a1")->name == "a");
}

BOOST_AUTO_TEST_CASE(workspaces_without_a_unique_name_are_left_out)
{
    Workspaces workspaces = two_workspaces();
    BOOST_TEST((workspaces.add(named("")) == WorkspaceFault::no_name));
    BOOST_TEST((workspaces.add(named("a")) == WorkspaceFault::repeated_name));
    BOOST_TEST(workspaces.all().size() == 2U);
    BOOST_TEST((workspaces.add_key("") == WorkspaceFault::bad_key));
    BOOST_TEST((workspaces.add_key(std::string(max_key_bytes + 1, 'x'))
                == WorkspaceFault::bad_key));
}

BOOST_AUTO_TEST_CASE(digest_depends_on_key_and_seed_and_round_trips_as_text)
{
    const KeyDigest digest = KeyHasher(7).digest("a1");
    BOOST_TEST((digest == KeyHasher(7).digest("a1")));
    BOOST_TEST((digest != KeyHasher(8).digest("a1")));
    BOOST_TEST((digest != KeyHasher(7).digest("a2")));
    BOOST_TEST((KeyDigest::parse(digest.to_string()) == digest));
    BOOST_TEST(digest.to_string().find("a1") != 0U);
    for (const char* const wrong : { "", "12", "zz345678901234567890123456789012" })
        BOOST_TEST(!KeyDigest::parse(wrong).has_value());
}

BOOST_AUTO_TEST_CASE(random_hashers_differ)
{
    BOOST_TEST(!(KeyHasher::random() == KeyHasher::random()));
}
