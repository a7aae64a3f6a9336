// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The HTTP interface for operators. docs/openapi.yaml describes it. It listens on an
/// address of its own and wants the operators' key with each request.

#pragma once

#include "node.h"

#include <pathport/http.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace pathport {

/// Answers operators. Their calls wait for the table, so they run on a thread of their own,
/// behind a short queue.
class OperatorApi : public HttpHandler {
public:
    /// `node` outlives the handler.
    explicit OperatorApi(Node& node);
    ~OperatorApi() override;
    OperatorApi(const OperatorApi&) = delete;
    OperatorApi& operator=(const OperatorApi&) = delete;

    void handle(HttpRequest request, HttpReply reply) override;
    HttpAnswer refusal(const Failure& failure) override;

private:
    HttpAnswer answer(const HttpRequest& request);
    HttpAnswer answer_config(const HttpRequest& request, const std::string& rest);
    HttpAnswer change_config(const HttpRequest& request, const std::string& kind,
                             const std::string& name);
    HttpAnswer answer_jobs(const HttpRequest& request, const std::string& name);
    HttpAnswer submit_job(const HttpRequest& request, const std::string& name);
    HttpAnswer cancel_job(const std::string& name, const std::string& who);
    HttpAnswer job_state(const std::string& name);
    HttpAnswer list_jobs();
    HttpAnswer list_tasks(const HttpRequest& request);
    HttpAnswer list_audit(const HttpRequest& request);
    HttpAnswer list_nodes() const;
    HttpAnswer list_boxes() const;
    HttpAnswer status() const;
    HttpAnswer test_policy(const HttpRequest& request) const;
    HttpAnswer why(const std::string& task);
    std::optional<std::vector<std::vector<TableRow>>>
    read(const std::vector<std::string>& prefixes, Failure& reason);
    std::vector<std::string> spread(const JobSpec& job) const;
    void work();

    Node& m_node;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<std::function<void()>> m_calls;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace pathport
