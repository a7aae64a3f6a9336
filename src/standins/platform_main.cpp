// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// standin_platform: the table service, the object store and the box list, each on an
/// address of its own. `POST /control/faults` on the table's address switches its faults.

#include "table_engine.h"

#include <pathport/codec.h>
#include <pathport/http.h>
#include <pathport/ids.h>
#include <pathport/log.h>
#include <pathport/process.h>
#include <pathport/timers.h>

#include <nlohmann/json.hpp>

#include <tclap/CmdLine.h>

#include <algorithm>
#include <vector>

namespace standin {

using namespace pathport;
using nlohmann::json;

namespace {

constexpr size_t max_body = size_t(16) * 1024 * 1024;

// The table's own clock shows the wall time.
class WallClock : public Clock {
public:
    Millis now() const override { return wall_time(); }
};

HttpAnswer answer_with(int status, const std::string& body)
{
    HttpAnswer answer;
    answer.status = status;
    answer.body = body;
    return answer;
}

class PlainHandler : public HttpHandler {
public:
    HttpAnswer refusal(const Failure& failure) override
    {
        return answer_with(400, failure.detail());
    }
};

class TableHandler : public PlainHandler {
public:
    TableHandler(TableEngine& engine, Timers& timers)
        : m_engine(engine)
        , m_timers(timers)
    {
    }

    void handle(HttpRequest request, HttpReply reply) override
    {
        if (request.path == "/control/faults") {
            reply(set_faults(request));
            return;
        }
        if (request.path != "/v1/transactions") {
            reply(answer_with(404, "{}"));
            return;
        }
        // A slow table is slow before the transaction takes effect.
        const Millis delay = m_engine.delay();
        if (delay > Millis(0)) {
            m_timers.after(delay, [this, request, reply] { run(request, reply); });
        } else {
            run(request, reply);
        }
    }

private:
    void run(const HttpRequest& request, const HttpReply& reply)
    {
        Failure reason;
        const auto txn = decode_txn(request.body, reason);
        if (!txn) {
            reply(answer_with(400, reason.detail()));
            return;
        }
        const auto result = m_engine.run_for(request.header("x-writer"), *txn, reason);
        if (result) {
            reply(answer_with(200, encode_result(*result)));
        } else if (reason.kind() == FailureKind::unavailable) {
            reply(answer_with(503, "{}"));
        } else if (reason.kind() == FailureKind::overloaded) {
            reply(answer_with(429, "{}"));
        } else {
            // The writer learns nothing, as when the connection breaks.
            reply(answer_with(504, "{}"));
        }
    }

    HttpAnswer set_faults(const HttpRequest& request)
    {
        const json value = json::parse(request.body, nullptr, false);
        if (value.is_discarded())
            return answer_with(400, "not JSON");
        TableFaults faults;
        faults.down = value.value("down", false);
        faults.delay = Millis(value.value("delay_ms", int64_t(0)));
        faults.lose_answers = value.value("lose_answers", 0);
        faults.lose_requests = value.value("lose_requests", 0);
        for (const json& writer : value.value("refuse", json::array()))
            faults.refused_writers.insert(writer.get<std::string>());
        m_engine.set_faults(faults);
        return answer_with(200, "{}");
    }

    TableEngine& m_engine;
    Timers& m_timers;
};

// Changes become visible after the lag.
class BoxListHandler : public PlainHandler {
public:
    BoxListHandler(Timers& timers, Millis lag)
        : m_timers(timers)
        , m_lag(lag)
    {
    }

    void handle(HttpRequest request, HttpReply reply) override
    {
        if (request.path == "/v1/boxes") {
            reply(list(request));
        } else if (request.path == "/control/boxes" && request.method == "PUT") {
            reply(put(request));
        } else if (request.path == "/control/state") {
            reply(set_state(request));
        } else {
            reply(answer_with(404, "{}"));
        }
    }

private:
    HttpAnswer list(const HttpRequest& request)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::string tag = "\"" + std::to_string(m_version) + "\"";
        HttpAnswer answer;
        if (request.header("if-none-match") == tag) {
            answer.status = 304;
            return answer;
        }
        answer.body = encode(m_visible);
        answer.headers["ETag"] = tag;
        return answer;
    }

    HttpAnswer put(const HttpRequest& request)
    {
        Failure reason;
        const auto boxes = decode_boxes(request.body, reason);
        if (!boxes)
            return answer_with(400, reason.detail());
        m_timers.after(m_lag, [this, boxes] {
            for (const BoxInfo& box : *boxes)
                show(box);
        });
        return answer_with(200, "{}");
    }

    HttpAnswer set_state(const HttpRequest& request)
    {
        const std::string id = request.query.count("box") ? request.query.at("box") : "";
        const std::string word
            = request.query.count("state") ? request.query.at("state") : "";
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = std::find_if(m_visible.begin(), m_visible.end(),
                                        [&](const BoxInfo& box) { return box.id == id; });
        if (found == m_visible.end())
            return answer_with(404, "{}");
        BoxInfo changed = *found;
        changed.state = word == "gone" ? BoxState::gone
            : word == "leaving"        ? BoxState::leaving
                                       : BoxState::live;
        m_timers.after(m_lag, [this, changed] { show(changed); });
        return answer_with(200, "{}");
    }

    void show(const BoxInfo& box)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_version;
        for (BoxInfo& present : m_visible) {
            if (present.id == box.id) {
                present = box;
                return;
            }
        }
        m_visible.push_back(box);
    }

    Timers& m_timers;
    Millis m_lag;
    std::mutex m_mutex;
    std::vector<BoxInfo> m_visible;
    int64_t m_version = 1;
};

class ObjectHandler : public PlainHandler {
public:
    void handle(HttpRequest request, HttpReply reply) override
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (request.method == "PUT") {
            m_objects[request.path] = request.body;
            reply(answer_with(200, "{}"));
            return;
        }
        const auto found = m_objects.find(request.path);
        reply(found == m_objects.end() ? answer_with(404, "")
                                       : answer_with(200, found->second));
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::string> m_objects;
};

int run(const std::string& table_address, const std::string& objects_address,
        const std::string& list_address, int rate, int lag_ms)
{
    start_log("standin_platform", LogLevel::info);
    block_end_signals();
    start_http_threads(3);
    const WallClock clock;
    Timers timers;
    TableEngine engine(clock, rate);
    TableHandler table_handler(engine, timers);
    BoxListHandler list_handler(timers, Millis(lag_ms));
    ObjectHandler object_handler;
    HttpServer table(*parse_address(table_address), max_body, table_handler);
    HttpServer objects(*parse_address(objects_address), max_body, object_handler);
    HttpServer list(*parse_address(list_address), max_body, list_handler);
    Failure reason;
    if (!table.start(reason) || !objects.start(reason) || !list.start(reason)) {
        log_event(LogLevel::error, "start_failed", { { "reason", reason.detail() } });
        return 1;
    }
    while (!end_requested(Millis(1000))) { }
    table.stop();
    objects.stop();
    list.stop();
    return 0;
}

} // namespace

} // namespace standin

int main(int argc, char** argv)
{
    using TCLAP::ValueArg;
    try {
        TCLAP::CmdLine cmd("Stands in for the platform's services.", ' ', "0.1.0");
        ValueArg<std::string> table("", "table", "Table service", true, "", "IP:port", cmd);
        ValueArg<std::string> objects("", "objects", "Object store", true, "", "IP:port",
                                      cmd);
        ValueArg<std::string> list("", "box-list", "Box list", true, "", "IP:port", cmd);
        ValueArg<int> rate("", "rate", "Transactions a second", false, 200, "n", cmd);
        ValueArg<int> lag("", "lag-ms", "Lag of the box list", false, 1000, "ms", cmd);
        cmd.parse(argc, argv);
        return standin::run(table.getValue(), objects.getValue(), list.getValue(),
                            rate.getValue(), lag.getValue());
    } catch (const TCLAP::ArgException& error) {
        std::cerr << error.error() << " " << error.argId() << "\n";
        return 2;
    }
}
