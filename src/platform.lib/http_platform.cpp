// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/http_platform.h>

#include <pathport/codec.h>

namespace pathport {

namespace {
constexpr int status_ok = 200;
constexpr int status_not_modified = 304;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_precondition = 412;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
} // namespace

HttpTable::HttpTable(const Address& server, std::string node, Millis timeout)
    : m_client(server, timeout)
    , m_node(std::move(node))
{
}

std::optional<TableResult> HttpTable::run(const TableTxn& txn, Failure& reason)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/transactions";
    request.headers["x-writer"] = m_node;
    request.body = encode_txn(txn);
    const HttpOutcome outcome = m_client.send_and_wait(request);
    if (!outcome.answer) {
        reason = outcome.failure;
        return std::nullopt;
    }
    const HttpAnswer& answer = *outcome.answer;
    if (answer.status == status_ok)
        return decode_result(answer.body, reason);
    if (answer.status == status_too_many) {
        reason = Failure(FailureKind::overloaded, "the table's rate limit is reached");
    } else if (answer.status == status_unavailable) {
        reason = Failure(FailureKind::unavailable, "the table is down");
    } else {
        reason = Failure(FailureKind::outcome_unknown,
                         "the table answered " + std::to_string(answer.status));
    }
    return std::nullopt;
}

HttpBoxList::HttpBoxList(const Address& server, Millis timeout)
    : m_client(server, timeout)
{
}

std::optional<std::vector<BoxInfo>> HttpBoxList::read(Failure& reason)
{
    reason = Failure();
    HttpRequest request;
    request.path = "/v1/boxes";
    if (!m_tag.empty())
        request.headers["if-none-match"] = m_tag;
    const HttpOutcome outcome = m_client.send_and_wait(request);
    if (!outcome.answer) {
        reason = outcome.failure;
        return std::nullopt;
    }
    if (outcome.answer->status == status_not_modified)
        return std::nullopt;
    if (outcome.answer->status != status_ok) {
        reason = Failure(FailureKind::unavailable,
                         "the box list answered " + std::to_string(outcome.answer->status));
        return std::nullopt;
    }
    auto boxes = decode_boxes(outcome.answer->body, reason);
    if (boxes) {
        const auto tag = outcome.answer->headers.find("etag");
        m_tag = tag == outcome.answer->headers.end() ? "" : tag->second;
    }
    return boxes;
}

HttpObjectStore::HttpObjectStore(const Address& server, Millis timeout)
    : m_client(server, timeout)
{
}

bool HttpObjectStore::put(const std::string& key, const std::string& content,
                          Failure& reason)
{
    HttpRequest request;
    request.method = "PUT";
    request.path = "/v1/objects/" + key;
    request.body = content;
    const HttpOutcome outcome = m_client.send_and_wait(request);
    if (outcome.answer && outcome.answer->status == status_ok)
        return true;
    reason = outcome.answer ? Failure(FailureKind::unavailable, "the object store refused")
                            : outcome.failure;
    return false;
}

std::optional<std::string> HttpObjectStore::get(const std::string& key, Failure& reason)
{
    HttpRequest request;
    request.path = "/v1/objects/" + key;
    const HttpOutcome outcome = m_client.send_and_wait(request);
    if (!outcome.answer) {
        reason = outcome.failure;
        return std::nullopt;
    }
    if (outcome.answer->status == status_ok)
        return outcome.answer->body;
    const bool missing = outcome.answer->status == status_not_found;
    reason = Failure(missing ? FailureKind::not_found : FailureKind::unavailable, key);
    return std::nullopt;
}

std::shared_ptr<HttpClient> HttpClientPool::client(const std::string& address)
{
    const auto parsed = parse_address(address);
    if (!parsed)
        return nullptr;
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::shared_ptr<HttpClient>& client = m_clients[address];
    if (!client)
        client = std::make_shared<HttpClient>(*parsed, m_timeout);
    return client;
}

void HttpBoxAgent::exchange(const BoxInfo& box, const BoxExchange& exchange,
                            std::function<void(std::optional<BoxReport>, Failure)> done)
{
    const auto client = m_clients.client(box.control_address);
    if (!client) {
        done(std::nullopt,
             Failure(FailureKind::bad_input, "address " + box.control_address));
        return;
    }
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/exchange";
    request.body = encode(exchange);
    // An exchange may arrive twice: commands name a task and an attempt, and starting what
    // runs or stopping what has stopped changes nothing.
    client->send(
        request, HttpConnection::reused, [done, client](const HttpOutcome& outcome) {
            if (!outcome.answer) {
                done(std::nullopt, outcome.failure);
                return;
            }
            Failure reason;
            if (outcome.answer->status == status_ok) {
                auto report = decode_report(outcome.answer->body, reason);
                done(std::move(report), reason);
            } else if (outcome.answer->status == status_conflict) {
                done(std::nullopt, Failure(FailureKind::stale_epoch, outcome.answer->body));
            } else if (outcome.answer->status == status_precondition) {
                done(std::nullopt, Failure(FailureKind::conflict, outcome.answer->body));
            } else {
                done(std::nullopt, Failure(FailureKind::unavailable, outcome.answer->body));
            }
        });
}

namespace {

constexpr int first_server_error = 500;

ForwardAnswer target_answer(const HttpOutcome& outcome)
{
    ForwardAnswer answer;
    if (!outcome.answer) {
        const bool not_sent = outcome.failure.kind() == FailureKind::unavailable;
        answer.outcome = not_sent ? RequestOutcome::not_run : RequestOutcome::may_have_run;
        answer.failure = outcome.failure;
        return answer;
    }
    const HttpAnswer& http = *outcome.answer;
    const auto refused = http.headers.find("pathport-refused");
    if (refused != http.headers.end()) {
        // The library closes a kept connection itself when a call takes too long, and sends
        // the request again: a refusal of the second sending says nothing about the first.
        answer.outcome
            = outcome.sent_again ? RequestOutcome::may_have_run : RequestOutcome::not_run;
        answer.failure
            = Failure(refused->second == "stale_epoch" ? FailureKind::stale_epoch
                                                       : FailureKind::unavailable,
                      "the target refused: " + refused->second);
        return answer;
    }
    answer.outcome = http.status >= first_server_error ? RequestOutcome::failed
                                                       : RequestOutcome::answered;
    answer.status = http.status;
    answer.body = http.body;
    const auto type = http.headers.find("content-type");
    answer.content_type = type == http.headers.end() ? "" : type->second;
    return answer;
}

} // namespace

void HttpTargetClient::send(const BoxInfo& box, int64_t epoch,
                            const ForwardRequest& request,
                            std::function<void(ForwardAnswer)> done)
{
    const auto client = m_clients.client(box.work_address);
    if (!client) {
        ForwardAnswer answer;
        answer.failure = Failure(FailureKind::bad_input, "address " + box.work_address);
        done(answer);
        return;
    }
    HttpRequest http;
    http.method = "POST";
    http.path = "/" + request.service + request.path;
    http.body = request.body;
    http.headers["pathport-epoch"] = std::to_string(epoch);
    http.headers["pathport-shard"] = box.shard();
    http.headers["pathport-request-id"] = request.request_id;
    if (!request.content_type.empty())
        http.headers["content-type"] = request.content_type;
    const HttpConnection connection
        = request.repeatable ? HttpConnection::reused : HttpConnection::fresh;
    client->send(http, connection,
                 [done = std::move(done), client](const HttpOutcome& outcome) {
                     done(target_answer(outcome));
                 });
}

} // namespace pathport
