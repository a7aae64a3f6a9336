// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "level_index.h"

#include <boost/integer/integer_log2.hpp>

namespace pathport::jobs {

// Level 0 holds the amount 0. Above it, each power of two is divided into four levels by
// the two bits behind the highest one.
size_t LevelIndex::level_of(int64_t amount)
{
    constexpr unsigned fraction_bits = 2;
    constexpr uint64_t levels_per_doubling = uint64_t(1) << fraction_bits;
    if (amount <= 0)
        return 0;
    const auto value = static_cast<uint64_t>(amount);
    const auto exponent = static_cast<unsigned>(boost::integer_log2(value));
    const uint64_t with_fraction = exponent >= fraction_bits
        ? value >> (exponent - fraction_bits)
        : value << (fraction_bits - exponent);
    return static_cast<size_t>(1 + exponent * levels_per_doubling
                               + (with_fraction - levels_per_doubling));
}

void LevelIndex::set(WorkerNumber worker, int64_t amount)
{
    const size_t level = level_of(amount);
    if (worker >= m_places.size())
        m_places.resize(size_t(worker) + 1);
    if (m_places[worker].level == level)
        return;
    erase(worker);
    if (level >= m_levels.size())
        m_levels.resize(level + 1);
    m_places[worker]
        = { static_cast<uint32_t>(level), static_cast<uint32_t>(m_levels[level].size()) };
    m_levels[level].push_back(worker);
}

void LevelIndex::erase(WorkerNumber worker)
{
    if (worker >= m_places.size() || m_places[worker].level == absent)
        return;
    const Place place = m_places[worker];
    std::vector<WorkerNumber>& level = m_levels[place.level];
    const WorkerNumber last = level.back();
    level[place.position] = last;
    m_places[last].position = place.position;
    level.pop_back();
    m_places[worker] = Place();
}

size_t LevelIndex::count_from(int64_t amount) const
{
    size_t count = 0;
    for (size_t level = level_of(amount); level < m_levels.size(); ++level)
        count += m_levels[level].size();
    return count;
}

} // namespace pathport::jobs
