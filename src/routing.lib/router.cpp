// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/router.h>

#include <algorithm>

namespace pathport {

namespace {

constexpr int max_tries = 3;
constexpr int64_t retry_cost = 1000;
constexpr int64_t retry_earning = 100;
constexpr int64_t max_retry_milli_tokens = 20000;
constexpr Millis retry_when_no_route { 200 };
constexpr Millis retry_when_no_owner { 300 };
// Own replicas are taken while the node has free slots; a forward costs more than the
// difference between two free slots.
constexpr double own_pressure_limit = 0.85;
// A request leaves the region only when the region is this much over its slots.
constexpr double region_pressure_limit = 1.5;

} // namespace

namespace {

// A refusal of the network itself comes without a time.
void set_retry_after(ForwardAnswer& answer)
{
    if (answer.outcome == RequestOutcome::not_run && answer.retry_after == Millis())
        answer.retry_after = retry_when_no_owner;
}

} // namespace

Router::Router(const Clock& clock, const RouteView& view, RequestSink& sink, uint64_t seed)
    : m_clock(clock)
    , m_view(view)
    , m_sink(sink)
    , m_random(seed)
{
}

void Router::route(const ForwardRequest& request, const Done& done)
{
    if (request.repeatable) {
        start(request, done);
        return;
    }
    const auto owner = m_view.admission_owner(admission_range(request.request_id));
    if (!owner) {
        done(not_run_answer(FailureKind::unavailable,
                            "nobody decides about the request's id now",
                            retry_when_no_owner));
    } else if (owner->address.empty()) {
        admit_and_route(request, done);
    } else {
        ForwardRequest forwarded = request;
        forwarded.stage = ForwardStage::admit;
        m_sink.forward(owner->address, forwarded, [done](ForwardAnswer answer) {
            set_retry_after(answer);
            done(answer);
        });
    }
}

void Router::admit_and_route(const ForwardRequest& request, const Done& done)
{
    switch (m_sink.admit_here(request)) {
    case AdmissionVerdict::admitted:
        break;
    case AdmissionVerdict::duplicate:
        done(may_have_run_answer("a request with this id was admitted before"));
        return;
    case AdmissionVerdict::unknown:
        done(may_have_run_answer("a request with this id may have been admitted before"));
        return;
    case AdmissionVerdict::too_new:
        done(not_run_answer(FailureKind::bad_input,
                            "the request id's time lies in the future",
                            retry_when_no_owner));
        return;
    case AdmissionVerdict::not_owner:
        done(not_run_answer(FailureKind::not_owner,
                            "this node does not decide about the id now",
                            retry_when_no_owner));
        return;
    }
    start(request, [this, request, done](const ForwardAnswer& answer) {
        if (answer.outcome == RequestOutcome::not_run)
            m_sink.release_here(request);
        done(answer);
    });
}

void Router::start(const ForwardRequest& request, const Done& done)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_retry_milli_tokens
            = std::min(m_retry_milli_tokens + retry_earning, max_retry_milli_tokens);
    }
    Attempt first { request, done, m_clock.now() + request.time_left, 0, {}, false };
    first.request.stage = ForwardStage::dispatch;
    attempt(std::move(first));
}

double Router::pressure(const Route& route) const
{
    int64_t load = route.load;
    const auto found = m_outstanding.find(route.node);
    if (found != m_outstanding.end() && found->second.report == route.report)
        load += found->second.sent;
    return static_cast<double>(load)
        / static_cast<double>(std::max<int64_t>(1, route.slots));
}

// Own replicas first while they have free slots; else the less loaded of two candidates of
// the region, drawn by their slots; else the same over all regions.
std::optional<Route> Router::choose(const Attempt& attempt)
{
    std::vector<Route> routes = m_view.routes(attempt.request.service);
    const auto was_tried = [&](const Route& route) {
        return std::find(attempt.tried.begin(), attempt.tried.end(), route.node)
            != attempt.tried.end();
    };
    routes.erase(std::remove_if(routes.begin(), routes.end(), was_tried), routes.end());
    if (routes.empty())
        return std::nullopt;
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<Route> near;
    for (const Route& route : routes) {
        if (route.address.empty() && pressure(route) < own_pressure_limit)
            return route;
        if (route.same_region && pressure(route) < region_pressure_limit)
            near.push_back(route);
    }
    const std::vector<Route>& pool = near.empty() ? routes : near;
    std::vector<double> weights;
    for (const Route& route : pool)
        weights.push_back(static_cast<double>(std::max<int64_t>(1, route.slots)));
    std::discrete_distribution<size_t> draw(weights.begin(), weights.end());
    const Route& one = pool[draw(m_random)];
    const Route& two = pool[draw(m_random)];
    const Route chosen = pressure(one) <= pressure(two) ? one : two;
    Outstanding& outstanding = m_outstanding[chosen.node];
    if (outstanding.report != chosen.report)
        outstanding = Outstanding { chosen.report, 0 };
    ++outstanding.sent;
    return chosen;
}

void Router::attempt(Attempt attempt)
{
    const auto route = choose(attempt);
    if (!route) {
        finish(attempt,
               not_run_answer(FailureKind::no_capacity,
                              "no replica of the service takes requests",
                              retry_when_no_route));
        return;
    }
    attempt.request.time_left = attempt.deadline - m_clock.now();
    if (attempt.request.time_left <= Millis()) {
        finish(attempt,
               not_run_answer(FailureKind::overloaded, "its time has passed",
                              retry_when_no_route));
        return;
    }
    ++attempt.tries;
    attempt.tried.push_back(route->node);
    const ForwardRequest request = attempt.request;
    const std::string node = route->node;
    const Done next
        = [this, attempt = std::move(attempt), node](const ForwardAnswer& answer) {
              on_answer(attempt, node, answer);
          };
    if (route->address.empty())
        m_sink.dispatch_here(request, next);
    else
        m_sink.forward(route->address, request, next);
}

bool Router::take_retry_token()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_retry_milli_tokens < retry_cost)
        return false;
    m_retry_milli_tokens -= retry_cost;
    return true;
}

void Router::on_answer(Attempt attempt, const std::string& node,
                       const ForwardAnswer& answer)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        Outstanding& outstanding = m_outstanding[node];
        outstanding.sent = std::max<int64_t>(0, outstanding.sent - 1);
    }
    const bool doubtful = answer.outcome == RequestOutcome::may_have_run;
    const bool safe = answer.outcome == RequestOutcome::not_run
        || (doubtful && attempt.request.repeatable);
    attempt.in_doubt = attempt.in_doubt || doubtful;
    const bool has_time = attempt.deadline > m_clock.now();
    const bool has_other
        = m_view.routes(attempt.request.service).size() > attempt.tried.size();
    if (safe && has_time && has_other && attempt.tries < max_tries && take_retry_token())
        this->attempt(std::move(attempt));
    else
        finish(attempt, answer);
}

// After a try that may have run, a later one that was not run says nothing about the first.
void Router::finish(const Attempt& attempt, const ForwardAnswer& answer)
{
    const bool hides_doubt = attempt.in_doubt && answer.outcome == RequestOutcome::not_run;
    ForwardAnswer final
        = hides_doubt ? may_have_run_answer(answer.failure.detail()) : answer;
    set_retry_after(final);
    attempt.done(final);
}

} // namespace pathport
