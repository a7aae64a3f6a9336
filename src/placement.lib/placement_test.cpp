// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#define BOOST_TEST_MODULE placement
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <pathport/apportion.h>
#include <pathport/placer.h>

using namespace pathport;

namespace {

BoxInfo box(const std::string& id, const std::string& domain, Resources capacity)
{
    BoxInfo info;
    info.id = id;
    info.domain = domain;
    info.rack = "k1";
    info.capacity = capacity;
    return info;
}

PolicyTask replica(const std::string& name, Resources resources)
{
    return { name, "team", true, 100, false, resources };
}

PolicyTask batch(int64_t priority, Resources resources)
{
    return { "job", "team", false, priority, true, resources };
}

const DefaultPolicy default_policy;

} // namespace

RC_BOOST_PROP(no_box_is_given_more_than_it_has, ())
{
    Placer placer;
    for (int i = 0; i < 4; ++i) {
        placer.set_box(box("b" + std::to_string(i), "d" + std::to_string(i % 2),
                           { *rc::gen::inRange<int64_t>(1, 16) * 1000,
                             *rc::gen::inRange<int64_t>(1, 64) * 1024,
                             *rc::gen::inRange<int64_t>(0, 3) }),
                       true);
    }
    std::vector<std::pair<std::string, std::string>> placed;
    for (int i = 0; i < 80; ++i) {
        if (!placed.empty() && *rc::gen::inRange(0, 4) == 0) {
            placer.free(placed.back().first, placed.back().second);
            placed.pop_back();
            continue;
        }
        PlaceRequest request;
        request.task = batch(10,
                             { *rc::gen::inRange<int64_t>(1, 4) * 500,
                               *rc::gen::inRange<int64_t>(1, 8) * 512,
                               *rc::gen::inRange<int64_t>(0, 2) });
        Failure reason;
        const auto chosen = placer.choose(request, default_policy, reason);
        RC_ASSERT(chosen.has_value() != static_cast<bool>(reason));
        if (!chosen)
            continue;
        const std::string id = "t" + std::to_string(i);
        RC_ASSERT(placer.allocate(*chosen, id, request.task));
        placed.emplace_back(*chosen, id);
        for (const auto& item : placer.boxes()) {
            Resources sum;
            for (const auto& task : item.second.tasks())
                sum = sum + task.second.resources;
            RC_ASSERT(sum.fits_in(item.second.info().capacity));
            RC_ASSERT(sum + item.second.free() == item.second.info().capacity);
        }
    }
}

BOOST_AUTO_TEST_CASE(replicas_spread_over_failure_domains_before_they_share_a_box)
{
    Placer placer;
    for (int i = 0; i < 8; ++i) {
        placer.set_box(
            box("b" + std::to_string(i), "d" + std::to_string(i % 4), { 16000, 65536, 0 }),
            true);
    }
    std::map<std::string, int> by_domain;
    std::map<std::string, int> by_box;
    for (int i = 0; i < 8; ++i) {
        PlaceRequest request;
        request.task = replica("s", { 1000, 512, 0 });
        Failure reason;
        const auto chosen = placer.choose(request, default_policy, reason);
        BOOST_REQUIRE(chosen);
        placer.allocate(*chosen, std::to_string(i), request.task);
        ++by_domain[placer.boxes().at(*chosen).info().domain];
        ++by_box[*chosen];
    }
    for (const auto& count : by_domain)
        BOOST_TEST(count.second == 2);
    for (const auto& count : by_box)
        BOOST_TEST(count.second == 1);
}

BOOST_AUTO_TEST_CASE(work_without_accelerators_leaves_accelerator_boxes_free)
{
    Placer placer;
    placer.set_box(box("accelerated", "d1", { 4000, 4096, 2 }), true);
    placer.set_box(box("plain", "d1", { 16000, 65536, 0 }), true);
    PlaceRequest request;
    request.task = batch(10, { 1000, 512, 0 });
    Failure reason;
    BOOST_TEST(*placer.choose(request, default_policy, reason) == "plain");
    request.task = batch(10, { 1000, 512, 1 });
    BOOST_TEST(*placer.choose(request, default_policy, reason) == "accelerated");
}

BOOST_AUTO_TEST_CASE(refusal_says_what_ruled_the_boxes_out)
{
    Placer placer;
    placer.set_box(box("small", "d1", { 500, 512, 0 }), true);
    placer.set_box(box("leaving", "d1", { 16000, 65536, 0 }), false);
    PlaceRequest request;
    request.task = batch(10, { 1000, 512, 0 });
    Failure reason;
    BOOST_TEST(!placer.choose(request, default_policy, reason));
    BOOST_TEST(reason.detail()
               == "1 boxes have no room, 0 are forbidden by the policy, "
                  "1 take no work");
}

BOOST_AUTO_TEST_CASE(policy_may_keep_a_task_from_sharing)
{
    Placer placer;
    placer.set_box(box("used", "d1", { 16000, 65536, 0 }), true);
    placer.set_box(box("empty", "d1", { 64000, 262144, 0 }), true);
    placer.allocate("used", "t", batch(1, { 8000, 1024, 0 }));
    Failure reason;
    const auto alone
        = LuaPolicy::compile("function may_share(t, b) return #b.tasks == 0 end", reason);
    PlaceRequest request;
    request.task = batch(10, { 1000, 512, 0 });
    BOOST_TEST(*placer.choose(request, default_policy, reason) == "used");
    BOOST_TEST(*placer.choose(request, *alone, reason) == "empty");
}

BOOST_AUTO_TEST_CASE(urgent_task_stops_the_least_that_makes_room)
{
    Placer placer;
    placer.set_box(box("b1", "d1", { 4000, 4096, 0 }), true);
    placer.set_box(box("b2", "d1", { 4000, 4096, 0 }), true);
    placer.allocate("b1", "low", batch(1, { 2000, 1024, 0 }));
    placer.allocate("b1", "lower", batch(0, { 2000, 1024, 0 }));
    placer.allocate("b2", "service", replica("s", { 4000, 1024, 0 }));
    PlaceRequest request;
    request.task = batch(urgent_priority, { 2000, 1024, 0 });
    const auto plan = placer.choose_stops(request, default_policy, {});
    BOOST_REQUIRE(plan);
    BOOST_TEST(plan->box == "b1");
    BOOST_TEST((plan->tasks == std::vector<std::string> { "lower" }));
    request.task = batch(10, { 2000, 1024, 0 });
    BOOST_TEST(!placer.choose_stops(request, default_policy, {}));
}

BOOST_AUTO_TEST_CASE(replicas_are_apportioned_evenly_over_domains)
{
    const std::vector<ShardShare> shards
        = { { "d1.k1", "d1", 6, -1 }, { "d1.k2", "d1", 6, -1 }, { "d2.k1", "d2", 6, -1 } };
    const auto counts = apportion("s", 8, shards);
    BOOST_TEST(counts.at("d2.k1") == 4);
    BOOST_TEST(counts.at("d1.k1") + counts.at("d1.k2") == 4);
    BOOST_TEST(counts.at("d1.k1") == 2);
}

BOOST_AUTO_TEST_CASE(what_a_full_or_empty_shard_can_not_take_goes_to_others)
{
    const std::vector<ShardShare> shards
        = { { "a", "d1", 6, 1 }, { "b", "d2", 0, -1 }, { "c", "d3", 2, -1 } };
    const auto counts = apportion("s", 5, shards);
    BOOST_TEST(counts.at("a") == 1);
    BOOST_TEST(counts.count("b") == 0U);
    BOOST_TEST(counts.at("c") == 4);
    BOOST_TEST(apportion("s", 5, {}).empty());
}
