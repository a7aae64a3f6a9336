#!/usr/bin/env bash
# Takes one guard at a time out of a scratch copy and runs the tests that must then fail.
# Ends with an error when one of them still passes.
set -euo pipefail
cd "$(dirname "$0")/.."
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git archive HEAD | tar -x -C "$copy"
cmake --preset default -S "$copy" -B "$copy/build" >/dev/null
export RC_PARAMS="max_success=1500 seed=20261202"
survivors=0

# mutant NAME FILE OLD NEW TEST
mutant() {
    local name=$1 file=$copy/$2 old=$3 new=$4 test=$5
    cp "$file" "$file.kept"
    python3 - "$file" "$old" "$new" <<'PY'
import sys
path, old, new = sys.argv[1:]
text = open(path).read()
if text.count(old) < 1:
    sys.exit(f"guard not found in {path}: {old}")
open(path, "w").write(text.replace(old, new, 1))
PY
    cmake --build "$copy/build" --target "$test" >/dev/null
    if timeout 100 "$copy/build/bin/$test" >"$copy/out" 2>&1; then
        echo "SURVIVED $name: $test still passes"
        survivors=$((survivors + 1))
    else
        echo "caught   $name by $test: $(grep -aoE 'in "[a-z_0-9]+"' "$copy/out" | sort -u | tr '\n' ' ')"
    fi
    mv "$file.kept" "$file"
    touch "$file"
}

mutant "lane without its version check" src/table.lib/table_lane.cpp \
    'txn.checks.back().version = m_version;' 'txn.checks.pop_back();' table_test
mutant "box without sequence" src/standins/box_engine.cpp \
    'exchange.epoch == m_epoch && exchange.sequence <= m_sequence' 'false' keeper_test
mutant "box without epoch" src/standins/box_engine.cpp \
    'if (exchange.epoch < m_epoch) {' 'if (false) {' keeper_test
mutant "box without incarnation" src/standins/box_engine.cpp \
    'if (exchange.incarnation != m_incarnation)' 'if (false)' keeper_test
mutant "commit without shard rows" src/placement.lib/keeper_commits.cpp \
    'for (const std::string& shard : shards) {' 'for (const std::string& shard : std::set<std::string>()) {' keeper_test
mutant "commit without inbox row" src/placement.lib/keeper_commits.cpp \
    'if (change.inbox_row)' 'if (false)' keeper_test
mutant "lapse without its margin and lease" src/placement.lib/keeper_boxes.cpp \
    'now > box.last_report + m_spans.box_lease + m_spans.lapse_margin' 'true' keeper_test
mutant "answers from before a reload" src/placement.lib/keeper_boxes.cpp \
    '|| sequence <= box.taken_sequence' '' keeper_test
mutant "admission without barrier" src/ownership.lib/admission.cpp \
    'id_time <= r.barrier + m_spans.margin || ' '' ownership_test
mutant "admission without future check" src/ownership.lib/admission.cpp \
    'if (id_time > table_earliest + m_spans.margin)' 'if (false)' ownership_test
mutant "promise not kept" src/ownership.lib/membership.cpp \
    'if (!is_stale(member, now) || now < member.promised_until)' 'if (!is_stale(member, now))' ownership_test
mutant "foreign slots not counted" src/routing.lib/dispatcher.cpp \
    'const int64_t load = box.in_flight + box.foreign;' 'const int64_t load = box.in_flight;' routing_test
mutant "doubt forgotten" src/routing.lib/dispatcher.cpp \
    'if (waiting.in_doubt && answer.outcome == RequestOutcome::not_run)' 'if (false)' routing_test
mutant "configuration may go back" src/node.lib/config_view.cpp \
    'present->second.revision >= row.revision' 'present->second.revision == row.revision' node_test
mutant "lease without promises of all" src/node.lib/cell_view.cpp \
    'if (since <= m_lease_until)' 'if (true)' node_test
mutant "kept connection for all" src/http.lib/http_client.cpp \
    'connection == HttpConnection::fresh ? make_client() : m_shared' 'm_shared' http_test

echo "$survivors guards survived"
[ "$survivors" -eq 0 ]
