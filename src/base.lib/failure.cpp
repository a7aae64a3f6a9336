// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/failure.h>

namespace pathport {

const char* to_string(FailureKind kind)
{
    switch (kind) {
    case FailureKind::none:
        return "none";
    case FailureKind::bad_input:
        return "bad_input";
    case FailureKind::not_found:
        return "not_found";
    case FailureKind::conflict:
        return "conflict";
    case FailureKind::unauthorized:
        return "unauthorized";
    case FailureKind::too_large:
        return "too_large";
    case FailureKind::overloaded:
        return "overloaded";
    case FailureKind::unavailable:
        return "unavailable";
    case FailureKind::outcome_unknown:
        return "outcome_unknown";
    case FailureKind::stale_epoch:
        return "stale_epoch";
    case FailureKind::not_owner:
        return "not_owner";
    case FailureKind::no_capacity:
        return "no_capacity";
    case FailureKind::policy_error:
        return "policy_error";
    case FailureKind::internal:
        return "internal";
    }
    return "internal";
}

} // namespace pathport
