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

/// All settings, validated.
struct JobdSettings {
    std::string node;
    std::string log_level;
    Address clients; ///< Listens for clients' requests.
    Address readiness; ///< Listens for the load balancer's readiness checks.
    Address peers; ///< Listens for messages of other nodes.
    Address metrics;
    Address store;
    Address advice;
    Millis max_hold; ///< The longest lease that a worker grants.
    Millis kill_grace; ///< Time that a worker takes to stop a task.
    Millis gang_timeout; ///< Time that a gang's member waits for the others.
    Millis drain; ///< A worker with less remaining time gets no new tasks.
    /// A failure domain gets no new tasks this long after the operators drain it; 0: no
    /// limit.
    Millis domain_drain;
    Millis stop_grace; ///< Time limit of a planned shutdown.
    jobs::Mechanisms mechanisms; ///< Some may be switched off for experiments.
    int64_t link_bytes_per_s = 0; ///< Capacity of the box's network link.
    int cpu_millicores = 0; ///< Available processor time, in thousandths of a core.

    /// Loads a settings file. On failure returns nothing, and `reason` names the key, its
    /// value and the allowed values.
    static std::optional<JobdSettings> load(const std::string& path, Failure& reason);
};

} // namespace pathport
