// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Guards against failing a job because of runs that nothing shows to have existed: workers
/// lose power while a start order is on its way to them, one after the other, and each
/// order that was sent counted as a run that had crashed its worker. A task that does crash
/// its workers is still given up, also if some of its starts were not confirmed, if its job
/// became known late, or if an answer of its worker was lost.

#define BOOST_TEST_MODULE unconfirmed_losses
#include <boost/test/unit_test.hpp>

#include "multi_worker_fixture.h"

#include <pathport/log.h>

#include <limits>

using namespace pathport;
using namespace pathport::jobs;

namespace {

struct LogFixture {
    LogFixture() { start_log("test", LogLevel::error); }
};

/// Longer than suspects wait for a worker of their own.
constexpr Millis max_start_wait { 6000 };
/// A new leader gives no task up sooner, as it knows too little of other losses.
constexpr Millis observation_time { 11000 };
/// Longer than any lease.
constexpr Millis lease_time { 9000 };
/// Maximum number of starts after which a task that crashes its workers is given up.
constexpr size_t max_crashes = 5;

CrashedRun unconfirmed_loss(int64_t run)
{
    CrashedRun lost { run, unknown_runtime.count(), false, "lost" + std::to_string(run) };
    lost.is_confirmed = false;
    return lost;
}

CrashedRun confirmed_loss(int64_t run)
{
    return { run, 0, false, "lost" + std::to_string(run) };
}

void record_losses(JobRecord& job, const std::vector<CrashedRun>& losses)
{
    Step& step = *job.step(0, 0);
    for (const CrashedRun& lost : losses)
        step.tasks.edit(0).crashes.add(lost);
    step.has_crashes = !losses.empty();
}

/// A site whose workers are lost one after the other, each as a start arrives. Another
/// worker is then found at the address.
struct LosingSite : MultiWorkerTakeOver {
    /// `losses` are those that the earlier leader recorded.
    explicit LosingSite(int tasks = 1, bool gang = false,
                        const std::vector<CrashedRun>& losses = {})
        : MultiWorkerTakeOver({}, job_with(tasks, gang), {},
                              [&losses](JobRecord& job) { record_losses(job, losses); })
        , m_workers(first_workers(tasks))
    {
        answer_polls(observation_time);
        list(m_workers);
    }
    /// Waits for a start of this number. Returns whether it came.
    bool await_start(size_t number)
    {
        const Millis until = world.now() + max_start_wait;
        while (world.now() < until && manual_workers.starts.size() < number) {
            answer_polls(Millis(50));
            end_stopped_runs();
        }
        return manual_workers.starts.size() >= number;
    }
    void accept(size_t number)
    {
        const ManualWorkers::Start start = manual_workers.starts.at(number - 1);
        worker_states[start.worker].running.push_back(
            running_task(start.order.task, start.order.run));
        start.done(OrderAnswer { OrderStatus::accepted, 0 });
    }
    /// The worker that the start of this number was sent to is lost.
    void lose_worker_of(size_t number)
    {
        const std::string lost = manual_workers.starts.at(number - 1).worker;
        worker_states[lost].address_taken = true;
        std::replace(m_workers.begin(), m_workers.end(), lost,
                     "next" + std::to_string(number));
        list(m_workers);
    }
    JobState state() const { return *scheduler->state_of("job1"); }
    /// Returns the recorded losses, as the next leader reads them.
    CrashRecord recorded_crashes()
    {
        JobRecord record(job_of("job1"), world.now());
        BOOST_REQUIRE(record.apply_progress(store.value(progress_row("job1"))));
        return record.task(task)->crashes;
    }

private:
    static std::vector<std::string> first_workers(int count)
    {
        std::vector<std::string> ids;
        for (int i = 1; i <= count; ++i)
            ids.push_back("w" + std::to_string(i));
        return ids;
    }
    static AcceptedJob job_with(int tasks, bool gang)
    {
        AcceptedJob job = job_of("job1", tasks);
        StepSpec& step = job.spec.steps.front();
        step.gang = gang;
        step.need = { 3000, 500, 0 };
        return job;
    }
    void end_stopped_runs()
    {
        for (; m_stops_seen < manual_workers.stops.size(); ++m_stops_seen) {
            const ManualWorkers::Stop stop = manual_workers.stops[m_stops_seen];
            ManualWorkerState& worker = worker_states[stop.worker];
            if (worker.running.empty() || worker.running.front().run != stop.order.run)
                continue;
            worker.running.clear();
            const auto number = static_cast<int64_t>(worker.ended.size()) + 1;
            worker.ended.push_back(
                ended_task(number, stop.order.task, stop.order.run, EndKind::stopped));
        }
    }

    std::vector<std::string> m_workers;
    size_t m_stops_seen = 0;
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// However many they are, orders that nobody is known to have received fail no job.
BOOST_AUTO_TEST_CASE(orders_that_never_arrived_do_not_fail_their_job)
{
    LosingSite site;
    constexpr size_t outages = 12;
    for (size_t number = 1; number <= outages; ++number) {
        BOOST_REQUIRE(site.await_start(number));
        site.lose_worker_of(number);
    }
    BOOST_REQUIRE(site.await_start(outages + 1));
    site.accept(outages + 1);
    site.answer_polls(Millis(3000));
    BOOST_TEST((site.state() == JobState::active));
    BOOST_TEST(site.manual_workers.starts.size() == outages + 1);
}

// The other members run each time, the third one's order never arrives.
BOOST_AUTO_TEST_CASE(order_of_a_gang_member_that_never_arrived_does_not_fail_its_job)
{
    constexpr size_t members = 3;
    LosingSite site(members, true);
    constexpr int outages = 6;
    size_t started = 0;
    for (int outage = 0; outage < outages; ++outage) {
        BOOST_REQUIRE(site.await_start(started + 1));
        const size_t first = started + 1;
        started = site.manual_workers.starts.size();
        for (size_t number = first; number <= started; ++number) {
            if (site.manual_workers.starts[number - 1].order.task.index + 1 < int(members))
                site.accept(number);
        }
        site.answer_polls(Millis(300));
        for (size_t number = first; number <= started; ++number) {
            if (site.manual_workers.starts[number - 1].order.task.index + 1 == int(members))
                site.lose_worker_of(number);
        }
    }
    site.answer_polls(Millis(3000));
    BOOST_TEST(!is_final(site.state()));
}

// The opposite of the first case: each worker answers before it is lost.
BOOST_AUTO_TEST_CASE(task_that_crashes_its_workers_is_given_up)
{
    LosingSite site;
    size_t number = 1;
    for (; number <= max_crashes && site.await_start(number); ++number) {
        site.accept(number);
        site.lose_worker_of(number);
    }
    BOOST_TEST(!site.await_start(max_crashes + 1));
    BOOST_TEST((site.state() == JobState::failed));
}

// Two confirmed losses are enough to count the others as well.
BOOST_AUTO_TEST_CASE(task_is_given_up_if_some_of_its_starts_were_confirmed)
{
    LosingSite site;
    for (size_t number = 1; number <= max_crashes && site.await_start(number); ++number) {
        if (number == 2 || number == 4)
            site.accept(number);
        site.lose_worker_of(number);
    }
    BOOST_TEST(!site.await_start(max_crashes + 1));
    BOOST_TEST((site.state() == JobState::failed));
}

BOOST_AUTO_TEST_CASE(next_leader_does_not_take_orders_for_runs)
{
    LosingSite site(1, false,
                    { unconfirmed_loss(1), unconfirmed_loss(2), unconfirmed_loss(3),
                      confirmed_loss(4) });
    for (size_t number = 1; number <= max_crashes; ++number) {
        BOOST_REQUIRE(site.await_start(number));
        site.lose_worker_of(number);
    }
    BOOST_REQUIRE(site.await_start(max_crashes + 1));
    BOOST_TEST((site.state() == JobState::active || site.state() == JobState::pending));
}

BOOST_AUTO_TEST_CASE(next_leader_learns_which_losses_were_confirmed)
{
    LosingSite site;
    BOOST_REQUIRE(site.await_start(1));
    site.lose_worker_of(1);
    BOOST_REQUIRE(site.await_start(2));
    site.accept(2);
    site.lose_worker_of(2);
    BOOST_REQUIRE(site.await_start(3));
    const CrashRecord crashes = site.recorded_crashes();
    BOOST_TEST(crashes.size() == 2U);
    BOOST_TEST(crashes.confirmed_losses() == 1U);
}

// The leader is replaced after the worker has accepted the start of a suspect, and the
// worker is gone. Otherwise no loss under changing leaders would be confirmed.
BOOST_AUTO_TEST_CASE(next_leader_learns_that_a_suspect_was_running)
{
    LosingSite site(1, false, { confirmed_loss(1) });
    BOOST_REQUIRE(site.await_start(1));
    JobRecord before(job_of("job1"), site.world.now());
    BOOST_REQUIRE(before.apply_progress(site.store.value(progress_row("job1"))));
    BOOST_TEST((before.task(site.task)->evidence == RunEvidence::unobserved(false)));
    site.accept(1);
    site.answer_polls(Millis(200));
    JobRecord after(job_of("job1"), site.world.now());
    BOOST_REQUIRE(after.apply_progress(site.store.value(progress_row("job1"))));
    BOOST_TEST((after.task(site.task)->evidence == RunEvidence::unobserved(true)));
}

// The answer was under way when the worker was found to be lost.
BOOST_AUTO_TEST_CASE(late_answer_confirms_a_loss)
{
    LosingSite site;
    BOOST_REQUIRE(site.await_start(1));
    site.lose_worker_of(1);
    site.answer_polls(Millis(100));
    BOOST_TEST(site.recorded_crashes().confirmed_losses() == 0U);
    site.manual_workers.starts.front().done(OrderAnswer { OrderStatus::accepted, 0 });
    site.answer_polls(Millis(200));
    BOOST_TEST(site.recorded_crashes().confirmed_losses() == 1U);
}

// The task is not cleared by a run that has existed for a moment only, whenever its order
// was sent.
BOOST_AUTO_TEST_CASE(order_that_is_carried_out_late_does_not_clear_its_task)
{
    LosingSite site(1, false, { confirmed_loss(1) });
    BOOST_REQUIRE(site.await_start(1));
    site.answer_polls(Millis(4000));
    site.accept(1);
    site.answer_polls(Millis(1000));
    BOOST_TEST(site.recorded_crashes().size() == 1U);
    site.answer_polls(Millis(2000));
    BOOST_TEST(site.recorded_crashes().empty());
}

// The worker is still listed when its lease expires, so it may only be partitioned.
BOOST_AUTO_TEST_CASE(loss_of_a_worker_that_may_be_partitioned_is_not_confirmed)
{
    LosingSite site;
    BOOST_REQUIRE(site.await_start(1));
    site.accept(1);
    site.answer_polls(Millis(200));
    site.worker_states["w1"].unresponsive = true;
    site.answer_polls(lease_time);
    const CrashRecord crashes = site.recorded_crashes();
    BOOST_TEST(crashes.size() == 1U);
    BOOST_TEST(crashes.confirmed_losses() == 0U);
}

// An earlier leader that was unaware of this one started a task of a job that this one
// learned of later. The worker has listed the run, and is lost before its next report.
BOOST_AUTO_TEST_CASE(loss_of_a_run_of_a_job_that_became_known_later_is_recorded)
{
    LosingSite site;
    const TaskId stray { "job2", 0, 0, 0 };
    constexpr int64_t run = 5;
    site.worker_states["w2"].running = { running_task(stray, run) };
    site.list({ "w1", "w2" });
    site.answer_polls(Millis(2500));
    BOOST_REQUIRE(!site.manual_workers.stops.empty());
    site.scheduler->job_announced(job_of("job2"), std::numeric_limits<int64_t>::max());
    site.worker_states["w2"].address_taken = true;
    site.list({ "w1", "w3" });
    site.answer_polls(Millis(2500));
    JobRecord record(job_of("job2"), site.world.now());
    BOOST_REQUIRE(record.apply_progress(site.store.value(progress_row("job2"))));
    const CrashRecord& crashes = record.task(stray)->crashes;
    BOOST_TEST(crashes.size() == 1U);
    BOOST_TEST(crashes.confirmed_losses() == 1U);
}

// A poll without an answer does not show that the worker was down: its answer may be lost
// on the way. The run may have lasted until the worker's lease expired.
BOOST_AUTO_TEST_CASE(unanswered_poll_does_not_limit_the_length_of_a_lost_run)
{
    LosingSite site;
    BOOST_REQUIRE(site.await_start(1));
    site.accept(1);
    site.worker_states["w1"].unresponsive = true;
    site.answer_polls(Millis(1000));
    site.list({ "w2" });
    site.answer_polls(lease_time);
    const CrashRecord crashes = site.recorded_crashes();
    BOOST_REQUIRE(crashes.size() == 1U);
    constexpr int64_t shortest_lease_ms = 3000;
    BOOST_TEST(crashes.runs().front().max_runtime_ms > shortest_lease_ms);
}
