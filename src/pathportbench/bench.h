// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Benchmarks of pathport's decisions. Each prints figures with a baseline beside them, so
/// that their ratio holds on any machine.

#pragma once

#include <cstdint>
#include <vector>

namespace bench {

/// Measures placement decisions against many boxes with a policy program on, and packing
/// against first fit and the volume bound.
void run_placement();

/// Compares waiting time and the share served in time with two baselines, at several loads.
void run_requests();

/// Measures what one heartbeat, report and row cost in bytes and processor time, at several
/// sizes, for docs/CAPACITY.md.
void run_sizes();

/// Measures what a whole cell of the job path costs in the emulator, at two sizes.
void run_cell();

/// Measures what a scheduling pass costs for each waiting step, at several numbers of
/// workers and steps.
void run_passes();

/// Returns the value below which `share` of the sorted values lie.
double percentile(const std::vector<double>& sorted, double share);

} // namespace bench
