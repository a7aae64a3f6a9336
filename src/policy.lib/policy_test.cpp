// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#define BOOST_TEST_MODULE policy
#include <boost/test/unit_test.hpp>

#include <pathport/policy.h>

#include <fstream>
#include <iterator>

using namespace pathport;

namespace {

const PolicyTask batch { "standings", "board", false, 10, true, { 1000, 512, 0 } };
const PolicyTask urgent {
    "ruling", "board", false, urgent_priority, false, { 1000, 512, 0 }
};
const PolicyBox empty_box { "b", "d", "r", { 4000, 4096, 0 }, { 4000, 4096, 0 }, {} };

std::string refusal_of(const std::string& program)
{
    Failure reason;
    return LuaPolicy::compile(program, reason) ? "" : reason.detail();
}

} // namespace

BOOST_AUTO_TEST_CASE(program_decides_what_it_defines_and_the_built_in_the_rest)
{
    Failure reason;
    const auto policy
        = LuaPolicy::compile("function rank(t) return t.team == 'board' and 7 or 1 end\n"
                             "function may_share(t, b) return #b.tasks == 0 end",
                             reason);
    BOOST_REQUIRE(policy);
    BOOST_TEST(policy->rank(batch) == 7);
    BOOST_TEST(policy->may_share(batch, empty_box));
    PolicyBox used = empty_box;
    used.tasks.push_back(batch);
    BOOST_TEST(!policy->may_share(batch, used));
    BOOST_TEST(policy->may_stop(batch, urgent));
    BOOST_TEST(!policy->may_stop(urgent, batch));
    BOOST_TEST(policy->health().failures == 0);
}

BOOST_AUTO_TEST_CASE(examples_are_accepted)
{
    for (const char* name : { "policy-kiosk.lua", "policy-boards.lua" }) {
        std::ifstream stream(std::string(EXAMPLES) + "/" + name);
        const std::string program { std::istreambuf_iterator<char>(stream), {} };
        Failure reason;
        const auto policy = LuaPolicy::compile(program, reason);
        BOOST_TEST((policy != nullptr), reason.detail());
        BOOST_TEST((policy && policy->may_stop(batch, urgent)));
    }
}

BOOST_AUTO_TEST_CASE(program_reaches_neither_files_nor_code_loading_nor_error_catching)
{
    for (const char* name :
         { "io", "os", "load", "loadstring", "dofile", "loadfile", "require", "debug",
           "pcall", "xpcall", "coroutine", "setmetatable", "collectgarbage", "string",
           "rawset", "_G", "package" }) {
        const std::string program = "function rank(t) return " + std::string(name)
            + " == nil and 1 or error('reached') end";
        BOOST_TEST(refusal_of(program) == "", name);
    }
}

BOOST_AUTO_TEST_CASE(program_without_end_or_with_too_much_memory_is_refused)
{
    BOOST_TEST(refusal_of("while true do end").find("instructions") != std::string::npos);
    BOOST_TEST(refusal_of("function rank(t) while true do end end") != "");
    BOOST_TEST(refusal_of("function rank(t) local a = 'x' "
                          "for i = 1, 40 do a = a .. a end return 1 end")
               != "");
    BOOST_TEST(refusal_of("function rank(t) return t.nothing.there end") != "");
    BOOST_TEST(refusal_of("function rank(t) return 'first' end") != "");
    BOOST_TEST(refusal_of("rank = 3") != "");
    BOOST_TEST(refusal_of("x = 1") != "");
    BOOST_TEST(refusal_of("function rank(") != "");
    BOOST_TEST(refusal_of("\x1bLua") != "");
}

BOOST_AUTO_TEST_CASE(failing_call_is_decided_by_the_built_in_policy_and_counted)
{
    Failure reason;
    const auto policy = LuaPolicy::compile(
        "function rank(t) if t.name == 'standings' then error('no') end return 1 end\n"
        "function may_share(t, b) if t.name == 'standings' then return nil end return "
        "false end",
        reason);
    BOOST_REQUIRE(policy);
    BOOST_TEST(policy->rank(batch) == DefaultPolicy().rank(batch));
    BOOST_TEST(policy->may_share(batch, empty_box));
    BOOST_TEST(policy->health().failures == 2);
    BOOST_TEST((policy->health().last.kind() == FailureKind::policy_error));
    // It still works for others.
    BOOST_TEST(policy->rank(urgent) == 1);
    BOOST_TEST(!policy->may_share(urgent, empty_box));
}

BOOST_AUTO_TEST_CASE(program_that_always_exceeds_its_limits_never_blocks_a_decision)
{
    Failure reason;
    const auto policy = LuaPolicy::compile(
        "function rank(t) if t.name == 'probe' then return 1 end while true do end end",
        reason);
    BOOST_REQUIRE(policy);
    for (int i = 0; i < 200; ++i)
        BOOST_TEST(policy->rank(batch) == DefaultPolicy().rank(batch));
    BOOST_TEST(policy->health().failures == 200);
}
