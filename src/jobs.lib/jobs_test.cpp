// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Unit tests of the scheduler's components: values and their codecs, progress rows, job
/// records and placement.

#define BOOST_TEST_MODULE jobs
#include <boost/test/unit_test.hpp>

#include "advice_pool.h"
#include "head_log.h"
#include "job_record.h"
#include "placement.h"
#include "store_keys.h"

#include <pathport/emulator/store.h>
#include <pathport/jobs/job_node.h>
#include <pathport/jobs/peers.h>

using namespace pathport;
using namespace pathport::jobs;

namespace {

StepSpec step_of(int count, int64_t cpu)
{
    StepSpec step;
    step.count = count;
    step.need = { cpu, 100, 0 };
    step.expected_ms = 1000;
    return step;
}

AcceptedJob job_of(std::vector<StepSpec> steps)
{
    AcceptedJob job;
    job.id = "00112233445566aa";
    job.queue.name = "queue";
    job.queue.service = "pool";
    job.queue.max_failures = 3;
    job.queue.advice = AdviceRule { 480, 6.8, 2000 };
    job.spec.payload = "payload \xff with any byte";
    job.spec.steps = std::move(steps);
    job.accepted_ms = 77;
    return job;
}

PlacementOption option_of(std::string_view worker, int64_t cpu,
                          std::string_view rack = "r1-1")
{
    PlacementOption option;
    option.worker = worker;
    option.rack = rack;
    option.free = { cpu, 1000, 0 };
    return option;
}

} // namespace

BOOST_AUTO_TEST_CASE(accepted_job_survives_encoding)
{
    StepSpec full = step_of(3, 500);
    full.after = { 0 };
    full.gang = full.same_rack = full.saves_progress = full.speculative = true;
    full.long_running = full.best_effort_cpu = true;
    full.label = "gpu";
    full.preferred_rack = "r1-3";
    full.max_per_worker = 2;
    full.image = "i";
    full.latency_target_ms = 30;
    full.max_unavailable = 1;
    AcceptedJob job = job_of({ step_of(1, 200), full });
    job.spec.payload = "plain";
    job.spec.repeats = 4;
    job.spec.first_due_ms = 1000;
    job.spec.interval_ms = 50;
    Failure reason;
    const auto decoded = decode_accepted_job(job.id, encode(job), reason);
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == job));
}

BOOST_AUTO_TEST_CASE(malformed_rows_are_refused)
{
    Failure reason;
    for (const char* text : { "", "{", "[]", "{}", R"({"queue":1})", "null" })
        BOOST_TEST(!decode_accepted_job("a", text, reason).has_value(), text);
    BOOST_TEST(!decode_peer_request("{\"topic\":99}").has_value());
    BOOST_TEST(!decode_peer_request("x").has_value());
    BOOST_TEST(!decode_peer_answer("[1").has_value());
    BOOST_TEST(!decode_configuration("{}").has_value());
}

BOOST_AUTO_TEST_CASE(invalid_jobs_are_rejected)
{
    Failure reason;
    const auto valid = [&](jobs::JobSpec spec) { return is_valid(spec, reason); };
    jobs::JobSpec spec;
    BOOST_TEST(!valid(spec)); // No steps.
    spec.steps = { step_of(1, 100) };
    BOOST_TEST(valid(spec));
    spec.steps[0].after = { 0 };
    BOOST_TEST(!valid(spec)); // Depends on itself.
    spec.steps[0].after = { 3 };
    BOOST_TEST(!valid(spec)); // Depends on a missing step.
    spec.steps[0].after.clear();
    spec.steps[0].count = 0;
    BOOST_TEST(!valid(spec));
    spec.steps[0] = step_of(1, -1);
    BOOST_TEST(!valid(spec));
    spec.steps[0] = step_of(1, 1);
    spec.payload = std::string(max_payload_bytes + 1, 'x');
    BOOST_TEST(!valid(spec));
    BOOST_TEST((reason.kind() == FailureKind::bad_input));
}

BOOST_AUTO_TEST_CASE(peer_messages_survive_encoding)
{
    PeerRequest request;
    request.topic = PeerTopic::advice;
    request.node = "n";
    request.incarnation = "i";
    request.workers = { "a", "b" };
    request.epoch = 7;
    request.promises = true;
    request.echo_ms = 12;
    const auto back = decode_peer_request(encode(request));
    BOOST_REQUIRE(back.has_value());
    BOOST_TEST(encode(*back) == encode(request));
    PeerAnswer answer;
    answer.served = true;
    answer.leader = "10.0.0.1:1";
    answer.state = JobState::failed;
    answer.tickets = { { "w", "t" } };
    answer.closed = { { "q", Millis(2500) } };
    const auto answered = decode_peer_answer(encode(answer));
    BOOST_REQUIRE(answered.has_value());
    BOOST_TEST(encode(*answered) == encode(answer));
    BOOST_TEST((answered->closed == answer.closed));
}

BOOST_AUTO_TEST_CASE(task_names_are_parsed_from_the_right)
{
    const TaskId id { "5c0e7a21d94b36f8", 2, 1, 17 };
    const auto parsed = TaskId::parse(id.to_string());
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST((*parsed == id));
    // 4294967296 is 0 in 32 bits: such a name must not stand for another task.
    for (const char* text : { "", "a", "a.1.2", ".1.2.x", "a.b.c.d", "a.0.0.4294967296",
                              "a.4294967296.0.0", "a.0.-1.0", "a.0.0.-1" })
        BOOST_TEST(!TaskId::parse(text).has_value(), text);
}

BOOST_AUTO_TEST_CASE(longest_path_prefix_names_the_queue)
{
    Configuration configuration;
    Queue queue;
    queue.name = "short";
    queue.host = "h";
    queue.path_prefix = "/a/";
    configuration.queues.push_back(queue);
    queue.name = "long";
    queue.path_prefix = "/a/b/";
    configuration.queues.push_back(queue);
    BOOST_TEST(configuration.find("h", "/a/b/x")->name == "long");
    BOOST_TEST(configuration.find("h:80", "/a/x")->name == "short");
    BOOST_TEST(configuration.find("g", "/a/x") == nullptr);
    BOOST_TEST(configuration.find("h", "/b") == nullptr);
    const auto copy = decode_configuration(encode(configuration));
    BOOST_REQUIRE(copy.has_value());
    BOOST_TEST((copy->queues == configuration.queues));
}

BOOST_AUTO_TEST_CASE(progress_row_keeps_where_each_task_may_run)
{
    JobRecord job(job_of({ step_of(6, 100) }), Millis(0));
    Step& step = job.begin_repeat().steps[0];
    step.tasks.set_done(0);
    step.tasks.set_done(5);
    step.tasks.edit(1).phase = TaskPhase::running;
    step.tasks.edit(1).worker = "w1";
    step.tasks.edit(1).run = 9;
    step.tasks.edit(2).failed_runs = { 3, 4 };
    step.tasks.edit(3).checkpoint = "c";
    job.begun = true;
    JobRecord copy(job_of({ step_of(6, 100) }), Millis(0));
    BOOST_REQUIRE(copy.apply_progress(job.encode_progress()));
    const Step& restored = *copy.step(0, 0);
    BOOST_TEST(restored.tasks.done() == 2);
    BOOST_TEST((restored.tasks.at(5).phase == TaskPhase::done));
    BOOST_TEST((restored.tasks.at(1).phase == TaskPhase::in_doubt));
    BOOST_TEST(restored.tasks.at(1).worker == "w1");
    BOOST_TEST(restored.tasks.at(1).run == 9);
    BOOST_TEST(restored.tasks.at(2).failed_runs.size() == 2U);
    BOOST_TEST(restored.tasks.at(3).checkpoint == "c");
    BOOST_TEST((copy.state() == JobState::active));
    BOOST_TEST(!copy.apply_progress("{"));
}

BOOST_AUTO_TEST_CASE(final_state_is_shown_once_recorded)
{
    JobRecord job(job_of({ step_of(1, 100) }), Millis(0));
    Step& step = job.begin_repeat().steps[0];
    job.begun = true;
    step.tasks.set_done(0);
    job.finish_repeat(0);
    BOOST_TEST((job.state() == JobState::completed));
    BOOST_TEST((job.visible_state() == JobState::active));
    const std::string row = job.encode_progress();
    BOOST_TEST((final_state_of_progress(row) == JobState::completed));
    BOOST_TEST(!final_state_of_progress("").has_value());
}

BOOST_AUTO_TEST_CASE(giving_up_and_cancelling_are_kept_apart)
{
    JobRecord job(job_of({ step_of(1, 100) }), Millis(0));
    job.begin_repeat();
    job.retries_exhausted = true;
    BOOST_TEST((job.state() == JobState::failed));
    job.retries_exhausted = false;
    job.canceled = true;
    BOOST_TEST((job.state() == JobState::canceled));
}

BOOST_AUTO_TEST_CASE(timed_job_has_one_repeat_after_the_other)
{
    AcceptedJob timed = job_of({ step_of(1, 100) });
    timed.spec.repeats = 2;
    timed.spec.first_due_ms = 500;
    timed.spec.interval_ms = 100;
    JobRecord job(timed, Millis(0));
    BOOST_TEST(*job.next_due() == 500);
    job.begin_repeat();
    BOOST_TEST(*job.next_due() == 600);
    job.begin_repeat();
    BOOST_TEST(!job.next_due().has_value());
    job.finish_repeat(0);
    BOOST_TEST((job.state() == JobState::pending));
    job.finish_repeat(1);
    BOOST_TEST((job.state() == JobState::completed));
}

BOOST_AUTO_TEST_CASE(tightest_fit_comes_first)
{
    const auto shares = choose_workers(
        step_of(3, 1000), 3, false, { option_of("wide", 8000), option_of("tight", 2000) });
    BOOST_REQUIRE(shares.size() == 2U);
    BOOST_TEST((shares[0] == Assignment { "tight", 2 }));
    BOOST_TEST((shares[1] == Assignment { "wide", 1 }));
}

BOOST_AUTO_TEST_CASE(gang_goes_whole_or_not_at_all)
{
    const StepSpec step = step_of(5, 1000);
    BOOST_TEST(choose_workers(step, 5, true, { option_of("a", 2000), option_of("b", 2000) })
                   .empty());
    const auto shares
        = choose_workers(step, 5, true, { option_of("a", 3000), option_of("b", 2000) });
    BOOST_TEST(shares.size() == 2U);
}

BOOST_AUTO_TEST_CASE(limits_of_a_step_are_kept)
{
    StepSpec step = step_of(9, 1000);
    PlacementOption option = option_of("a", 8000);
    BOOST_TEST(tasks_that_fit(step, option) == 8);
    step.max_per_worker = 2;
    option.step_tasks = 1;
    BOOST_TEST(tasks_that_fit(step, option) == 1);
    step.max_per_worker = 0;
    step.need.accelerators = 1;
    BOOST_TEST(tasks_that_fit(step, option) == 0);
    step.need = { 100000, 100, 0 };
    step.best_effort_cpu = true; // Its processor need does not count.
    BOOST_TEST(tasks_that_fit(step, option) == 10);
}

BOOST_AUTO_TEST_CASE(second_choices_are_filled_last)
{
    PlacementOption tight = option_of("a", 1000);
    tight.second_choice = true;
    const auto shares = choose_workers(step_of(3, 1000), 2, false,
                                       { tight, option_of("b", 8000, "r1-2") });
    BOOST_REQUIRE(shares.size() == 1);
    BOOST_TEST(shares[0].worker == "b");
}

BOOST_AUTO_TEST_CASE(step_remembers_few_workers_that_turned_it_away)
{
    Step step;
    for (int i = 0; i < 1000; ++i)
        step.deprioritize("w" + std::to_string(i), Millis(i));
    BOOST_TEST(step.deprioritized_workers.size() <= 100);
    BOOST_TEST(step.deprioritized_workers.count("w999") == 1);
    step.deprioritize("w0", Millis(60000));
    BOOST_TEST(step.deprioritized_workers.size() == 1);
}

BOOST_AUTO_TEST_CASE(one_rack_is_taken_where_it_suffices)
{
    StepSpec step = step_of(4, 1000);
    step.same_rack = true;
    const auto shares
        = choose_workers(step, 4, true,
                         { option_of("a", 1000, "r1-1"), option_of("b", 4000, "r1-2"),
                           option_of("c", 2000, "r1-1") });
    BOOST_REQUIRE(shares.size() == 1U);
    BOOST_TEST(shares[0].worker == "b");
}
