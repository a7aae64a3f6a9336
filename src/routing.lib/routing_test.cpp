// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#define BOOST_TEST_MODULE routing
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <pathport/dispatcher.h>
#include <pathport/router.h>

#include <deque>

using namespace pathport;

namespace {

constexpr char service[] = "settlement";

// Holds what is sent until the test answers it.
class HeldTargets : public TargetClient {
public:
    struct Held {
        std::string box;
        ForwardRequest request;
        std::function<void(ForwardAnswer)> done;
    };

    void send(const BoxInfo& box, int64_t /*epoch*/, const ForwardRequest& request,
              std::function<void(ForwardAnswer)> done) override
    {
        ++in_flight[box.id];
        ++sent;
        held.push_back({ box.id, request, std::move(done) });
    }

    void answer(size_t index, RequestOutcome outcome)
    {
        const Held one = held[index];
        held.erase(held.begin() + static_cast<long>(index));
        --in_flight[one.box];
        ForwardAnswer answer;
        answer.outcome = outcome;
        answer.body = one.request.request_id;
        one.done(answer);
    }

    std::deque<Held> held;
    std::map<std::string, int64_t> in_flight;
    int sent = 0;
};

class NoListener : public DispatchListener {
public:
    void on_target_trouble(const std::string& /*box*/) override { ++troubles; }
    int troubles = 0;
};

Target target(const std::string& id, int64_t slots = 2)
{
    Target t;
    t.box.id = id;
    t.box.domain = "d";
    t.box.rack = "r";
    t.box.incarnation = "1";
    t.box.slots = slots;
    t.services = { { service, 1 } };
    return t;
}

ForwardRequest request(const std::string& id, Millis time_left = Millis(1000),
                       bool repeatable = false)
{
    ForwardRequest r;
    r.request_id = id;
    r.service = service;
    r.time_left = time_left;
    r.repeatable = repeatable;
    return r;
}

// A dispatcher with its surroundings, and the answers that it gave.
struct Bench {
    ManualClock clock;
    HeldTargets targets;
    NoListener listener;
    Dispatcher dispatcher { clock, targets, listener, DispatchLimits() };
    std::map<std::string, std::vector<ForwardAnswer>> answers;

    void submit(const ForwardRequest& r)
    {
        dispatcher.submit(
            r, [this, r](const ForwardAnswer& a) { answers[r.request_id].push_back(a); });
    }

    // Teaches the dispatcher how long the service takes.
    void teach(Millis took, int times)
    {
        for (int i = 0; i < times; ++i) {
            submit(request("teach" + std::to_string(i)));
            clock.advance(took);
            targets.answer(0, RequestOutcome::answered);
        }
        answers.clear();
        targets.sent = 0;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(requests_beyond_the_slots_wait_and_are_served_in_turn)
{
    Bench b;
    b.dispatcher.set_targets({ target("b1"), target("b2") });
    for (int i = 0; i < 6; ++i)
        b.submit(request("r" + std::to_string(i)));
    BOOST_TEST(b.targets.held.size() == 4U);
    BOOST_TEST(b.targets.in_flight["b1"] == 2);
    BOOST_TEST(b.dispatcher.queued() == 2);
    b.targets.answer(0, RequestOutcome::answered);
    BOOST_TEST(b.targets.held.back().request.request_id == "r4");
}

// Two replicas on one box share its slots, but both count as running; a drained box once
// left a service short of replicas for ever by its own count.
BOOST_AUTO_TEST_CASE(replicas_are_counted_and_slots_are_the_box_s)
{
    Bench b;
    Target two = target("b1", 3);
    two.services = { { service, 2 } };
    b.dispatcher.set_targets({ two });
    BOOST_TEST(b.dispatcher.load(service).running == 2);
    BOOST_TEST(b.dispatcher.loads("d.r").front().running == 2);
    BOOST_TEST(b.dispatcher.load(service).slots == 3);
}

BOOST_AUTO_TEST_CASE(request_that_can_not_be_served_in_time_is_refused_at_once_with_a_time)
{
    Bench b;
    b.dispatcher.set_targets({ target("b1", 1) });
    b.teach(Millis(100), 30);
    for (int i = 0; i < 5; ++i)
        b.submit(request("r" + std::to_string(i), Millis(250)));
    // One runs, one can wait 100 ms for its slot; the others would come too late.
    BOOST_TEST(b.answers.size() == 3U);
    for (const auto& answer : b.answers) {
        BOOST_TEST((answer.second.front().outcome == RequestOutcome::not_run));
        BOOST_TEST((answer.second.front().failure.kind() == FailureKind::overloaded));
        BOOST_TEST(answer.second.front().retry_after.count() > 0);
    }
}

BOOST_AUTO_TEST_CASE(request_whose_time_passes_in_the_queue_hears_so_and_is_never_sent)
{
    Bench b;
    b.dispatcher.set_targets({ target("b1", 1) });
    b.submit(request("runs"));
    b.submit(request("waits", Millis(50)));
    b.clock.advance(Millis(60));
    b.dispatcher.expire();
    BOOST_TEST((b.answers.at("waits").front().outcome == RequestOutcome::not_run));
    b.targets.answer(0, RequestOutcome::answered);
    BOOST_TEST(b.targets.sent == 1);
}

// Trap 8: requests of the earlier owner still hold slots of a target after a take-over.
BOOST_AUTO_TEST_CASE(slots_held_by_an_earlier_owner_are_not_given_away)
{
    Bench b;
    b.dispatcher.end_report("b1", 2, true);
    b.dispatcher.set_targets({ target("b1", 3) });
    for (int i = 0; i < 3; ++i)
        b.submit(request("r" + std::to_string(i)));
    BOOST_TEST(b.targets.held.size() == 1U);
    b.dispatcher.begin_report("b1");
    b.dispatcher.end_report("b1", 1 + 1, false);
    BOOST_TEST(b.targets.held.size() == 2U);
    b.dispatcher.begin_report("b1");
    b.dispatcher.end_report("b1", 2, false);
    BOOST_TEST(b.targets.held.size() == 3U);
}

BOOST_AUTO_TEST_CASE(request_of_unknown_outcome_keeps_its_slot_until_a_later_report)
{
    Bench b;
    b.dispatcher.set_targets({ target("b1", 1) });
    b.submit(request("lost"));
    b.submit(request("next"));
    // The report is measured before the request is lost, so it can't clear it.
    b.dispatcher.begin_report("b1");
    b.targets.answer(0, RequestOutcome::may_have_run);
    b.dispatcher.end_report("b1", 1, false);
    BOOST_TEST(b.targets.held.empty());
    b.dispatcher.begin_report("b1");
    b.dispatcher.end_report("b1", 0, false);
    BOOST_TEST(b.targets.held.size() == 1U);
    BOOST_TEST((b.answers.at("lost").front().outcome == RequestOutcome::may_have_run));
}

BOOST_AUTO_TEST_CASE(only_a_repeatable_request_is_sent_again_after_an_unknown_outcome)
{
    Bench b;
    b.dispatcher.set_targets({ target("b1"), target("b2") });
    b.submit(request("single"));
    b.targets.answer(0, RequestOutcome::may_have_run);
    BOOST_TEST(b.targets.sent == 1);
    BOOST_TEST(b.answers.count("single") == 1U);
    b.submit(request("repeatable", Millis(1000), true));
    b.targets.answer(0, RequestOutcome::may_have_run);
    BOOST_TEST(b.targets.sent == 3);
    b.targets.answer(0, RequestOutcome::answered);
    BOOST_TEST((b.answers.at("repeatable").front().outcome == RequestOutcome::answered));
}

// After a try that may have run, a later refusal must not turn the answer into "not run".
BOOST_AUTO_TEST_CASE(doubt_about_an_earlier_try_stays_in_the_answer)
{
    Bench b;
    b.dispatcher.set_targets({ target("b1"), target("b2") });
    b.submit(request("r", Millis(1000), true));
    b.targets.answer(0, RequestOutcome::may_have_run);
    b.targets.answer(0, RequestOutcome::not_run);
    b.targets.answer(0, RequestOutcome::not_run);
    BOOST_TEST((b.answers.at("r").front().outcome == RequestOutcome::may_have_run));
}

BOOST_AUTO_TEST_CASE(retries_stop_when_their_budget_is_used_up)
{
    Bench b;
    b.dispatcher.set_targets({ target("b1", 100) });
    for (int i = 0; i < 100; ++i) {
        b.submit(request("r" + std::to_string(i)));
        while (!b.targets.held.empty())
            b.targets.answer(0, RequestOutcome::not_run);
    }
    // Ten to start with and one for each ten requests, against three tries each.
    BOOST_TEST(b.targets.sent <= 100 + 20);
    BOOST_TEST(b.answers.size() == 100U);
}

BOOST_AUTO_TEST_CASE(slow_target_gets_less_but_never_all_are_left_out)
{
    Bench b;
    b.dispatcher.set_targets({ target("b1"), target("b2"), target("b3"), target("b4") });
    std::map<std::string, int> served;
    for (int i = 0; i < 400; ++i) {
        b.submit(request("r" + std::to_string(i), Millis(100000)));
        const std::string box = b.targets.held.front().box;
        ++served[box];
        b.clock.advance(Millis(box == "b1" ? 200 : 10));
        b.targets.answer(0, RequestOutcome::answered);
    }
    BOOST_TEST(served["b1"] * 2 < served["b2"]);
    // One target alone is used however slow it is.
    b.dispatcher.set_targets({ target("b1") });
    b.submit(request("last"));
    BOOST_TEST(b.targets.held.size() == 1U);
}

BOOST_AUTO_TEST_CASE(queue_of_a_service_whose_replicas_have_gone_is_answered)
{
    Bench b;
    b.dispatcher.set_targets({ target("b1", 1) });
    b.submit(request("runs"));
    b.submit(request("waits"));
    b.dispatcher.set_targets({});
    BOOST_TEST((b.answers.at("waits").front().outcome == RequestOutcome::not_run));
    // A planned hand-over cuts off nothing that runs.
    b.targets.answer(0, RequestOutcome::answered);
    BOOST_TEST((b.answers.at("runs").front().outcome == RequestOutcome::answered));
}

RC_BOOST_PROP(slots_are_never_exceeded_and_each_request_is_answered_once, ())
{
    Bench b;
    const int64_t slots = *rc::gen::inRange<int64_t>(1, 5);
    b.dispatcher.set_targets({ target("b1", slots), target("b2", slots) });
    const int steps = *rc::gen::inRange(20, 150);
    int submitted = 0;
    for (int i = 0; i < steps; ++i) {
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
        case 1:
            b.submit(request("r" + std::to_string(submitted++),
                             Millis(*rc::gen::inRange<int64_t>(1, 400)),
                             *rc::gen::arbitrary<bool>()));
            break;
        case 2:
            if (!b.targets.held.empty())
                b.targets.answer(*rc::gen::inRange<size_t>(0, b.targets.held.size()),
                                 static_cast<RequestOutcome>(*rc::gen::inRange(0, 4)));
            break;
        default:
            b.clock.advance(Millis(*rc::gen::inRange<int64_t>(1, 60)));
            b.dispatcher.expire();
        }
        for (const auto& box : b.targets.in_flight)
            RC_ASSERT(box.second <= slots);
    }
    while (!b.targets.held.empty())
        b.targets.answer(0, RequestOutcome::answered);
    b.clock.advance(Millis(1000));
    b.dispatcher.expire();
    RC_ASSERT(static_cast<int>(b.answers.size()) == submitted);
    for (const auto& answer : b.answers)
        RC_ASSERT(answer.second.size() == 1U);
}

namespace {

// A cell of nodes for the router: it records where requests go.
class FakeCell : public RouteView, public RequestSink {
public:
    std::vector<Route> routes(const std::string& /*service*/) const override
    {
        return all_routes;
    }
    std::optional<AdmissionOwner> admission_owner(int /*range*/) const override
    {
        return owner;
    }
    void dispatch_here(const ForwardRequest& /*request*/,
                       std::function<void(ForwardAnswer)> done) override
    {
        ++here;
        done(next_answer());
    }
    AdmissionVerdict admit_here(const ForwardRequest& /*request*/) override
    {
        ++admitted;
        return verdict;
    }
    void release_here(const ForwardRequest& /*request*/) override { ++released; }
    void forward(const std::string& address, const ForwardRequest& request,
                 std::function<void(ForwardAnswer)> done) override
    {
        forwards.push_back({ address, request.stage });
        done(next_answer());
    }

    ForwardAnswer next_answer()
    {
        ForwardAnswer answer;
        answer.outcome = RequestOutcome::answered;
        if (!outcomes.empty()) {
            answer.outcome = outcomes.front();
            outcomes.pop_front();
        }
        return answer;
    }

    std::vector<Route> all_routes;
    std::optional<AdmissionOwner> owner;
    AdmissionVerdict verdict = AdmissionVerdict::admitted;
    std::deque<RequestOutcome> outcomes;
    std::vector<std::pair<std::string, ForwardStage>> forwards;
    int here = 0;
    int admitted = 0;
    int released = 0;
};

ForwardAnswer route_one(FakeCell& cell, bool repeatable)
{
    ManualClock clock;
    Router router(clock, cell, cell, 1);
    std::vector<ForwardAnswer> answers;
    router.route(request("id", Millis(1000), repeatable),
                 [&](const ForwardAnswer& a) { answers.push_back(a); });
    BOOST_REQUIRE(answers.size() == 1U);
    return answers.front();
}

} // namespace

BOOST_AUTO_TEST_CASE(own_replicas_are_taken_while_they_have_room)
{
    FakeCell cell;
    cell.all_routes = { { "me", "", true, 16, 2, 0 }, { "b", "addr-b", true, 16, 0, 0 } };
    route_one(cell, true);
    BOOST_TEST(cell.here == 1);
    cell.all_routes[0].load = 40;
    route_one(cell, true);
    BOOST_TEST(cell.forwards.size() == 1U);
}

BOOST_AUTO_TEST_CASE(request_leaves_the_region_only_when_the_region_is_full)
{
    FakeCell cell;
    cell.all_routes
        = { { "near", "near", true, 8, 4, 0 }, { "far", "far", false, 800, 0, 0 } };
    route_one(cell, true);
    BOOST_TEST(cell.forwards.back().first == "near");
    cell.all_routes[0].load = 100;
    route_one(cell, true);
    BOOST_TEST(cell.forwards.back().first == "far");
}

BOOST_AUTO_TEST_CASE(request_that_may_not_be_repeated_goes_to_the_owner_of_its_id_first)
{
    FakeCell cell;
    cell.all_routes = { { "me", "", true, 16, 0, 0 } };
    BOOST_TEST((route_one(cell, false).outcome == RequestOutcome::not_run));
    cell.owner = AdmissionOwner { "b", "addr-b" };
    route_one(cell, false);
    BOOST_TEST((cell.forwards.back().second == ForwardStage::admit));
    BOOST_TEST(cell.admitted == 0);
    cell.owner = AdmissionOwner { "me", "" };
    route_one(cell, false);
    BOOST_TEST(cell.admitted == 1);
    BOOST_TEST(cell.here == 1);
}

// Without a time to come back, callers asked again every millisecond while a node was dead.
BOOST_AUTO_TEST_CASE(refusal_always_says_when_to_come_back)
{
    FakeCell cell;
    cell.owner = AdmissionOwner { "b", "addr-b" };
    cell.outcomes = { RequestOutcome::not_run };
    BOOST_TEST(route_one(cell, false).retry_after.count() > 0);
    cell.all_routes = { { "b", "addr-b", true, 16, 0, 0 } };
    cell.outcomes = { RequestOutcome::not_run };
    BOOST_TEST(route_one(cell, true).retry_after.count() > 0);
}

BOOST_AUTO_TEST_CASE(refused_ids_are_told_apart_and_never_dispatched)
{
    FakeCell cell;
    cell.owner = AdmissionOwner { "me", "" };
    cell.all_routes = { { "me", "", true, 16, 0, 0 } };
    const std::map<AdmissionVerdict, RequestOutcome> expected
        = { { AdmissionVerdict::duplicate, RequestOutcome::may_have_run },
            { AdmissionVerdict::unknown, RequestOutcome::may_have_run },
            { AdmissionVerdict::too_new, RequestOutcome::not_run },
            { AdmissionVerdict::not_owner, RequestOutcome::not_run } };
    for (const auto& one : expected) {
        cell.verdict = one.first;
        BOOST_TEST((route_one(cell, false).outcome == one.second));
    }
    BOOST_TEST(cell.here == 0);
}

BOOST_AUTO_TEST_CASE(id_is_released_only_when_the_request_surely_did_not_run)
{
    FakeCell cell;
    cell.owner = AdmissionOwner { "me", "" };
    cell.all_routes = { { "me", "", true, 16, 0, 0 } };
    cell.outcomes = { RequestOutcome::not_run };
    route_one(cell, false);
    BOOST_TEST(cell.released == 1);
    cell.outcomes = { RequestOutcome::may_have_run };
    route_one(cell, false);
    BOOST_TEST(cell.released == 1);
}

BOOST_AUTO_TEST_CASE(refused_request_is_tried_at_another_node_and_keeps_its_doubt)
{
    FakeCell cell;
    cell.all_routes = { { "a", "a", true, 8, 0, 0 }, { "b", "b", true, 8, 0, 0 } };
    cell.outcomes = { RequestOutcome::not_run, RequestOutcome::answered };
    BOOST_TEST((route_one(cell, true).outcome == RequestOutcome::answered));
    BOOST_TEST(cell.forwards.size() == 2U);
    BOOST_TEST(cell.forwards[0].first != cell.forwards[1].first);
    cell.outcomes = { RequestOutcome::may_have_run, RequestOutcome::not_run };
    BOOST_TEST((route_one(cell, true).outcome == RequestOutcome::may_have_run));
}
