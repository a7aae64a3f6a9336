// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#define BOOST_TEST_MODULE model
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <pathport/codec.h>

using namespace pathport;

namespace {

const std::string good_service
    = R"({"name":"settlement","team":"kiosk","resources":{"cpu_millis":500,"memory_mb":256},)"
      R"("replicas":3})";

std::string service_failure(const std::string& text)
{
    Failure reason;
    return decode_service(text, reason) ? "" : reason.detail();
}

std::string with(const std::string& text, const std::string& from, const std::string& to)
{
    std::string changed = text;
    changed.replace(changed.find(from), from.size(), to);
    return changed;
}

Resources any_resources()
{
    return { *rc::gen::inRange<int64_t>(1, 1000000), *rc::gen::inRange<int64_t>(1, 1000000),
             *rc::gen::inRange<int64_t>(0, 1024) };
}

} // namespace

BOOST_AUTO_TEST_CASE(service_is_read_with_its_defaults)
{
    Failure reason;
    const auto service = decode_service(good_service, reason);
    BOOST_REQUIRE(service);
    BOOST_TEST(service->replicas == 3);
    BOOST_TEST(service->window_ms == 1000);
    BOOST_TEST(service->resources.accelerators == 0);
}

BOOST_AUTO_TEST_CASE(wrong_field_is_named_with_what_is_allowed)
{
    const auto names = [](const std::string& text, const std::string& part) {
        return service_failure(text).find(part) != std::string::npos;
    };
    BOOST_TEST(names(with(good_service, "\"replicas\":3", "\"replicas\":-1"), "replicas"));
    BOOST_TEST(names(with(good_service, "\"replicas\":3", "\"replicas\":1.5"), "replicas"));
    BOOST_TEST(
        names(with(good_service, "\"replicas\":3", "\"replicas\":\"3\""), "replicas"));
    BOOST_TEST(names(with(good_service, "\"replicas\"", "\"replica\""), "missing"));
    BOOST_TEST(
        names(with(good_service, "\"replicas\":3", "\"replicas\":3,\"x\":1"), "'x'"));
    BOOST_TEST(names(with(good_service, "settlement", "Settlement"), "'Settlement'"));
    BOOST_TEST(names(with(good_service, "settlement", "a/b"), "'a/b'"));
    BOOST_TEST(names(with(good_service, "500", "0"), "above 0"));
    BOOST_TEST(names("[]", "object"));
    BOOST_TEST(service_failure("{") != "");
    BOOST_TEST(service_failure("") != "");
}

RC_BOOST_PROP(values_survive_their_encoding, ())
{
    Failure reason;
    TaskRecord task;
    task.id = "job.1";
    task.job = "job";
    task.team = "team";
    task.resources = any_resources();
    task.duration_ms = *rc::gen::inRange<int64_t>(1, 1000000);
    task.priority = *rc::gen::inRange<int64_t>(0, 1000000);
    task.stoppable = *rc::gen::arbitrary<bool>();
    task.state = static_cast<TaskState>(*rc::gen::inRange(0, 4));
    task.attempt = *rc::gen::inRange<int64_t>(0, 9);
    if (task.attempt > 0) {
        task.box = "box";
        task.box_incarnation = "inc";
    }
    RC_ASSERT(*decode_task(encode(task), reason) == task);
    BoxInfo box;
    box.id = "box";
    box.region = "r";
    box.domain = "d";
    box.rack = "k";
    box.capacity = any_resources();
    box.state = static_cast<BoxState>(*rc::gen::inRange(0, 3));
    RC_ASSERT(decode_boxes(encode(std::vector<BoxInfo> { box }), reason)->front() == box);
    const ShardRecord shard { "d.k", "node", "inc", *rc::gen::inRange<int64_t>(0, 1000) };
    RC_ASSERT(*decode_shard(encode(shard), reason) == shard);
    NodeRecord node;
    node.node = "n";
    node.counter = *rc::gen::inRange<int64_t>(0, 1000);
    node.state = static_cast<NodeState>(*rc::gen::inRange(0, 3));
    RC_ASSERT(*decode_node(encode(node), reason) == node);
}

// Bytes that nobody meant to send are refused, never a crash.
RC_BOOST_PROP(damaged_text_is_refused_or_read, ())
{
    std::string text = good_service;
    const int damages = *rc::gen::inRange(1, 6);
    for (int i = 0; i < damages; ++i)
        text[*rc::gen::inRange<size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    Failure reason;
    const auto service = decode_service(text, reason);
    RC_ASSERT(service.has_value() != static_cast<bool>(reason));
    decode_boxes(text, reason);
    decode_task(text, reason);
    decode_policy(text, reason);
}
