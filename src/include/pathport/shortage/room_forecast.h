// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How long a new job would wait for capacity, and whether it is refused for that.

#pragma once

#include <pathport/clock.h>
#include <pathport/shortage/prospect.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace pathport::shortage {

/// Tasks of one step that wait for capacity.
struct WaitingWork {
    int service = 0;
    int priority = 0; ///< 0 is the most urgent.
    Prospect prospect = Prospect::in_time;
    int tasks = 0;
    int64_t cpu_millis = 0; ///< Of one task.
    double run_ms = 0; ///< Expected run time of one task.

    bool operator==(const WaitingWork& other) const;
};

/// Processors of the usable workers of a service.
struct ServiceProcessors {
    int service = 0;
    int64_t total_millis = 0;
    int64_t free_millis = 0;

    bool operator==(const ServiceProcessors& other) const;
};

/// The longest expected run time that is taken for an estimate; a longer one, as well as
/// one of zero or less, is taken for a mistake and not used.
constexpr int64_t max_expected_run_ms = int64_t(24) * 3600 * 1000;

/// Forecasts the wait for capacity from the processor time that waiting work needs. Only
/// work that can be in time counts, since late work goes behind a new job.
///
/// The forecast is the lowest one of the last second. So a load that lasts less than that
/// has no effect, and the forecast is never above the one that held a second ago.
class RoomForecast {
public:
    /// Begins an update, which replaces the waiting work and the processors known before.
    /// A pause between updates discards all earlier ones.
    void begin_update(Millis now);
    /// Records a service. Its waiting work is recorded after it.
    void note_service(const ServiceProcessors& service);
    /// Records a step that waits for capacity. Work that can't be assessed is ignored.
    void note_waiting(const WaitingWork& work);
    /// Forgets everything.
    void clear() { m_updates.clear(); }

    /// Returns how long a job of this priority that arrives now waits for capacity; zero
    /// until a second has been observed.
    Millis wait(int service, int priority) const;
    /// Returns whether so little of the service is free, as of the last update, that
    /// arriving jobs have to wait for capacity.
    bool is_short(int service) const;

private:
    struct ServiceState {
        double total_millis = 0;
        double free_millis = 0;
        std::map<int, double> work; ///< Processor time (thousandths x ms), by priority.
    };
    struct Update {
        Millis at;
        std::map<int, ServiceState> services;
    };

    static double wait_ms(const Update& update, int service, int priority);

    std::deque<Update> m_updates; ///< The oldest one precedes the last second.
};

/// The time that a job may take, as of its submission.
struct JobAllowance {
    double slack_ms = 0; ///< How long it can wait and be in time.
    double allowed_ms = 0; ///< Total time that it may take and be in time.

    bool operator==(const JobAllowance& other) const;
};

/// The forecast for a queue as a node knows it.
struct KnownWait {
    Millis wait;
    Millis age; ///< Time since it was received.

    bool operator==(const KnownWait& other) const;
};

/// A forecast is used for this long after it was received: a few heartbeats.
constexpr Millis max_forecast_age { 1500 };

/// Returns the time after which a refused job is worth another try, or nothing if the job
/// is accepted. A job is refused if it would end after twice its allowed time. The margin
/// of a whole allowed time covers errors and the age of the forecast.
std::optional<Millis> capacity_refusal(const KnownWait& known, const JobAllowance& job);

} // namespace pathport::shortage
