// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// standin_caller: sends requests through the nodes at a given rate, checks each answer,
/// and prints what it saw as JSON. It stands in for the platform's balancer too: it takes
/// the nodes in turn and leaves out one that refuses connections for a while.

#include <pathport/http.h>
#include <pathport/ids.h>
#include <pathport/log.h>
#include <pathport/process.h>
#include <pathport/timers.h>

#include <nlohmann/json.hpp>

#include <tclap/CmdLine.h>

#include <algorithm>
#include <condition_variable>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

namespace standin {

using namespace pathport;
using nlohmann::json;

namespace {

struct Options {
    std::vector<std::string> nodes;
    std::string service, history, path;
    int requests = 0, rate = 0, timeout_ms = 0, max_sends = 0, double_percent = 0;
};

// One request with all its sendings.
struct Request {
    int number = 0;
    std::string id;
    std::string body;
    bool repeatable = false;
    bool doubled = false; ///< Sent a second time through another node, under one id.
    bool is_copy = false;
    int sends = 0;
    Millis start;
};

// What came of one request in the end.
struct Final {
    std::string outcome;
    Millis latency;
    Millis service_time;
    bool crossed = false;
};

// The nodes in turn; one that refuses connections is left out for a while.
class Balancer {
public:
    Balancer(const Clock& clock, const std::vector<std::string>& nodes, Millis timeout)
        : m_clock(clock)
    {
        for (const std::string& node : nodes)
            m_nodes.push_back(
                { std::make_shared<HttpClient>(*parse_address(node), timeout), Millis() });
    }

    size_t next()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (size_t i = 0; i < m_nodes.size(); ++i) {
            const size_t index = m_turn++ % m_nodes.size();
            if (m_clock.now() >= m_nodes[index].left_out_until)
                return index;
        }
        return m_turn++ % m_nodes.size();
    }

    HttpClient& client(size_t index) { return *m_nodes[index].client; }

    void leave_out(size_t index)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_nodes[index].left_out_until = m_clock.now() + Millis(500);
    }

private:
    struct Node {
        std::shared_ptr<HttpClient> client;
        Millis left_out_until;
    };
    const Clock& m_clock;
    std::mutex m_mutex;
    std::vector<Node> m_nodes;
    size_t m_turn = 0;
};

class Load {
public:
    explicit Load(const Options& options)
        : m_options(options)
        , m_balancer(m_clock, options.nodes, Millis(options.timeout_ms + 2000))
    {
        if (!options.history.empty())
            m_history.open(options.history);
    }

    int run()
    {
        const Millis start = m_clock.now();
        for (int i = 0; i < m_options.requests; ++i) {
            pace(start, i);
            begin(i);
        }
        std::unique_lock<std::mutex> lock(m_mutex);
        m_all_done.wait_for(lock, std::chrono::seconds(60), [this] { return m_open == 0; });
        report(m_clock.now() - start);
        return m_open == 0 && m_crossed == 0 ? 0 : 1;
    }

private:
    void pace(Millis start, int number)
    {
        const Millis due = start + Millis(int64_t(number) * 1000 / m_options.rate);
        const Millis now = m_clock.now();
        if (due > now)
            std::this_thread::sleep_for(std::chrono::milliseconds((due - now).count()));
    }

    void begin(int number)
    {
        const auto request = std::make_shared<Request>();
        request->number = number;
        request->id = make_uuid7(wall_time());
        request->body = "payload-" + random_token();
        request->repeatable = number % 2 == 0;
        request->start = m_clock.now();
        request->doubled = !request->repeatable && number % 100 < m_options.double_percent;
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_open;
        if (request->doubled) {
            ++m_open;
            const auto copy = std::make_shared<Request>(*request);
            copy->is_copy = true;
            m_timers.after(Millis(1), [this, copy] { send(copy); });
        }
        m_timers.after(Millis(0), [this, request] { send(request); });
    }

    void send(const std::shared_ptr<Request>& request)
    {
        ++request->sends;
        const size_t node = m_balancer.next();
        const int64_t spent = (m_clock.now() - request->start).count();
        HttpRequest http;
        http.method = "POST";
        http.path = "/v1/services/" + m_options.service + m_options.path;
        http.body = request->body;
        http.headers["pathport-request-id"] = request->id;
        http.headers["pathport-repeatable"] = request->repeatable ? "yes" : "no";
        http.headers["pathport-timeout-ms"]
            = std::to_string(std::max<int64_t>(1, m_options.timeout_ms - spent));
        // The caller's own connection must not send a request twice either.
        const auto connection
            = request->repeatable ? HttpConnection::reused : HttpConnection::fresh;
        m_balancer.client(node).send(http, connection,
                                     [this, request, node](const HttpOutcome& outcome) {
                                         receive(request, node, outcome);
                                     });
    }

    void receive(const std::shared_ptr<Request>& request, size_t node,
                 const HttpOutcome& outcome)
    {
        if (!outcome.answer) {
            const bool not_sent = outcome.failure.kind() == FailureKind::unavailable;
            if (not_sent)
                m_balancer.leave_out(node);
            else
                note_reason("connection: " + outcome.failure.detail());
            finish_or_repeat(request, not_sent ? "not_run" : "may_have_run", Millis(1));
            return;
        }
        const HttpAnswer& answer = *outcome.answer;
        const auto mark = answer.headers.find("pathport-outcome");
        std::string word = mark == answer.headers.end() ? "untyped" : mark->second;
        // The answer to the second sending says nothing about the first.
        if (word == "not_run" && outcome.sent_again)
            word = "may_have_run";
        if (word == "answered") {
            finish(request, judge(request, answer));
            return;
        }
        const auto after = answer.headers.find("pathport-retry-after-ms");
        const auto wait = after == answer.headers.end() ? std::optional<int64_t>()
                                                        : parse_integer(after->second);
        if (word == "may_have_run" || word == "not_run")
            note_reason(detail_of(answer));
        else if (word == "untyped")
            note_reason("untyped, status " + std::to_string(answer.status));
        finish_or_repeat(request, word, Millis(wait.value_or(10)));
    }

    // A request that was not run is sent again while its window lasts; one that may have
    // run is sent again only if it may be repeated.
    void finish_or_repeat(const std::shared_ptr<Request>& request, const std::string& word,
                          Millis wait)
    {
        const bool may_send
            = word == "not_run" || (word == "may_have_run" && request->repeatable);
        const Millis spent = m_clock.now() - request->start;
        const bool has_time = spent + wait < Millis(m_options.timeout_ms);
        if (may_send && has_time && request->sends < m_options.max_sends) {
            // What was not run may go under a new id, which no take-over since can put into
            // doubt. A request that was sent twice at once keeps its one id.
            if (word == "not_run" && !request->repeatable && !request->doubled)
                take_new_id(*request);
            m_timers.after(wait, [this, request] { send(request); });
            return;
        }
        finish(request, { word, spent, Millis(), false });
    }

    void take_new_id(Request& request)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_history.is_open())
            m_history << request.id << " single not_run 0 0 0\n";
        request.id = make_uuid7(wall_time());
    }

    Final judge(const std::shared_ptr<Request>& request, const HttpAnswer& answer)
    {
        const json body = json::parse(answer.body, nullptr, false);
        const bool own = body.is_object() && body.value("id", "") == request->id
            && body.value("echo", "") == request->body;
        const int64_t service = body.is_object() ? body.value("service_ms", int64_t(0)) : 0;
        return { "answered", m_clock.now() - request->start, Millis(service), !own };
    }

    static std::string detail_of(const HttpAnswer& answer)
    {
        const json body = json::parse(answer.body, nullptr, false);
        return body.is_object() ? body.value("detail", "") : "";
    }

    void note_reason(const std::string& reason)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_reasons[reason.substr(0, 60)];
    }

    void finish(const std::shared_ptr<Request>& request, const Final& final)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::string kind = request->is_copy ? "copy"
            : request->repeatable                 ? "repeatable"
                                                  : "single";
        ++m_counts[kind][final.outcome];
        m_sends += request->sends;
        if (final.crossed)
            ++m_crossed;
        if (final.outcome == "answered" && !request->is_copy) {
            m_waits.push_back(
                std::max<int64_t>(0, (final.latency - final.service_time).count()));
        }
        if (m_history.is_open()) {
            m_history << request->id << " " << kind << " " << final.outcome << " "
                      << final.latency.count() << " " << request->sends << " "
                      << request->start.count() << "\n";
        }
        if (--m_open == 0)
            m_all_done.notify_all();
    }

    int64_t percentile(double share) const
    {
        if (m_waits.empty())
            return -1;
        const auto index = static_cast<size_t>(share * double(m_waits.size() - 1));
        return m_waits[index];
    }

    void report(Millis took)
    {
        std::sort(m_waits.begin(), m_waits.end());
        const json value = { { "counts", m_counts },
                             { "sends", m_sends },
                             { "crossed", m_crossed },
                             { "unfinished", m_open },
                             { "took_ms", took.count() },
                             { "reasons", m_reasons },
                             { "wait_ms",
                               { { "p50", percentile(0.5) },
                                 { "p99", percentile(0.99) },
                                 { "p999", percentile(0.999) } } } };
        std::cout << value.dump(2) << std::endl;
    }

    Options m_options;
    SystemClock m_clock;
    Balancer m_balancer;
    std::mutex m_mutex;
    std::condition_variable m_all_done;
    int m_open = 0;
    int m_crossed = 0;
    int64_t m_sends = 0;
    std::map<std::string, std::map<std::string, int>> m_counts;
    std::map<std::string, int> m_reasons;
    std::vector<int64_t> m_waits;
    std::ofstream m_history;
    // Last, so that its thread ends before what it works on.
    Timers m_timers;
};

} // namespace

} // namespace standin

int main(int argc, char** argv)
{
    using TCLAP::ValueArg;
    try {
        TCLAP::CmdLine cmd("Sends requests and checks each answer.", ' ', "0.1.0");
        TCLAP::MultiArg<std::string> nodes("", "node", "A node", true, "IP:port", cmd);
        ValueArg<std::string> service("", "service", "Service", true, "", "name", cmd);
        ValueArg<std::string> path("", "path", "Path for the target", false, "/quote", "",
                                   cmd);
        ValueArg<std::string> history("", "history", "File to write", false, "", "path",
                                      cmd);
        ValueArg<int> requests("", "requests", "How many", false, 1000, "n", cmd);
        ValueArg<int> rate("", "rate", "Requests a second", false, 200, "n", cmd);
        ValueArg<int> timeout("", "timeout-ms", "Window of one", false, 2000, "ms", cmd);
        ValueArg<int> sends("", "max-sends", "Sendings of one", false, 50, "n", cmd);
        ValueArg<int> doubles("", "double-percent",
                              "Share of requests, in per cent of those that may not be "
                              "repeated, sent twice at once under one id",
                              false, 0, "n", cmd);
        cmd.parse(argc, argv);
        pathport::start_log("standin_caller", pathport::LogLevel::warn);
        pathport::block_end_signals();
        pathport::start_http_threads(2);
        const standin::Options options { nodes.getValue(),    service.getValue(),
                                         history.getValue(),  path.getValue(),
                                         requests.getValue(), rate.getValue(),
                                         timeout.getValue(),  sends.getValue(),
                                         doubles.getValue() };
        return standin::Load(options).run();
    } catch (const TCLAP::ArgException& error) {
        std::cerr << error.error() << " " << error.argId() << "\n";
        return 2;
    }
}
