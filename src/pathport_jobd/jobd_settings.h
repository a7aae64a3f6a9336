// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The settings of pathport_jobd.

#pragma once

#include <pathport/jobs/mechanisms.h>
#include <pathport/settings.h>

#include <optional>
#include <string>

namespace pathport {

/// All settings, checked.
struct JobdSettings {
    std::string node;
    std::string log_level;
    Address clients; ///< Where clients hand in jobs.
    Address readiness; ///< Where the balancer asks whether to send clients here.
    Address peers; ///< Where other nodes send messages.
    Address metrics;
    Address store;
    Address advice;
    Millis max_hold; ///< The longest lease that a worker grants.
    Millis kill_grace; ///< How long a stop takes at a worker.
    Millis gang_timeout; ///< So long a gang's member waits for the others.
    Millis drain; ///< Within it a worker that announces its end gets no new task any more.
    Millis stop_grace; ///< How long a planned stop may take.
    jobs::Mechanisms mechanisms; ///< For experiments only.
    int64_t link_bytes_per_s = 0; ///< That the box's link moves in a second.
    int cpu_millicores = 0; ///< Processor time that it may use, in thousandths of a core.

    /// Reads a file. On failure returns nothing, and `reason` names the key, its value and
    /// what is allowed.
    static std::optional<JobdSettings> load(const std::string& path, Failure& reason);
};

} // namespace pathport
