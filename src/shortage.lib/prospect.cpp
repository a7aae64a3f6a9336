// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/shortage/prospect.h>

#include <tuple>

namespace pathport::shortage {

const char* to_string(Prospect prospect)
{
    switch (prospect) {
    case Prospect::in_time:
        return "in_time";
    case Prospect::at_risk:
        return "at_risk";
    case Prospect::late:
        return "late";
    case Prospect::worthless:
        break;
    }
    return "worthless";
}

bool Deadline::operator==(const Deadline& other) const
{
    return std::tie(slack_ms, allowed_ms, accepted_ms, margin_ms)
        == std::tie(other.slack_ms, other.allowed_ms, other.accepted_ms, other.margin_ms);
}

Prospect prospect_of(const Deadline& deadline)
{
    if (deadline.slack_ms >= 0)
        return deadline.slack_ms >= deadline.margin_ms ? Prospect::in_time
                                                       : Prospect::at_risk;
    const int64_t late_span_ms = (late_multiple - 1) * deadline.allowed_ms;
    return -deadline.slack_ms <= late_span_ms ? Prospect::late : Prospect::worthless;
}

int64_t order_within(const Deadline& deadline)
{
    switch (prospect_of(deadline)) {
    case Prospect::in_time:
        return deadline.slack_ms;
    case Prospect::at_risk:
    case Prospect::late:
        return -deadline.slack_ms;
    case Prospect::worthless:
        break;
    }
    return deadline.accepted_ms;
}

} // namespace pathport::shortage
