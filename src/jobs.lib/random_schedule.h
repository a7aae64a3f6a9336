// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Random schedules: cells under load with trouble drawn from a seed, watched all the time.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace pathport::cell_tests {

/// Plays the schedule of a seed in one of the styles, and returns what is wrong: a job that
/// could run and doesn't, one that was cancelled and runs on, a node that goes by an old
/// configuration, and all that workers and clients see.
std::vector<std::string> run_random_schedule(uint64_t seed, int style);

/// Plays schedules of seeds from `first` on, and reports those with something wrong.
void expect_no_violations(int style, uint64_t first, uint64_t count);

} // namespace pathport::cell_tests
