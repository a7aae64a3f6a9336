// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/jobs/mechanisms.h>

namespace pathport::jobs {

namespace {

constexpr const char* mechanism_names[mechanism_count] = {
    "advice_spread",      "advice_shares", "second_choices",  "avoided_workers",
    "slow_workers",       "slack_order",   "preemption",      "reservations",
    "early_orders",       "early_reads",   "write_batching",  "learned_timeouts",
    "short_looks",        "hand_over",     "strongest_leads", "archive",
    "worker_relays",      "late_order",    "headroom",        "cheapest_victims",
    "capacity_admission", "advice_claims",
};
constexpr std::string_view no_names = "none";

} // namespace

const char* to_string(Mechanism mechanism)
{
    return mechanism_names[static_cast<size_t>(mechanism)];
}

std::vector<Mechanism> all_mechanisms()
{
    std::vector<Mechanism> all;
    for (size_t i = 0; i < mechanism_count; ++i)
        all.push_back(static_cast<Mechanism>(i));
    return all;
}

Mechanisms Mechanisms::without(Mechanism mechanism) const
{
    Mechanisms result = *this;
    result.m_off.set(static_cast<size_t>(mechanism));
    return result;
}

std::optional<Mechanisms> Mechanisms::without(std::string_view names, Failure& reason)
{
    Mechanisms result;
    if (names == no_names)
        return result;
    while (true) {
        const size_t comma = names.find(',');
        const std::string_view name = names.substr(0, comma);
        bool known = false;
        std::string all;
        for (const Mechanism mechanism : all_mechanisms()) {
            all += std::string(" ") + to_string(mechanism);
            if (name != to_string(mechanism))
                continue;
            result.m_off.set(static_cast<size_t>(mechanism));
            known = true;
        }
        if (!known) {
            reason
                = Failure(FailureKind::bad_input,
                          "unknown mechanism '" + std::string(name) + "'; known are" + all);
            return std::nullopt;
        }
        if (comma == std::string_view::npos)
            return result;
        names.remove_prefix(comma + 1);
    }
}

} // namespace pathport::jobs
