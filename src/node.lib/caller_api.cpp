// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "caller_api.h"

#include "answers.h"

#include <pathport/ids.h>

namespace pathport {

namespace {

constexpr char services_path[] = "/v1/services/";
constexpr char health_path[] = "/v1/health";
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;
constexpr int status_too_many = 429;

int status_of(const ForwardAnswer& answer)
{
    switch (answer.outcome) {
    case RequestOutcome::answered:
    case RequestOutcome::failed:
        return answer.status;
    case RequestOutcome::may_have_run:
        return answer.failure.kind() == FailureKind::conflict ? status_conflict
                                                              : status_gateway_timeout;
    case RequestOutcome::not_run:
        break;
    }
    switch (answer.failure.kind()) {
    case FailureKind::overloaded:
        return status_too_many;
    case FailureKind::bad_input:
    case FailureKind::not_found:
    case FailureKind::too_large:
        return failure_status(answer.failure.kind());
    default:
        return status_unavailable;
    }
}

HttpAnswer to_http(const ForwardAnswer& answer)
{
    HttpAnswer http;
    http.status = status_of(answer);
    const bool from_target = answer.outcome == RequestOutcome::answered
        || answer.outcome == RequestOutcome::failed;
    if (from_target) {
        http.body = answer.body;
        if (!answer.content_type.empty())
            http.headers["content-type"] = answer.content_type;
    } else {
        http = failure_answer(answer.failure);
        http.status = status_of(answer);
    }
    http.headers["pathport-outcome"] = to_string(answer.outcome);
    if (answer.outcome == RequestOutcome::not_run)
        add_retry_after(http, answer.retry_after);
    return http;
}

} // namespace

HttpAnswer CallerApi::refusal(const Failure& failure)
{
    return to_http(not_run_answer(failure.kind(), failure.detail(), Millis()));
}

HttpAnswer CallerApi::health() const
{
    const NodeHealth health = m_node.health();
    HttpAnswer answer;
    answer.status = health.config_current && !health.leaving ? 200 : status_unavailable;
    answer.body = answer.status == 200 ? "{\"ready\":true}" : "{\"ready\":false}";
    return answer;
}

std::optional<ForwardRequest> CallerApi::read_request(const HttpRequest& request,
                                                      Failure& reason) const
{
    const size_t start = sizeof services_path - 1;
    const size_t slash = request.path.find('/', start);
    ForwardRequest forward;
    forward.service = request.path.substr(start, slash - start);
    forward.path = slash == std::string::npos ? "/" : request.path.substr(slash);
    forward.body = request.body;
    forward.content_type = request.header("content-type");
    const auto config = m_node.config().snapshot();
    const auto service = config->services.find(forward.service);
    if (service == config->services.end()) {
        reason = Failure(FailureKind::not_found,
                         "there is no service '" + forward.service + "'");
        return std::nullopt;
    }
    const std::string repeatable = request.header("pathport-repeatable");
    if (!repeatable.empty() && repeatable != "yes" && repeatable != "no") {
        reason = Failure(FailureKind::bad_input,
                         "header pathport-repeatable is '" + repeatable
                             + "'; allowed: yes, no");
        return std::nullopt;
    }
    forward.repeatable = repeatable == "yes";
    const std::string id = request.header("pathport-request-id");
    if (!id.empty() && !uuid7_time(id)) {
        reason = Failure(FailureKind::bad_input,
                         "header pathport-request-id is '" + id
                             + "'; allowed: a UUID of version 7 in lower case");
        return std::nullopt;
    }
    // A request without an id can't be recognized when it comes again, so a new one will
    // do.
    const auto table_time = m_node.cell().table_time();
    forward.request_id = id.empty() ? make_uuid7(table_time.value_or(wall_time())) : id;
    forward.time_left = Millis(service->second.window_ms);
    const std::string timeout = request.header("pathport-timeout-ms");
    if (!timeout.empty()) {
        const auto wanted = parse_integer(timeout);
        const int64_t limit = m_node.settings().request_limit.count();
        if (!wanted || *wanted < 1 || *wanted > limit) {
            reason = Failure(FailureKind::bad_input,
                             "header pathport-timeout-ms is '" + timeout
                                 + "'; allowed: a whole number from 1 to "
                                 + std::to_string(limit));
            return std::nullopt;
        }
        forward.time_left = Millis(*wanted);
    }
    return forward;
}

void CallerApi::handle(HttpRequest request, HttpReply reply)
{
    if (request.path == health_path) {
        reply(health());
        return;
    }
    if (request.path.rfind(services_path, 0) != 0) {
        reply(refusal(
            Failure(FailureKind::not_found, "allowed: POST /v1/services/NAME/...")));
        return;
    }
    if (request.method != "POST") {
        reply(refusal(Failure(FailureKind::bad_input, "the method must be POST")));
        return;
    }
    Failure reason;
    const auto forward = read_request(request, reason);
    if (!forward) {
        reply(refusal(reason));
        return;
    }
    const Millis start = m_node.clock().now();
    Node& node = m_node;
    const std::string service = forward->service;
    m_node.request(*forward, [&node, reply, start, service](const ForwardAnswer& answer) {
        const double seconds = double((node.clock().now() - start).count()) / 1000.0;
        const MetricLabels labels
            = { { "service", service }, { "outcome", to_string(answer.outcome) } };
        node.metrics().count("pathport_requests_total", labels);
        node.metrics().observe_seconds("pathport_request_seconds", seconds,
                                       { { "service", service } });
        reply(to_http(answer));
    });
}

} // namespace pathport
