// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a job's result will still be worth to its caller, and the order that follows from
/// it for jobs of one priority that wait.

#pragma once

#include <cstdint>

namespace pathport::shortage {

/// A late result has some value until this multiple of the job's allowed time has passed
/// since its acceptance (the users' rule for late jobs).
constexpr int64_t late_multiple = 3;

/// What a job can still achieve by the submitter's estimate of its work.
enum class Prospect {
    in_time, ///< It can meet its deadline.
    at_risk, ///< It has not begun, and most jobs that begin with so little slack are late.
    late, ///< It will miss its deadline, but a late result has value.
    worthless, ///< Its result will come too late to have value.
};

/// Returns the lower-case name of `prospect`.
const char* to_string(Prospect prospect);

/// A job's deadline as of one moment.
struct Deadline {
    int64_t slack_ms = 0; ///< How long it can still wait and be in time; negative if late.
    int64_t allowed_ms = 0; ///< Total time that it may take and be in time.
    int64_t accepted_ms = 0; ///< When it was accepted.
    /// Slack with which a job has to begin so as to be in time; 0 once it has begun.
    int64_t margin_ms = 0;

    bool operator==(const Deadline& other) const;
};

/// Returns the prospect of a job with this deadline.
Prospect prospect_of(const Deadline& deadline);

/// Returns the sort key of a job among those of its prospect; lower goes first. Jobs that
/// can be in time go by least slack, those at risk by most slack, since what starts then is
/// in time, late ones by least lateness and worthless ones by age.
int64_t order_within(const Deadline& deadline);

} // namespace pathport::shortage
