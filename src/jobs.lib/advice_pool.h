// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Spreads calls for advice over the nodes: the advisor serves one call at a time for each
/// node that calls it.

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

/// A question to the advisor.
struct AdviceQuery {
    std::string queue; ///< Of the job; queues share the callers.
    std::string step; ///< "<job>.<repeat>.<step>".
    std::vector<std::string> workers;
    AdviceRule rule;
    int priority = 0; ///< Of the queue; 0 goes first.
    Millis waiting_since; ///< Since when the step waits; zero when others of it run.
};

/// The answer: the tickets, and when the question left.
struct AdviceReply {
    std::optional<std::vector<WorkerTicket>> tickets; ///< Nothing when there was no answer.
};

/// The questions that wait for a free caller, by how long the advisor takes for them, and
/// the callers that may be used at present.
struct AdviceBacklog {
    int fast = 0;
    int medium = 0;
    int slow = 0;
    int callers = 0;
};

/// Asks through this node and its peers.
class AdvicePool {
public:
    AdvicePool(EventLoop& loop, Advisor& advisor, PeerClient& peers,
               Mechanisms mechanisms = {});

    /// Sets the addresses of the other nodes.
    void set_peers(const std::vector<std::string>& addresses);

    /// Asks; `done` is called exactly once, later.
    void ask(AdviceQuery question, std::function<void(AdviceReply)> done);

    /// Returns how many questions wait for a free caller.
    size_t waiting() const { return m_pending.size(); }
    /// Returns how many of them are of `queue`.
    size_t waiting_of(const std::string& queue) const;
    AdviceBacklog backlog() const;
    /// Returns how many questions the advisor works on at a time for the callers that may
    /// be used, less what the questions of priority 0 took of that lately.
    double spare_callers() const;

private:
    /// A node through which questions go; the empty address is this node.
    struct Caller {
        std::string address;
        int in_flight = 0;
        double cost_ms = 0; ///< Of the questions under way, at the advisor.
        Millis avoid_until;
    };
    struct PendingQuery {
        AdviceQuery question;
        std::function<void(AdviceReply)> done;
    };
    /// The callers that may be used, and which of them are for questions of one pace.
    struct CallerRange {
        std::vector<Caller*> usable;
        size_t begin = 0;
        size_t end = 0;
    };
    /// The advisor's time that a queue has had, weighted by its priority and halved every
    /// `share_half_life`.
    struct AdvisorUsage {
        double cost_ms = 0;
        Millis at; ///< When `cost_ms` was last brought up to date.
    };

    /// How long the advisor takes for a question.
    enum class LatencyClass { fast, medium, slow };

    static LatencyClass latency_class(const AdviceRule& rule);
    CallerRange callers_for(LatencyClass pace);
    /// Returns a caller for a question of this pace that is not among those held for
    /// others.
    Caller* free_caller(LatencyClass pace, const std::vector<Caller*>& held);
    double decayed_cost(const std::string& queue) const;
    double decayed_cost(const AdvisorUsage& share) const;
    void charge(const AdviceQuery& question);
    std::vector<size_t> dispatch_order() const;
    void dispatch();
    bool is_overdue(const AdviceQuery& question) const;
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
    AdvisorUsage m_urgent_usage; ///< The same of the questions of priority 0, not weighted.
    Lifetime m_lifetime;
};

} // namespace pathport::jobs
