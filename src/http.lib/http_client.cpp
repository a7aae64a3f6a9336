// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/http.h>

#include <cpprest/http_client.h>

#include <atomic>
#include <future>

namespace pathport {

namespace rest = web::http;

namespace {

// cpprestsdk reports `host_unreachable` when it could not connect, and when the peer had
// closed before the request's head was written; in both cases nothing can have run, unless
// an earlier sending was written: when a kept connection closes on a request, the library
// sends it again by itself and reports only what became of the last sending.
Failure classify(const rest::http_exception& error, bool written)
{
    const bool not_sent = !written
        && error.error_code() == std::make_error_condition(std::errc::host_unreachable);
    return Failure(not_sent ? FailureKind::unavailable : FailureKind::outcome_unknown,
                   error.what());
}

rest::http_request convert(const HttpRequest& request)
{
    rest::http_request message(request.method);
    web::uri_builder uri;
    uri.set_path(web::uri::encode_uri(request.path, web::uri::components::path));
    for (const auto& item : request.query)
        uri.append_query(item.first, item.second, true);
    message.set_request_uri(uri.to_uri());
    if (!request.body.empty())
        message.set_body(std::vector<uint8_t>(request.body.begin(), request.body.end()));
    for (const auto& header : request.headers)
        message.headers()[header.first] = header.second;
    if (!request.body.empty() && request.headers.count("content-type") == 0)
        message.headers().set_content_type("application/json");
    return message;
}

HttpAnswer convert(const rest::http_response& response, const std::vector<uint8_t>& body)
{
    HttpAnswer answer;
    answer.status = response.status_code();
    for (const auto& header : response.headers()) {
        std::string name = header.first;
        for (char& c : name)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        answer.headers[name] = header.second;
    }
    answer.body.assign(body.begin(), body.end());
    return answer;
}

} // namespace

class HttpClient::Impl {
public:
    Impl(const Address& server, Millis timeout)
        : m_uri("http://" + server.to_string())
    {
        m_config.set_timeout(std::chrono::milliseconds(timeout.count()));
        m_shared = make_client();
    }

    void send(const HttpRequest& request, HttpConnection connection,
              std::function<void(HttpOutcome)> done)
    {
        // A client of its own has a connection of its own, so nothing is ever sent again.
        const std::shared_ptr<rest::client::http_client> client
            = connection == HttpConnection::fresh ? make_client() : m_shared;
        rest::http_request message = convert(request);
        if (connection == HttpConnection::fresh)
            message.headers()["Connection"] = "close";
        // The library calls this when the head of a sending has been written, with no bytes
        // of the body yet, and after each part of the body.
        const auto sendings = std::make_shared<std::atomic<int>>(0);
        message.set_progress_handler(
            [sendings](rest::message_direction::direction direction,
                       utility::size64_t bytes) {
                if (direction == rest::message_direction::upload && bytes == 0)
                    ++*sendings;
            });
        client->request(message)
            .then([client](const rest::http_response& response) {
                return response.extract_vector().then(
                    [response](const std::vector<uint8_t>& body) {
                        return convert(response, body);
                    });
            })
            .then(
                [done = std::move(done), sendings](const pplx::task<HttpAnswer>& received) {
                    HttpOutcome outcome = outcome_of(received, *sendings > 0);
                    outcome.sent_again = *sendings > 1;
                    done(std::move(outcome));
                });
    }

private:
    static HttpOutcome outcome_of(const pplx::task<HttpAnswer>& received, bool written)
    {
        try {
            return { received.get(), Failure(), false };
        } catch (const rest::http_exception& error) {
            return { std::nullopt, classify(error, written), false };
        } catch (const std::exception& error) {
            return { std::nullopt, Failure(FailureKind::outcome_unknown, error.what()),
                     false };
        }
    }

    std::shared_ptr<rest::client::http_client> make_client() const
    {
        return std::make_shared<rest::client::http_client>(m_uri, m_config);
    }

    web::uri m_uri;
    rest::client::http_client_config m_config;
    std::shared_ptr<rest::client::http_client> m_shared;
};

HttpClient::HttpClient(const Address& server, Millis timeout)
    : m_impl(std::make_unique<Impl>(server, timeout))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::send(const HttpRequest& request, HttpConnection connection,
                      std::function<void(HttpOutcome)> done)
{
    m_impl->send(request, connection, std::move(done));
}

HttpOutcome HttpClient::send_and_wait(const HttpRequest& request, HttpConnection connection)
{
    const auto promise = std::make_shared<std::promise<HttpOutcome>>();
    send(request, connection,
         [promise](HttpOutcome outcome) { promise->set_value(std::move(outcome)); });
    return promise->get_future().get();
}

} // namespace pathport
