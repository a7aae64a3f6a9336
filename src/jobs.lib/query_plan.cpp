// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "query_plan.h"

namespace pathport::jobs {

namespace {

/// Factor on the capacity needed on average, since the advisor's choice varies.
constexpr double capacity_factor = 1.5;
constexpr double potential_weight = 0.5;

} // namespace

QueryPlan::QueryPlan(const QueryDemand& demand)
    : m_demand(demand)
    , m_expected(potential_weight * (demand.fit + demand.potential_fit))
    , m_expected_potential(demand.potential_fit)
{
}

void QueryPlan::add(int fit, int potential_fit)
{
    m_expected += m_demand.allowed_share * potential_weight * (fit + potential_fit);
    m_expected_potential += m_demand.allowed_share * potential_fit;
    if (++m_chosen == max_asked)
        m_one_query_suffices = !m_demand.gang || m_expected_potential >= m_demand.needed;
}

bool QueryPlan::complete() const
{
    const bool enough
        = m_expected >= capacity_factor * m_demand.needed && m_chosen >= m_demand.least;
    return enough || (m_chosen >= max_asked && m_one_query_suffices);
}

} // namespace pathport::jobs
