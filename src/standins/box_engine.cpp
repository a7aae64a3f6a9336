// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "box_engine.h"

#include <algorithm>

namespace standin {

using namespace pathport;

namespace {
constexpr int64_t throttle_factor = 10; ///< A throttled task runs so much slower.

bool holds_resources(BoxTaskState state)
{
    return state == BoxTaskState::running || state == BoxTaskState::checkpointed;
}
} // namespace

BoxEngine::BoxEngine(const Clock& clock, std::string incarnation, Resources capacity,
                     int64_t slots)
    : m_clock(clock)
    , m_incarnation(std::move(incarnation))
    , m_capacity(capacity)
    , m_slots(slots)
{
}

std::optional<BoxReport> BoxEngine::exchange(const BoxExchange& exchange, Failure& reason)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    advance_locked();
    if (exchange.epoch < m_epoch) {
        reason = Failure(FailureKind::stale_epoch, "a higher epoch was seen");
        return std::nullopt;
    }
    if (exchange.epoch == m_epoch && exchange.sequence <= m_sequence) {
        reason = Failure(FailureKind::conflict, "a later exchange was handled");
        return std::nullopt;
    }
    m_epoch = exchange.epoch;
    m_sequence = exchange.sequence;
    // What was meant for an earlier incarnation says nothing to this one.
    if (exchange.incarnation != m_incarnation)
        return report(0);
    if (exchange.renew_from > Millis())
        m_lease_end = std::max(m_lease_end, exchange.renew_from + exchange.lease);
    for (const std::string& id : exchange.forget) {
        const auto found = m_tasks.find(id);
        if (found != m_tasks.end() && !holds_resources(found->second.task.state))
            m_tasks.erase(found);
    }
    for (const BoxCommand& command : exchange.commands)
        execute(command);
    return report(exchange.known_report);
}

void BoxEngine::execute(const BoxCommand& command)
{
    if (command.type == BoxCommandType::start) {
        start(command);
        return;
    }
    const auto found = m_tasks.find(command.id);
    if (found == m_tasks.end())
        return;
    if (command.attempt != any_attempt && found->second.task.attempt != command.attempt)
        return;
    Task& task = found->second;
    if (!holds_resources(task.task.state))
        return;
    switch (command.type) {
    case BoxCommandType::stop:
        finish(task, BoxTaskState::stopped, m_clock.now());
        break;
    case BoxCommandType::checkpoint:
        task.task.state = BoxTaskState::checkpointed;
        task.changed = ++m_report;
        break;
    case BoxCommandType::throttle: {
        const Millis left = task.end_time - m_clock.now();
        task.end_time = m_clock.now() + Millis(left.count() * throttle_factor);
        break;
    }
    case BoxCommandType::start:
        break;
    }
}

void BoxEngine::start(const BoxCommand& command)
{
    const auto found = m_tasks.find(command.id);
    if (found != m_tasks.end() && found->second.task.attempt >= command.attempt)
        return;
    if (found != m_tasks.end() && holds_resources(found->second.task.state))
        finish(found->second, BoxTaskState::stopped, m_clock.now());
    Task task;
    task.task = { command.id, command.attempt, command.service, command.resources,
                  BoxTaskState::running };
    if (m_clock.now() > m_lease_end) {
        // Nothing starts without a lease.
        task.task.state = BoxTaskState::stopped;
    } else if (!(allocated_locked() + command.resources).fits_in(m_capacity)) {
        ++m_breaches.over_capacity;
        task.task.state = BoxTaskState::stopped;
    } else if (command.service.empty()) {
        task.end_time = m_clock.now() + Millis(command.duration_ms);
        task.run = m_runs.size();
        m_runs.push_back({ command.id, command.attempt, m_clock.now(), std::nullopt });
    }
    task.changed = ++m_report;
    m_tasks[command.id] = task;
}

void BoxEngine::finish(Task& task, BoxTaskState state, Millis end)
{
    task.task.state = state;
    task.changed = ++m_report;
    if (task.task.service.empty())
        m_runs[task.run].end = end;
}

void BoxEngine::advance()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    advance_locked();
}

void BoxEngine::advance_locked()
{
    const Millis now = m_clock.now();
    const bool lapsed = now > m_lease_end;
    for (auto& item : m_tasks) {
        Task& task = item.second;
        if (!holds_resources(task.task.state))
            continue;
        const bool ended = task.task.service.empty() && now >= task.end_time;
        if (ended && task.end_time <= m_lease_end)
            finish(task, BoxTaskState::done, task.end_time);
        else if (lapsed)
            finish(task, BoxTaskState::stopped, m_lease_end);
    }
}

RequestVerdict BoxEngine::begin_request(int64_t epoch, const std::string& service,
                                        const std::string& request_id)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    advance_locked();
    if (epoch < m_epoch)
        return RequestVerdict::stale_epoch;
    bool has_replica = false;
    for (const auto& item : m_tasks) {
        const BoxTask& task = item.second.task;
        has_replica
            = has_replica || (task.service == service && holds_resources(task.state));
    }
    if (!has_replica)
        return RequestVerdict::no_replica;
    if (m_busy >= m_slots) {
        ++m_breaches.over_slots;
        return RequestVerdict::busy;
    }
    ++m_busy;
    ++m_request_runs[request_id];
    return RequestVerdict::run;
}

void BoxEngine::end_request()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_busy;
}

BoxReport BoxEngine::report(int64_t known) const
{
    BoxReport report;
    report.incarnation = m_incarnation;
    report.time = m_clock.now();
    report.epoch = m_epoch;
    report.report = m_report;
    report.full = known == 0;
    report.busy = m_busy;
    report.used = allocated_locked();
    for (const auto& item : m_tasks) {
        if (item.second.changed > known || report.full)
            report.tasks.push_back(item.second.task);
    }
    return report;
}

Resources BoxEngine::allocated_locked() const
{
    Resources sum;
    for (const auto& item : m_tasks) {
        if (holds_resources(item.second.task.state))
            sum = sum + item.second.task.resources;
    }
    return sum;
}

BoxBreaches BoxEngine::breaches() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_breaches;
}

std::vector<TaskRun> BoxEngine::runs() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_runs;
}

std::map<std::string, int64_t> BoxEngine::request_runs() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_request_runs;
}

Resources BoxEngine::allocated() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return allocated_locked();
}

int64_t BoxEngine::replicas(const std::string& service) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    int64_t count = 0;
    for (const auto& item : m_tasks) {
        const BoxTask& task = item.second.task;
        count += task.service == service && holds_resources(task.state) ? 1 : 0;
    }
    return count;
}

} // namespace standin
