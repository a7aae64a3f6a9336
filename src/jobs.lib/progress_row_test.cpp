// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Round trips of the progress row for random job states: a successor must rebuild from it
/// all that it needs.

#define BOOST_TEST_MODULE progress_row
#include <boost/test/unit_test.hpp>

#include "job_record.h"

#include <random>

using namespace pathport;
using namespace pathport::jobs;

namespace {

using Random = std::mt19937_64;

int below(Random& random, int bound)
{
    return static_cast<int>(random() % static_cast<uint64_t>(bound));
}

AcceptedJob random_job(Random& random)
{
    AcceptedJob job;
    job.id = "00112233445566aa";
    job.queue.max_failures = 4;
    const int steps = 1 + below(random, 4);
    for (int i = 0; i < steps; ++i) {
        StepSpec step;
        step.count = 1 + below(random, 20);
        step.gang = below(random, 3) == 0;
        if (i > 0 && below(random, 2) == 0)
            step.after = { i - 1 };
        job.spec.steps.push_back(step);
    }
    if (below(random, 3) == 0) {
        job.spec.repeats = 4;
        job.spec.interval_ms = 1000;
    }
    return job;
}

/// Puts a task into a random state that a scheduler can leave behind.
void change_task(Random& random, Step& step, int index)
{
    const TaskPhase phases[]
        = { TaskPhase::waiting, TaskPhase::intended, TaskPhase::starting,
            TaskPhase::running, TaskPhase::stopping, TaskPhase::in_doubt,
            TaskPhase::done };
    const TaskPhase phase = phases[below(random, 7)];
    if (phase == TaskPhase::done) {
        step.tasks.set_done(index);
        return;
    }
    Task& task = step.tasks.edit(index);
    task.phase = phase;
    const int64_t epoch_runs = int64_t(7) << 20;
    for (int i = below(random, 4); i > 0 && !step.spec->gang; --i)
        task.failed_runs.push_back(epoch_runs + 10 - i);
    if (!task.failed_runs.empty())
        task.ended_run = task.failed_runs.back();
    if (below(random, 3) == 0)
        task.checkpoint = "00000bb87a21d94b";
    if (below(random, 5) == 0) {
        task.crashes.expect_unrecorded_losses(below(random, 2));
        task.crashes.note_survival(Millis(below(random, 2000)));
        task.crashes.add({ epoch_runs + 5, below(random, 9000) });
        task.crashes.add({ epoch_runs + 7, 0, below(random, 2) == 0, "w7",
                           below(random, 9000), below(random, 2) == 0 });
        step.has_crashes = true;
    }
    if (!task.placed())
        return;
    task.worker = "i-" + std::to_string(below(random, 5));
    task.run = epoch_runs + 20 + below(random, 100);
    if (task.phase == TaskPhase::intended)
        return;
    task.evidence = RunEvidence::ordered(Millis(1000));
    if (below(random, 2) == 0)
        task.evidence = task.evidence.accepted(Millis(1010));
}

void change_step(Random& random, Step& step)
{
    const int kind = below(random, 4);
    if (kind == 0)
        return;
    for (int i = 0; i < step.tasks.size(); ++i) {
        if (kind == 1)
            step.tasks.set_done(i);
        else
            change_task(random, step, i);
    }
    step.unrecorded_losses = below(random, 3);
    if (step.spec->gang && below(random, 2) == 0)
        step.gang_failed_runs = { 7340077, 7340090 };
}

/// Puts a job into a random state that it can have between two records.
void change_job(Random& random, JobRecord& job)
{
    const int begun = job.accepted().spec.has_schedule() ? 1 + below(random, 3) : 1;
    for (int number = 0; number < begun; ++number) {
        Repeat& repeat = job.begin_repeat();
        for (Step& step : repeat.steps)
            change_step(random, step);
    }
    if (begun > 1 && below(random, 2) == 0)
        job.finish_repeat(0);
    job.begun = below(random, 2) == 0;
}

void check_task(const Task& task, const Task& loaded)
{
    if (task.placed()) {
        BOOST_TEST((loaded.phase == TaskPhase::in_doubt));
        BOOST_TEST(loaded.worker == task.worker);
        BOOST_TEST(loaded.run == task.run);
        // Only of a suspect it is recorded that its run exists.
        const bool confirmed = task.evidence.is_confirmed() && !task.crashes.empty();
        BOOST_TEST((loaded.evidence == RunEvidence::unobserved(confirmed)));
    } else {
        BOOST_TEST((loaded.phase == task.phase));
        BOOST_TEST(loaded.worker.empty());
    }
    if (task.phase == TaskPhase::done)
        return;
    BOOST_TEST(loaded.failed_runs == task.failed_runs, boost::test_tools::per_element());
    BOOST_TEST(loaded.ended_run == task.ended_run);
    BOOST_TEST(loaded.checkpoint == task.checkpoint);
    BOOST_TEST((loaded.crashes == task.crashes));
}

void check_step(const Step& step, const Step& loaded)
{
    BOOST_TEST(loaded.tasks.done() == step.tasks.done());
    BOOST_REQUIRE(loaded.tasks.size() == step.tasks.size());
    for (int i = 0; i < step.tasks.size(); ++i)
        check_task(step.tasks.at(i), loaded.tasks.at(i));
    if (!step.finished())
        BOOST_TEST(loaded.unrecorded_losses == step.unrecorded_losses);
    if (!step.finished())
        BOOST_TEST(loaded.gang_failed_runs == step.gang_failed_runs,
                   boost::test_tools::per_element());
}

void check_job(const JobRecord& job, const JobRecord& loaded)
{
    BOOST_TEST((loaded.state() == job.state()));
    BOOST_TEST(loaded.begun == job.begun);
    BOOST_TEST((loaded.next_due() == job.next_due()));
    BOOST_REQUIRE(loaded.repeats().size() == job.repeats().size());
    for (const auto& [number, repeat] : job.repeats()) {
        BOOST_REQUIRE(loaded.repeats().count(number) == 1U);
        const Repeat& other = loaded.repeats().at(number);
        for (size_t i = 0; i < repeat.steps.size(); ++i) {
            check_step(repeat.steps[i], other.steps[i]);
            BOOST_TEST(loaded.dependencies_met(other.steps[i])
                       == job.dependencies_met(repeat.steps[i]));
        }
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(random_jobs_round_trip)
{
    for (uint64_t seed = 1; seed <= 2000; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            Random random(seed);
            JobRecord job(random_job(random), Millis(0));
            change_job(random, job);
            JobRecord loaded(job.accepted(), Millis(0));
            const std::string row = job.encode_progress();
            BOOST_REQUIRE(loaded.apply_progress(row));
            check_job(job, loaded);
            // The successor's own successor must decode the same state.
            JobRecord reloaded(job.accepted(), Millis(0));
            BOOST_REQUIRE(reloaded.apply_progress(loaded.encode_progress()));
            check_job(loaded, reloaded);
        }
    }
}

// A truncated row must be rejected.
BOOST_AUTO_TEST_CASE(truncated_row_is_rejected)
{
    Random random(5);
    JobRecord job(random_job(random), Millis(0));
    change_job(random, job);
    const std::string row = job.encode_progress();
    for (size_t length = 0; length < row.size(); ++length) {
        JobRecord loaded(job.accepted(), Millis(0));
        BOOST_TEST(!loaded.apply_progress(row.substr(0, length)), "cut after " << length);
    }
}
