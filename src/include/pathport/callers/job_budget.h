// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The jobs that a workspace may count on.

#pragma once

#include <cstdint>
#include <optional>

namespace pathport::callers {

/// A token bucket over the times at which jobs came: a workspace may count on `weight` jobs
/// a second, and on a few seconds' worth at once. What comes beyond it takes the room that
/// is left over. So one workspace that sends many times its usual does not keep the others
/// from theirs.
class JobBudget {
public:
    /// Returns whether a job that came at `at_ms` lies within the budget, and takes it off.
    /// A job that is told of late counts at the time of the latest before it.
    bool try_consume(double weight, int64_t at_ms);

private:
    double m_tokens = 0;
    std::optional<int64_t> m_updated_at; ///< Of the latest job; nothing before the first.
};

} // namespace pathport::callers
