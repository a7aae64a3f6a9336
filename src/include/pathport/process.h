// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Graceful termination of a process, and its resource usage.

#pragma once

#include <pathport/clock.h>

#include <cstdint>

namespace pathport {

/// Blocks SIGTERM and SIGINT in this thread and in threads it starts later, and ignores
/// SIGPIPE. Must be called first in main(), before any thread is started.
void block_end_signals();

/// Waits up to `timeout` for SIGTERM or SIGINT; returns whether one was received.
bool end_requested(Millis timeout);

/// Resource usage of this process.
struct ProcessUsage {
    Millis cpu; ///< User and system CPU time since the process started.
    int64_t resident_kb = 0; ///< Current resident set size.
};

/// Returns the resource usage of this process.
ProcessUsage process_usage();

} // namespace pathport
