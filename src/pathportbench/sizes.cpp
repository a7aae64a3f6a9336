// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "bench.h"

#include "peer_wire.h"

#include <pathport/codec.h>
#include <pathport/platform.h>
#include <pathport/table.h>

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <chrono>
#include <cstdio>

namespace bench {

using namespace pathport;

namespace {

// Bytes that TCP and IP add to a message each way, with the acknowledgement.
constexpr size_t packet_overhead = size_t(2) * 52;
// What HTTP's own lines take in an exchange, both ways, as the library writes them.
constexpr size_t http_overhead = 330;

size_t wire_size(const Beat& beat)
{
    capnp::MallocMessageBuilder message;
    write(beat, message.initRoot<wire::Beat>());
    return capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
}

Beat make_beat(int shards, int services)
{
    Beat beat;
    beat.node = "node-1";
    beat.incarnation = "0123456789abcdef";
    beat.region = "region-1";
    for (int i = 0; i < shards; ++i) {
        ShardSummary shard;
        shard.shard = "domain-1.rack-" + std::to_string(i);
        shard.region = "region-1";
        shard.domain = "domain-1";
        for (int s = 0; s < services; ++s)
            shard.services.push_back({ "service-" + std::to_string(s), 1, 8, 3, 0, 0 });
        beat.shards.push_back(shard);
    }
    return beat;
}

BoxReport make_report(int tasks)
{
    BoxReport report;
    report.incarnation = "0123456789abcdef";
    report.report = 100000;
    for (int i = 0; i < tasks; ++i)
        report.tasks.push_back(
            { "recompute-standings." + std::to_string(i), 1, "", { 1000, 2048, 0 } });
    return report;
}

BoxExchange make_exchange(int starts)
{
    BoxExchange exchange;
    exchange.shard = "domain-1.rack-1";
    exchange.owner = "node-1/0123456789abcdef";
    exchange.incarnation = "0123456789abcdef";
    for (int i = 0; i < starts; ++i) {
        exchange.commands.push_back({ BoxCommandType::start,
                                      "recompute-standings." + std::to_string(i),
                                      1,
                                      "",
                                      { 1000, 2048, 0 },
                                      60000 });
    }
    return exchange;
}

template <typename Work>
double micros_of(Work work)
{
    constexpr int times = 2000;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < times; ++i)
        work();
    const std::chrono::duration<double, std::micro> took
        = std::chrono::steady_clock::now() - start;
    return took.count() / times;
}

} // namespace

void run_sizes()
{
    std::printf("bytes of one message (TCP, IP and HTTP's own lines in brackets), and "
                "processor time to encode it\n");
    for (const int shards : { 1, 4, 9 }) {
        for (const int services : { 1, 6, 20 }) {
            const Beat beat = make_beat(shards, services);
            std::printf(
                "  peer heartbeat, %d shards, %2d services each: %zu (+%zu), %.1f us\n",
                shards, services, wire_size(beat), packet_overhead,
                micros_of([&] { wire_size(beat); }));
        }
    }
    for (const int tasks : { 0, 1, 8, 32 }) {
        const BoxReport report = make_report(tasks);
        std::printf("  box report, %2d tasks: %zu (+%zu), %.1f us\n", tasks,
                    encode(report).size(), packet_overhead + http_overhead,
                    micros_of([&] { encode(report); }));
    }
    for (const int starts : { 0, 1, 4 }) {
        const BoxExchange exchange = make_exchange(starts);
        std::printf("  box exchange, %d starts: %zu\n", starts, encode(exchange).size());
    }
    TaskRecord task;
    task.id = "recompute-standings.17";
    task.job = "recompute-standings";
    task.team = "team-17";
    task.resources = { 1000, 2048, 0 };
    task.box = "box-117";
    task.box_incarnation = "0123456789abcdef";
    std::printf("  task row: %zu\n", encode(task).size());
    const NodeRecord node { "node-1",   "0123456789abcdef", 123456,         "region-1",
                            "domain-1", "10.0.0.1:7003",    NodeState::live };
    std::printf("  node row: %zu\n", encode(node).size());
}

} // namespace bench
