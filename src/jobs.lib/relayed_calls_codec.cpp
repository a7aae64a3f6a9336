// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Encoding of relayed calls: JSON arrays, since there are thousands of calls a second and
/// field names would make up most of their bytes.

#include <pathport/jobs/relayed_calls.h>

#include <nlohmann/json.hpp>

namespace pathport::jobs {

namespace {

using Json = nlohmann::json;

constexpr int last_kind = static_cast<int>(RelayedKind::poll);
constexpr int last_status = static_cast<int>(OrderStatus::unknown);
constexpr int last_end = static_cast<int>(EndKind::gang_not_formed);
/// Indices of fields that earlier versions lack, in the arrays of a poll and a report.
constexpr size_t poll_hold_index = 9;
constexpr size_t polled_after_index = 4;

std::string dump(const Json& json)
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Returns the enumerator of a number; enumerators are numbered from 0.
template <typename Value>
Value decode_enum(const Json& json, int last)
{
    const int number = json.get<int>();
    if (number < 0 || number > last)
        throw Json::out_of_range::create(401, "no such value", &json);
    return static_cast<Value>(number);
}

TaskId decode_task(const Json& json)
{
    const auto task = TaskId::parse(json.get<std::string>());
    if (!task)
        throw Json::type_error::create(302, "no task", &json);
    return *task;
}

Json encode_call(const RelayedCall& call)
{
    Json json = Json::array({ call.number, static_cast<int>(call.kind), call.worker,
                              call.address, call.timeout.count() });
    switch (call.kind) {
    case RelayedKind::start:
        json.insert(json.end(),
                    { call.start.task.to_string(), call.start.run, call.start.fence,
                      call.start.lease_until, call.start.checkpoint, call.start.ticket,
                      call.start.payload, call.payload_omitted, call.payload_source });
        break;
    case RelayedKind::stop:
    case RelayedKind::set_speed:
        json.insert(
            json.end(),
            { call.run.task.to_string(), call.run.run, call.run.fence, call.run.percent });
        break;
    case RelayedKind::poll:
        json.insert(json.end(),
                    { call.poll.fence, call.poll.acked_through, call.poll.lease_until,
                      call.poll.wait.count(), call.poll.hold.count() });
        break;
    }
    return json;
}

RelayedCall decode_call(const Json& json)
{
    RelayedCall call;
    call.number = json.at(0).get<int64_t>();
    call.kind = decode_enum<RelayedKind>(json.at(1), last_kind);
    call.worker = json.at(2).get<std::string>();
    call.address = json.at(3).get<std::string>();
    call.timeout = Millis(json.at(4).get<int64_t>());
    switch (call.kind) {
    case RelayedKind::start:
        call.start.task = decode_task(json.at(5));
        call.start.run = json.at(6).get<int64_t>();
        call.start.fence = json.at(7).get<int64_t>();
        call.start.lease_until = json.at(8).get<int64_t>();
        call.start.checkpoint = json.at(9).get<std::string>();
        call.start.ticket = json.at(10).get<std::string>();
        call.start.payload = json.at(11).get<std::string>();
        call.payload_omitted = json.at(12).get<bool>();
        call.payload_source = json.at(13).get<std::string>();
        break;
    case RelayedKind::stop:
    case RelayedKind::set_speed:
        call.run.task = decode_task(json.at(5));
        call.run.run = json.at(6).get<int64_t>();
        call.run.fence = json.at(7).get<int64_t>();
        call.run.percent = json.at(8).get<int>();
        break;
    case RelayedKind::poll:
        call.poll.fence = json.at(5).get<int64_t>();
        call.poll.acked_through = json.at(6).get<int64_t>();
        call.poll.lease_until = json.at(7).get<int64_t>();
        call.poll.wait = Millis(json.at(8).get<int64_t>());
        // Earlier versions send no time for which reports may be kept back.
        if (json.size() > poll_hold_index)
            call.poll.hold = Millis(json.at(poll_hold_index).get<int64_t>());
        break;
    }
    return call;
}

Json encode_report(const PollReport& report)
{
    Json running = Json::array();
    for (const RunningTask& task : report.running)
        running.push_back({ task.task.to_string(), task.run, task.checkpoint, task.percent,
                            task.metric });
    Json ended = Json::array();
    for (const EndedTask& end : report.ended)
        ended.push_back({ end.number, end.task.to_string(), end.run,
                          static_cast<int>(end.kind), end.checkpoint });
    return Json::array({ report.clock_ms, std::move(running), std::move(ended),
                         report.running_omitted, report.polled_after.count() });
}

PollReport decode_report(const Json& json)
{
    PollReport report;
    report.clock_ms = json.at(0).get<int64_t>();
    for (const Json& row : json.at(1)) {
        RunningTask task;
        task.task = decode_task(row.at(0));
        task.run = row.at(1).get<int64_t>();
        task.checkpoint = row.at(2).get<std::string>();
        task.percent = row.at(3).get<int>();
        task.metric = row.at(4).get<double>();
        report.running.push_back(std::move(task));
    }
    for (const Json& row : json.at(2)) {
        EndedTask end;
        end.number = row.at(0).get<int64_t>();
        end.task = decode_task(row.at(1));
        end.run = row.at(2).get<int64_t>();
        end.kind = decode_enum<EndKind>(row.at(3), last_end);
        end.checkpoint = row.at(4).get<std::string>();
        report.ended.push_back(std::move(end));
    }
    report.running_omitted = json.at(3).get<bool>();
    if (json.size() > polled_after_index)
        report.polled_after = Millis(json.at(polled_after_index).get<int64_t>());
    return report;
}

} // namespace

std::string encode(const std::vector<RelayedCall>& calls)
{
    Json json = Json::array();
    for (const RelayedCall& call : calls)
        json.push_back(encode_call(call));
    return dump(json);
}

std::optional<std::vector<RelayedCall>> decode_relayed_calls(const std::string& text)
{
    try {
        std::vector<RelayedCall> calls;
        for (const Json& row : Json::parse(text))
            calls.push_back(decode_call(row));
        return calls;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

std::string encode(const std::vector<RelayedAnswer>& answers)
{
    Json json = Json::array();
    for (const RelayedAnswer& answer : answers) {
        Json row = Json::array({ answer.number, static_cast<int>(answer.status),
                                 answer.clock_ms, answer.payload_missing });
        if (answer.report)
            row.push_back(encode_report(*answer.report));
        json.push_back(std::move(row));
    }
    return dump(json);
}

std::optional<std::vector<RelayedAnswer>> decode_relayed_answers(const std::string& text)
{
    try {
        std::vector<RelayedAnswer> answers;
        for (const Json& row : Json::parse(text)) {
            RelayedAnswer answer;
            answer.number = row.at(0).get<int64_t>();
            answer.status = decode_enum<OrderStatus>(row.at(1), last_status);
            answer.clock_ms = row.at(2).get<int64_t>();
            answer.payload_missing = row.at(3).get<bool>();
            if (row.size() > 4)
                answer.report = decode_report(row.at(4));
            answers.push_back(std::move(answer));
        }
        return answers;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace pathport::jobs
