// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#define BOOST_TEST_MODULE table
#include <boost/test/unit_test.hpp>

#include "table_engine.h"

#include <pathport/table.h>

using namespace pathport;
using standin::TableEngine;
using standin::TableFaults;

namespace {

// A table that applies a transaction late: it loses the answer at once, and lets the
// transaction take effect when the test says so.
class LateTable : public Table {
public:
    explicit LateTable(TableEngine& engine)
        : m_engine(engine)
    {
    }

    std::optional<TableResult> run(const TableTxn& txn, Failure& reason) override
    {
        if (hold_next && !txn.puts.empty()) {
            hold_next = false;
            held = txn;
            reason = Failure(FailureKind::outcome_unknown, "held");
            return std::nullopt;
        }
        return m_engine.run(txn, reason);
    }

    void let_go()
    {
        Failure reason;
        m_engine.run(*held, reason);
    }

    bool hold_next = false;
    std::optional<TableTxn> held;

private:
    TableEngine& m_engine;
};

TableTxn increment(int64_t version, const std::string& value)
{
    TableTxn txn;
    txn.checks.push_back({ "row", version });
    txn.puts.push_back({ "row", value });
    return txn;
}

TableTxn append(const std::string& key)
{
    TableTxn txn;
    txn.puts.push_back({ key, "x" });
    return txn;
}

std::vector<TableRow> read(TableEngine& engine, const std::string& prefix)
{
    Failure reason;
    TableTxn txn;
    txn.ranges.push_back({ prefix, 0 });
    return engine.run(txn, reason)->ranges.front();
}

} // namespace

BOOST_AUTO_TEST_CASE(checks_guard_all_writes_of_a_transaction)
{
    ManualClock clock;
    TableEngine engine(clock, 0);
    Failure reason;
    BOOST_TEST(engine.run(increment(0, "a"), reason)->committed);
    const auto refused = engine.run(increment(0, "b"), reason);
    BOOST_TEST(!refused->committed);
    BOOST_TEST(refused->conflicts.front().value == "a");
    BOOST_TEST(read(engine, "row").front().value == "a");
}

BOOST_AUTO_TEST_CASE(ranges_give_only_rows_after_a_revision)
{
    ManualClock clock;
    TableEngine engine(clock, 0);
    Failure reason;
    const auto first = engine.run(append("p/1"), reason);
    engine.run(append("p/2"), reason);
    TableTxn txn;
    txn.ranges.push_back({ "p/", first->revision });
    const auto result = engine.run(txn, reason);
    BOOST_TEST(result->ranges.front().size() == 1U);
    BOOST_TEST(result->ranges.front().front().key == "p/2");
}

// Trap 2: the commit takes effect, the answer is lost, the writer retries.
BOOST_AUTO_TEST_CASE(lane_resolves_a_lost_answer_without_a_second_effect)
{
    ManualClock clock;
    TableEngine engine(clock, 0);
    TableLane lane(engine, "writer");
    Failure reason;
    BOOST_TEST(lane.commit(append("before"), reason)->committed);
    TableFaults faults;
    faults.lose_answers = 2;
    engine.set_faults(faults);
    const auto result = lane.commit(increment(0, "a"), reason);
    BOOST_REQUIRE(result);
    BOOST_TEST(result->committed);
    BOOST_TEST(read(engine, "row").front().value == "a");
    BOOST_TEST(read(engine, "row").front().version == result->revision);
}

BOOST_AUTO_TEST_CASE(lane_sends_again_what_was_lost_on_its_way)
{
    ManualClock clock;
    TableEngine engine(clock, 0);
    TableLane lane(engine, "writer");
    Failure reason;
    lane.commit(append("before"), reason);
    TableFaults faults;
    faults.lose_requests = 2;
    engine.set_faults(faults);
    BOOST_TEST(lane.commit(append("row"), reason)->committed);
    BOOST_TEST(read(engine, "row").size() == 1U);
}

// A read changes nothing, so its lost answer once made a change "outcome unknown" for no
// reason.
BOOST_AUTO_TEST_CASE(lost_answer_of_a_read_leaves_nothing_unknown)
{
    ManualClock clock;
    TableEngine engine(clock, 0);
    TableFaults faults;
    faults.lose_answers = 2;
    engine.set_faults(faults);
    Failure reason;
    BOOST_TEST(read_table(engine, { { "p/", 0 } }, reason).has_value());
    faults.lose_answers = 100;
    engine.set_faults(faults);
    TableLane lane(engine, "writer");
    BOOST_TEST(!lane.commit(append("row"), reason));
    BOOST_TEST((reason.kind() == FailureKind::unavailable));
}

BOOST_AUTO_TEST_CASE(lane_says_unknown_only_when_all_answers_are_lost)
{
    ManualClock clock;
    TableEngine engine(clock, 0);
    TableLane lane(engine, "writer");
    Failure reason;
    lane.commit(append("before"), reason);
    TableFaults faults;
    faults.lose_answers = 100;
    engine.set_faults(faults);
    BOOST_TEST(!lane.commit(append("row"), reason));
    BOOST_TEST((reason.kind() == FailureKind::outcome_unknown));
    engine.set_faults(TableFaults());
    BOOST_TEST(lane.commit(append("other"), reason)->committed);
}

// A transaction that was given up on must not take effect once a later one of the lane has.
BOOST_AUTO_TEST_CASE(lane_shuts_out_its_own_late_transaction)
{
    ManualClock clock;
    TableEngine engine(clock, 0);
    LateTable table(engine);
    TableLane lane(table, "writer");
    Failure reason;
    lane.commit(append("before"), reason);
    table.hold_next = true;
    // The held sending is repeated by the lane, so it is in the table once; the late copy
    // must not overwrite what comes after it.
    BOOST_TEST(lane.commit(append("row"), reason)->committed);
    TableTxn change;
    change.puts.push_back({ "row", "newer" });
    BOOST_TEST(lane.commit(change, reason)->committed);
    table.let_go();
    BOOST_TEST(read(engine, "row").front().value == "newer");
}

BOOST_AUTO_TEST_CASE(down_and_overloaded_say_that_nothing_was_changed)
{
    ManualClock clock;
    TableEngine engine(clock, 1);
    TableLane lane(engine, "writer");
    Failure reason;
    engine.run(append("a"), reason);
    BOOST_TEST(!engine.run(append("b"), reason));
    BOOST_TEST((reason.kind() == FailureKind::overloaded));
    clock.advance(Millis(1000));
    TableFaults faults;
    faults.down = true;
    engine.set_faults(faults);
    BOOST_TEST(!lane.commit(append("b"), reason));
    BOOST_TEST((reason.kind() == FailureKind::unavailable));
    engine.set_faults(TableFaults());
    BOOST_TEST(read(engine, "b").empty());
}

BOOST_AUTO_TEST_CASE(transactions_and_results_survive_their_encoding)
{
    TableTxn txn = increment(7, "a \"quoted\" value");
    txn.deletes.push_back("gone");
    txn.ranges.push_back({ "p/", 3 });
    Failure reason;
    const auto decoded = decode_txn(encode_txn(txn), reason);
    BOOST_REQUIRE(decoded);
    BOOST_TEST(encode_txn(*decoded) == encode_txn(txn));
    TableResult result;
    result.committed = true;
    result.revision = 9;
    result.ranges = { { { "k", "v", 4 } }, {} };
    const auto decoded_result = decode_result(encode_result(result), reason);
    BOOST_REQUIRE(decoded_result);
    BOOST_TEST(encode_result(*decoded_result) == encode_result(result));
    BOOST_TEST(!decode_txn("{\"puts\": 3}", reason));
    BOOST_TEST(!decode_result("[]", reason));
}
