// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "answers.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace pathport {

int failure_status(FailureKind kind)
{
    switch (kind) {
    case FailureKind::none:
        return 200;
    case FailureKind::bad_input:
    case FailureKind::policy_error:
        return 400;
    case FailureKind::unauthorized:
        return 401;
    case FailureKind::not_found:
        return 404;
    case FailureKind::conflict:
        return 409;
    case FailureKind::too_large:
        return 413;
    case FailureKind::overloaded:
        return 429;
    case FailureKind::outcome_unknown:
        return 504;
    case FailureKind::internal:
        return 500;
    default:
        return 503;
    }
}

HttpAnswer failure_answer(const Failure& failure)
{
    HttpAnswer answer;
    answer.status = failure_status(failure.kind());
    const nlohmann::json body
        = { { "failure", to_string(failure.kind()) }, { "detail", failure.detail() } };
    // A detail may hold bytes of a caller's that are not UTF-8.
    answer.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return answer;
}

HttpAnswer text_answer(const std::string& json_text)
{
    HttpAnswer answer;
    answer.body = json_text;
    return answer;
}

std::string operator_of(const HttpRequest& request)
{
    const std::string name = request.header("pathport-operator");
    return name.empty() ? "operator" : name;
}

void add_retry_after(HttpAnswer& answer, Millis span)
{
    constexpr int64_t millis_per_second = 1000;
    const int64_t millis = std::max<int64_t>(1, span.count());
    const int64_t seconds = (millis + millis_per_second - 1) / millis_per_second;
    answer.headers["Retry-After"] = std::to_string(seconds);
    answer.headers["pathport-retry-after-ms"] = std::to_string(millis);
}

} // namespace pathport
