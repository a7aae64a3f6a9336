// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// standin_box: one process that stands in for one or more boxes with their targets.

#include "box_engine.h"

#include <pathport/codec.h>
#include <pathport/http.h>
#include <pathport/ids.h>
#include <pathport/log.h>
#include <pathport/process.h>
#include <pathport/timers.h>

#include <nlohmann/json.hpp>

#include <tclap/CmdLine.h>

#include <fstream>
#include <random>

namespace standin {

using namespace pathport;

namespace {

constexpr size_t max_body = size_t(4) * 1024 * 1024;
constexpr int status_conflict = 409;
constexpr int status_precondition = 412;

HttpAnswer answer_with(int status, const std::string& body)
{
    HttpAnswer answer;
    answer.status = status;
    answer.body = body;
    return answer;
}

// Takes exchanges, and tells a test what the box has seen.
class ControlHandler : public HttpHandler {
public:
    explicit ControlHandler(BoxEngine& engine)
        : m_engine(engine)
    {
    }

    void handle(HttpRequest request, HttpReply reply) override
    {
        if (request.path == "/v1/exchange") {
            reply(exchange(request));
        } else if (request.path == "/control/history") {
            reply(answer_with(200, history()));
        } else {
            reply(answer_with(404, "{}"));
        }
    }

    HttpAnswer refusal(const Failure& failure) override
    {
        return answer_with(400, failure.detail());
    }

private:
    HttpAnswer exchange(const HttpRequest& request)
    {
        Failure reason;
        const auto decoded = decode_exchange(request.body, reason);
        if (!decoded)
            return answer_with(400, reason.detail());
        const auto report = m_engine.exchange(*decoded, reason);
        if (!report) {
            const bool stale = reason.kind() == FailureKind::stale_epoch;
            return answer_with(stale ? status_conflict : status_precondition,
                               reason.detail());
        }
        return answer_with(200, encode(*report));
    }

    std::string history() const
    {
        nlohmann::json value = { { "requests", m_engine.request_runs() },
                                 { "over_capacity", m_engine.breaches().over_capacity },
                                 { "over_slots", m_engine.breaches().over_slots },
                                 { "runs", nlohmann::json::array() } };
        for (const TaskRun& run : m_engine.runs()) {
            value["runs"].push_back(
                { { "id", run.id },
                  { "attempt", run.attempt },
                  { "start", run.start.count() },
                  { "end", run.end ? run.end->count() : int64_t(-1) } });
        }
        return value.dump();
    }

    BoxEngine& m_engine;
};

// Runs requests for the replicas on the box; each takes some time in a slot.
class WorkHandler : public HttpHandler {
public:
    WorkHandler(BoxEngine& engine, Timers& timers, std::string box, int64_t mean_ms,
                uint64_t seed)
        : m_engine(engine)
        , m_timers(timers)
        , m_box(std::move(box))
        , m_mean_ms(mean_ms)
        , m_random(seed)
    {
    }

    void handle(HttpRequest request, HttpReply reply) override
    {
        const size_t slash = request.path.find('/', 1);
        const std::string service = request.path.substr(1, slash - 1);
        const int64_t epoch = parse_integer(request.header("pathport-epoch")).value_or(0);
        const std::string id = request.header("pathport-request-id");
        const RequestVerdict verdict = m_engine.begin_request(epoch, service, id);
        if (verdict != RequestVerdict::run) {
            reply(refused(verdict));
            return;
        }
        const Millis time = service_time(request);
        HttpAnswer answer = answer_with(200, answer_body(request, id, time));
        if (slash != std::string::npos && request.path.substr(slash) == "/fail")
            answer.status = 500;
        m_timers.after(time, [this, reply, answer] {
            m_engine.end_request();
            reply(answer);
        });
    }

    HttpAnswer refusal(const Failure& failure) override
    {
        HttpAnswer answer = answer_with(400, failure.detail());
        answer.headers["pathport-refused"] = "bad_input";
        return answer;
    }

private:
    // The caller checks that the answer holds its own id and body.
    std::string answer_body(const HttpRequest& request, const std::string& id,
                            Millis time) const
    {
        const nlohmann::json value = { { "id", id },
                                       { "echo", request.body },
                                       { "box", m_box },
                                       { "service_ms", time.count() } };
        return value.dump();
    }

    static HttpAnswer refused(RequestVerdict verdict)
    {
        HttpAnswer answer = answer_with(status_conflict, "{}");
        switch (verdict) {
        case RequestVerdict::stale_epoch:
            answer.headers["pathport-refused"] = "stale_epoch";
            break;
        case RequestVerdict::no_replica:
            answer.headers["pathport-refused"] = "no_replica";
            break;
        default:
            answer.headers["pathport-refused"] = "busy";
            break;
        }
        return answer;
    }

    // A path that ends in "/sleep-N" takes N ms; others take the mean, give or take half.
    Millis service_time(const HttpRequest& request)
    {
        const size_t mark = request.path.rfind("/sleep-");
        if (mark != std::string::npos) {
            const auto wanted = parse_integer(request.path.substr(mark + 7));
            return Millis(wanted.value_or(m_mean_ms));
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::uniform_int_distribution<int64_t> spread(m_mean_ms / 2, m_mean_ms * 3 / 2);
        return Millis(spread(m_random));
    }

    BoxEngine& m_engine;
    Timers& m_timers;
    std::string m_box;
    int64_t m_mean_ms;
    std::mutex m_mutex;
    std::mt19937_64 m_random;
};

// One box with its two listeners.
class Box {
public:
    Box(const Clock& clock, Timers& timers, BoxInfo info, int64_t mean_ms)
        : m_info(std::move(info))
        , m_engine(clock, m_info.incarnation, m_info.capacity, m_info.slots)
        , m_control_handler(m_engine)
        , m_work_handler(m_engine, timers, m_info.id, mean_ms, stable_hash(m_info.id))
        , m_control(*parse_address(m_info.control_address), max_body, m_control_handler)
        , m_work(*parse_address(m_info.work_address), max_body, m_work_handler)
    {
    }

    bool start(Failure& reason) { return m_control.start(reason) && m_work.start(reason); }

    void stop()
    {
        m_control.stop();
        m_work.stop();
    }

    void advance() { m_engine.advance(); }
    const BoxInfo& info() const { return m_info; }

private:
    BoxInfo m_info;
    BoxEngine m_engine;
    ControlHandler m_control_handler;
    WorkHandler m_work_handler;
    HttpServer m_control;
    HttpServer m_work;
};

bool register_box(const Address& list, const BoxInfo& info)
{
    HttpClient client(list, Millis(2000));
    HttpRequest request;
    request.method = "PUT";
    request.path = "/control/boxes";
    request.body = encode(std::vector<BoxInfo> { info });
    const HttpOutcome outcome = client.send_and_wait(request);
    return outcome.answer && outcome.answer->status == 200;
}

struct Options {
    std::string id, region, domain, rack, list, ip;
    int port = 0, count = 1, cpu = 0, memory = 0, accelerators = 0, slots = 0, mean = 0;
};

BoxInfo make_info(const Options& options, int index)
{
    BoxInfo info;
    info.id = options.count == 1 ? options.id : options.id + "-" + std::to_string(index);
    info.incarnation = random_token();
    info.region = options.region;
    info.domain = options.domain;
    info.rack = options.rack;
    info.capacity = { options.cpu, options.memory, options.accelerators };
    info.slots = options.slots;
    const int port = options.port + 2 * index;
    info.control_address = options.ip + ":" + std::to_string(port);
    info.work_address = options.ip + ":" + std::to_string(port + 1);
    return info;
}

int run(const Options& options)
{
    start_log("standin_box-" + options.id, LogLevel::info);
    block_end_signals();
    start_http_threads(2);
    const SystemClock clock;
    Timers timers;
    std::vector<std::unique_ptr<Box>> boxes;
    for (int i = 0; i < options.count; ++i) {
        boxes.push_back(
            std::make_unique<Box>(clock, timers, make_info(options, i), options.mean));
        Failure reason;
        if (!boxes.back()->start(reason)
            || !register_box(*parse_address(options.list), boxes.back()->info())) {
            log_event(LogLevel::error, "start_failed", { { "reason", reason.detail() } });
            return 1;
        }
    }
    while (!end_requested(Millis(10))) {
        for (const auto& box : boxes)
            box->advance();
    }
    for (const auto& box : boxes)
        box->stop();
    return 0;
}

} // namespace

} // namespace standin

int main(int argc, char** argv)
{
    using TCLAP::ValueArg;
    try {
        TCLAP::CmdLine cmd("Stands in for boxes with their targets.", ' ', "0.1.0");
        ValueArg<std::string> id("", "id", "Box id, or its prefix", true, "", "name", cmd);
        ValueArg<std::string> region("", "region", "Region", false, "r1", "name", cmd);
        ValueArg<std::string> domain("", "domain", "Failure domain", true, "", "name", cmd);
        ValueArg<std::string> rack("", "rack", "Rack", false, "k1", "name", cmd);
        ValueArg<std::string> list("", "box-list", "Box list", true, "", "IP:port", cmd);
        ValueArg<std::string> ip("", "ip", "IP number", false, "127.0.0.1", "IP", cmd);
        ValueArg<int> port("", "port", "First of two ports a box", true, 0, "port", cmd);
        ValueArg<int> count("", "count", "Number of boxes", false, 1, "n", cmd);
        ValueArg<int> cpu("", "cpu-millis", "Processors", false, 16000, "n", cmd);
        ValueArg<int> memory("", "memory-mb", "Memory", false, 65536, "n", cmd);
        ValueArg<int> acc("", "accelerators", "Accelerators", false, 0, "n", cmd);
        ValueArg<int> slots("", "slots", "Request slots", false, 8, "n", cmd);
        ValueArg<int> mean("", "service-ms", "Mean service time", false, 20, "ms", cmd);
        cmd.parse(argc, argv);
        return standin::run({ id.getValue(), region.getValue(), domain.getValue(),
                              rack.getValue(), list.getValue(), ip.getValue(),
                              port.getValue(), count.getValue(), cpu.getValue(),
                              memory.getValue(), acc.getValue(), slots.getValue(),
                              mean.getValue() });
    } catch (const TCLAP::ArgException& error) {
        std::cerr << error.error() << " " << error.argId() << "\n";
        return 2;
    }
}
