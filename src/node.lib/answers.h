// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// How failures travel over HTTP, to callers and operators alike.

#pragma once

#include <pathport/clock.h>
#include <pathport/failure.h>
#include <pathport/http.h>

namespace pathport {

/// Returns the HTTP status for a kind of failure.
int failure_status(FailureKind kind);

/// Returns an answer with the failure's kind and detail as JSON.
HttpAnswer failure_answer(const Failure& failure);

/// Returns an answer with this JSON text.
HttpAnswer text_answer(const std::string& json_text);

/// Returns the name that an operator gives for the audit trail.
std::string operator_of(const HttpRequest& request);

/// Adds when to come back: in whole seconds for any client, and in milliseconds.
void add_retry_after(HttpAnswer& answer, Millis span);

} // namespace pathport
