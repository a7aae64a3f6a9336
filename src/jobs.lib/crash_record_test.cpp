// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What is held against a task, and when.

#define BOOST_TEST_MODULE crash_record
#include <boost/test/unit_test.hpp>

#include "crash_record.h"

using namespace pathport;
using namespace pathport::jobs;

namespace {

constexpr int64_t at_once = 0;
constexpr int64_t long_after = 20000;

Suspicion suspicion_after(const std::vector<int64_t>& lives_ms)
{
    CrashRecord record;
    int64_t run = 0;
    for (const int64_t life : lives_ms)
        record.add({ ++run, life, false });
    return record.suspicion();
}

} // namespace

BOOST_AUTO_TEST_CASE(a_start_with_which_a_worker_was_lost_makes_a_suspect)
{
    BOOST_TEST((suspicion_after({}) == Suspicion::none));
    BOOST_TEST((suspicion_after({ at_once }) == Suspicion::suspected));
    BOOST_TEST((suspicion_after({ at_once, at_once }) == Suspicion::likely));
}

// What had run for long was probably beside the cause.
BOOST_AUTO_TEST_CASE(a_run_of_long_that_was_lost_says_less)
{
    BOOST_TEST((suspicion_after({ long_after }) == Suspicion::none));
    BOOST_TEST((suspicion_after({ long_after, long_after }) == Suspicion::suspected));
    BOOST_TEST((suspicion_after({ at_once, long_after }) == Suspicion::likely));
    BOOST_TEST(
        (suspicion_after({ long_after, long_after, long_after }) == Suspicion::likely));
}

BOOST_AUTO_TEST_CASE(a_run_that_was_lost_beside_a_suspect_says_less)
{
    CrashRecord record;
    record.add({ 1, at_once, true });
    BOOST_TEST((record.suspicion() == Suspicion::none));
    record.add({ 2, at_once, true });
    BOOST_TEST((record.suspicion() == Suspicion::suspected));
}

BOOST_AUTO_TEST_CASE(a_run_counts_once_and_can_be_taken_back)
{
    CrashRecord record;
    BOOST_TEST(record.add({ 7, at_once }));
    BOOST_TEST(!record.add({ 7, long_after }));
    BOOST_TEST(record.size() == 1U);
    BOOST_TEST(!record.retract(8));
    BOOST_TEST(record.retract(7));
    BOOST_TEST(record.empty());
}

// A worker that fails all that it starts ends runs before they could crash it.
BOOST_AUTO_TEST_CASE(an_end_clears_only_a_task_that_lived_longer_than_before)
{
    CrashRecord record;
    record.add({ 1, 900 });
    BOOST_TEST(!record.cleared_by_end_after(Millis(300)));
    BOOST_TEST(record.cleared_by_end_after(Millis(2000)));
}

BOOST_AUTO_TEST_CASE(after_three_workers_two_starts_are_left)
{
    CrashRecord record;
    record.add({ 1, at_once });
    record.add({ 2, long_after });
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

// Beside others that crash their workers a good task goes down with one after the other;
// where it fails by itself, its worker lives on, and that start speaks for it.
BOOST_AUTO_TEST_CASE(a_start_that_its_worker_survives_does_not_count)
{
    CrashRecord record;
    for (int64_t run = 1; run <= 4; ++run)
        record.add({ run, long_after / run });
    record.note_start();
    record.note_start();
    BOOST_TEST(record.tries_exhausted());
    record.note_harmless_failure();
    BOOST_TEST(!record.tries_exhausted());
    record.note_start();
    BOOST_TEST(record.tries_exhausted());
}

BOOST_AUTO_TEST_CASE(lives_are_compared)
{
    CrashRecord record;
    BOOST_TEST(record.has_similar_runtimes());
    record.add({ 1, at_once });
    record.add({ 2, 500 });
    BOOST_TEST(record.has_similar_runtimes());
    record.add({ 3, long_after });
    BOOST_TEST(!record.has_similar_runtimes());
}

BOOST_AUTO_TEST_CASE(a_task_is_cleared_by_a_life_longer_than_all_that_were_lost)
{
    CrashRecord record;
    record.add({ 1, at_once });
    BOOST_TEST((record.clearing_runtime() > startup_window));
    record.add({ 2, long_after });
    record.add({ 3, at_once });
    BOOST_TEST((record.clearing_runtime() > Millis(long_after)));
}
