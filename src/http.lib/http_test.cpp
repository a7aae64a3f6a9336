// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#define BOOST_TEST_MODULE http
#include <boost/test/unit_test.hpp>

#include <pathport/http.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace pathport;

namespace {

// A server that answers the first request of a connection and, after reading the second one
// whole, closes the connection without an answer, as a process that dies does. It serves
// all connections at once: a client may open another one while it keeps the first.
class DyingServer {
public:
    explicit DyingServer(bool dies_whole = false)
        : m_dies_whole(dies_whole)
        , m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        (void)bind(m_socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
        listen(m_socket, 8);
        socklen_t length = sizeof address;
        getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &length);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { serve(); });
    }

    ~DyingServer()
    {
        shutdown(m_socket, SHUT_RDWR);
        m_thread.join();
        close(m_socket);
    }

    DyingServer(const DyingServer&) = delete;
    DyingServer& operator=(const DyingServer&) = delete;

    Address address() const { return { "127.0.0.1", m_port }; }

    std::atomic<int> connections { 0 };
    std::atomic<int> dropped { 0 }; ///< Requests read whole and not answered.

private:
    void serve()
    {
        std::vector<int> accepted;
        std::vector<std::thread> threads;
        for (;;) {
            const int connection = accept(m_socket, nullptr, nullptr);
            if (connection < 0)
                break;
            ++connections;
            accepted.push_back(connection);
            threads.emplace_back([this, connection] { serve(connection); });
        }
        for (const int connection : accepted)
            shutdown(connection, SHUT_RDWR);
        for (std::thread& thread : threads)
            thread.join();
        for (const int connection : accepted)
            close(connection);
    }

    void serve(int connection)
    {
        const std::string answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        if (read_request(connection))
            (void)!write(connection, answer.data(), answer.size());
        if (read_request(connection)) {
            ++dropped;
            if (m_dies_whole)
                shutdown(m_socket, SHUT_RDWR); // New connections are refused from here on.
        }
        shutdown(connection, SHUT_RDWR);
    }

    // The test's requests fit into one read and have no body.
    static bool read_request(int connection)
    {
        std::string text;
        char buffer[4096];
        while (text.find("\r\n\r\n") == std::string::npos) {
            const ssize_t count = read(connection, buffer, sizeof buffer);
            if (count <= 0)
                return false;
            text.append(buffer, static_cast<size_t>(count));
        }
        return true;
    }

    const bool m_dies_whole;
    int m_socket;
    uint16_t m_port = 0;
    std::thread m_thread;
};

// Sends requests until the server has dropped one, and returns what the client told of that
// one. A connection goes back to the library's pool a moment after its answer was told, so
// that a request may still get a new connection, and an answer on it.
HttpOutcome send_until_dropped(HttpClient& client, const DyingServer& server)
{
    HttpOutcome outcome;
    for (int i = 0; i < 100 && server.dropped == 0; ++i) {
        outcome = client.send_and_wait(HttpRequest());
        BOOST_TEST((outcome.answer.has_value() || server.dropped > 0));
    }
    BOOST_TEST_MESSAGE("requests dropped: " << server.dropped);
    BOOST_REQUIRE(server.dropped >= 1);
    return outcome;
}

class EchoHandler : public HttpHandler {
public:
    void handle(HttpRequest request, HttpReply reply) override
    {
        ++handled;
        HttpAnswer answer;
        answer.status = 201;
        answer.body = request.method + " " + request.path + " " + request.query["q"] + " "
            + request.header("x-test") + " " + request.body;
        answer.headers["x-answer"] = "yes";
        reply(answer);
    }

    HttpAnswer refusal(const Failure& failure) override
    {
        HttpAnswer answer;
        answer.status = failure.kind() == FailureKind::too_large ? 413 : 400;
        answer.headers["x-refused"] = to_string(failure.kind());
        return answer;
    }

    std::atomic<int> handled { 0 };
};

constexpr int http_threads = 2;

// Few threads, so that a test can keep all of them busy.
struct FewThreads {
    FewThreads() { start_http_threads(http_threads); }
};

// Answers when the test says so, and until then keeps the thread that it was called on.
class BusyHandler : public EchoHandler {
public:
    void handle(HttpRequest request, HttpReply reply) override
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        ++m_waiting;
        m_changed.notify_all();
        m_changed.wait(lock, [this] { return m_released; });
        lock.unlock();
        EchoHandler::handle(std::move(request), std::move(reply));
    }

    void wait_for(int requests)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_changed.wait(lock, [&] { return m_waiting >= requests; });
    }

    void release()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_released = true;
        m_changed.notify_all();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_waiting = 0;
    bool m_released = false;
};

// Keeps replies until the test sends them.
class HoldingHandler : public EchoHandler {
public:
    void handle(HttpRequest request, HttpReply reply) override
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_held = [this, request, reply] { EchoHandler::handle(request, reply); };
        m_changed.notify_all();
    }

    void wait_for_request()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_changed.wait(lock, [&] { return m_held != nullptr; });
    }

    void answer() { m_held(); }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::function<void()> m_held;
};

uint16_t free_port()
{
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address);
    socklen_t length = sizeof address;
    getsockname(probe, reinterpret_cast<sockaddr*>(&address), &length);
    close(probe);
    return ntohs(address.sin_port);
}

int connect_to(const Address& address)
{
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in peer {};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(address.port);
    peer.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int result = connect(connection, reinterpret_cast<sockaddr*>(&peer), sizeof peer);
    BOOST_REQUIRE(result == 0);
    return connection;
}

// Opens a connection and sends a whole request on it.
int connect_and_ask(const Address& address)
{
    const int connection = connect_to(address);
    const std::string head = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    BOOST_REQUIRE(write(connection, head.data(), head.size())
                  == static_cast<ssize_t>(head.size()));
    return connection;
}

// Returns the first line of the answer, or "" when the connection closed without one.
std::string read_status(int connection)
{
    std::string text;
    char buffer[4096];
    while (text.find("\r\n") == std::string::npos) {
        const ssize_t count = read(connection, buffer, sizeof buffer);
        if (count <= 0)
            break;
        text.append(buffer, static_cast<size_t>(count));
    }
    close(connection);
    return text.substr(0, text.find("\r\n"));
}

// Gives a stop that cuts off requests the time to do so. Nothing is judged by it: a stop
// that waits for them passes however long this takes.
void let_stop_begin()
{
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(FewThreads);

// The library sends a request again by itself when a kept connection closes on it. A
// request that may not be repeated must not meet that.
BOOST_AUTO_TEST_CASE(request_on_a_fresh_connection_is_sent_once)
{
    DyingServer server;
    HttpClient client(server.address(), Millis(5000));
    for (int i = 0; i < 20; ++i) {
        const HttpOutcome outcome
            = client.send_and_wait(HttpRequest(), HttpConnection::fresh);
        BOOST_TEST(outcome.answer.has_value());
    }
    BOOST_TEST(server.connections == 20);
    BOOST_TEST(server.dropped == 0);
}

BOOST_AUTO_TEST_CASE(lost_answer_is_not_told_as_not_sent)
{
    DyingServer server;
    HttpClient client(server.address(), Millis(5000));
    const HttpOutcome outcome = send_until_dropped(client, server);
    const bool sent_again = outcome.answer.has_value();
    BOOST_TEST((sent_again || outcome.failure.kind() == FailureKind::outcome_unknown));
    BOOST_TEST_MESSAGE("the library sent the request again: " << sent_again);
}

// The library sends the request again by itself, and then tells of the refused connection
// only.
BOOST_AUTO_TEST_CASE(lost_answer_of_a_server_that_is_gone_is_not_told_as_not_sent)
{
    DyingServer server(true);
    HttpClient client(server.address(), Millis(5000));
    const HttpOutcome outcome = send_until_dropped(client, server);
    BOOST_TEST(!outcome.answer.has_value());
    BOOST_TEST((outcome.failure.kind() == FailureKind::outcome_unknown));
}

// A kept connection closes on a request that the server has taken. The library sends it
// again by itself, and the answer is that to the second sending: a refusal in it says
// nothing about the first.
BOOST_AUTO_TEST_CASE(answer_to_a_second_sending_is_told_as_such)
{
    DyingServer server;
    HttpClient client(server.address(), Millis(5000));
    const HttpOutcome outcome = send_until_dropped(client, server);
    BOOST_TEST((outcome.answer.has_value() == outcome.sent_again));
}

BOOST_AUTO_TEST_CASE(answer_to_the_only_sending_is_not_told_as_a_second_ones)
{
    EchoHandler handler;
    const Address address { "127.0.0.1", free_port() };
    HttpServer server(address, 1024, handler);
    Failure reason;
    BOOST_REQUIRE(server.start(reason));
    HttpClient client(address, Millis(5000));
    for (const char* const body : { "", "some bytes" }) {
        HttpRequest request;
        request.method = "POST";
        request.body = body;
        for (int i = 0; i < 3; ++i) {
            const HttpOutcome outcome = client.send_and_wait(request);
            BOOST_REQUIRE(outcome.answer);
            BOOST_TEST(!outcome.sent_again);
        }
    }
    server.stop();
}

BOOST_AUTO_TEST_CASE(refused_connection_is_told_as_not_sent)
{
    HttpClient client({ "127.0.0.1", free_port() }, Millis(5000));
    const HttpOutcome outcome = client.send_and_wait(HttpRequest());
    BOOST_TEST(!outcome.answer);
    BOOST_TEST((outcome.failure.kind() == FailureKind::unavailable));
}

BOOST_AUTO_TEST_CASE(request_and_answer_travel_whole)
{
    EchoHandler handler;
    const Address address { "127.0.0.1", free_port() };
    HttpServer server(address, 1024, handler);
    Failure reason;
    BOOST_REQUIRE(server.start(reason));
    HttpClient client(address, Millis(5000));
    HttpRequest request;
    request.method = "PUT";
    request.path = "/a b/c";
    request.query["q"] = "x&y=z";
    request.headers["x-test"] = "h";
    request.body = std::string("bytes\0here", 10);
    const HttpOutcome outcome = client.send_and_wait(request);
    BOOST_REQUIRE(outcome.answer);
    BOOST_TEST(outcome.answer->status == 201);
    BOOST_TEST(outcome.answer->headers.at("x-answer") == "yes");
    BOOST_TEST(outcome.answer->body == "PUT /a b/c x&y=z h " + request.body);
    server.stop();
}

// Without closing the stream of the body, the library took in all of it before it answered:
// 300 MB went into memory under a limit of 1 kB.
BOOST_AUTO_TEST_CASE(body_over_the_limit_or_without_a_length_is_refused_while_it_is_read)
{
    EchoHandler handler;
    const Address address { "127.0.0.1", free_port() };
    HttpServer server(address, 1024, handler);
    Failure reason;
    BOOST_REQUIRE(server.start(reason));
    const std::string large
        = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1000000000\r\n\r\n";
    const std::string chunked
        = "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n"
          "f4240\r\n";
    for (const std::string& head : { large, chunked }) {
        const int connection = connect_to(address);
        (void)!write(connection, head.data(), head.size());
        const std::string part(100000, 'x');
        size_t sent = 0;
        // The server stops reading long before the whole body has come.
        while (sent < 500000000) {
            const ssize_t count = send(connection, part.data(), part.size(), MSG_NOSIGNAL);
            if (count <= 0)
                break;
            sent += static_cast<size_t>(count);
        }
        BOOST_TEST(sent < 100000000U);
        char buffer[512] = {};
        (void)!read(connection, buffer, sizeof buffer - 1);
        const std::string wanted = head == large ? "too_large" : "bad_input";
        BOOST_TEST(std::string(buffer).find(wanted) != std::string::npos, buffer);
        close(connection);
    }
    BOOST_TEST(handler.handled == 0);
    server.stop();
}

// The library closes all connections at once when a listener closes, and answers what is
// under way with a status of its own.
BOOST_AUTO_TEST_CASE(request_under_way_at_a_stop_gets_its_answer)
{
    HoldingHandler handler;
    const Address address { "127.0.0.1", free_port() };
    HttpServer server(address, 1024, handler);
    Failure reason;
    BOOST_REQUIRE(server.start(reason));
    const int connection = connect_and_ask(address);
    handler.wait_for_request();
    std::thread stopper([&] { server.stop(); });
    let_stop_begin();
    handler.answer();
    BOOST_TEST(read_status(connection) == "HTTP/1.1 201 Created");
    stopper.join();
}

// The system takes connections before the server does: a caller has sent its request, and
// the server has not seen it yet.
BOOST_AUTO_TEST_CASE(request_that_waits_to_be_accepted_at_a_stop_gets_its_answer)
{
    BusyHandler handler;
    const Address address { "127.0.0.1", free_port() };
    HttpServer server(address, 1024, handler);
    Failure reason;
    BOOST_REQUIRE(server.start(reason));
    std::vector<int> connections;
    for (int i = 0; i < http_threads; ++i)
        connections.push_back(connect_and_ask(address));
    handler.wait_for(http_threads);
    connections.push_back(connect_and_ask(address));
    std::thread stopper([&] { server.stop(); });
    let_stop_begin();
    handler.release();
    for (const int connection : connections)
        BOOST_TEST(read_status(connection) == "HTTP/1.1 201 Created");
    stopper.join();
}
