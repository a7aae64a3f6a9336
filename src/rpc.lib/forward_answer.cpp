// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/peer.h>

namespace pathport {

const char* to_string(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::answered:
        return "answered";
    case RequestOutcome::not_run:
        return "not_run";
    case RequestOutcome::may_have_run:
        return "may_have_run";
    case RequestOutcome::failed:
        return "failed";
    }
    return "may_have_run";
}

ForwardAnswer not_run_answer(FailureKind kind, const std::string& detail,
                             Millis retry_after)
{
    ForwardAnswer answer;
    answer.outcome = RequestOutcome::not_run;
    answer.failure = Failure(kind, detail);
    answer.retry_after = retry_after;
    return answer;
}

ForwardAnswer may_have_run_answer(const std::string& detail)
{
    ForwardAnswer answer;
    answer.outcome = RequestOutcome::may_have_run;
    answer.failure = Failure(FailureKind::outcome_unknown, detail);
    return answer;
}

} // namespace pathport
