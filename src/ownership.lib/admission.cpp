// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/admission.h>

#include <pathport/ids.h>
#include <pathport/settings.h>

#include <algorithm>

namespace pathport {

const char* to_string(AdmissionVerdict verdict)
{
    switch (verdict) {
    case AdmissionVerdict::admitted:
        return "admitted";
    case AdmissionVerdict::duplicate:
        return "duplicate";
    case AdmissionVerdict::unknown:
        return "unknown";
    case AdmissionVerdict::too_new:
        return "too_new";
    case AdmissionVerdict::not_owner:
        return "not_owner";
    }
    return "not_owner";
}

std::string admission_shard(int index)
{
    const std::string number = std::to_string(index);
    return admission_prefix + std::string(number.size() < 2 ? "0" : "") + number;
}

std::optional<int> admission_range_of(const std::string& shard)
{
    constexpr size_t prefix = sizeof admission_prefix - 1;
    if (shard.compare(0, prefix, admission_prefix) != 0)
        return std::nullopt;
    const auto index = parse_integer(std::string_view(shard).substr(prefix));
    if (!index || *index < 0 || *index >= admission_ranges)
        return std::nullopt;
    return static_cast<int>(*index);
}

int admission_range(const std::string& request_id)
{
    return static_cast<int>(stable_hash(request_id) % admission_ranges);
}

void AdmissionLedger::acquire(int range, int64_t epoch, Millis barrier)
{
    Range& r = m_ranges.at(static_cast<size_t>(range));
    const std::lock_guard<std::mutex> lock(r.mutex);
    take_over(r, epoch, barrier);
}

void AdmissionLedger::take_over(Range& r, int64_t epoch, Millis barrier)
{
    r.owned = true;
    r.epoch = epoch;
    r.barrier = barrier;
    r.awaits_memory = false;
    r.ids.clear();
    if (r.memory_epoch == epoch) {
        r.barrier = r.memory.barrier;
        for (const AdmittedId& one : r.memory.ids)
            r.ids.emplace(one.id, one.time);
    }
    // Used once: the range admits ids from here on, which only `ids` remembers.
    r.memory = RangeMemory();
    r.memory_epoch = 0;
}

void AdmissionLedger::acquire_given(int range, int64_t epoch, Millis barrier)
{
    Range& r = m_ranges.at(static_cast<size_t>(range));
    const std::lock_guard<std::mutex> lock(r.mutex);
    const bool has_memory = r.memory_epoch == epoch;
    take_over(r, epoch, barrier);
    r.awaits_memory = !has_memory;
    r.given = barrier;
}

bool AdmissionLedger::awaits_memory(int range, Millis table_earliest) const
{
    const Range& r = m_ranges.at(static_cast<size_t>(range));
    const std::lock_guard<std::mutex> lock(r.mutex);
    return r.waits(m_spans, std::max(r.latest, table_earliest));
}

RangeMemory AdmissionLedger::lose(int range)
{
    Range& r = m_ranges.at(static_cast<size_t>(range));
    const std::lock_guard<std::mutex> lock(r.mutex);
    RangeMemory memory;
    memory.barrier = r.barrier;
    for (const auto& one : r.ids)
        memory.ids.push_back({ one.first, one.second });
    // Should this node keep the range, nobody else has decided under its epoch.
    if (r.owned && r.memory_epoch < r.epoch) {
        r.memory_epoch = r.epoch;
        r.memory = memory;
    }
    r.owned = false;
    r.ids.clear();
    return memory;
}

void AdmissionLedger::take_memory(int range, int64_t epoch, const RangeMemory& memory)
{
    Range& r = m_ranges.at(static_cast<size_t>(range));
    const std::lock_guard<std::mutex> lock(r.mutex);
    if (r.owned && r.epoch == epoch) {
        r.awaits_memory = false;
        r.barrier = memory.barrier;
        for (const AdmittedId& one : memory.ids)
            r.ids.emplace(one.id, one.time);
    } else if (epoch > r.epoch) {
        r.memory_epoch = epoch;
        r.memory = memory;
    }
}

AdmissionVerdict AdmissionLedger::admit(const std::string& request_id, Millis id_time,
                                        Millis table_earliest)
{
    Range& r = m_ranges.at(static_cast<size_t>(admission_range(request_id)));
    const std::lock_guard<std::mutex> lock(r.mutex);
    r.latest = std::max(r.latest, table_earliest);
    if (!r.owned)
        return AdmissionVerdict::not_owner;
    if (r.ids.count(request_id) > 0)
        return AdmissionVerdict::duplicate;
    // An id that no owner can have admitted yet, and that none may admit now: a later
    // owner's barrier would not cover it.
    if (id_time > table_earliest + m_spans.margin)
        return AdmissionVerdict::too_new;
    if (id_time <= r.barrier + m_spans.margin && r.waits(m_spans, r.latest))
        return AdmissionVerdict::not_owner;
    if (id_time <= r.barrier + m_spans.margin || id_time + m_spans.memory <= r.latest)
        return AdmissionVerdict::unknown;
    r.ids.emplace(request_id, id_time);
    return AdmissionVerdict::admitted;
}

void AdmissionLedger::release(const std::string& request_id)
{
    Range& r = m_ranges.at(static_cast<size_t>(admission_range(request_id)));
    const std::lock_guard<std::mutex> lock(r.mutex);
    r.ids.erase(request_id);
}

void AdmissionLedger::expire(Millis table_earliest)
{
    for (Range& r : m_ranges) {
        const std::lock_guard<std::mutex> lock(r.mutex);
        r.latest = std::max(r.latest, table_earliest);
        for (auto id = r.ids.begin(); id != r.ids.end();) {
            if (id->second + m_spans.memory <= r.latest)
                id = r.ids.erase(id);
            else
                ++id;
        }
    }
}

size_t AdmissionLedger::size() const
{
    size_t sum = 0;
    for (const Range& r : m_ranges) {
        const std::lock_guard<std::mutex> lock(r.mutex);
        sum += r.ids.size();
    }
    return sum;
}

} // namespace pathport
