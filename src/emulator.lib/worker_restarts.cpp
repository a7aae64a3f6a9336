// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Successive incarnations of a worker under one name.

#include <pathport/emulator/workers.h>

namespace pathport::emulator {

using jobs::OrderStatus;

void Workers::restart(const std::string& id, const RestartOptions& options)
{
    Incarnation* incarnation = find(id);
    if (incarnation == nullptr || !incarnation->up)
        return;
    incarnation->up = false;
    incarnation->restarting = true;
    incarnation->down_unresponsive = options.unresponsive;
    incarnation->down_since = m_world.now();
    lose_runs(*incarnation);
    m_world.after(options.downtime, [this, id, options] { finish_restart(id, options); });
}

void Workers::finish_restart(const std::string& id, const RestartOptions& options)
{
    const Incarnation& previous = *find(id);
    Incarnation incarnation;
    incarnation.info = previous.info;
    incarnation.info.draining = false;
    incarnation.info.remaining_ms = 0;
    incarnation.info.capacity = options.capacity.value_or(previous.info.capacity);
    incarnation.started_at = m_world.now();
    incarnation.clock_offset = options.start_clock_ms - incarnation.started_at.count();
    incarnation.listed_from = incarnation.started_at + options.listed_after;
    incarnation.down_since = previous.down_since;
    incarnation.previous_entry = previous.info;
    incarnation.previous_entry.id = incarnation_id(previous);
    // Partitions of the box outlast the restart.
    incarnation.partition = previous.partition;
    incarnation.node_partitions = previous.node_partitions;
    m_incarnations[id] = std::move(incarnation);
}

int64_t Workers::clock_of(const Incarnation& incarnation) const
{
    return m_world.now().count() + incarnation.clock_offset;
}

std::string Workers::incarnation_id(const Incarnation& incarnation)
{
    return jobs::WorkerIncarnation { incarnation.info.id, incarnation.started_at.count() }
        .id();
}

// Returns whether `id` names this incarnation; an id without a start time matches any.
bool Workers::matches_id(const std::string& id, const Incarnation& incarnation)
{
    const int64_t born_ms = jobs::WorkerIncarnation::parse(id).started_ms;
    return born_ms == 0 || incarnation.started_at == Millis(0)
        || born_ms == incarnation.started_at.count();
}

// The entry of a worker that is down remains listed for a while, and is shown in place of
// its successor's until that is listed.
std::optional<jobs::WorkerInfo> Workers::list_entry(const Incarnation& incarnation) const
{
    const Millis now = m_world.now();
    jobs::WorkerInfo entry = incarnation.info;
    entry.id = incarnation_id(incarnation);
    if (incarnation.up && now >= incarnation.listed_from)
        return entry;
    const bool still_listed = now < incarnation.down_since + list_retention;
    if (!still_listed
        || (!incarnation.up && !incarnation.restarting && !incarnation.crashed_by_task))
        return std::nullopt;
    return incarnation.up ? incarnation.previous_entry : entry;
}

// Calls in progress when a process goes down get no reply.
OrderStatus Workers::status_when_down(const Incarnation& incarnation) const
{
    const bool address_free = incarnation.restarting
        || (incarnation.crashed_by_task && !address_taken(incarnation));
    return address_free ? OrderStatus::unknown : OrderStatus::wrong_incarnation;
}

} // namespace pathport::emulator
