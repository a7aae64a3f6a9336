// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#define BOOST_TEST_MODULE base
#include <boost/test/unit_test.hpp>

#include <pathport/ids.h>
#include <pathport/settings.h>
#include <pathport/timers.h>

#include <future>

using namespace pathport;

namespace {

const std::vector<SettingSpec> specs = {
    { "node", "id", SettingType::text, std::nullopt, 0, 0, {} },
    { "node", "threads", SettingType::integer, "4", 2, 8, {} },
    { "node", "level", SettingType::choice, "info", 0, 0, { "debug", "info" } },
    { "node", "share", SettingType::decimal, "0.5", 0, 2, {} },
    { "listen", "callers", SettingType::address, "127.0.0.1:80", 0, 0, {} },
    { "peers", "seeds", SettingType::address_list, "", 0, 0, {} },
};

std::string failure_of(const std::string& content)
{
    Failure reason;
    const auto settings = Settings::parse(content, "f.ini", specs, reason);
    return settings ? "" : reason.detail();
}

} // namespace

BOOST_AUTO_TEST_CASE(settings_have_values_and_defaults)
{
    Failure reason;
    const auto settings = Settings::parse("[node]\nid = a\nthreads = 8\n[peers]\n"
                                          "seeds = 127.0.0.1:1, 127.0.0.2:2\n",
                                          "f.ini", specs, reason);
    BOOST_REQUIRE(settings);
    BOOST_TEST(settings->text("node", "id") == "a");
    BOOST_TEST(settings->integer("node", "threads") == 8);
    BOOST_TEST(settings->text("node", "level") == "info");
    BOOST_TEST(settings->list("peers", "seeds").size() == 2U);
    BOOST_TEST(settings->decimal("node", "share") == 0.5);
}

BOOST_AUTO_TEST_CASE(invalid_settings_are_reported_with_place_value_and_allowed_values)
{
    const std::string detail = failure_of("[node]\nid = a\nthreads = 9\n");
    for (const char* part : { "f.ini", "[node]", "threads", "'9'", "from 2 to 8" })
        BOOST_TEST(detail.find(part) != std::string::npos, part << " in " << detail);
    BOOST_TEST(failure_of("[node]\nid = a\nthreads = 4x\n") != "");
    BOOST_TEST(failure_of("[node]\nid = a\nlevel = loud\n") != "");
    BOOST_TEST(failure_of("[node]\nid = a\nshare = 0.25\n").empty());
    for (const char* share : { "2.5", "-1", "1e0", "half", "nan", "0.5x" })
        BOOST_TEST(failure_of(std::string("[node]\nid = a\nshare = ") + share + "\n") != "",
                   share);
    BOOST_TEST(failure_of("[node]\nid = a\n[listen]\ncallers = localhost:80\n") != "");
    BOOST_TEST(failure_of("[node]\nid = a\n[listen]\ncallers = 1.2.3.4:0\n") != "");
    BOOST_TEST(failure_of("[node]\nid = a\n[peers]\nseeds = 1.2.3.4:5,x\n") != "");
}

BOOST_AUTO_TEST_CASE(unknown_missing_and_duplicate_keys_are_errors)
{
    BOOST_TEST(failure_of("[node]\nid = a\nthread = 4\n").find("unknown key")
               != std::string::npos);
    BOOST_TEST(failure_of("[node]\nthreads = 4\n").find("missing") != std::string::npos);
    BOOST_TEST(failure_of("[node]\nid = a\nid = b\n").find("twice") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(uuid7_contains_its_timestamp_and_must_be_lower_case)
{
    const Millis time(1765000000123);
    const std::string id = make_uuid7(time);
    BOOST_TEST(id.size() == 36U);
    BOOST_TEST((uuid7_time(id) == time));
    BOOST_TEST(make_uuid7(time) != id);
    std::string upper = id;
    upper[35] = 'F';
    BOOST_TEST(!uuid7_time(upper));
    std::string version4 = id;
    version4[14] = '4';
    BOOST_TEST(!uuid7_time(version4));
    BOOST_TEST(!uuid7_time(id.substr(1)));
}

BOOST_AUTO_TEST_CASE(secrets_are_compared_in_full)
{
    BOOST_TEST(equal_secrets("key-1", "key-1"));
    BOOST_TEST(!equal_secrets("key-1", "key-2"));
    BOOST_TEST(!equal_secrets("key-1key-1", "key-1"));
    BOOST_TEST(!equal_secrets("", "key-1"));
    BOOST_TEST(!equal_secrets("k", ""));
}

// Guards against a missed wake-up: the first function added while the timer thread was idle
// did not run until another one was added.
BOOST_AUTO_TEST_CASE(timers_run_the_first_function_added_to_an_idle_thread)
{
    Timers timers;
    std::promise<void> ran;
    timers.after(Millis(1), [&ran] { ran.set_value(); });
    const auto status = ran.get_future().wait_for(std::chrono::seconds(20));
    BOOST_TEST((status == std::future_status::ready));
}

BOOST_AUTO_TEST_CASE(timers_run_functions_in_order_of_due_time)
{
    Timers timers;
    std::vector<int> order;
    std::promise<void> ran;
    timers.after(Millis(60), [&] {
        order.push_back(2);
        ran.set_value();
    });
    timers.after(Millis(5), [&] { order.push_back(1); });
    ran.get_future().wait();
    BOOST_TEST((order == std::vector<int> { 1, 2 }));
}
