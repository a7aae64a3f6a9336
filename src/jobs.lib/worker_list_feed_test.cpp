// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The list of workers, read from the store.
///
/// Guards against a list whose reading costs as much as the cell is large: it was read as a
/// whole more than once a second, which took 4 MB a second at 6,000 workers. And against
/// workers that a late or repeated answer lists again after they have gone.

#define BOOST_TEST_MODULE worker_list_feed
#include <boost/test/unit_test.hpp>

#include <pathport/emulator/store.h>
#include <pathport/jobs/worker_list_feed.h>

using namespace pathport;
using namespace pathport::jobs;

namespace {

const char* const table = "workers";

/// A store with a list of workers, and a feed that reads it.
struct FeedFixture {
    emulator::World world { 5 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort port { store, loop, "n1" };
    WorkerListFeed feed { port, table, [this](const StoredRow& row) {
                             ++rows_parsed;
                             WorkerInfo worker;
                             worker.id = row.id.key;
                             worker.address = row.value;
                             return row.value == "unreadable"
                                 ? std::nullopt
                                 : std::optional<WorkerInfo>(worker);
                         } };
    int64_t rows_parsed = 0;

    static RowKey row(int number)
    {
        return { table, "", "worker" + std::to_string(100000 + number) };
    }
    void put(int number, const std::string& value)
    {
        StoreWrite write;
        write.puts.push_back({ row(number), value });
        store.write_now(write);
    }
    void remove(int number)
    {
        StoreWrite write;
        write.removes.push_back(row(number));
        store.write_now(write);
    }
    void put_all(int count)
    {
        for (int i = 0; i < count; ++i)
            put(i, "first");
    }
    /// Reads the list; empty without an answer.
    std::optional<std::vector<WorkerInfo>> read()
    {
        std::optional<std::vector<WorkerInfo>> list;
        feed.read(Millis(500),
                  [&](const WorkerListFeed::Answer& answer) { list = answer.value; });
        world.run_for(Millis(3000));
        return list;
    }
    /// Returns the rows that a read takes after `changed` of `count` workers have changed.
    int64_t rows_of_second_read(int count, int changed)
    {
        put_all(count);
        BOOST_REQUIRE(read()->size() == size_t(count));
        for (int i = 0; i < changed; ++i)
            put(i, "second");
        rows_parsed = 0;
        BOOST_REQUIRE(read()->size() == size_t(count));
        return rows_parsed;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(later_reads_cost_as_much_as_has_changed)
{
    for (const int workers : { 60, 600, 6000 }) {
        FeedFixture fixture;
        BOOST_TEST(fixture.rows_of_second_read(workers, 20) == 20, workers << " workers");
    }
}

BOOST_FIXTURE_TEST_CASE(changes_removals_and_unreadable_rows_are_followed, FeedFixture)
{
    put_all(5);
    read();
    put(1, "second");
    remove(2);
    put(3, "unreadable");
    put(7, "first");
    const auto list = read();
    BOOST_REQUIRE(list);
    BOOST_REQUIRE(list->size() == 4U);
    BOOST_TEST(list->at(1).address == "second");
    BOOST_TEST(list->at(2).id == row(4).key);
    BOOST_TEST(list->at(3).id == row(7).key);
    put(3, "readable");
    BOOST_TEST(read()->size() == 5U);
}

BOOST_FIXTURE_TEST_CASE(lost_history_is_made_up_by_a_full_read, FeedFixture)
{
    put_all(1200); // Several pages.
    read();
    remove(5);
    put(6, "second");
    store.compact();
    const auto list = read();
    BOOST_REQUIRE(list);
    BOOST_TEST(list->size() == 1199U);
    BOOST_TEST(list->at(5).address == "second");
}

BOOST_FIXTURE_TEST_CASE(failed_reads_lose_nothing, FeedFixture)
{
    put_all(3);
    store.injected.refuse_calls = true;
    BOOST_TEST(!read());
    store.injected.refuse_calls = false;
    BOOST_TEST(read()->size() == 3U);
    remove(0);
    store.injected.unresponsive = true;
    BOOST_TEST(!read());
    store.injected.unresponsive = false;
    BOOST_TEST(read()->size() == 2U);
}

namespace {

/// A store whose watches are answered by the test.
class ManualStore : public JobStore {
public:
    std::vector<StoreReply> watches;
    StoreResult list; ///< Answer to reads.

    void write(const StoreWrite&, Millis, StoreReply) override { }
    void read(const StoreRange&, Millis, StoreReply done) override { done(list); }
    void watch(const std::string&, int64_t, Millis, StoreReply done) override
    {
        watches.push_back(std::move(done));
    }
};

StoredRow worker_row(const char* key, int64_t version, bool removed = false)
{
    return { { table, "", key }, "first", version, removed };
}

StoreResult result_of(int64_t version, std::vector<StoredRow> rows)
{
    StoreResult result;
    result.status = StoreStatus::ok;
    result.version = version;
    result.rows = std::move(rows);
    return result;
}

} // namespace

// Two watches from one version; the earlier answer, which lacks the removal, comes last.
BOOST_AUTO_TEST_CASE(answer_that_was_overtaken_does_not_list_a_worker_again)
{
    ManualStore store;
    store.list = result_of(100, {});
    WorkerListFeed feed(store, table, [](const StoredRow& row) {
        WorkerInfo worker;
        worker.id = row.id.key;
        return std::optional<WorkerInfo>(worker);
    });
    size_t listed = 0;
    const auto note
        = [&](const WorkerListFeed::Answer& answer) { listed = answer.value->size(); };
    feed.read(Millis(500), note);
    feed.read(Millis(500), note);
    feed.read(Millis(500), note);
    BOOST_REQUIRE(store.watches.size() == 2U);
    store.watches[1](result_of(150, { worker_row("w", 140, true) }));
    store.watches[0](result_of(130, { worker_row("w", 120) }));
    BOOST_TEST(listed == 0U);
}
