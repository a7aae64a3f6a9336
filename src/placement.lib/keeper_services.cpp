// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "keeper_state.h"

#include <pathport/ids.h>

#include <algorithm>

namespace pathport {

namespace {

// Between the end of a replica's use as a target and its stop: requests that were already
// given to it by then are seen in its load.
constexpr Millis drain_pause { 200 };
constexpr Millis services_pause { 50 };

bool counts_as_running(const Entry& entry)
{
    return entry.phase == Phase::starting || entry.phase == Phase::running;
}

} // namespace

void ShardKeeper::Impl::place_services()
{
    const Millis now = m_clock.now();
    if (now - m_services_placed < services_pause)
        return;
    m_services_placed = now;
    drain_leaving();
    // All pairs of shard and service that want or have replicas.
    std::map<std::pair<std::string, std::string>, std::vector<Entry*>> replicas;
    for (const auto& shard : m_wanted) {
        for (const auto& wanted : shard.second)
            replicas[{ shard.first, wanted.first }];
    }
    for (auto& item : m_entries) {
        Entry& entry = item.second;
        if (entry.task.is_service && counts_as_running(entry))
            replicas[{ entry.shard, entry.task.name }].push_back(&entry);
    }
    for (const auto& item : replicas) {
        const auto shard = m_shards.find(item.first.first);
        if (shard == m_shards.end() || !shard->second.loaded)
            continue;
        const auto& wanted = m_wanted[item.first.first];
        const auto count = wanted.find(item.first.second);
        place_service(item.first.first, item.first.second,
                      count == wanted.end() ? 0 : count->second, item.second);
    }
}

// The name is unlike that of any replica of another owner: a successor finds both kinds.
std::string ShardKeeper::Impl::new_replica_id(const std::string& service)
{
    return service + "." + std::to_string(stable_hash(m_owner)) + "-"
        + std::to_string(++m_replica_number);
}

void ShardKeeper::Impl::place_service(const std::string& shard, const std::string& service,
                                      int64_t wanted, const std::vector<Entry*>& replicas)
{
    const auto spec = m_services.find(service);
    const auto have = static_cast<int64_t>(replicas.size());
    m_refused[shard].erase(service);
    if (have > wanted || spec == m_services.end()) {
        drain_surplus(replicas, nullptr, spec == m_services.end() ? have : have - wanted);
        return;
    }
    PlaceRequest request;
    request.shard = shard;
    request.task = { service, spec->second.team,     true, spec->second.priority,
                     false,   spec->second.resources };
    for (int64_t i = have; i < wanted; ++i) {
        Failure reason;
        const auto box = m_placer.choose(request, *m_policy, reason);
        if (!box) {
            m_refused[shard][service] = wanted - i;
            return;
        }
        Entry entry;
        entry.id = new_replica_id(service);
        entry.box = *box;
        entry.shard = shard;
        entry.task = request.task;
        entry.attempt = 1;
        entry.phase = Phase::starting;
        add_entry(std::move(entry), false);
        ++m_counters.placements;
    }
    if (have == wanted)
        drain_surplus(replicas, &spec->second, 1);
}

// Without `spec` drains any `surplus` replicas; with it only those that need other
// resources than it says, and only while all run, so that a change goes through them one by
// one.
void ShardKeeper::Impl::drain_surplus(std::vector<Entry*> replicas, const ServiceSpec* spec,
                                      int64_t surplus)
{
    if (spec != nullptr) {
        const bool all_run
            = std::all_of(replicas.begin(), replicas.end(),
                          [](const Entry* e) { return e->phase == Phase::running; });
        if (!all_run)
            return;
        replicas.erase(std::remove_if(replicas.begin(), replicas.end(),
                                      [&](const Entry* e) {
                                          return e->task.resources == spec->resources;
                                      }),
                       replicas.end());
    }
    // The newest goes first: it has the least to lose.
    std::sort(replicas.begin(), replicas.end(),
              [](const Entry* a, const Entry* b) { return a->since > b->since; });
    for (Entry* entry : replicas) {
        if (surplus-- <= 0)
            return;
        set_phase(*entry, Phase::draining);
    }
}

void ShardKeeper::Impl::drain_leaving()
{
    for (auto& item : m_entries) {
        Entry& entry = item.second;
        const auto box = m_boxes.find(entry.box);
        if (box == m_boxes.end() || box->second.info.state != BoxState::leaving)
            continue;
        if (entry.task.is_service && counts_as_running(entry)) {
            set_phase(entry, Phase::draining);
        } else if (!entry.task.is_service && entry.phase == Phase::running
                   && entry.task.stoppable) {
            entry.after_stop = AfterStop::queue_again;
            set_phase(entry, Phase::checkpointing);
        }
    }
}

void ShardKeeper::Impl::stop_idle(const ReplicaLoad& load)
{
    const Millis now = m_clock.now();
    for (auto& item : m_entries) {
        Entry& entry = item.second;
        if (entry.phase != Phase::draining || now - entry.since < drain_pause)
            continue;
        const bool idle = load.in_flight(entry.box, entry.task.name) == 0;
        if (idle || now - entry.since >= m_spans.drain_limit)
            set_phase(entry, Phase::stopping);
    }
}

} // namespace pathport
