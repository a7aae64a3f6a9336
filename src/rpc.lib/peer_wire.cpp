// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "peer_wire.h"

#include <algorithm>

namespace pathport {

namespace {

std::string to_string(capnp::Text::Reader text)
{
    return std::string(text.begin(), text.size());
}

std::string to_string(capnp::Data::Reader data)
{
    return std::string(reinterpret_cast<const char*>(data.begin()), data.size());
}

capnp::Data::Reader to_data(const std::string& bytes)
{
    return { reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size() };
}

// Wire counters are unsigned; a negative value here would be a fault of the sender.
uint32_t to_wire(int64_t value)
{
    return static_cast<uint32_t>(std::clamp<int64_t>(value, 0, UINT32_MAX));
}

void write(const ServiceLoad& value, wire::ServiceLoad::Builder out)
{
    out.setService(value.service);
    out.setRunning(to_wire(value.running));
    out.setSlots(to_wire(value.slots));
    out.setBusy(to_wire(value.busy));
    out.setQueued(to_wire(value.queued));
    out.setRefused(to_wire(value.refused));
}

ServiceLoad read(wire::ServiceLoad::Reader in)
{
    return { to_string(in.getService()),
             in.getRunning(),
             in.getSlots(),
             in.getBusy(),
             in.getQueued(),
             in.getRefused() };
}

void write(const ShardSummary& value, wire::ShardSummary::Builder out)
{
    out.setShard(value.shard);
    out.setEpoch(value.epoch);
    out.setRegion(value.region);
    out.setDomain(value.domain);
    out.setBoxes(to_wire(value.boxes));
    out.setFreeCpuMillis(value.free.cpu_millis);
    out.setFreeMemoryMb(value.free.memory_mb);
    out.setFreeAccelerators(value.free.accelerators);
    out.setPendingTasks(to_wire(value.pending));
    auto services = out.initServices(static_cast<unsigned>(value.services.size()));
    for (unsigned i = 0; i < value.services.size(); ++i)
        write(value.services[i], services[i]);
}

ShardSummary read(wire::ShardSummary::Reader in)
{
    ShardSummary value;
    value.shard = to_string(in.getShard());
    value.epoch = in.getEpoch();
    value.region = to_string(in.getRegion());
    value.domain = to_string(in.getDomain());
    value.boxes = in.getBoxes();
    value.free = { in.getFreeCpuMillis(), in.getFreeMemoryMb(), in.getFreeAccelerators() };
    value.pending = in.getPendingTasks();
    for (const auto service : in.getServices())
        value.services.push_back(read(service));
    return value;
}

void write(const TeamUse& value, wire::TeamUse::Builder out)
{
    out.setTeam(value.team);
    out.setCpuMillis(value.used.cpu_millis);
    out.setMemoryMb(value.used.memory_mb);
    out.setAccelerators(value.used.accelerators);
}

TeamUse read(wire::TeamUse::Reader in)
{
    return { to_string(in.getTeam()),
             { in.getCpuMillis(), in.getMemoryMb(), in.getAccelerators() } };
}

constexpr unsigned last_outcome = static_cast<unsigned>(RequestOutcome::failed);
constexpr unsigned last_failure_kind = static_cast<unsigned>(FailureKind::internal);

// A value that this version does not know is read as the one that promises least.
RequestOutcome read_outcome(unsigned value)
{
    return value <= last_outcome ? static_cast<RequestOutcome>(value)
                                 : RequestOutcome::may_have_run;
}

FailureKind read_failure_kind(unsigned value)
{
    return value <= last_failure_kind ? static_cast<FailureKind>(value)
                                      : FailureKind::internal;
}

} // namespace

void write(const ForwardRequest& value, wire::ForwardRequest::Builder out)
{
    out.setRequestId(value.request_id);
    out.setService(value.service);
    out.setPath(value.path);
    out.setContentType(value.content_type);
    out.setBody(to_data(value.body));
    out.setRepeatable(value.repeatable);
    out.setTimeLeftMs(to_wire(value.time_left.count()));
    out.setStage(static_cast<uint8_t>(value.stage));
    out.setFrom(value.from);
}

ForwardRequest read(wire::ForwardRequest::Reader in)
{
    ForwardRequest value;
    value.request_id = to_string(in.getRequestId());
    value.service = to_string(in.getService());
    value.path = to_string(in.getPath());
    value.content_type = to_string(in.getContentType());
    value.body = to_string(in.getBody());
    value.repeatable = in.getRepeatable();
    value.time_left = Millis(in.getTimeLeftMs());
    value.stage = in.getStage() == 0 ? ForwardStage::dispatch : ForwardStage::admit;
    value.from = to_string(in.getFrom());
    return value;
}

void write(const ForwardAnswer& value, wire::ForwardAnswer::Builder out)
{
    out.setOutcome(static_cast<uint8_t>(value.outcome));
    out.setStatus(static_cast<uint16_t>(value.status));
    out.setContentType(value.content_type);
    out.setBody(to_data(value.body));
    out.setRetryAfterMs(to_wire(value.retry_after.count()));
    out.setFailureKind(static_cast<uint8_t>(value.failure.kind()));
    out.setDetail(value.failure.detail());
}

ForwardAnswer read(wire::ForwardAnswer::Reader in)
{
    ForwardAnswer value;
    value.outcome = read_outcome(in.getOutcome());
    value.status = in.getStatus();
    value.content_type = to_string(in.getContentType());
    value.body = to_string(in.getBody());
    value.retry_after = Millis(in.getRetryAfterMs());
    value.failure
        = Failure(read_failure_kind(in.getFailureKind()), to_string(in.getDetail()));
    return value;
}

void write(const Beat& value, wire::Beat::Builder out)
{
    out.setNode(value.node);
    out.setIncarnation(value.incarnation);
    out.setRegion(value.region);
    out.setConfigRevision(value.config_revision);
    out.setVersion(value.version);
    out.setBase(value.base);
    out.setKnown(value.known);
    auto gone = out.initGone(static_cast<unsigned>(value.gone.size()));
    for (unsigned i = 0; i < value.gone.size(); ++i)
        gone.set(i, value.gone[i]);
    out.setPromiseMs(to_wire(value.promise.count()));
    auto shards = out.initShards(static_cast<unsigned>(value.shards.size()));
    for (unsigned i = 0; i < value.shards.size(); ++i)
        write(value.shards[i], shards[i]);
    auto teams = out.initTeams(static_cast<unsigned>(value.teams.size()));
    for (unsigned i = 0; i < value.teams.size(); ++i)
        write(value.teams[i], teams[i]);
}

Beat read(wire::Beat::Reader in)
{
    Beat value;
    value.node = to_string(in.getNode());
    value.incarnation = to_string(in.getIncarnation());
    value.region = to_string(in.getRegion());
    value.config_revision = in.getConfigRevision();
    value.version = in.getVersion();
    value.base = in.getBase();
    value.known = in.getKnown();
    for (const auto shard : in.getGone())
        value.gone.push_back(to_string(shard));
    value.promise = Millis(in.getPromiseMs());
    for (const auto shard : in.getShards())
        value.shards.push_back(read(shard));
    for (const auto team : in.getTeams())
        value.teams.push_back(read(team));
    return value;
}

void write(const ConfigRow& value, wire::ConfigRow::Builder out)
{
    out.setKey(value.key);
    out.setValue(value.value);
    out.setRevision(value.revision);
}

ConfigRow read(wire::ConfigRow::Reader in)
{
    return { to_string(in.getKey()), to_string(in.getValue()), in.getRevision() };
}

} // namespace pathport
