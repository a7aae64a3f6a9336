# Copyright the pathport authors.
# SPDX-License-Identifier: Apache-2.0
#
# What pathport's nodes say to each other. peer.capnp.h and peer.capnp.c++ are generated from
# this file and committed: `capnp compile -oc++ src/rpc.lib/peer.capnp`.

@0xe2a5b1c7f40d9836;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("pathport::wire");

struct ForwardRequest {
  requestId @0 :Text;
  service @1 :Text;
  path @2 :Text;
  contentType @3 :Text;
  body @4 :Data;
  repeatable @5 :Bool;
  timeLeftMs @6 :UInt32;
  stage @7 :UInt8;          # 0 dispatch to own replicas, 1 admit first, then route
  from @8 :Text;
}

struct ForwardAnswer {
  outcome @0 :UInt8;        # 0 answered, 1 not run, 2 may have run, 3 ran and failed
  status @1 :UInt16;
  contentType @2 :Text;
  body @3 :Data;
  retryAfterMs @4 :UInt32;
  failureKind @5 :UInt8;
  detail @6 :Text;
}

struct ServiceLoad {
  service @0 :Text;
  running @1 :UInt32;
  slots @2 :UInt32;         # slots of the running replicas
  busy @3 :UInt32;          # requests in flight
  queued @4 :UInt32;
  refused @5 :UInt32;       # replicas that the shard had no room for
}

struct ShardSummary {
  shard @0 :Text;
  epoch @1 :Int64;
  region @2 :Text;
  domain @3 :Text;
  boxes @4 :UInt32;         # usable boxes
  freeCpuMillis @5 :Int64;
  freeMemoryMb @6 :Int64;
  freeAccelerators @7 :Int64;
  pendingTasks @8 :UInt32;
  services @9 :List(ServiceLoad);
}

struct TeamUse {
  team @0 :Text;
  cpuMillis @1 :Int64;
  memoryMb @2 :Int64;
  accelerators @3 :Int64;
}

struct Beat {
  node @0 :Text;
  incarnation @1 :Text;
  region @2 :Text;
  configRevision @3 :Int64;
  version @4 :Int64;        # of the sender's load, after this beat
  promiseMs @5 :UInt32;     # the sender takes no shard of the receiver for so long
  shards @6 :List(ShardSummary);  # changed since `base`
  teams @7 :List(TeamUse);  # changed since `base`; empty amounts for what has gone
  base @8 :Int64;           # version that the changes build on; 0 when all is told
  known @9 :Int64;         # version of the receiver's load that the sender holds
  gone @10 :List(Text);     # shards that the sender no longer owns
}

struct ConfigRow {
  key @0 :Text;
  value @1 :Text;
  revision @2 :Int64;
}

struct AdmittedId {
  id @0 :Text;
  timeMs @1 :Int64;
}

interface Peer {
  forward @0 (request :ForwardRequest) -> (answer :ForwardAnswer);
  beat @1 (beat :Beat) -> (beat :Beat);
  configSince @2 (revision :Int64) -> (revision :Int64, rows :List(ConfigRow));
  wake @3 (shards :List(Text)) -> ();
  handOver @5 (shard :Text, epoch :Int64, barrierMs :Int64, ids :List(AdmittedId)) -> ();
  ask @4 (kind :Text, name :Text) -> (found :Bool, answer :Text);
}
