// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Reconciliation of workers' reports with the leader's records where the two diverge:
/// reports that arrive out of order, orders in flight, and leases that last longer than
/// estimated. Each test is a case that the comparison once missed (see also
/// unwanted_runs_test); the controls run the same case in order.

#define BOOST_TEST_MODULE reconciliation
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "multi_worker_fixture.h"

#include <algorithm>
#include <map>
#include <set>

using namespace pathport;
using namespace pathport::jobs;

using cell_tests::LogFixture;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// A run appears in a delayed report after its end was already processed. Its stop is
// dropped because the end is still listed, and the task must not stay in `stopping`.
BOOST_AUTO_TEST_CASE(reordered_reports_of_one_millisecond_leave_no_task_stopping)
{
    MultiWorkerTakeOver fixture({ "w1" }, job_of("job1"), {});
    fixture.deliver_reports_out_of_order(EndKind::failed);
    BOOST_TEST(fixture.count_starts(fixture.task) > 1);
}

// The same after the end of the last task, where the run blocked the whole worker.
BOOST_AUTO_TEST_CASE(reordered_reports_of_one_millisecond_block_no_worker)
{
    MultiWorkerTakeOver fixture({ "w1" }, job_of("job1"), {});
    fixture.deliver_reports_out_of_order(EndKind::done);
    fixture.scheduler->job_announced(job_of("job2"), 1000000);
    fixture.answer_polls(Millis(8000));
    BOOST_TEST(fixture.count_starts({ "job2", 0, 0, 0 }) > 0);
}

// Control: the same with reports a millisecond apart.
BOOST_AUTO_TEST_CASE(reports_a_millisecond_apart_may_be_reordered)
{
    MultiWorkerTakeOver fixture({ "w1" }, job_of("job1"), {});
    fixture.deliver_reports_out_of_order(EndKind::failed, Millis(1));
    BOOST_TEST(fixture.count_starts(fixture.task) > 1);
    MultiWorkerTakeOver other({ "w1" }, job_of("job1"), {});
    other.deliver_reports_out_of_order(EndKind::done, Millis(1));
    other.scheduler->job_announced(job_of("job2"), 1000000);
    other.answer_polls(Millis(8000));
    BOOST_TEST(other.count_starts({ "job2", 0, 0, 0 }) > 0);
}

// Control: the same reports in the order in which they were made.
BOOST_AUTO_TEST_CASE(a_worker_is_used_after_a_job_has_ended_there)
{
    MultiWorkerTakeOver fixture({ "w1" }, job_of("job1"), {});
    fixture.answer_polls(Millis(300));
    BOOST_REQUIRE(fixture.manual_workers.starts.size() == 1);
    const int64_t run = fixture.manual_workers.starts[0].order.run;
    fixture.manual_workers.starts[0].done(
        { OrderStatus::accepted, fixture.world.now().count() });
    fixture.worker_states["w1"].ended.push_back(
        ended_task(1, fixture.task, run, EndKind::done));
    fixture.answer_polls(Millis(2000));
    fixture.scheduler->job_announced(job_of("job2"), 1000000);
    fixture.answer_polls(Millis(8000));
    BOOST_TEST(fixture.count_starts({ "job2", 0, 0, 0 }) > 0);
}

// A worker replies again and reports a run while the leader is recording the intent to
// start its task on another worker. The start order there must not be sent.
BOOST_AUTO_TEST_CASE(an_intent_is_withdrawn_when_the_earlier_run_is_found)
{
    // Time of the start order to the other worker if the first one stays unresponsive.
    MultiWorkerTakeOver baseline({ "w1", "w2" }, job_of("job1"), { { "w1", 7 } });
    baseline.answer_polls(Millis(500));
    baseline.worker_states["w1"].unresponsive = true;
    while (baseline.manual_workers.starts.empty() && baseline.world.now() < Millis(1030000))
        baseline.answer_polls(Millis(5), Millis(5));
    BOOST_REQUIRE(!baseline.manual_workers.starts.empty());
    const Millis begun = baseline.manual_workers.starts[0].at;
    int late = 0;
    int tried = 0;
    for (int64_t before = 5; before <= 60; before += 5) {
        MultiWorkerTakeOver fixture({ "w1", "w2" }, job_of("job1"), { { "w1", 7 } });
        fixture.answer_polls(Millis(500));
        fixture.worker_states["w1"].unresponsive = true;
        fixture.answer_polls(begun - Millis(before) - fixture.world.now(), Millis(5));
        // Recording an intent takes half a second.
        fixture.store.injected.latency_factor = 80;
        fixture.answer_polls(Millis(100), Millis(5));
        fixture.worker_states["w1"].unresponsive = false;
        const size_t earlier_polls = fixture.manual_workers.polls.size();
        const auto replied = [&] {
            return std::any_of(
                fixture.manual_workers.polls.begin() + std::ptrdiff_t(earlier_polls),
                fixture.manual_workers.polls.end(),
                [](const auto& call) { return call.worker == "w1" && call.answered; });
        };
        for (int i = 0; i < 80 && !replied(); ++i)
            fixture.answer_polls(Millis(5), Millis(5));
        if (!replied() || !fixture.manual_workers.starts.empty())
            continue; // It was started before the worker replied again.
        ++tried;
        // Stopping the run takes a while, in which it remains listed.
        fixture.answer_polls(Millis(1000), Millis(5));
        if (!fixture.manual_workers.starts.empty())
            ++late;
    }
    BOOST_TEST_MESSAGE(tried << " times with a reply before a start, " << late
                             << " started since");
    BOOST_TEST(tried > 0);
    BOOST_TEST(late == 0);
}

// The opposite case: a task that should be running is missing from the reports.
BOOST_AUTO_TEST_CASE(a_lasting_task_that_no_report_lists_is_started_again)
{
    MultiWorkerTakeOver fixture({ "w1" }, job_of("job1", 1, true), { { "w1", 7 } });
    fixture.answer_polls(Millis(500));
    fixture.worker_states["w1"].running.clear();
    fixture.answer_polls(Millis(20000));
    BOOST_TEST(fixture.count_starts(fixture.task) > 0);
}

BOOST_AUTO_TEST_CASE(a_finite_task_that_no_report_lists_is_started_again)
{
    MultiWorkerTakeOver fixture({ "w1" }, job_of("job1"), { { "w1", 7 } });
    fixture.answer_polls(Millis(500));
    fixture.worker_states["w1"].running.clear();
    fixture.answer_polls(Millis(20000));
    BOOST_TEST(fixture.count_starts(fixture.task) > 0);
}

// A run outlasts the estimated lease and ends as `done` before the worker replies again.
// Its end must be counted, not only acknowledged.
BOOST_AUTO_TEST_CASE(an_end_after_an_estimated_lease_expiry_counts)
{
    MultiWorkerTakeOver fixture({ "w1" }, job_of("job1"), { { "w1", 7 } });
    fixture.answer_polls(Millis(500));
    ManualWorkerState& state = fixture.worker_states["w1"];
    state.unresponsive = true;
    fixture.answer_polls(Millis(12000));
    state.unresponsive = false;
    state.running.clear();
    state.ended.push_back(ended_task(1, fixture.task, 7, EndKind::done));
    fixture.answer_polls(Millis(3000));
    const bool acknowledged = std::any_of(
        fixture.manual_workers.polls.begin(), fixture.manual_workers.polls.end(),
        [](const auto& call) { return call.order.acked_through >= 1; });
    BOOST_TEST(acknowledged);
    BOOST_TEST(fixture.count_starts(fixture.task) == 0);
}

// An unwanted run that is being stopped has to be in the progress row. Otherwise a
// successor that gets no reply from the worker starts the task a second time.
BOOST_AUTO_TEST_CASE(an_unwanted_run_is_recorded_for_the_successor)
{
    MultiWorkerTakeOver fixture({ "w1", "w2" }, job_of("job1", 2),
                                { { "w1", 7 }, { "w2", 8 } });
    fixture.answer_polls(Millis(500));
    fixture.worker_states["w1"].unresponsive = true;
    fixture.worker_states["w2"].running.clear();
    // Nothing can be started anywhere: all listed workers are draining.
    fixture.store.list_workers = [] {
        WorkerInfo info;
        info.id = "w2";
        info.service = "s";
        info.draining = true;
        WorkerInfo other;
        other.id = "w1";
        other.service = "s";
        other.draining = true;
        return std::vector<WorkerInfo> { other, info };
    };
    fixture.worker_states["w2"].running.push_back(running_task({ "job1", 0, 0, 1 }, 8));
    fixture.answer_polls(Millis(12000));
    fixture.worker_states["w2"].running.clear();
    fixture.worker_states["w2"].ended.push_back(
        ended_task(1, { "job1", 0, 0, 1 }, 8, EndKind::done));
    fixture.answer_polls(Millis(1000));
    fixture.worker_states["w1"].unresponsive = false;
    fixture.answer_polls(Millis(400));
    const bool stopped = std::any_of(fixture.manual_workers.stops.begin(),
                                     fixture.manual_workers.stops.end(),
                                     [](const auto& stop) { return stop.order.run == 7; });
    BOOST_TEST(stopped);
    const std::string row = fixture.store.value(progress_row("job1"));
    BOOST_TEST_MESSAGE(row);
    BOOST_TEST(row.find("w1") != std::string::npos);
}

namespace {

size_t stops_of(const MultiWorkerTakeOver& fixture, int64_t run)
{
    return size_t(std::count_if(fixture.manual_workers.stops.begin(),
                                fixture.manual_workers.stops.end(),
                                [&](const auto& stop) { return stop.order.run == run; }));
}

std::function<std::vector<WorkerInfo>()> list_of(const std::vector<std::string>& ids)
{
    std::vector<WorkerInfo> infos;
    for (const std::string& id : ids) {
        WorkerInfo info;
        info.id = id;
        info.service = "s";
        info.capacity = { 4000, 4000, 0 };
        infos.push_back(info);
    }
    return [infos] { return infos; };
}

} // namespace

// A worker that declines polls counts as unresponsive, but stop orders must still be sent.
BOOST_AUTO_TEST_CASE(a_stop_is_tried_at_a_worker_that_declines_looks)
{
    MultiWorkerTakeOver fixture({ "w1" }, job_of("job1"), { { "w1", 7 } });
    fixture.answer_polls(Millis(500));
    const Millis until = fixture.world.now() + Millis(4000);
    bool canceled = false;
    while (fixture.world.now() < until) {
        for (size_t i = 0; i < fixture.manual_workers.polls.size(); ++i) {
            if (fixture.manual_workers.polls[i].answered)
                continue;
            fixture.manual_workers.polls[i].answered = true;
            const auto call = fixture.manual_workers.polls[i];
            call.done(OrderStatus::declined, std::nullopt);
        }
        fixture.world.run_for(Millis(50));
        if (!canceled && fixture.world.now() > until - Millis(3000)) {
            canceled = true;
            fixture.scheduler->job_canceled("job1", "test");
        }
    }
    BOOST_TEST(stops_of(fixture, 7) > 0);
}

// A leader that does not know of its successor yet gets a report of the successor's runs
// from a waiting poll. It must not treat them as unwanted.
BOOST_AUTO_TEST_CASE(runs_of_a_later_epoch_are_left_alone)
{
    MultiWorkerTakeOver fixture({ "w1" }, job_of("job1"), { { "w1", 7 } });
    fixture.answer_polls(Millis(500));
    const int64_t later = (int64_t(2) << 20) + 5;
    fixture.worker_states["w1"].running = { running_task(fixture.task, later) };
    fixture.answer_polls(Millis(300));
    BOOST_TEST(stops_of(fixture, later) == 0);
}

// A job fails by the first end in a report that lists the ends of its other runs as well.
BOOST_AUTO_TEST_CASE(runs_whose_ends_are_in_the_same_report_are_not_stopped)
{
    AcceptedJob job = job_of("job1", 3);
    job.queue.max_failures = 1;
    MultiWorkerTakeOver fixture({ "w1" }, job, { { "w1", 7 }, { "w1", 7 }, { "w1", 7 } });
    fixture.answer_polls(Millis(500));
    ManualWorkerState& state = fixture.worker_states["w1"];
    state.running.clear();
    for (int i = 0; i < 3; ++i)
        state.ended.push_back(ended_task(i + 1, { "job1", 0, 0, i }, 7, EndKind::failed));
    fixture.answer_polls(Millis(3000));
    BOOST_TEST(stops_of(fixture, 7) == 0);
}

// A leader hears of a cancellation before it knows the job, and reads both from the store
// later.
BOOST_AUTO_TEST_CASE(a_cancellation_before_its_job_is_not_forgotten)
{
    for (const bool history_lost : { false, true }) {
        MultiWorkerTakeOver fixture({ "w1" }, job_of("job1"), { { "w1", 7 } });
        fixture.answer_polls(Millis(500));
        fixture.store.injected.unresponsive = true;
        StoreWrite write;
        write.puts.push_back({ job_row("job2"), encode(job_of("job2")) });
        fixture.store.write_now(write);
        StoreWrite cancel;
        cancel.puts.push_back({ cancel_row("job2"), "1" });
        fixture.store.write_now(cancel);
        if (history_lost)
            fixture.store.compact();
        fixture.scheduler->job_canceled("job2", "test");
        fixture.answer_polls(Millis(200));
        fixture.store.injected.unresponsive = false;
        fixture.answer_polls(Millis(6000));
        BOOST_TEST(fixture.count_starts({ "job2", 0, 0, 0 }) == 0);
    }
}

// A worker leaves the list and its estimated lease expires. Its job is cancelled, and then
// the worker returns with the run.
BOOST_AUTO_TEST_CASE(a_run_on_a_worker_that_is_listed_again_is_stopped)
{
    MultiWorkerTakeOver fixture({ "w1" }, job_of("job1"), { { "w1", 7 } });
    fixture.answer_polls(Millis(500));
    fixture.worker_states["w1"].unresponsive = true;
    fixture.store.list_workers = list_of({});
    fixture.answer_polls(Millis(12000));
    fixture.scheduler->job_canceled("job1", "test");
    fixture.answer_polls(Millis(1000));
    fixture.worker_states["w1"].unresponsive = false;
    fixture.store.list_workers = list_of({ "w1" });
    fixture.answer_polls(Millis(2000));
    BOOST_TEST(stops_of(fixture, 7) > 0);
}

// A worker is not listed while its job is cancelled under a new leader.
BOOST_AUTO_TEST_CASE(a_run_on_a_worker_that_is_listed_late_is_stopped)
{
    MultiWorkerTakeOver fixture({ "w1", "w2" }, job_of("job1"), { { "w1", 7 } });
    fixture.store.list_workers = list_of({ "w2" });
    fixture.answer_polls(Millis(500));
    fixture.scheduler->job_canceled("job1", "test");
    fixture.answer_polls(Millis(1500));
    BOOST_TEST(stops_of(fixture, 7) == 0);
    fixture.store.list_workers = list_of({ "w1", "w2" });
    fixture.answer_polls(Millis(2000));
    BOOST_TEST(stops_of(fixture, 7) > 0);
}

// The reply to a start order is lost, and the job is cancelled meanwhile.
BOOST_AUTO_TEST_CASE(a_start_in_doubt_of_a_cancelled_job_is_stopped)
{
    MultiWorkerTakeOver fixture({ "w1" }, job_of("job1"), {});
    fixture.answer_polls(Millis(300));
    BOOST_REQUIRE(fixture.manual_workers.starts.size() == 1);
    const int64_t run = fixture.manual_workers.starts[0].order.run;
    fixture.scheduler->job_canceled("job1", "test");
    fixture.worker_states["w1"].running.push_back(running_task(fixture.task, run));
    fixture.answer_polls(Millis(300));
    BOOST_TEST(stops_of(fixture, run) > 0); // While the reply is still awaited.
    fixture.manual_workers.starts[0].done(OrderAnswer());
    fixture.answer_polls(Millis(1000));
    BOOST_TEST(stops_of(fixture, run) > 0);
}

// Polls of the worker get no replies, as on black-holed connections. A stop order would
// use a connection of its own and must still be sent.
BOOST_AUTO_TEST_CASE(a_stop_is_tried_at_a_worker_that_answers_no_looks)
{
    MultiWorkerTakeOver fixture({ "w1" }, job_of("job1"), { { "w1", 7 } });
    fixture.answer_polls(Millis(500));
    fixture.worker_states["w1"].unresponsive = true;
    fixture.answer_polls(Millis(1000));
    fixture.scheduler->job_canceled("job1", "test");
    fixture.answer_polls(Millis(3000));
    BOOST_TEST(stops_of(fixture, 7) > 0);
}

// The leader hears of a cancellation before it knows the job, and of the job from a peer.
// The store's feed delivers neither.
BOOST_AUTO_TEST_CASE(a_cancellation_received_before_its_job_counts_without_the_feed)
{
    MultiWorkerTakeOver fixture({ "w1" }, job_of("job1"), { { "w1", 7 } });
    fixture.scheduler->job_canceled("job3", "test"); // While the leader is loading.
    fixture.answer_polls(Millis(500));
    fixture.scheduler->job_canceled("job2", "test");
    fixture.scheduler->job_announced(job_of("job2"), 1000000);
    fixture.scheduler->job_announced(job_of("job3"), 1000001);
    fixture.answer_polls(Millis(2000));
    BOOST_TEST(fixture.count_starts({ "job2", 0, 0, 0 }) == 0);
    BOOST_TEST(fixture.count_starts({ "job3", 0, 0, 0 }) == 0);
}

// A gang member was tried on several workers under one run, and only the first is recorded.
// The run that is found on another worker has to be adopted.
BOOST_AUTO_TEST_CASE(a_run_of_the_recorded_id_at_another_worker_is_adopted)
{
    MultiWorkerTakeOver fixture({ "w1", "w2" }, job_of("job1"), { { "w2", 7 } });
    fixture.worker_states["w1"].running = fixture.worker_states["w2"].running;
    fixture.worker_states["w2"].running.clear();
    fixture.worker_states["w2"].unresponsive = true;
    fixture.answer_polls(Millis(2000)); // Before the task counts as stuck.
    BOOST_TEST(stops_of(fixture, 7) == 0);
    BOOST_TEST(fixture.count_starts(fixture.task) == 0);
}

// An entry of an unknown service must be ignored: a call to its address would reach a
// foreign process, and a takeover would wait for its report.
BOOST_AUTO_TEST_CASE(worker_of_an_unknown_service_is_not_used)
{
    SingleWorkerTakeOver take_over(true);
    BOOST_TEST(take_over.scheduler->known_workers() == 1U);
    BOOST_TEST(take_over.worker.polls.size() == 1U);
}
