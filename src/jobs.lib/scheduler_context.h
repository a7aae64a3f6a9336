// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Dependencies of a scheduler and the claim that began its epoch.

#pragma once

#include "advice_pool.h"
#include "head_log.h"
#include "store_clock.h"
#include "worker_session.h"

#include <pathport/event_loop.h>
#include <pathport/jobs/job_store.h>
#include <pathport/jobs/mechanisms.h>
#include <pathport/jobs/worker_client.h>
#include <pathport/metrics.h>

#include <functional>
#include <memory>
#include <string>

namespace pathport::jobs {

/// Dependencies of a scheduler; all of them outlive it.
struct SchedulerContext {
    EventLoop& loop;
    JobStore& store;
    Directory& directory;
    WorkerClient& workers;
    AdvicePool& advice;
    std::function<int64_t()> wall_ms; ///< Time since 1970, for due times only.
    std::function<int64_t()> store_clock_ms; ///< The clock of acceptance times.
    Metrics& metrics;
    WorkerTimeouts bounds;
    size_t archive_batch = 1; ///< As in NodeSetup.
    int64_t link_bytes = 0; ///< As in NodeSetup.
    Mechanisms mechanisms;
    /// Bounds of the clock `store_clock_ms`, where they are known.
    const StoreClock* store_clock = nullptr;
    /// Returns whether the operators have configured this service; if unset, all services
    /// count as configured.
    std::function<bool(const std::string&)> knows_service;
    /// Returns the configuration in force, or nothing; if unset, no workspace has a bound.
    std::function<std::shared_ptr<const Configuration>()> configuration;
    /// Returns the drained failure domains, or null while they are not known recently
    /// enough to start anything; if unset, none is drained.
    std::function<std::shared_ptr<const DrainedDomains>()> drains;
};

/// Number of run ids per epoch; the run ids of an epoch are higher than those of all
/// earlier ones.
constexpr int64_t runs_per_epoch = int64_t(1) << 20;

/// The claim that began an epoch.
struct Claim {
    HeadValue head;
    int64_t version = 0; ///< Of the head row.
    Millis claimed; ///< When the claim's write began; the lease counts from it.
    Millis known; ///< When the claim was known to have taken effect.
};

} // namespace pathport::jobs
