// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Workers whose capacity shrinks and grows again while they run: no start may exceed it,
/// tasks being stopped still count, and restored capacity is used.

#define BOOST_TEST_MODULE capacity_changes
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "multi_worker_fixture.h"

#include <functional>

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

namespace {

constexpr uint64_t seeds = 6;
const Resources full { 8000, 16000, 0 };
const Resources reduced { 1500, 3000, 0 };

void submit_load(Cell& cell, Millis span)
{
    constexpr int64_t interval = 200;
    for (int64_t at = 0; at < span.count(); at += interval) {
        cell.world.after(Millis(at), [&cell, at] {
            const std::string number = std::to_string(at);
            submit(cell, "q0", "short" + number, { one_core_step(4, 300) });
            submit(cell, "a1", "long" + number, { one_core_step(3, 2000) });
        });
    }
}

void resize_all(Cell& cell, const Resources& offered)
{
    for (const std::string& id : cell.workers.ids())
        cell.workers.resize(id, offered);
}

using Disturbance = std::function<void(Cell& cell)>;

void expect_no_violations(const Disturbance& disturb)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        Cell cell(seed, 3, 5);
        add_queues(cell);
        cell.workers.allowed_tenths = 9;
        cell.world.run_for(Millis(1500));
        cell.watch_jobs();
        submit_load(cell, Millis(10000));
        cell.world.run_for(Millis(1500 + int64_t(seed) * 37));
        disturb(cell);
        cell.world.run_for(Millis(60000));
        const auto violations = cell.final_violations();
        BOOST_TEST(violations.empty(), "seed " << seed << join_lines(violations));
    }
}

/// All capacities shrink now and are restored after 7 s.
void shrink_for_a_while(Cell& cell)
{
    resize_all(cell, reduced);
    cell.world.after(Millis(7000), [&cell] { resize_all(cell, full); });
}

} // namespace

BOOST_AUTO_TEST_CASE(all_capacities_shrink_and_grow)
{
    expect_no_violations(shrink_for_a_while);
}

BOOST_AUTO_TEST_CASE(repeatedly)
{
    expect_no_violations([](Cell& cell) {
        for (int64_t at = 0; at < 12000; at += 3000) {
            cell.world.after(Millis(at), [&cell] { resize_all(cell, reduced); });
            cell.world.after(Millis(at + 1800), [&cell] { resize_all(cell, full); });
        }
    });
}

// Orders for placements chosen before the list reported the change are sent seconds later.
BOOST_AUTO_TEST_CASE(while_records_take_long)
{
    expect_no_violations([](Cell& cell) {
        cell.store.injected.latency_factor = 100;
        cell.world.after(Millis(9000), [&cell] { cell.store.injected.latency_factor = 1; });
        cell.world.after(Millis(1500), [&cell] { shrink_for_a_while(cell); });
    });
}

// The store does not answer while capacities shrink: the list read after that is current,
// the placements chosen before are not.
BOOST_AUTO_TEST_CASE(while_the_store_is_silent)
{
    for (const int64_t after : { 300, 900, 1500, 2500 }) {
        expect_no_violations([after](Cell& cell) {
            cell.store.injected.unresponsive = true;
            cell.note_disturbance(Millis(7000), Millis(8000));
            cell.world.after(Millis(after), [&cell] { shrink_for_a_while(cell); });
            cell.world.after(Millis(after + 4700),
                             [&cell] { cell.store.injected.unresponsive = false; });
        });
    }
}

// The same for orders that a suspension of the leader delays before they are sent.
BOOST_AUTO_TEST_CASE(while_the_leader_is_suspended_before_its_orders)
{
    for (const int64_t after : { 0, 2, 4, 6, 8 }) {
        expect_no_violations([after](Cell& cell) {
            cell.note_disturbance(Millis(7000), Millis(8000));
            cell.world.after(Millis(after), [&cell] {
                cell.suspend(cell.leader(), Millis(4700));
                shrink_for_a_while(cell);
            });
        });
    }
}

BOOST_AUTO_TEST_CASE(while_the_leader_changes)
{
    expect_no_violations([](Cell& cell) {
        shrink_for_a_while(cell);
        cell.kill(cell.leader(), Millis(2000));
        cell.world.after(Millis(3500), [&cell] { cell.kill(cell.leader(), Millis(2000)); });
    });
}

BOOST_AUTO_TEST_CASE(while_answers_are_lost)
{
    expect_no_violations([](Cell& cell) {
        cell.workers.injected.unanswered_share = 0.2;
        cell.world.after(Millis(6000),
                         [&cell] { cell.workers.injected.unanswered_share = 0; });
        shrink_for_a_while(cell);
    });
}

BOOST_AUTO_TEST_CASE(while_the_leader_is_suspended)
{
    expect_no_violations([](Cell& cell) {
        shrink_for_a_while(cell);
        cell.suspend(cell.leader(), Millis(4000));
        cell.world.after(Millis(6000),
                         [&cell] { cell.suspend(cell.leader(), Millis(1800)); });
    });
}

// A placement is recorded before its order is sent. The list reports in between that the
// capacity has shrunk: the order would exceed it.
BOOST_AUTO_TEST_CASE(before_the_order_for_a_choice_is_sent)
{
    jobs::MultiWorkerTakeOver take_over({ "w1" }, jobs::job_of("job1"), { { "w1", 7 } });
    take_over.answer_polls(Millis(500));
    Resources offered { 4000, 4000, 0 };
    int readings = 0;
    take_over.store.list_workers = [&offered, &readings] {
        ++readings;
        jobs::WorkerInfo info = jobs::MultiWorkerTakeOver::worker_info("w1");
        info.capacity = offered;
        return std::vector<jobs::WorkerInfo> { info };
    };
    while (readings == 0)
        take_over.answer_polls(Millis(10), Millis(10));
    // The list is read again soon; recording the placements chosen now takes longer.
    take_over.answer_polls(Millis(330), Millis(10));
    offered = { 500, 600, 0 }; // The first job's task takes most of it.
    take_over.scheduler->job_announced(jobs::job_of("job2"), 1000);
    take_over.store.injected.latency_factor = 100;
    take_over.answer_polls(Millis(150), Millis(10));
    take_over.store.injected.latency_factor = 1;
    const jobs::TaskId second { "job2", 0, 0, 0 };
    take_over.answer_polls(Millis(3000));
    BOOST_TEST(take_over.count_starts(second) == 0U);
    offered = { 4000, 4000, 0 };
    take_over.answer_polls(Millis(3000));
    BOOST_TEST(take_over.count_starts(second) == 1U);
}
