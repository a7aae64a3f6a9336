// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// When a caller whose job was not taken should come back.

#pragma once

#include <pathport/jobs/job_model.h>

#include <string>

namespace pathport::jobs {

/// Returns the pause, in whole seconds, for a job that was refused while the store has been
/// away for `outage`. The longer that lasts, the longer it is likely to last on, so callers
/// come back after as long again, and reach beyond an outage with few tries. A job that
/// could not be done in its time then is asked for sooner: the most urgent come back first,
/// and the others at times spread by their ids.
Millis retry_delay(const Queue& queue, const JobSpec& spec, const std::string& id,
                   Millis outage);

/// Returns the longest chain of expected run times over the steps of a job.
int64_t longest_chain_ms(const JobSpec& spec);

} // namespace pathport::jobs
