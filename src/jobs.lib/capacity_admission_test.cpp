// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Refusal of jobs that the capacity does not suffice for in time.
///
/// Guards against a cell that accepts jobs which it can only finish long after their
/// deadlines, while their callers wait, and against refusals that lose an accepted job or
/// outlast the load.

#define BOOST_TEST_MODULE capacity_admission
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "retry_delay.h"

#include <limits>

using namespace pathport;
using namespace pathport::cell_tests;

namespace {

constexpr int nodes = 3;
constexpr int workers = 4; ///< Of 8 processors each.
constexpr int64_t run_ms = 500;
constexpr int tasks = 32; ///< A job takes the whole cell for `run_ms`.
constexpr Millis job_interval { 50 };

struct Outcome {
    int accepted = 0;
    int refused = 0; ///< Jobs of which at least one submission was refused.
    bool delays_valid = true; ///< Each refusal asked for 1 to 10 s.
};

/// A cell to which jobs come at several times the rate that its processors can serve.
class OverloadedCell {
public:
    explicit OverloadedCell(const jobs::Mechanisms& mechanisms = {})
        : cell(11, nodes, workers, {}, 0, Millis(0), mechanisms)
    {
        add_queues(cell);
        cell.world.run_for(Millis(4000));
    }

    /// Submits `count` jobs, one in each interval. A job on "q1" may take 2 s.
    void load(int count)
    {
        for (int i = 0; i < count; ++i) {
            submit(cell, "q1", "job" + std::to_string(m_next++),
                   { one_core_step(tasks, run_ms) });
            cell.world.run_for(job_interval);
        }
    }
    Outcome outcome() const
    {
        Outcome outcome;
        for (const auto& [id, job] : cell.jobs()) {
            outcome.accepted += job.accepted ? 1 : 0;
            outcome.refused += job.refusals > 0 ? 1 : 0;
            const int64_t delay_ms = job.retry_after.count();
            if (job.refusals > 0 && (delay_ms < 1000 || delay_ms > 10000))
                outcome.delays_valid = false;
        }
        return outcome;
    }

    Cell cell;

private:
    int m_next = 0;
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

BOOST_AUTO_TEST_CASE(overloaded_cell_refuses_until_the_load_has_gone)
{
    OverloadedCell loaded;
    loaded.load(200);
    const Outcome outcome = loaded.outcome();
    BOOST_TEST(outcome.refused > 10);
    BOOST_TEST(outcome.accepted > 10);
    BOOST_TEST(outcome.accepted < 200);
    BOOST_TEST(outcome.delays_valid);
    BOOST_TEST_MESSAGE(outcome.accepted << " accepted, " << outcome.refused << " refused");
    // All accepted jobs are completed, and none of the others has run.
    loaded.cell.world.run_for(Millis(60000));
    const auto violations = loaded.cell.final_violations();
    BOOST_TEST(violations.empty(), join_lines(violations));
    submit(loaded.cell, "q1", "after", { one_core_step(tasks, run_ms) });
    loaded.cell.world.run_for(Millis(3000));
    BOOST_TEST(loaded.cell.jobs().at("after").accepted);
    BOOST_TEST(loaded.cell.jobs().at("after").refusals == 0);
    BOOST_TEST((loaded.cell.ask_state("after") == jobs::JobState::completed));
}

BOOST_AUTO_TEST_CASE(burst_of_one_second_is_accepted)
{
    OverloadedCell loaded;
    loaded.load(20);
    loaded.cell.world.run_for(Millis(20000));
    BOOST_TEST(loaded.outcome().refused == 0);
    BOOST_TEST(loaded.outcome().accepted == 20);
}

BOOST_AUTO_TEST_CASE(nothing_is_refused_with_the_mechanism_off)
{
    Failure reason;
    const auto mechanisms = jobs::Mechanisms::without("capacity_admission", reason);
    BOOST_REQUIRE(mechanisms);
    OverloadedCell loaded(*mechanisms);
    loaded.load(200);
    BOOST_TEST(loaded.outcome().refused == 0);
}

// A node that knows the field gets answers from leaders that don't.
BOOST_AUTO_TEST_CASE(answer_without_limited_queues_is_decoded)
{
    jobs::PeerAnswer answer;
    answer.limited = { { "a", Millis(1200) }, { "b", Millis(70000) } };
    const auto decoded = jobs::decode_peer_answer(encode(answer));
    BOOST_REQUIRE(decoded);
    BOOST_TEST((decoded->limited == answer.limited));
    BOOST_TEST(encode(jobs::PeerAnswer()).find("limited") == std::string::npos);
    const auto earlier = jobs::decode_peer_answer(R"({"epoch":7,"closed":[["a",2000]]})");
    BOOST_REQUIRE(earlier);
    BOOST_TEST(earlier->limited.empty());
    BOOST_TEST(earlier->closed.size() == 1U);
}

// A malformed row must cost neither the other rows nor the heartbeat.
BOOST_AUTO_TEST_CASE(malformed_limited_queues_are_left_out)
{
    const auto answer = jobs::decode_peer_answer(
        R"({"epoch":7,"limited":[["a"],[],"a",7,null,{"a":1},["a","b"],[1,2000],)"
        R"(["a",-5],["a",0],["a",1.5],["a",null],["c",3000,"more"],)"
        R"(["a",99999999999999999999999]]})");
    BOOST_REQUIRE(answer);
    BOOST_TEST(answer->epoch == 7);
    BOOST_REQUIRE(answer->limited.size() == 1U);
    BOOST_TEST((answer->limited[0] == jobs::LimitedQueue { "c", Millis(3000) }));
    for (const char* text : { R"({"limited":{}})", R"({"limited":"a"})",
                              R"({"limited":null})", R"({"limited":7})" }) {
        const auto other = jobs::decode_peer_answer(text);
        BOOST_REQUIRE(other);
        BOOST_TEST(other->limited.empty());
    }
}

// Estimates that don't tell when a job will be late must not refuse it.
BOOST_AUTO_TEST_CASE(allowance_needs_usable_estimates)
{
    jobs::Queue queue;
    queue.stretch = 2;
    queue.slo_ms = 300;
    const jobs::JobSpec valid = spec_of({ one_core_step(3, 1000) });
    const auto allowance = jobs::allowance_of(queue, valid);
    BOOST_REQUIRE(allowance);
    BOOST_TEST((*allowance == shortage::JobAllowance { 1300, 2300 }));
    BOOST_TEST(!jobs::allowance_of(queue, {}));
    for (const int64_t expected_ms :
         { int64_t(0), int64_t(-1), std::numeric_limits<int64_t>::min(),
           std::numeric_limits<int64_t>::max() }) {
        jobs::JobSpec spec = valid;
        spec.steps.push_back(spec.steps[0]);
        spec.steps[1].expected_ms = expected_ms;
        BOOST_TEST(!jobs::allowance_of(queue, spec), expected_ms);
    }
    jobs::JobSpec lasting = valid;
    lasting.steps[0].long_running = true;
    BOOST_TEST(!jobs::allowance_of(queue, lasting));
    jobs::JobSpec scheduled = valid;
    scheduled.repeats = 3;
    BOOST_TEST(!jobs::allowance_of(queue, scheduled));
}
