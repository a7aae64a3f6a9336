// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Workers whose room shrinks and grows again while they run: no start takes one over it,
/// what is being stopped still counts, and the room that is back is used.

#define BOOST_TEST_MODULE room_changes
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "multi_worker_fixture.h"

#include <functional>

using namespace pathport;
using namespace pathport::cell_tests;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

namespace {

constexpr uint64_t seeds = 6;
const Resources whole { 8000, 16000, 0 };
const Resources little { 1500, 3000, 0 };

void load(Cell& cell, Millis span)
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

void resize_all(Cell& cell, const Resources& room)
{
    for (const std::string& id : cell.workers.ids())
        cell.workers.resize(id, room);
}

using Course = std::function<void(Cell& cell)>;

void expect_none_wrong(const Course& course)
{
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
        Cell cell(seed, 3, 5);
        add_queues(cell);
        cell.workers.allowed_tenths = 9;
        cell.world.run_for(Millis(1500));
        cell.watch_jobs();
        load(cell, Millis(10000));
        cell.world.run_for(Millis(1500 + int64_t(seed) * 37));
        course(cell);
        cell.world.run_for(Millis(60000));
        const auto wrong = cell.final_violations();
        BOOST_TEST(wrong.empty(), "seed " << seed << join_lines(wrong));
    }
}

/// All rooms shrink now and grow again after 7 s.
void shrink_for_a_while(Cell& cell)
{
    resize_all(cell, little);
    cell.world.after(Millis(7000), [&cell] { resize_all(cell, whole); });
}

} // namespace

BOOST_AUTO_TEST_CASE(all_rooms_shrink_and_grow)
{
    expect_none_wrong(shrink_for_a_while);
}

BOOST_AUTO_TEST_CASE(again_and_again)
{
    expect_none_wrong([](Cell& cell) {
        for (int64_t at = 0; at < 12000; at += 3000) {
            cell.world.after(Millis(at), [&cell] { resize_all(cell, little); });
            cell.world.after(Millis(at + 1800), [&cell] { resize_all(cell, whole); });
        }
    });
}

// What was chosen before the list told of it is sent seconds later.
BOOST_AUTO_TEST_CASE(while_records_take_long)
{
    expect_none_wrong([](Cell& cell) {
        cell.store.injected.latency_factor = 100;
        cell.world.after(Millis(9000), [&cell] { cell.store.injected.latency_factor = 1; });
        cell.world.after(Millis(1500), [&cell] { shrink_for_a_while(cell); });
    });
}

// The store answers nothing while rooms shrink: the list that comes after it is fresh, the
// choice of before is not.
BOOST_AUTO_TEST_CASE(while_the_store_is_silent)
{
    for (const int64_t after : { 300, 900, 1500, 2500 }) {
        expect_none_wrong([after](Cell& cell) {
            cell.store.injected.unresponsive = true;
            cell.note_disturbance(Millis(7000), Millis(8000));
            cell.world.after(Millis(after), [&cell] { shrink_for_a_while(cell); });
            cell.world.after(Millis(after + 4700),
                             [&cell] { cell.store.injected.unresponsive = false; });
        });
    }
}

// The same for an order that a suspension holds up before it is sent.
BOOST_AUTO_TEST_CASE(while_the_leader_is_suspended_before_its_orders)
{
    for (const int64_t after : { 0, 2, 4, 6, 8 }) {
        expect_none_wrong([after](Cell& cell) {
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
    expect_none_wrong([](Cell& cell) {
        shrink_for_a_while(cell);
        cell.kill(cell.leader(), Millis(2000));
        cell.world.after(Millis(3500), [&cell] { cell.kill(cell.leader(), Millis(2000)); });
    });
}

BOOST_AUTO_TEST_CASE(while_answers_are_lost)
{
    expect_none_wrong([](Cell& cell) {
        cell.workers.injected.unanswered_share = 0.2;
        cell.world.after(Millis(6000),
                         [&cell] { cell.workers.injected.unanswered_share = 0; });
        shrink_for_a_while(cell);
    });
}

BOOST_AUTO_TEST_CASE(while_the_leader_is_suspended)
{
    expect_none_wrong([](Cell& cell) {
        shrink_for_a_while(cell);
        cell.suspend(cell.leader(), Millis(4000));
        cell.world.after(Millis(6000),
                         [&cell] { cell.suspend(cell.leader(), Millis(1800)); });
    });
}

// A choice is recorded before its order is sent. The list tells in between that the room
// has shrunk: the order would take the worker over it.
BOOST_AUTO_TEST_CASE(before_the_order_for_a_choice_is_sent)
{
    jobs::MultiWorkerTakeOver site({ "w1" }, jobs::job_of("job1"), { { "w1", 7 } });
    site.answer_polls(Millis(500));
    Resources room { 4000, 4000, 0 };
    int readings = 0;
    site.store.list_workers = [&room, &readings] {
        ++readings;
        jobs::WorkerInfo info = jobs::MultiWorkerTakeOver::worker_info("w1");
        info.capacity = room;
        return std::vector<jobs::WorkerInfo> { info };
    };
    while (readings == 0)
        site.answer_polls(Millis(10), Millis(10));
    // The list is read again soon; the record of what is chosen now takes longer.
    site.answer_polls(Millis(330), Millis(10));
    room = { 500, 600, 0 }; // Of which the first job's task takes most.
    site.scheduler->job_announced(jobs::job_of("job2"), 1000);
    site.store.injected.latency_factor = 100;
    site.answer_polls(Millis(150), Millis(10));
    site.store.injected.latency_factor = 1;
    const jobs::TaskId second { "job2", 0, 0, 0 };
    site.answer_polls(Millis(3000));
    BOOST_TEST(site.count_starts(second) == 0U);
    room = { 4000, 4000, 0 };
    site.answer_polls(Millis(3000));
    BOOST_TEST(site.count_starts(second) == 1U);
}
