// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Running tasks whose workers have not reported for some seconds. Guards against gangs
/// that work and are stopped as stalled: the leader measures on its own clock how long a
/// task has made no progress, and time without any report counts. While answers come late
/// a call may wait for seconds. One member that is stopped ends its gang, so a gang of many
/// workers is hit most often.

#define BOOST_TEST_MODULE silent_progress
#include <boost/test/unit_test.hpp>

#include "multi_worker_fixture.h"

#include <pathport/log.h>

#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace pathport;
using namespace pathport::jobs;

namespace {

constexpr int width = 4;
constexpr int64_t gang_run = 7;
/// Longer than a task may stand still, shorter than a call may wait for its answer when
/// answers come late.
constexpr Millis silence { 3500 };
constexpr Millis interval { 50 };

struct LogFixture {
    LogFixture() { start_log("test", LogLevel::error); }
};

/// A gang with one member on each of the workers "w0" to "w3".
class RunningGang {
public:
    RunningGang()
        : m_take_over(workers(), gang(), placed())
    {
        work(Millis(1000), width);
    }

    /// All members work for `span`; only the first `answering` workers answer polls. Calls
    /// to the others are open.
    void work(Millis span, int answering)
    {
        for (Millis worked; worked < span; worked = worked + interval) {
            m_worked = m_worked + interval;
            for (int i = 0; i < width; ++i) {
                RunningTask& there = state(i).running.front();
                there.percent = static_cast<int>(m_worked.count() / interval.count() / 2);
            }
            answer_polls_of(answering);
            m_take_over.world.run_for(interval);
        }
    }

    /// If set, the workers that do not answer fully answer without their running tasks.
    bool others_omit_running = false;

    /// The task of the last worker makes no progress for `span`; all workers answer polls.
    void stall_last(Millis span)
    {
        for (Millis stalled; stalled < span; stalled = stalled + interval) {
            m_worked = m_worked + interval;
            for (int i = 0; i + 1 < width; ++i) {
                RunningTask& there = state(i).running.front();
                there.percent = static_cast<int>(m_worked.count() / interval.count() / 2);
            }
            answer_polls_of(width);
            m_take_over.world.run_for(interval);
        }
    }

    /// The leader runs nothing for `span`, while the workers answer.
    void freeze_leader(Millis span)
    {
        m_take_over.loop.freeze_until(m_take_over.world.now() + span);
        m_take_over.world.run_for(span);
        m_worked = m_worked + span;
    }

    /// Returns the workers that were told to stop a task.
    std::set<std::string> stopped_on() const
    {
        std::set<std::string> stopped;
        for (const ManualWorkers::Stop& stop : m_take_over.manual_workers.stops)
            stopped.insert(stop.worker);
        return stopped;
    }

private:
    static std::string worker(int i) { return "w" + std::to_string(i); }
    static std::vector<std::string> workers()
    {
        std::vector<std::string> ids;
        for (int i = 0; i < width; ++i)
            ids.push_back(worker(i));
        return ids;
    }
    static std::vector<std::pair<std::string, int64_t>> placed()
    {
        std::vector<std::pair<std::string, int64_t>> members;
        for (int i = 0; i < width; ++i)
            members.emplace_back(worker(i), gang_run);
        return members;
    }
    static AcceptedJob gang()
    {
        AcceptedJob job = job_of("job1", width);
        job.spec.steps.front().gang = true;
        return job;
    }
    ManualWorkerState& state(int i) { return m_take_over.worker_states[worker(i)]; }

    void answer_polls_of(int answering)
    {
        auto& polls = m_take_over.manual_workers.polls;
        for (size_t i = 0; i < polls.size(); ++i) {
            const int number = std::stoi(polls[i].worker.substr(1));
            if (polls[i].answered)
                continue;
            if (number < answering)
                m_take_over.answer(i);
            else if (others_omit_running)
                answer_without_running(i);
        }
    }

    // A relay omits the running tasks when it has sent them a short time before.
    void answer_without_running(size_t index)
    {
        auto& poll = m_take_over.manual_workers.polls[index];
        poll.answered = true;
        PollReport report = m_take_over.report_of(poll);
        report.running.clear();
        report.running_omitted = true;
        const auto done = poll.done;
        done(OrderStatus::accepted, report);
    }

    MultiWorkerTakeOver m_take_over;
    Millis m_worked;
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// The poll of one worker takes some seconds; the report shows that its task has worked.
BOOST_AUTO_TEST_CASE(gang_is_not_stopped_while_a_report_is_outstanding)
{
    RunningGang gang;
    gang.work(silence, width - 1);
    BOOST_TEST(gang.stopped_on().empty());
    gang.work(Millis(1000), width);
    BOOST_TEST(gang.stopped_on().empty());
}

// Answers that list the running tasks were lost, and the others omit them.
BOOST_AUTO_TEST_CASE(gang_is_not_stopped_while_reports_omit_its_progress)
{
    RunningGang gang;
    gang.others_omit_running = true;
    gang.work(silence, width - 1);
    BOOST_TEST(gang.stopped_on().empty());
    gang.work(Millis(1000), width);
    BOOST_TEST(gang.stopped_on().empty());
}

// The leader does not run for a while. Its timer is due before it has read any report.
BOOST_AUTO_TEST_CASE(gang_is_not_stopped_after_a_pause_of_the_leader)
{
    for (const int64_t pause_ms : { 1000, 2000, 2400, 2600, 3500 }) {
        RunningGang gang;
        gang.freeze_leader(Millis(pause_ms));
        gang.work(Millis(1000), width);
        BOOST_TEST(gang.stopped_on().empty(), pause_ms << " ms");
    }
}

// Reports that show no progress count.
BOOST_AUTO_TEST_CASE(member_without_progress_is_stopped)
{
    RunningGang gang;
    gang.stall_last(silence);
    BOOST_TEST(gang.stopped_on() == std::set<std::string> { "w3" });
}
