// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "level_index.h"

#include <algorithm>
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
    amount = std::max<int64_t>(0, amount);
    const size_t number = level_of(amount);
    if (worker >= m_places.size())
        m_places.resize(size_t(worker) + 1);
    Place& place = m_places[worker];
    if (place.level == number) {
        m_levels[number].amounts[place.position] = amount;
        return;
    }
    erase(worker);
    if (number >= m_levels.size())
        m_levels.resize(number + 1);
    Level& level = m_levels[number];
    place = { static_cast<uint32_t>(number), static_cast<uint32_t>(level.workers.size()) };
    level.workers.push_back(worker);
    level.amounts.push_back(amount);
}

void LevelIndex::erase(WorkerNumber worker)
{
    if (worker >= m_places.size() || m_places[worker].level == absent)
        return;
    const Place place = m_places[worker];
    Level& level = m_levels[place.level];
    const WorkerNumber last = level.workers.back();
    level.workers[place.position] = last;
    level.amounts[place.position] = level.amounts.back();
    m_places[last].position = place.position;
    level.workers.pop_back();
    level.amounts.pop_back();
    m_places[worker] = Place();
}

size_t LevelIndex::count_from(int64_t amount) const
{
    const size_t lowest = level_of(amount);
    if (lowest >= m_levels.size())
        return 0;
    const std::vector<int64_t>& amounts = m_levels[lowest].amounts;
    auto count = static_cast<size_t>(
        std::count_if(amounts.begin(), amounts.end(),
                      [amount](int64_t present) { return present >= amount; }));
    for (size_t level = lowest + 1; level < m_levels.size(); ++level)
        count += m_levels[level].workers.size();
    return count;
}

} // namespace pathport::jobs
