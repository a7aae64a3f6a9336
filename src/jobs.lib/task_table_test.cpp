// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The table of a step's tasks against a plain list of them, under random changes. Guards
/// against counts that drift from the records: a step whose waiting tasks are miscounted is
/// never completed, or is placed again.

#define BOOST_TEST_MODULE task_table
#include <boost/test/unit_test.hpp>

#include "job_record.h"

#include <algorithm>
#include <random>
#include <stdexcept>
#include <vector>

using namespace pathport;
using namespace pathport::jobs;

namespace {

using Random = std::mt19937_64;

int below(Random& random, int bound)
{
    return static_cast<int>(random() % static_cast<uint64_t>(bound));
}

void check(const Step& step, const std::vector<TaskPhase>& phases)
{
    const auto count = [&](TaskPhase phase) {
        return static_cast<int>(std::count(phases.begin(), phases.end(), phase));
    };
    for (const TaskPhase phase :
         { TaskPhase::waiting, TaskPhase::intended, TaskPhase::running, TaskPhase::done }) {
        BOOST_TEST(step.count(phase) == count(phase));
        BOOST_TEST(step.has(phase) == (count(phase) > 0));
    }
    BOOST_TEST(step.placed() == count(TaskPhase::intended) + count(TaskPhase::running));
    BOOST_TEST(step.finished() == (count(TaskPhase::done) == step.tasks.size()));
    std::vector<int> waiting;
    for (int i = 0; i < step.tasks.size(); ++i) {
        BOOST_TEST((step.tasks.at(i).phase == phases[size_t(i)]));
        if (phases[size_t(i)] == TaskPhase::waiting)
            waiting.push_back(i);
    }
    BOOST_TEST(step.waiting_tasks(true, step.tasks.size()) == waiting,
               boost::test_tools::per_element());
    waiting.resize(std::min<size_t>(waiting.size(), 3));
    BOOST_TEST(step.waiting_tasks(true, 3) == waiting, boost::test_tools::per_element());
}

} // namespace

BOOST_AUTO_TEST_CASE(agrees_with_a_list_of_all_tasks)
{
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        Random random(seed);
        StepSpec spec;
        spec.count = 1 + below(random, 130);
        Step step;
        step.spec = &spec;
        step.tasks = TaskTable(spec.count);
        std::vector<TaskPhase> phases(size_t(spec.count), TaskPhase::waiting);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            for (int change = 0; change < 2 * spec.count; ++change) {
                const int index = below(random, spec.count);
                if (step.tasks.is_done(index))
                    continue;
                const TaskPhase choices[] = { TaskPhase::waiting, TaskPhase::intended,
                                              TaskPhase::running, TaskPhase::done };
                const TaskPhase phase = choices[below(random, 4)];
                phases[size_t(index)] = phase;
                if (below(random, 10) == 0)
                    step.tasks.edit(index).crashes.add({ 1, 0, false, "w" });
                if (phase == TaskPhase::done)
                    step.tasks.set_done(index);
                else
                    step.tasks.edit(index).phase = phase;
                check(step, phases);
            }
            step.tasks.set_all_done();
            std::fill(phases.begin(), phases.end(), TaskPhase::done);
            check(step, phases);
        }
    }
}

BOOST_AUTO_TEST_CASE(only_tasks_in_progress_have_records)
{
    constexpr int size = 10000;
    TaskTable tasks(size);
    BOOST_TEST(tasks.records().empty());
    BOOST_TEST(tasks.at(size - 1).run == 0);
    BOOST_TEST(tasks.records().empty());
    tasks.edit(7).phase = TaskPhase::running;
    BOOST_TEST(tasks.records().size() == 1U);
    BOOST_TEST(tasks.untouched() == size - 1);
    tasks.set_done(7);
    BOOST_TEST(tasks.records().empty());
    BOOST_TEST(tasks.next_open(7) == 8);
    BOOST_CHECK_THROW(tasks.edit(7), std::out_of_range);
    BOOST_CHECK_THROW(tasks.edit(size), std::out_of_range);
    BOOST_CHECK_THROW(tasks.at(-1), std::out_of_range);
}

// What is known of a worker's loss may explain later losses.
BOOST_AUTO_TEST_CASE(losses_outlive_the_task)
{
    TaskTable tasks(2);
    tasks.edit(0).crashes.add({ 1, 0, false, "w" });
    tasks.set_done(0);
    BOOST_REQUIRE(tasks.records().size() == 1U);
    BOOST_TEST((tasks.at(0).phase == TaskPhase::done));
    BOOST_TEST(tasks.untouched() == 1);
}
