// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Random schedules: cells under load with faults drawn from a seed, checked throughout.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace pathport::cell_tests {

/// Runs the schedule of a seed in one of the styles and returns all violations: stalled
/// jobs, cancelled jobs that keep running, nodes with an outdated configuration, and what
/// the emulated workers and clients detect.
std::vector<std::string> run_random_schedule(uint64_t seed, int style);

/// Runs the schedules of `count` seeds from `first` on and fails the test on violations.
void expect_no_violations(int style, uint64_t first, uint64_t count);

} // namespace pathport::cell_tests
