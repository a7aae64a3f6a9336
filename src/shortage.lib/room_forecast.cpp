// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/shortage/room_forecast.h>

#include <algorithm>
#include <cmath>
#include <tuple>

namespace pathport::shortage {

namespace {

constexpr Millis smoothing_time { 1000 };
/// Without an update for this long, what happened in between is unknown.
constexpr Millis max_update_interval { 500 };
/// Capacity is short while less than this share of the processors is free.
constexpr double short_share = 0.1;
/// Longer forecasts are cut, since no caller's deadline is that far away.
constexpr double max_wait_ms = 3600 * 1000;

constexpr int64_t second_ms = 1000;
constexpr int64_t min_retry_seconds = 1;
constexpr int64_t max_retry_seconds = 10;

bool counts_as_in_time(Prospect prospect)
{
    return prospect == Prospect::in_time || prospect == Prospect::at_risk;
}

} // namespace

bool WaitingWork::operator==(const WaitingWork& other) const
{
    return std::tie(service, priority, prospect, tasks, cpu_millis, run_ms)
        == std::tie(other.service, other.priority, other.prospect, other.tasks,
                    other.cpu_millis, other.run_ms);
}

bool ServiceProcessors::operator==(const ServiceProcessors& other) const
{
    return std::tie(service, total_millis, free_millis)
        == std::tie(other.service, other.total_millis, other.free_millis);
}

bool JobAllowance::operator==(const JobAllowance& other) const
{
    return std::tie(slack_ms, allowed_ms) == std::tie(other.slack_ms, other.allowed_ms);
}

bool KnownWait::operator==(const KnownWait& other) const
{
    return std::tie(wait, age) == std::tie(other.wait, other.age);
}

void RoomForecast::begin_update(Millis now)
{
    if (!m_updates.empty()
        && (now < m_updates.back().at || now - m_updates.back().at > max_update_interval))
        m_updates.clear();
    m_updates.push_back({ now, {} });
    while (m_updates.size() > 1 && m_updates[1].at <= now - smoothing_time)
        m_updates.pop_front();
}

void RoomForecast::note_service(const ServiceProcessors& service)
{
    if (m_updates.empty())
        return;
    ServiceState& state = m_updates.back().services[service.service];
    state.total_millis = double(service.total_millis);
    state.free_millis = double(service.free_millis);
}

void RoomForecast::note_waiting(const WaitingWork& work)
{
    if (m_updates.empty() || !counts_as_in_time(work.prospect))
        return;
    auto& services = m_updates.back().services;
    const auto found = services.find(work.service);
    // A task that needs more than the whole service can't start and delays no other.
    const bool can_start = found != services.end() && work.tasks > 0 && work.cpu_millis > 0
        && double(work.cpu_millis) <= found->second.total_millis;
    const bool is_estimated = work.run_ms > 0 && work.run_ms <= double(max_expected_run_ms);
    if (can_start && is_estimated)
        found->second.work[work.priority]
            += double(work.tasks) * double(work.cpu_millis) * work.run_ms;
}

double RoomForecast::wait_ms(const Update& update, int service, int priority)
{
    const auto found = update.services.find(service);
    if (found == update.services.end() || found->second.total_millis <= 0)
        return 0;
    double work = 0;
    for (const auto& [its_priority, amount] : found->second.work) {
        if (its_priority <= priority)
            work += amount;
    }
    return work / found->second.total_millis;
}

Millis RoomForecast::wait(int service, int priority) const
{
    if (m_updates.empty() || m_updates.front().at > m_updates.back().at - smoothing_time)
        return Millis(0);
    double lowest = max_wait_ms;
    for (const Update& update : m_updates)
        lowest = std::min(lowest, wait_ms(update, service, priority));
    return Millis(static_cast<int64_t>(lowest));
}

bool RoomForecast::is_short(int service) const
{
    if (m_updates.empty())
        return false;
    const auto found = m_updates.back().services.find(service);
    return found != m_updates.back().services.end() && found->second.total_millis > 0
        && found->second.free_millis < short_share * found->second.total_millis;
}

std::optional<Millis> capacity_refusal(const KnownWait& known, const JobAllowance& job)
{
    const bool is_recent = known.age >= Millis(0) && known.age < max_forecast_age;
    // A job that is late without any wait, or has no deadline, gives no measure.
    const bool is_valid = std::isfinite(job.slack_ms) && std::isfinite(job.allowed_ms)
        && job.slack_ms >= 0 && job.allowed_ms > 0;
    if (!is_recent || !is_valid)
        return std::nullopt;
    const double excess_ms = double(known.wait.count()) - (job.slack_ms + job.allowed_ms);
    if (excess_ms <= 0)
        return std::nullopt;
    const double seconds = std::ceil(excess_ms / double(second_ms));
    const double bounded
        = std::clamp(seconds, double(min_retry_seconds), double(max_retry_seconds));
    return Millis(static_cast<int64_t>(bounded) * second_ms);
}

} // namespace pathport::shortage
