// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a scheduler is given: the systems around it, and the claim that began its epoch.

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

/// What a scheduler works with; all of it outlives the scheduler.
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
    int64_t link_bytes = 0; ///< The same.
    Mechanisms mechanisms;
    const StoreClock* store_clock = nullptr; ///< That clock within bounds, if it is known.
    /// Returns whether the operators know this service; if missing, all are known.
    std::function<bool(const std::string&)> knows_service;
    /// Returns the configuration in force, or nothing; if missing, nobody has a bound.
    std::function<std::shared_ptr<const Configuration>()> configuration;
};

/// Runs of one epoch; an epoch's run ids lie above those of all earlier ones.
constexpr int64_t runs_per_epoch = int64_t(1) << 20;

/// The claim that began an epoch.
struct Claim {
    HeadValue head;
    int64_t version = 0; ///< Of the head row.
    Millis claimed; ///< When the claim's write began; the lease counts from it.
    Millis known; ///< When the claim was known to have taken effect.
};

} // namespace pathport::jobs
