// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a job feed says of how old its knowledge is.

#define BOOST_TEST_MODULE job_feed
#include <boost/test/unit_test.hpp>

#include "job_feed.h"
#include "store_health.h"
#include "store_keys.h"

#include <pathport/emulator/store.h>
#include <pathport/log.h>

#include <algorithm>
#include <list>
#include <set>

using namespace pathport;
using namespace pathport::jobs;

namespace {

/// A feed on a store of its own, and the keys that it has told.
struct FollowedStore {
    emulator::World world { 11 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort port { store, loop, "n1" };
    std::set<std::string> seen;
    JobFeed feed { loop, port, [this](const StoredRow& row) { seen.insert(row.id.key); } };

    FollowedStore()
    {
        start_log("test", LogLevel::error);
        feed.begin(0, world.now());
    }

    void put(const std::string& id)
    {
        StoreWrite write;
        write.puts.push_back({ job_row(id), "1" });
        store.write_now(write);
    }
};

/// A store behind a thin link, which the answers to its feed share. It reads them as
/// AsyncHttpClient does: an answer that keeps coming is waited for.
class StoreBehindThinLink : public emulator::StorePort {
public:
    StoreBehindThinLink(emulator::Store& store, emulator::ProcessLoop& loop)
        : StorePort(store, loop, "n1")
        , m_loop(loop)
    {
        move_bytes();
    }

    void watch(const std::string& table, int64_t version, Millis wait,
               StoreReply done) override
    {
        StorePort::watch(table, version, wait, [this, done](const StoreResult& result) {
            Answer answer { result, done, answer_bytes, m_loop.now(), m_loop.now() };
            for (const StoredRow& row : result.rows)
                answer.bytes_left += static_cast<int64_t>(row.value.size());
            m_answers.push_back(std::move(answer));
            m_most = std::max(m_most, m_answers.size());
        });
    }
    bool receiving_feed() const override
    {
        return std::any_of(m_answers.begin(), m_answers.end(), [&](const Answer& answer) {
            return m_loop.now() - answer.last_heard < receiving_time;
        });
    }

    /// What is on its way stands still for good.
    void silence_open_answers()
    {
        for (Answer& answer : m_answers)
            answer.silent = true;
    }
    /// Returns how many answers were under way at a time, at most.
    size_t most_answers() const { return m_most; }

    /// A link of 10 Mbit/s of which the leader's other calls take a fifth.
    static constexpr int64_t link_bytes = 1000000;

private:
    static constexpr int64_t answer_bytes = 300; ///< Without rows.
    static constexpr Millis step { 10 };
    /// As AsyncHttpClient and StoreClient have them.
    static constexpr Millis receiving_time { 500 };
    static constexpr Millis longest_silence { 1500 };
    static constexpr Millis longest_answer { 10000 };

    struct Answer {
        StoreResult result;
        StoreReply done;
        int64_t bytes_left = 0;
        Millis begun;
        Millis last_heard;
        bool silent = false;
    };

    void move_bytes()
    {
        const auto moving
            = std::count_if(m_answers.begin(), m_answers.end(),
                            [](const Answer& answer) { return !answer.silent; });
        const Millis now = m_loop.now();
        for (Answer& answer : m_answers) {
            if (answer.silent)
                continue;
            answer.bytes_left -= link_bytes * step.count() / 1000 / moving;
            answer.last_heard = now;
        }
        std::list<Answer> ended;
        for (auto answer = m_answers.begin(); answer != m_answers.end();) {
            const auto next = std::next(answer);
            if (answer->bytes_left <= 0) {
                ended.splice(ended.end(), m_answers, answer);
            } else if (now - answer->last_heard > longest_silence
                       || now - answer->begun > longest_answer) {
                answer->result = StoreResult();
                ended.splice(ended.end(), m_answers, answer);
            }
            answer = next;
        }
        for (const Answer& answer : ended)
            answer.done(answer.result);
        m_loop.after(step, [this] { move_bytes(); });
    }

    emulator::ProcessLoop& m_loop;
    std::list<Answer> m_answers;
    size_t m_most = 0;
};

/// A feed behind a thin link, through the leader's StoreHealth, and jobs that keep coming.
struct FeedBehindThinLink {
    emulator::World world { 13 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    StoreBehindThinLink link { store, loop };
    Metrics metrics;
    StoreHealth health { loop, link, metrics };
    std::set<std::string> seen;
    JobFeed feed { loop, health,
                   [this](const StoredRow& row) { seen.insert(row.id.key); } };
    int jobs = 0;

    FeedBehindThinLink() { start_log("test", LogLevel::error); }

    void hand_in()
    {
        StoreWrite write;
        write.puts.push_back({ job_row("job" + std::to_string(jobs++)),
                               std::string(static_cast<size_t>(job_bytes), 'x') });
        store.write_now(write);
    }
    /// Runs while jobs are handed in at `bytes` a second.
    void run_for(Millis span, int64_t bytes)
    {
        const Millis interval(1000 * job_bytes / bytes);
        for (Millis past; past < span; past = past + interval) {
            hand_in();
            world.run_for(interval);
        }
    }
    Millis age() const { return world.now() - feed.known_at(); }

    static constexpr int64_t job_bytes = 10000; ///< With its payload.
    /// The users' largest load.
    static constexpr int64_t load_bytes = 390000;
    /// Of what was missed in six seconds.
    static constexpr int backlog_jobs = 240;
};

} // namespace

BOOST_AUTO_TEST_CASE(feed_tells_new_rows_and_advances)
{
    FollowedStore followed;
    followed.put("aa");
    followed.world.run_for(Millis(1200));
    BOOST_TEST(followed.seen.count("aa") == 1U);
    BOOST_TEST((followed.world.now() - followed.feed.known_at() < Millis(700)));
}

// What is known is never said to be newer than the beginning of the read that brought it.
BOOST_AUTO_TEST_CASE(feed_never_claims_to_know_rows_that_it_has_not_read)
{
    for (const int64_t slow : { 1, 20, 100 }) {
        FollowedStore followed;
        followed.store.injected.latency_factor = slow;
        std::vector<std::pair<std::string, Millis>> written;
        for (int i = 0; i < 400; ++i) {
            const std::string id = "job" + std::to_string(i);
            followed.put(id);
            written.emplace_back(id, followed.world.now());
            if (i % 7 == 0)
                followed.store.compact();
            if (i % 3 == 0)
                followed.feed.poll_now();
            followed.world.run_for(Millis(13));
            for (const auto& [key, when] : written) {
                const bool claimed = when < followed.feed.known_at();
                BOOST_TEST((!claimed || followed.seen.count(key) > 0), key);
            }
        }
    }
}

// Found on the bench (grown boards, inc-bab9): 64 reads at once opened 64 connections while
// all nodes started; one was dropped, and the take-over waited 1.5 s for it.
BOOST_AUTO_TEST_CASE(few_parts_are_read_at_a_time)
{
    /// Counts the reads that are open.
    class CountingStore : public emulator::StorePort {
    public:
        using StorePort::StorePort;
        void read(const StoreRange& range, Millis timeout, StoreReply done) override
        {
            most = std::max(most, ++open);
            StorePort::read(range, timeout, [this, done](const StoreResult& result) {
                --open;
                done(result);
            });
        }
        int open = 0;
        int most = 0;
    };
    emulator::World world(12);
    emulator::Store store(world);
    emulator::ProcessLoop loop(world);
    CountingStore port(store, loop, "n1");
    for (int i = 0; i < 300; ++i) {
        StoreWrite write;
        write.puts.push_back({ job_row("job" + std::to_string(i)), "1" });
        store.write_now(write);
    }
    TableReader reader(loop, port);
    size_t rows = 0;
    int64_t version = 0;
    reader.read(
        jobs_table, job_partition_names(),
        [&](const std::vector<StoredRow>& some) { rows += some.size(); },
        [&](int64_t lowest) { version = lowest; });
    world.run_for(Millis(1000));
    BOOST_TEST(rows == 300U);
    BOOST_TEST(version == store.version());
    BOOST_TEST(!reader.reading());
    BOOST_TEST(port.most <= 8);
}

BOOST_AUTO_TEST_CASE(feed_reads_on_after_an_outage)
{
    FollowedStore followed;
    followed.store.injected.refuse_calls = true;
    followed.world.run_for(Millis(2000));
    const Millis before = followed.feed.known_at();
    followed.put("aa");
    followed.store.compact();
    followed.world.run_for(Millis(2000));
    BOOST_TEST((followed.feed.known_at() == before));
    followed.store.injected.refuse_calls = false;
    followed.world.run_for(Millis(2000));
    BOOST_TEST(followed.seen.count("aa") == 1U);
}

// A call that was lost with the store's outage must not hold up the first one after it.
BOOST_AUTO_TEST_CASE(feed_knows_all_rows_soon_after_a_silent_store_is_back)
{
    for (int outage_ms = 2000; outage_ms < 3000; outage_ms += 100) {
        FollowedStore followed;
        followed.world.run_for(Millis(1000));
        followed.store.injected.unresponsive = true;
        followed.world.run_for(Millis(outage_ms));
        followed.store.injected.unresponsive = false;
        const Millis back = followed.world.now();
        followed.put("aa");
        followed.world.run_for(Millis(600));
        BOOST_TEST(followed.seen.count("aa") == 1U, "outage of " << outage_ms << " ms");
        BOOST_TEST((followed.feed.known_at() >= back), "outage of " << outage_ms << " ms");
    }
}

// A take-over reads all rows; its reads may be lost with an outage as well.
BOOST_AUTO_TEST_CASE(table_is_read_soon_after_a_silent_store_is_back)
{
    for (int outage_ms = 200; outage_ms < 4000; outage_ms += 100) {
        emulator::World world { 12 };
        emulator::Store store { world };
        emulator::ProcessLoop loop { world };
        emulator::StorePort port { store, loop, "n1" };
        TableReader reader(loop, port);
        bool done = false;
        store.injected.unresponsive = true;
        reader.read(
            jobs_table, job_partition_names(), [](const std::vector<StoredRow>&) {},
            [&](int64_t) { done = true; });
        world.run_for(Millis(outage_ms));
        store.injected.unresponsive = false;
        world.run_for(Millis(500));
        BOOST_TEST(done, "outage of " << outage_ms << " ms");
    }
}

// Seen in a cell of 350 workers: polls from the same version shared a link of
// 10 Mbit/s, none was read to its end, and the leader heard of no cancellation for 20 s.
BOOST_AUTO_TEST_CASE(feed_behind_a_thin_link_catches_up)
{
    FeedBehindThinLink cell;
    for (int i = 0; i < FeedBehindThinLink::backlog_jobs; ++i)
        cell.hand_in();
    cell.feed.begin(0, cell.world.now());
    cell.run_for(Millis(20000), FeedBehindThinLink::load_bytes);
    for (int look = 0; look < 50; ++look) {
        cell.run_for(Millis(100), FeedBehindThinLink::load_bytes);
        BOOST_TEST((cell.age() < Millis(2000)), cell.age().count() << " ms old");
    }
    BOOST_TEST(cell.seen.size() > size_t(cell.jobs) * 9 / 10);
}

// Polls from the same version bring the same rows.
BOOST_AUTO_TEST_CASE(feed_asks_no_more_while_an_answer_comes)
{
    FeedBehindThinLink cell;
    for (int i = 0; i < FeedBehindThinLink::backlog_jobs; ++i)
        cell.hand_in();
    cell.feed.begin(0, cell.world.now());
    cell.world.run_for(Millis(2000));
    cell.feed.poll_now();
    cell.world.run_for(Millis(2000));
    BOOST_TEST(cell.link.most_answers() == 1U);
    BOOST_TEST(cell.seen.size() == size_t(FeedBehindThinLink::backlog_jobs));
}

BOOST_AUTO_TEST_CASE(answer_that_stands_still_is_overtaken)
{
    FeedBehindThinLink cell;
    for (int i = 0; i < FeedBehindThinLink::backlog_jobs / 2; ++i)
        cell.hand_in();
    cell.feed.begin(0, cell.world.now());
    cell.world.run_for(Millis(300));
    const Millis silenced = cell.world.now();
    cell.link.silence_open_answers();
    // The silence is noticed, the next regular poll comes, and its answer takes 1.2 s.
    cell.world.run_for(Millis(2400));
    BOOST_TEST((cell.feed.known_at() > silenced));
    BOOST_TEST(cell.seen.size() == size_t(FeedBehindThinLink::backlog_jobs / 2));
}
