// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The table of the workers' free capacity.

#define BOOST_TEST_MODULE capacity_table
#include <boost/test/unit_test.hpp>

#include "capacity_table.h"
#include "job_record.h"

using namespace pathport;
using namespace pathport::jobs;

namespace {

CapacityRow open_row(int64_t cpu_millis)
{
    CapacityRow row;
    row.capacity = { 16000, 65536, 0 };
    row.free = { cpu_millis, 65536, 0 };
    row.max_new_tasks = max_tasks_per_step;
    row.open = true;
    return row;
}

StepSpec step_of(int64_t cpu_millis)
{
    StepSpec spec;
    spec.need = { cpu_millis, 1000, 0 };
    return spec;
}

} // namespace

BOOST_AUTO_TEST_CASE(numbers_increase_and_a_closed_row_stays_closed)
{
    CapacityTable table;
    const WorkerNumber first = table.add();
    table.set(first, open_row(16000));
    table.close_row(first);
    const WorkerNumber second = table.add();
    BOOST_TEST(second > first);
    BOOST_TEST(!table.row(first).open);
    BOOST_TEST(table.row(first).max_new_tasks == 0);
    BOOST_TEST(!table.row(second).open);
}

BOOST_AUTO_TEST_CASE(reserved_worker_is_available_to_its_step_only)
{
    CapacityTable table;
    const WorkerNumber worker = table.add();
    table.set(worker, open_row(16000));
    const Step gang;
    const Step other;
    table.reserve_row(worker, gang);
    table.reserve_row(worker, other);
    BOOST_TEST(table.row(worker).available_to(gang));
    BOOST_TEST(!table.row(worker).available_to(other));
    BOOST_TEST(table.reserved_count() == 1U);
    // Placements and reports in between do not end the reservation.
    table.set(worker, open_row(9000));
    BOOST_TEST(!table.row(worker).available_to(other));
    table.release_reservations();
    BOOST_TEST(table.row(worker).available_to(other));
    BOOST_TEST(table.reserved_count() == 0U);
}

// The fast check and the exact one agree, whichever resource is scarce.
BOOST_AUTO_TEST_CASE(fast_and_exact_fit_agree)
{
    for (const bool fills : { false, true }) {
        for (int64_t free_cpu = -2000; free_cpu <= 16000; free_cpu += 500) {
            for (int64_t free_memory = 0; free_memory <= 8000; free_memory += 1000) {
                for (const int at_most : { 0, 1, 3, 100 }) {
                    StepSpec spec = step_of(2700);
                    spec.best_effort_cpu = fills;
                    PlacementOption option;
                    option.free = { free_cpu, free_memory, 0 };
                    option.max_new_tasks = std::min(4, at_most);
                    BOOST_TEST(tasks_that_fit_into(spec, option.free, 4, at_most)
                               == tasks_that_fit(spec, option));
                }
            }
        }
    }
}
