// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Lives of a worker that follow each other under one name.

#include <pathport/emulator/workers.h>

namespace pathport::emulator {

using jobs::OrderStatus;

void Workers::restart(const std::string& id, const RestartOptions& how)
{
    Life* life = find(id);
    if (life == nullptr || !life->up)
        return;
    life->up = false;
    life->returns = true;
    life->down_silent = how.unresponsive;
    life->down_since = m_world.now();
    lose_runs(*life);
    m_world.after(how.downtime, [this, id, how] { come_back(id, how); });
}

void Workers::come_back(const std::string& id, const RestartOptions& how)
{
    const Life& before = *find(id);
    Life life;
    life.info = before.info;
    life.info.draining = false;
    life.info.remaining_ms = 0;
    life.info.capacity = how.capacity.value_or(before.info.capacity);
    life.born = m_world.now();
    life.clock_ahead = how.start_clock_ms - life.born.count();
    life.listed_from = life.born + how.listed_after;
    life.down_since = before.down_since;
    life.entry_before = before.info;
    life.entry_before.id = life_id(before);
    // The machine's links are as they were.
    life.cut_until = before.cut_until;
    life.cut_nodes = before.cut_nodes;
    m_lives[id] = std::move(life);
}

int64_t Workers::clock_of(const Life& life) const
{
    return m_world.now().count() + life.clock_ahead;
}

std::string Workers::life_id(const Life& life)
{
    return jobs::WorkerIncarnation { life.info.id, life.born.count() }.id();
}

// Returns whether `id` names this life; one that tells no birth is taken for any.
bool Workers::is_meant(const std::string& id, const Life& life)
{
    const int64_t born_ms = jobs::WorkerIncarnation::parse(id).started_ms;
    return born_ms == 0 || life.born == Millis(0) || born_ms == life.born.count();
}

// The entry of a life that is down lingers, and goes on as that of the next one.
std::optional<jobs::WorkerInfo> Workers::entry_of(const Life& life) const
{
    const Millis now = m_world.now();
    jobs::WorkerInfo entry = life.info;
    entry.id = life_id(life);
    if (life.up && now >= life.listed_from)
        return entry;
    const bool lingers = now < life.down_since + list_retention;
    if (!lingers || (!life.up && !life.returns && !life.fallen))
        return std::nullopt;
    return life.up ? life.entry_before : entry;
}

// Calls that are under way when a process goes down get no answer.
OrderStatus Workers::status_when_down(const Life& life) const
{
    const bool nobody_there = life.returns || (life.fallen && !address_taken(life));
    return nobody_there ? OrderStatus::unknown : OrderStatus::wrong_incarnation;
}

} // namespace pathport::emulator
