// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The rate of jobs that is guaranteed to a workspace.

#pragma once

#include <cstdint>
#include <optional>

namespace pathport::callers {

/// A token bucket over the arrival times of jobs. A workspace is guaranteed `weight` jobs a
/// second, and bursts of a few seconds' worth. Jobs beyond that get only the capacity that
/// the others leave, so that a workspace with many times its usual load does not take their
/// share.
class JobBudget {
public:
    /// Returns whether a job that arrived at `at_ms` is within the budget, and consumes a
    /// token if so. A job reported out of order counts as of the latest arrival before it.
    bool try_consume(double weight, int64_t at_ms);

private:
    double m_tokens = 0;
    std::optional<int64_t> m_updated_at; ///< Latest arrival; nothing before the first job.
};

} // namespace pathport::callers
