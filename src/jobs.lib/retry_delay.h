// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Retry delays for callers whose jobs were not accepted.

#pragma once

#include <pathport/jobs/job_model.h>
#include <pathport/shortage/room_forecast.h>

#include <optional>
#include <string>

namespace pathport::jobs {

/// Returns the delay, in whole seconds, for a job refused while the store has been
/// unavailable for `outage`. The longer an outage has lasted, the longer it is likely to
/// continue, so the delay equals its duration so far and few tries outlast it. The delay is
/// shorter where the job could not meet its deadline otherwise: the most urgent jobs return
/// first, and the others are spread by their ids where the delay is not a whole number of
/// seconds.
Millis retry_delay(const Queue& queue, const JobSpec& spec, const std::string& id,
                   Millis outage);

/// Returns the longest chain of expected run times over the steps of a job.
int64_t longest_chain_ms(const JobSpec& spec);

/// Returns the time that a job may take from its submission on, by its queue and its
/// estimates. Returns nothing if they don't tell when it will be late: a run time is
/// missing or implausible, it has long-running tasks, or it runs by a schedule.
std::optional<shortage::JobAllowance> allowance_of(const Queue& queue, const JobSpec& spec);

} // namespace pathport::jobs
