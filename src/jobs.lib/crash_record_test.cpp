// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The losses recorded against a task, and the suspicion that follows.

#define BOOST_TEST_MODULE crash_record
#include <boost/test/unit_test.hpp>

#include "crash_record.h"

using namespace pathport;
using namespace pathport::jobs;

namespace {

constexpr int64_t at_once = 0;
constexpr int64_t much_later = 20000;

Suspicion suspicion_after(const std::vector<int64_t>& runtimes_ms)
{
    CrashRecord record;
    int64_t run = 0;
    for (const int64_t lost_after_ms : runtimes_ms)
        record.add({ ++run, lost_after_ms, false });
    return record.suspicion();
}

CrashedRun unconfirmed_loss(int64_t run)
{
    CrashedRun lost { run, unknown_runtime.count(), false, "w" + std::to_string(run) };
    lost.is_confirmed = false;
    return lost;
}

} // namespace

BOOST_AUTO_TEST_CASE(start_followed_by_a_loss_makes_a_suspect)
{
    BOOST_TEST((suspicion_after({}) == Suspicion::none));
    BOOST_TEST((suspicion_after({ at_once }) == Suspicion::suspected));
    BOOST_TEST((suspicion_after({ at_once, at_once }) == Suspicion::likely));
}

// A run that had existed for long was probably not the cause of the loss.
BOOST_AUTO_TEST_CASE(loss_of_an_old_run_is_weaker_evidence)
{
    BOOST_TEST((suspicion_after({ much_later }) == Suspicion::none));
    BOOST_TEST((suspicion_after({ much_later, much_later }) == Suspicion::suspected));
    BOOST_TEST((suspicion_after({ at_once, much_later }) == Suspicion::likely));
    BOOST_TEST(
        (suspicion_after({ much_later, much_later, much_later }) == Suspicion::likely));
}

BOOST_AUTO_TEST_CASE(loss_beside_a_suspect_is_weaker_evidence)
{
    CrashRecord record;
    record.add({ 1, at_once, true });
    BOOST_TEST((record.suspicion() == Suspicion::none));
    record.add({ 2, at_once, true });
    BOOST_TEST((record.suspicion() == Suspicion::suspected));
}

// Nothing shows that the run existed, so the loss tells nothing of the task.
BOOST_AUTO_TEST_CASE(loss_of_an_unconfirmed_run_is_weaker_evidence)
{
    CrashRecord record;
    record.add(unconfirmed_loss(1));
    BOOST_TEST((record.suspicion() == Suspicion::none));
    record.add({ 2, at_once });
    record.add({ 3, at_once });
    BOOST_TEST(record.has_similar_runtimes());
}

BOOST_AUTO_TEST_CASE(unconfirmed_losses_do_not_exhaust_the_starts)
{
    CrashRecord record;
    constexpr int64_t losses = 9;
    for (int64_t run = 1; run <= losses; ++run) {
        record.note_start();
        record.add(unconfirmed_loss(run));
    }
    BOOST_TEST(!record.may_give_up());
    BOOST_TEST(!record.tries_exhausted());
    BOOST_TEST(record.confirm(1, "w1"));
    BOOST_TEST(!record.confirm(1, "w1"));
    BOOST_TEST(!record.confirm(1, "w2"));
    BOOST_TEST(!record.tries_exhausted());
    // The next leader finds the same loss, and knows of the run.
    BOOST_TEST(record.add({ 2, at_once, false, "w2" }));
    BOOST_TEST(record.size() == size_t(losses));
    BOOST_TEST(record.confirmed_losses() == 2U);
    BOOST_TEST(record.tries_exhausted());
}

BOOST_AUTO_TEST_CASE(run_counts_once_and_can_be_retracted)
{
    CrashRecord record;
    BOOST_TEST(record.add({ 7, at_once }));
    BOOST_TEST(!record.add({ 7, much_later }));
    BOOST_TEST(record.size() == 1U);
    BOOST_TEST(!record.retract(8));
    BOOST_TEST(record.retract(7));
    BOOST_TEST(record.empty());
}

// A worker that fails every task ends runs before they could crash it.
BOOST_AUTO_TEST_CASE(end_clears_only_a_task_that_ran_longer_than_before)
{
    CrashRecord record;
    record.add({ 1, 900 });
    BOOST_TEST(!record.cleared_by_end_after(Millis(300)));
    BOOST_TEST(record.cleared_by_end_after(Millis(2000)));
}

BOOST_AUTO_TEST_CASE(two_starts_are_left_after_three_lost_workers)
{
    CrashRecord record;
    record.add({ 1, at_once });
    record.add({ 2, much_later });
    record.note_start();
    record.add({ 3, at_once });
    BOOST_TEST(record.tries() == 0);
    record.note_start();
    BOOST_TEST(!record.tries_exhausted());
    record.note_failed_start();
    record.note_start();
    record.note_start();
    BOOST_TEST(record.tries_exhausted());
    record.clear();
    BOOST_TEST(!record.tries_exhausted());
    BOOST_TEST(record.tries() == 0);
}

// Beside tasks that crash their workers, a harmless task is lost again and again. When it
// fails on its own and its worker survives, that start must not count against it.
BOOST_AUTO_TEST_CASE(start_that_its_worker_survives_does_not_count)
{
    CrashRecord record;
    for (int64_t run = 1; run <= 4; ++run)
        record.add({ run, much_later / run });
    record.note_start();
    record.note_start();
    BOOST_TEST(record.tries_exhausted());
    record.note_harmless_failure();
    BOOST_TEST(!record.tries_exhausted());
    record.note_start();
    BOOST_TEST(record.tries_exhausted());
}

BOOST_AUTO_TEST_CASE(runtimes_are_compared)
{
    CrashRecord record;
    BOOST_TEST(record.has_similar_runtimes());
    record.add({ 1, at_once });
    record.add({ 2, 500 });
    BOOST_TEST(record.has_similar_runtimes());
    record.add({ 3, much_later });
    BOOST_TEST(!record.has_similar_runtimes());
}

BOOST_AUTO_TEST_CASE(run_longer_than_all_lost_ones_clears_a_task)
{
    CrashRecord record;
    record.add({ 1, at_once });
    BOOST_TEST((record.clearing_runtime() > startup_window));
    record.add({ 2, much_later });
    record.add({ 3, at_once });
    BOOST_TEST((record.clearing_runtime() > Millis(much_later)));
}

// A member of a gang is tried on another worker under the same run id after its first
// worker was lost. Both losses count, and one that turns out wrong takes back only itself.
BOOST_AUTO_TEST_CASE(losses_of_one_run_on_two_workers_both_count)
{
    CrashRecord record;
    BOOST_TEST(record.add({ 7, at_once, false, "w1" }));
    BOOST_TEST(record.add({ 7, at_once, false, "w2" }));
    BOOST_TEST(!record.add({ 7, much_later, false, "w2" }));
    BOOST_TEST(record.size() == 2U);
    BOOST_TEST(record.retract(7, "w2"));
    BOOST_TEST(!record.retract(7, "w2"));
    BOOST_TEST(record.size() == 1U);
}

// A leader that was replaced while the store was slow had started the task without a
// record, and its worker is gone: that loss counts once another one is known, and only
// then.
BOOST_AUTO_TEST_CASE(loss_without_a_record_counts_beside_known_ones)
{
    CrashRecord record;
    record.expect_unrecorded_losses(5);
    record.note_start();
    record.add({ 1, at_once });
    record.note_start();
    BOOST_TEST(record.tries() == 0);
    record.add({ 2, at_once });
    // Starts of a task with a recorded loss are recorded first.
    record.expect_unrecorded_losses(0);
    record.note_start();
    record.note_start();
    BOOST_TEST(record.tries_exhausted());
}

// A run that outlives a loss shows that the task did not cause it, whatever else is
// recorded.
BOOST_AUTO_TEST_CASE(longer_run_refutes_losses_of_shorter_ones)
{
    CrashRecord record;
    record.add({ 1, much_later });
    record.add({ 2, at_once });
    record.add({ 3, 700 });
    record.note_start();
    record.refute(startup_window);
    BOOST_TEST(record.size() == 3U);
    record.refute(Millis(3000));
    BOOST_TEST(record.size() == 1U);
    BOOST_TEST(record.tries() == 0);
    record.refute(Millis(much_later + 1000));
    BOOST_TEST(record.empty());
}

// A long-running task that has lasted on one worker loses others soon after its starts
// there: the losses have other causes.
BOOST_AUTO_TEST_CASE(survival_of_a_long_running_task_refutes_later_losses)
{
    CrashRecord record;
    record.note_survival(Millis(5000));
    BOOST_TEST(!record.add({ 1, at_once }));
    BOOST_TEST(!record.add({ 2, 2000 }));
    BOOST_TEST(record.add({ 3, 5000 }));
    record.clear();
    BOOST_TEST(!record.add({ 4, at_once }));
}

// After a change of leader it is not known how long a lost run had existed. The others tell
// when the task might crash its worker.
BOOST_AUTO_TEST_CASE(run_of_unknown_length_does_not_keep_a_task_suspected)
{
    CrashRecord record;
    record.add({ 1, unknown_runtime.count() });
    BOOST_TEST(!record.cleared_by_end_after(Millis(1800)));
    record.add({ 2, 900 });
    BOOST_TEST(!record.cleared_by_end_after(Millis(1400)));
    BOOST_TEST(record.cleared_by_end_after(Millis(1800)));
}

// A task fails on its own after 1 s while its worker lives on, so it did not crash a worker
// that was lost within 400 ms of its start, although the report may have missed that.
BOOST_AUTO_TEST_CASE(end_refutes_losses_that_came_sooner)
{
    CrashRecord record;
    record.add({ 1, at_once, false, "w1", 400 });
    record.add({ 2, at_once, false, "w2", 1300 });
    record.add({ 3, at_once, false, "w3" });
    record.note_start();
    BOOST_TEST(!record.refute_by_end(Millis(400)));
    BOOST_TEST(record.size() == 3U);
    BOOST_TEST(record.tries() == 1);
    BOOST_TEST(record.refute_by_end(Millis(1000)));
    BOOST_TEST(record.size() == 2U);
    BOOST_TEST(record.tries() == 0);
    // It is not known how long the third run existed.
    BOOST_TEST(record.refute_by_end(Millis(2000)));
    BOOST_TEST(record.size() == 1U);
    BOOST_TEST(record.refute_by_end(Millis(3000)));
    BOOST_TEST(record.empty());
}

// A run that is only listed may still crash its worker.
BOOST_AUTO_TEST_CASE(running_task_does_not_refute_losses_that_came_sooner)
{
    CrashRecord record;
    record.add({ 1, at_once, false, "w1", 400 });
    record.refute(Millis(1000));
    BOOST_TEST(record.size() == 1U);
}
