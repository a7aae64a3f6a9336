// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The HTTP interface for callers. docs/openapi.yaml describes it.

#pragma once

#include "node.h"

#include <pathport/http.h>

namespace pathport {

/// Answers callers. Each answer says by the header `pathport-outcome` what became of the
/// request: answered, not_run, may_have_run or failed.
class CallerApi : public HttpHandler {
public:
    /// `node` outlives the handler.
    explicit CallerApi(Node& node)
        : m_node(node)
    {
    }

    void handle(HttpRequest request, HttpReply reply) override;
    HttpAnswer refusal(const Failure& failure) override;

private:
    std::optional<ForwardRequest> read_request(const HttpRequest& request,
                                               Failure& reason) const;
    HttpAnswer health() const;

    Node& m_node;
};

} // namespace pathport
