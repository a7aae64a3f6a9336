// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Spreads advisor queries over the nodes, since the advisor serves one call at a time per
/// calling node.

#pragma once

#include "lifetime.h"

#include <pathport/event_loop.h>
#include <pathport/jobs/mechanisms.h>
#include <pathport/jobs/peers.h>
#include <pathport/jobs/worker_client.h>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pathport::jobs {

/// A query to the advisor.
struct AdviceQuery {
    std::string queue; ///< Of the job; queues share the callers.
    std::string step; ///< "<job>.<repeat>.<step>".
    std::vector<std::string> workers;
    AdviceRule rule;
    int priority = 0; ///< Of the queue; 0 goes first.
    Millis waiting_since; ///< Since when the step waits; zero while other tasks of it run.

    /// Returns how long the advisor takes for it.
    double advisor_ms() const
    {
        return rule.decision_ms + rule.per_worker_ms * double(workers.size());
    }
};

/// The answer to a query.
struct AdviceReply {
    std::optional<std::vector<WorkerTicket>> tickets; ///< Empty if there was no answer.
};

/// Queries that wait for a free caller, by latency class, and the number of usable callers.
struct AdviceBacklog {
    int fast = 0;
    int medium = 0;
    int slow = 0;
    int callers = 0;
};

/// Sends queries through this node and its peers.
class AdvicePool {
public:
    AdvicePool(EventLoop& loop, Advisor& advisor, PeerClient& peers,
               Mechanisms mechanisms = {});

    /// Sets the addresses of the other nodes.
    void set_peers(const std::vector<std::string>& addresses);

    /// Sends a query; `done` is called exactly once, later.
    void ask(AdviceQuery query, std::function<void(AdviceReply)> done);

    /// Returns the number of queries that wait for a free caller.
    size_t waiting() const { return m_pending.size(); }
    /// Returns the number of those that are of `queue`.
    size_t waiting_of(const std::string& queue) const;
    AdviceBacklog backlog() const;
    /// Returns how many queries the advisor processes at a time for the usable callers,
    /// less the recent share of priority 0.
    double spare_callers() const;

private:
    /// A node through which queries go; the empty address is this node.
    struct Caller {
        std::string address;
        int in_flight = 0;
        double cost_ms = 0; ///< Advisor time of the queries in flight.
        Millis avoid_until;
    };
    struct PendingQuery {
        AdviceQuery query;
        std::function<void(AdviceReply)> done;
    };
    /// The usable callers, and the range of them that serves one latency class.
    struct CallerRange {
        std::vector<Caller*> usable;
        size_t begin = 0;
        size_t end = 0;
    };
    /// Advisor time used by a queue, weighted by its priority and decaying with the
    /// half-life `share_half_life_ms`.
    struct AdvisorUsage {
        double cost_ms = 0;
        Millis at; ///< When `cost_ms` was last updated.
    };

    /// How long the advisor takes for a query.
    enum class LatencyClass { fast, medium, slow };

    static LatencyClass latency_class(const AdviceRule& rule);
    CallerRange callers_for(LatencyClass query_class);
    /// Returns a caller for a query of this class that is not in `reserved`.
    Caller* free_caller(LatencyClass query_class, const std::vector<Caller*>& reserved);
    double decayed_cost(const std::string& queue) const;
    double decayed_cost(const AdvisorUsage& usage) const;
    void charge(const AdviceQuery& query);
    std::vector<size_t> dispatch_order() const;
    void dispatch();
    bool is_overdue(const AdviceQuery& query) const;
    bool dispatch_one();
    void send(Caller& caller, PendingQuery entry);
    void finished(const std::string& address, const AdviceReply& reply,
                  const PendingQuery& entry);

    EventLoop& m_loop;
    Advisor& m_advisor;
    PeerClient& m_peers;
    Mechanisms m_mechanisms;
    std::vector<Caller> m_callers;
    std::deque<PendingQuery> m_pending; ///< In order of arrival.
    std::map<std::string, AdvisorUsage> m_queue_usage; ///< By queue.
    AdvisorUsage m_urgent_usage; ///< The same for queries of priority 0, not weighted.
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
