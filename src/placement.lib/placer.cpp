// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/placer.h>

#include <pathport/ids.h>

#include <algorithm>
#include <cmath>

namespace pathport {

namespace {

// Weights of the score; the lowest score wins. Spread goes before fit, and work that needs
// no accelerator goes to a box with accelerators only when no other has room.
constexpr double same_box_weight = 1000;
constexpr double spread_weight = 10;
constexpr double spare_accelerator_weight = 100;
constexpr double imbalance_weight = 0.5;

constexpr size_t max_verdicts = 200000; ///< About 10 MB.

double share(int64_t part, int64_t whole)
{
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

} // namespace

PolicyBox to_policy_box(const PlacerBox& box)
{
    PolicyBox seen { box.info().id,       box.info().domain, box.info().rack,
                     box.info().capacity, box.free(),        {} };
    for (const auto& item : box.tasks())
        seen.tasks.push_back(item.second);
    return seen;
}

void Placer::set_box(const BoxInfo& info, bool usable)
{
    const auto found = m_boxes.find(info.id);
    if (found == m_boxes.end()) {
        m_boxes.emplace(info.id, PlacerBox(info, usable));
        return;
    }
    PlacerBox& box = found->second;
    if (box.m_info == info && box.m_usable == usable)
        return;
    box.m_free = box.m_free + (info.capacity - box.m_info.capacity);
    box.m_info = info;
    box.m_usable = usable;
    ++box.m_version;
}

void Placer::remove_box(const std::string& id)
{
    const auto found = m_boxes.find(id);
    if (found == m_boxes.end())
        return;
    for (const auto& item : found->second.m_tasks)
        count_replica(found->second, item.second, -1);
    m_boxes.erase(found);
}

bool Placer::allocate(const std::string& id, const std::string& task_id,
                      const PolicyTask& task, bool force)
{
    const auto found = m_boxes.find(id);
    if (found == m_boxes.end())
        return false;
    PlacerBox& box = found->second;
    if (box.m_tasks.count(task_id) > 0)
        return true;
    if (!force && !task.resources.fits_in(box.m_free))
        return false;
    ++box.m_version;
    box.m_free = box.m_free - task.resources;
    box.m_tasks.emplace(task_id, task);
    count_replica(box, task, 1);
    return true;
}

void Placer::free(const std::string& id, const std::string& task_id)
{
    const auto found = m_boxes.find(id);
    if (found == m_boxes.end())
        return;
    PlacerBox& box = found->second;
    const auto task = box.m_tasks.find(task_id);
    if (task == box.m_tasks.end())
        return;
    ++box.m_version;
    box.m_free = box.m_free + task->second.resources;
    count_replica(box, task->second, -1);
    box.m_tasks.erase(task);
}

void Placer::count_replica(const PlacerBox& box, const PolicyTask& task, int64_t by)
{
    if (!task.is_service)
        return;
    Spread& spread = m_spread[task.name];
    spread.by_domain[box.m_info.domain] += by;
    spread.by_rack[box.m_info.shard()] += by;
}

int64_t Placer::spread_count(const std::string& service, const PlacerBox& box) const
{
    const auto found = m_spread.find(service);
    if (found == m_spread.end())
        return 0;
    const Spread& spread = found->second;
    const auto domain = spread.by_domain.find(box.m_info.domain);
    const auto rack = spread.by_rack.find(box.m_info.shard());
    return (domain == spread.by_domain.end() ? 0 : domain->second)
        + (rack == spread.by_rack.end() ? 0 : rack->second);
}

double Placer::score(const PlacerBox& box, const PolicyTask& task) const
{
    const Resources left = box.m_free - task.resources;
    const Resources& capacity = box.m_info.capacity;
    const double cpu_left = share(left.cpu_millis, capacity.cpu_millis);
    const double memory_left = share(left.memory_mb, capacity.memory_mb);
    // A box is well used when little is left and when what is left is of both kinds.
    double score = cpu_left + memory_left;
    score += imbalance_weight * std::fabs(cpu_left - memory_left);
    if (task.resources.accelerators == 0 && left.accelerators > 0)
        score += spare_accelerator_weight;
    if (task.resources.accelerators > 0)
        score += share(left.accelerators, capacity.accelerators);
    if (!task.is_service)
        return score;
    const auto same
        = std::count_if(box.m_tasks.begin(), box.m_tasks.end(), [&](const auto& t) {
              return t.second.is_service && t.second.name == task.name;
          });
    return score + same_box_weight * static_cast<double>(same)
        + spread_weight * static_cast<double>(spread_count(task.name, box));
}

bool Placer::may_share(const PolicyTask& task, uint64_t task_class, const PlacerBox& box,
                       const Policy& policy) const
{
    if (m_verdicts_of != &policy || m_verdicts.size() > max_verdicts) {
        m_verdicts.clear();
        m_verdicts_of = &policy;
    }
    Verdict& verdict = m_verdicts[task_class ^ stable_hash(box.info().id)];
    if (verdict.version != box.m_version) {
        verdict.version = box.m_version;
        verdict.allowed = policy.may_share(task, to_policy_box(box));
    }
    return verdict.allowed;
}

std::optional<std::string> Placer::choose(const PlaceRequest& request, const Policy& policy,
                                          Failure& reason) const
{
    struct Candidate {
        double score;
        const PlacerBox* box;
        bool operator>(const Candidate& other) const
        {
            return score != other.score ? score > other.score
                                        : box->info().id > other.box->info().id;
        }
    };
    std::vector<Candidate> candidates;
    int64_t unusable = 0;
    int64_t full = 0;
    for (const auto& item : m_boxes) {
        const PlacerBox& box = item.second;
        if (!request.shard.empty() && box.m_info.shard() != request.shard)
            continue;
        if (!box.m_usable)
            ++unusable;
        else if (!request.task.resources.fits_in(box.m_free))
            ++full;
        else
            candidates.push_back({ score(box, request.task), &box });
    }
    // A heap gives the best first without sorting the rest; most often the first is
    // allowed.
    std::make_heap(candidates.begin(), candidates.end(), std::greater<>());
    int64_t forbidden = 0;
    const uint64_t task_class = policy_class(request.task);
    while (!candidates.empty()) {
        std::pop_heap(candidates.begin(), candidates.end(), std::greater<>());
        const PlacerBox& box = *candidates.back().box;
        candidates.pop_back();
        if (may_share(request.task, task_class, box, policy))
            return box.info().id;
        ++forbidden;
    }
    reason = Failure(FailureKind::no_capacity,
                     std::to_string(full) + " boxes have no room, "
                         + std::to_string(forbidden) + " are forbidden by the policy, "
                         + std::to_string(unusable) + " take no work");
    return std::nullopt;
}

std::optional<StopPlan>
Placer::choose_stops(const PlaceRequest& request, const Policy& policy,
                     const std::map<std::string, bool>& is_excluded) const
{
    std::optional<StopPlan> best;
    double best_cost = 0;
    for (const auto& item : m_boxes) {
        const PlacerBox& box = item.second;
        if (!box.m_usable || !request.task.resources.fits_in(box.m_info.capacity))
            continue;
        if (!request.shard.empty() && box.m_info.shard() != request.shard)
            continue;
        std::vector<std::pair<double, std::string>> victims;
        for (const auto& task : box.m_tasks) {
            if (is_excluded.count(task.first) == 0
                && policy.may_stop(task.second, request.task))
                victims.emplace_back(policy.rank(task.second), task.first);
        }
        // The lowest rank is stopped first, and no more than is needed.
        std::sort(victims.begin(), victims.end());
        Resources free = box.m_free;
        StopPlan plan { box.info().id, {} };
        double cost = 0;
        for (const auto& victim : victims) {
            if (request.task.resources.fits_in(free))
                break;
            free = free + box.m_tasks.at(victim.second).resources;
            plan.tasks.push_back(victim.second);
            cost += 1 + std::max(0.0, victim.first);
        }
        const bool fits = request.task.resources.fits_in(free) && !plan.tasks.empty();
        if (fits && (!best || cost < best_cost)) {
            best = plan;
            best_cost = cost;
        }
    }
    return best;
}

} // namespace pathport
