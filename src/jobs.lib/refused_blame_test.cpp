// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Tasks whose workers were cut off by refused connections and run on.

#define BOOST_TEST_MODULE refused_blame
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"

using namespace pathport;
using namespace pathport::cell_tests;
using emulator::PartitionMode;

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// The workers that run a job's only task are cut off one after another. A worker whose
// lease ran out while it refused connections counted as crashed by its task, and the job
// failed.
BOOST_AUTO_TEST_CASE(task_whose_workers_refuse_connections_is_not_given_up)
{
    const jobs::TaskId task { "job0", 0, 0, 0 };
    for (const PartitionMode mode : { PartitionMode::drops, PartitionMode::refuses }) {
        for (uint64_t seed = 1; seed <= 4; ++seed) {
            Cell cell(seed, 3, 8);
            add_queues(cell);
            cell.world.run_for(Millis(2000));
            cell.note_disturbance(Millis(120000));
            submit(cell, "q1", "job0", { one_core_step(1, 5000) });
            for (int64_t starts = 1; starts <= 4; ++starts) {
                for (int i = 0; i < 300 && cell.workers.starts() < starts; ++i)
                    cell.world.run_for(Millis(100));
                cell.world.run_for(Millis(900));
                for (const std::string& id : cell.workers.ids()) {
                    if (cell.workers.is_running_on(id, task))
                        cell.workers.cut_off(id, Millis(40000), mode);
                }
            }
            cell.world.run_for(Millis(80000));
            const auto state = cell.ask_state("job0");
            BOOST_TEST((state && *state == jobs::JobState::completed),
                       "seed " << seed << ": "
                               << (state ? jobs::to_string(*state) : "unknown"));
        }
    }
}
