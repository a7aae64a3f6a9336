// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Outcomes that an acceptor reports for submissions and cancellations whose writes are
/// lost, late or combined with others.

#define BOOST_TEST_MODULE acceptor
#include <boost/test/unit_test.hpp>

#include "acceptor.h"
#include "store_keys.h"

#include <pathport/emulator/cell.h>
#include <pathport/log.h>

#include <deque>
#include <map>
#include <optional>
#include <utility>

using namespace pathport;
using namespace pathport::jobs;

namespace {

constexpr Millis write_time { 5000 };

struct LogFixture {
    LogFixture() { start_log("test", LogLevel::error); }
};

/// Forwards reads to a store and holds writes until they are released.
class HoldingStore : public JobStore {
public:
    HoldingStore(emulator::Store& store, emulator::ProcessLoop& loop)
        : m_store(store)
        , m_port(store, loop, "n1")
    {
    }

    bool holds = true; ///< Writes are held and get no reply.

    void write(const StoreWrite& write, Millis timeout, StoreReply done) override
    {
        if (holds)
            m_held.push_back(write);
        else
            m_port.write(write, timeout, std::move(done));
    }
    void read(const StoreRange& range, Millis timeout, StoreReply done) override
    {
        m_port.read(range, timeout, std::move(done));
    }
    void watch(const std::string& table, int64_t version, Millis wait,
               StoreReply done) override
    {
        m_port.watch(table, version, wait, std::move(done));
    }

    /// Returns the number of writes that are held.
    size_t held() const { return m_held.size(); }
    /// Executes the oldest held write; its caller gets no reply.
    void release_oldest()
    {
        m_store.write_now(m_held.front());
        m_held.pop_front();
    }

private:
    emulator::Store& m_store;
    emulator::StorePort m_port;
    std::deque<StoreWrite> m_held;
};

/// An acceptor on a store that holds writes, and the outcomes that it reported.
struct HeldAcceptor {
    emulator::World world { 5 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    HoldingStore port { store, loop };
    Metrics metrics;
    StoreHealth health { loop, port, metrics };
    Acceptor acceptor { loop, health };
    std::map<std::string, WriteOutcome> outcomes;

    void accept(const std::string& id)
    {
        acceptor.accept(id, "row of " + id, "", world.now() + write_time,
                        [this, id](WriteResult result) { outcomes[id] = result.outcome; });
    }
    void cancel(const std::string& id)
    {
        acceptor.cancel(id, {}, world.now() + write_time, [this, id](WriteResult result) {
            outcomes[id + cancel_suffix] = result.outcome;
        });
    }
    /// Writes a row, as another node would.
    void put(const RowKey& row, const std::string& value)
    {
        StoreWrite write;
        write.puts.push_back({ row, value });
        store.write_now(write);
    }
    /// Returns whether `written` was reported.
    bool reported_written(const std::string& name) const
    {
        const auto found = outcomes.find(name);
        return found != outcomes.end() && found->second == WriteOutcome::written;
    }
    /// Runs until `count` writes are held.
    void run_until_held(size_t count)
    {
        for (int i = 0; i < 1000 && port.held() < count; ++i)
            world.run_for(Millis(5));
        BOOST_REQUIRE(port.held() >= count);
    }
};

/// Returns the ids of `count` jobs whose rows are in the same partition.
std::vector<std::string> ids_of_one_partition(size_t count)
{
    std::vector<std::string> ids;
    for (int i = 0; ids.size() < count; ++i) {
        const std::string id = "job" + std::to_string(i);
        if (job_partition(id) == job_partition("job0"))
            ids.push_back(id);
    }
    return ids;
}

} // namespace

BOOST_GLOBAL_FIXTURE(LogFixture);

// Guards against a job that is reported as accepted but not stored: a write of two jobs got
// no reply, and the row of the first job was there, from an earlier write that was executed
// late. The second job was reported as accepted without being stored, and the next leader
// did not know it.
BOOST_AUTO_TEST_CASE(a_row_of_an_earlier_write_proves_nothing_about_the_others)
{
    const auto ids = ids_of_one_partition(2);
    HeldAcceptor cell;
    cell.accept(ids[0]);
    cell.run_until_held(1);
    cell.world.run_for(Millis(20));
    cell.accept(ids[1]); // It is part of the second write.
    cell.run_until_held(2);
    cell.port.release_oldest();
    cell.run_until_held(2); // A third one, after the second one timed out.
    for (int i = 0; i < 100; ++i) {
        cell.world.run_for(Millis(10));
        for (const std::string& id : ids) {
            if (cell.reported_written(id))
                BOOST_TEST(!cell.store.value(job_row(id)).empty(), id);
        }
    }
    cell.port.holds = false;
    cell.world.run_for(write_time);
    for (const std::string& id : ids) {
        BOOST_TEST(cell.reported_written(id), id);
        BOOST_TEST(!cell.store.value(job_row(id)).empty(), id);
    }
}

// The same with a row of another node: two callers cancel one job through two nodes, and a
// submission shares the transaction of one of them.
BOOST_AUTO_TEST_CASE(a_cancellation_of_another_node_proves_nothing_about_a_submission)
{
    const auto ids = ids_of_one_partition(2);
    HeldAcceptor cell;
    cell.put(job_row(ids[0]), "row");
    cell.port.holds = false;
    cell.world.run_for(Millis(50));
    cell.port.holds = true;
    cell.cancel(ids[0]);
    cell.run_until_held(1);
    cell.accept(ids[1]);
    cell.run_until_held(2);
    cell.put(cancel_row(ids[0]), "1");
    for (int i = 0; i < 100; ++i) {
        cell.world.run_for(Millis(10));
        if (cell.reported_written(ids[1]))
            BOOST_TEST(!cell.store.value(job_row(ids[1])).empty());
    }
    cell.port.holds = false;
    cell.world.run_for(write_time);
    BOOST_TEST(cell.reported_written(ids[0] + cancel_suffix));
    BOOST_TEST(cell.reported_written(ids[1]));
    BOOST_TEST(!cell.store.value(job_row(ids[1])).empty());
}

// Submissions in one partition while the store loses replies, is slow and executes writes
// late: whatever is reported as written must be stored.
BOOST_AUTO_TEST_CASE(reported_writes_are_in_the_store)
{
    const auto ids = ids_of_one_partition(40);
    for (uint64_t seed = 1; seed <= 60; ++seed) {
        emulator::World world { seed };
        emulator::Store store { world };
        emulator::ProcessLoop loop { world };
        emulator::StorePort port { store, loop, "n1" };
        Metrics metrics;
        StoreHealth health { loop, port, metrics };
        Acceptor acceptor { loop, health };
        int not_stored = 0;
        store.injected.lost_write_replies = 0.6;
        store.injected.delay_lost_writes = true;
        for (const std::string& id : ids) {
            acceptor.accept(id, "row of " + id, "", world.now() + write_time,
                            [&store, &not_stored, id](WriteResult result) {
                                if (result.outcome == WriteOutcome::written
                                    && store.value(job_row(id)).empty())
                                    ++not_stored;
                            });
            store.injected.latency_factor = world.chance(0.2) ? 40 : 1;
            world.run_for(Millis(int64_t(world.random_below(120))));
        }
        world.run_for(write_time);
        BOOST_TEST(not_stored == 0, "seed " << seed << ": " << not_stored);
    }
}

// Guards against an accepted job that is lost with its leader: the job is accepted and
// announced, its tasks run and fail once, and the next leader does not know it.
BOOST_AUTO_TEST_CASE(accepted_jobs_outlive_their_leader_when_answers_are_lost)
{
    const auto ids = ids_of_one_partition(60);
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        emulator::Cell cell(seed, 3, 6);
        cell.world.run_for(Millis(2000));
        emulator::StepModel facts;
        facts.count = 3;
        facts.run_ms = 600;
        facts.failing_runs = 1;
        facts.need = { 450, 528, 0 };
        facts.payload = "p";
        jobs::JobSpec spec;
        spec.payload = "p";
        jobs::StepSpec step;
        step.count = facts.count;
        step.need = facts.need;
        step.expected_ms = facts.run_ms;
        spec.steps.push_back(step);
        cell.store.injected.lost_write_replies = 0.95;
        cell.store.injected.delay_lost_writes = true;
        for (const std::string& id : ids) {
            cell.submit(id, spec, { facts }, false);
            cell.world.run_for(Millis(40));
        }
        cell.store.injected.lost_write_replies = 0;
        cell.world.run_for(Millis(700));
        for (const std::string& node : cell.node_names())
            cell.kill(node, Millis(500));
        cell.world.run_for(Millis(25000));
        std::string text;
        for (const std::string& line : cell.final_violations())
            text += "\n  " + line;
        BOOST_TEST(text.empty(), "seed " << seed << text);
    }
}

// Compares the reported outcomes with the content of the store, at once and 15 seconds
// later.
BOOST_AUTO_TEST_CASE(outcomes_of_submissions_hold)
{
    int refused = 0;
    int in_doubt = 0;
    int written = 0;
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        emulator::World world { seed };
        emulator::Store store { world };
        emulator::ProcessLoop loop { world };
        emulator::ProcessLoop other_loop { world };
        emulator::StorePort port { store, loop, "n1" };
        emulator::StorePort other_port { store, other_loop, "n2" };
        Metrics metrics;
        StoreHealth health { loop, port, metrics };
        StoreHealth other_health { other_loop, other_port, metrics };
        Acceptor acceptor { loop, health };
        Acceptor other { other_loop, other_health };
        std::vector<std::string> ids;
        for (int i = 0; ids.size() < 40; ++i) {
            const std::string id = "job" + std::to_string(i);
            if (job_partition(id) == job_partition("job0"))
                ids.push_back(id);
        }
        std::map<std::string, std::vector<WriteResult>> results;
        const auto stored = [&store](const RowKey& row) -> int64_t {
            StoreRange range { row.table, row.partition, row.key, row.key + "!", 1 };
            const auto found = store.read_now(range);
            return found.rows.empty() ? 0 : found.rows.front().version;
        };
        for (int i = 0; i < 120; ++i) {
            const std::string id = ids[world.random_below(ids.size())];
            Acceptor& node = world.chance(0.7) ? acceptor : other;
            store.injected.lost_write_replies = world.chance(0.5) ? 0.5 : 0;
            store.injected.delay_lost_writes = world.chance(0.5);
            store.injected.refuse_calls = world.chance(0.1);
            store.injected.unresponsive = world.chance(0.05);
            store.injected.latency_factor = world.chance(0.3) ? 60 : 1;
            if (world.chance(0.2)) {
                // A submission in flight may be stored after the cancellation read the row.
                const bool was_there = stored(job_row(id)) > 0;
                node.cancel(id, {}, world.now() + Millis(1200),
                            [&, id, was_there](WriteResult result) {
                                if (result.outcome == WriteOutcome::written)
                                    BOOST_TEST((stored(cancel_row(id)) > 0
                                                || stored(closed_row(id)) > 0));
                                if (result.outcome == WriteOutcome::missing)
                                    BOOST_TEST(!was_there);
                            });
            } else if (world.chance(0.1) && stored(job_row(id)) > 0) {
                StoreWrite archive;
                archive.puts.push_back({ closed_row(id), "x" });
                archive.removes.push_back(job_row(id));
                store.write_now(archive);
            } else {
                node.accept(id, "row" + std::to_string(i), "", world.now() + Millis(1200),
                            [&, id](WriteResult result) {
                                results[id].push_back(result);
                                if (result.outcome != WriteOutcome::written)
                                    return;
                                const int64_t at = stored(job_row(id));
                                BOOST_TEST((at > 0 || stored(closed_row(id)) > 0),
                                           "seed " << seed << " " << id);
                                if (at > 0 && result.version != 0)
                                    BOOST_TEST(at == result.version);
                            });
            }
            world.run_for(Millis(int64_t(world.random_below(150))));
        }
        world.run_for(Millis(15000));
        for (const auto& [id, all] : results) {
            bool only_refused = true;
            for (const WriteResult& result : all) {
                only_refused = only_refused && result.outcome == WriteOutcome::refused;
                refused += result.outcome == WriteOutcome::refused ? 1 : 0;
                in_doubt += result.outcome == WriteOutcome::in_doubt ? 1 : 0;
                written += result.outcome == WriteOutcome::written ? 1 : 0;
            }
            if (only_refused)
                BOOST_TEST((stored(job_row(id)) == 0 && stored(closed_row(id)) == 0),
                           "seed " << seed << " refused and there: " << id);
        }
    }
    BOOST_TEST_MESSAGE("written " << written << " refused " << refused << " in doubt "
                                  << in_doubt);
}

// Guards against a row that the store will never take and that keeps other jobs of its
// partition from being accepted.
BOOST_AUTO_TEST_CASE(rejected_row_is_refused_and_holds_back_no_other)
{
    constexpr size_t oversized = 70000;
    const auto ids = ids_of_one_partition(6);
    HeldAcceptor cell;
    cell.port.holds = false;
    for (size_t i = 0; i < ids.size(); ++i) {
        const std::string row = i == 2 ? std::string(oversized, 'x') : "row of " + ids[i];
        cell.acceptor.accept(ids[i], row, "", cell.world.now() + write_time,
                             [&cell, id = ids[i]](WriteResult result) {
                                 cell.outcomes[id] = result.outcome;
                             });
    }
    cell.world.run_for(Millis(1000));
    for (size_t i = 0; i < ids.size(); ++i) {
        const auto expected = i == 2 ? WriteOutcome::refused : WriteOutcome::written;
        BOOST_TEST((cell.outcomes.count(ids[i]) > 0 && cell.outcomes[ids[i]] == expected),
                   "job " << i);
    }
}
