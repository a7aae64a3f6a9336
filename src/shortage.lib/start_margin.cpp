// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/shortage/start_margin.h>

#include <algorithm>

namespace pathport::shortage {

namespace {

/// Completed jobs that are remembered: a few seconds' worth for a busy queue, so that the
/// margin follows the load.
constexpr size_t max_recent = 40;
/// Fewer jobs than this say nothing about the others.
constexpr size_t min_recent = 5;
/// Share of the jobs that stayed within the margin.
constexpr double covered_share = 0.8;

} // namespace

void StartMargin::note_completion(Millis excess)
{
    const Millis counted = std::max(Millis(0), excess);
    if (m_recent.size() < max_recent)
        m_recent.push_back(counted);
    else
        m_recent[m_next] = counted;
    m_next = (m_next + 1) % max_recent;
    if (m_recent.size() < min_recent)
        return;
    std::vector<Millis> sorted = m_recent;
    const auto place = sorted.begin()
        + static_cast<std::ptrdiff_t>(covered_share * double(sorted.size() - 1));
    std::nth_element(sorted.begin(), place, sorted.end());
    m_margin = *place;
}

} // namespace pathport::shortage
