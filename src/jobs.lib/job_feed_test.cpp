// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// What a job feed reports about the age of its knowledge.

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

/// A feed with its own store, and the keys that it delivered.
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

/// A store behind a slow link that is shared by the replies to the feed. Replies are
/// received as by AsyncHttpClient: one that keeps arriving is waited for.
class StoreBehindSlowLink : public emulator::StorePort {
public:
    StoreBehindSlowLink(emulator::Store& store, emulator::ProcessLoop& loop)
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
            m_max_open = std::max(m_max_open, m_answers.size());
        });
    }
    bool receiving_feed() const override
    {
        return std::any_of(m_answers.begin(), m_answers.end(), [&](const Answer& answer) {
            return m_loop.now() - answer.last_heard < receiving_time;
        });
    }

    /// Stalls all replies in flight for good.
    void stall_open_replies()
    {
        for (Answer& answer : m_answers)
            answer.silent = true;
    }
    /// Returns the maximum number of replies in flight at the same time.
    size_t max_open_replies() const { return m_max_open; }

    /// In bytes per second: a link of 10 Mbit/s of which the leader's other calls use a
    /// fifth.
    static constexpr int64_t link_bytes = 1000000;

private:
    static constexpr int64_t answer_bytes = 300; ///< Without rows.
    static constexpr Millis step { 10 };
    /// Same values as in AsyncHttpClient and StoreClient.
    static constexpr Millis receiving_time { 500 };
    static constexpr Millis max_silence { 1500 };
    static constexpr Millis max_reply_time { 10000 };

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
            } else if (now - answer->last_heard > max_silence
                       || now - answer->begun > max_reply_time) {
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
    size_t m_max_open = 0;
};

/// A feed behind a slow link, through the leader's StoreHealth, with continuous
/// submissions.
struct FeedBehindSlowLink {
    emulator::World world { 13 };
    emulator::Store store { world };
    emulator::ProcessLoop loop { world };
    StoreBehindSlowLink link { store, loop };
    Metrics metrics;
    StoreHealth health { loop, link, metrics };
    std::set<std::string> seen;
    JobFeed feed { loop, health,
                   [this](const StoredRow& row) { seen.insert(row.id.key); } };
    int jobs = 0;

    FeedBehindSlowLink() { start_log("test", LogLevel::error); }

    void submit()
    {
        StoreWrite write;
        write.puts.push_back({ job_row("job" + std::to_string(jobs++)),
                               std::string(static_cast<size_t>(job_bytes), 'x') });
        store.write_now(write);
    }
    /// Runs while jobs are submitted at a rate of `bytes` per second.
    void run_for(Millis span, int64_t bytes)
    {
        const Millis interval(1000 * job_bytes / bytes);
        for (Millis past; past < span; past = past + interval) {
            submit();
            world.run_for(interval);
        }
    }
    Millis age() const { return world.now() - feed.known_at(); }

    static constexpr int64_t job_bytes = 10000; ///< Including the payload.
    /// Largest expected load, in bytes per second.
    static constexpr int64_t load_bytes = 390000;
    /// Number of jobs missed in an outage of six seconds.
    static constexpr int backlog_jobs = 240;
};

} // namespace

BOOST_AUTO_TEST_CASE(feed_delivers_new_rows_and_advances)
{
    FollowedStore followed;
    followed.put("aa");
    followed.world.run_for(Millis(1200));
    BOOST_TEST(followed.seen.count("aa") == 1U);
    BOOST_TEST((followed.world.now() - followed.feed.known_at() < Millis(700)));
}

// The reported time must never be later than the start of the read that returned the rows.
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

// Guards against too many concurrent reads: 64 reads at once opened 64 connections while
// all nodes started; one was dropped, and the take-over waited 1.5 s for it.
BOOST_AUTO_TEST_CASE(few_partitions_are_read_at_a_time)
{
    /// Counts the open reads.
    class CountingStore : public emulator::StorePort {
    public:
        using StorePort::StorePort;
        void read(const StoreRange& range, Millis timeout, StoreReply done) override
        {
            max_open = std::max(max_open, ++open);
            StorePort::read(range, timeout, [this, done](const StoreResult& result) {
                --open;
                done(result);
            });
        }
        int open = 0;
        int max_open = 0;
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
    BOOST_TEST(port.max_open <= 8);
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

// A call that was lost in a store outage must not delay the first one after the outage.
BOOST_AUTO_TEST_CASE(feed_knows_all_rows_soon_after_a_store_outage)
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

// A take-over reads all rows, and its reads may be lost in an outage as well.
BOOST_AUTO_TEST_CASE(table_is_read_soon_after_a_store_outage)
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

// Guards against a feed that never catches up: in a cell of 350 workers, polls from the
// same version shared a link of 10 Mbit/s, none was received completely, and the leader
// learned of no cancellation for 20 s.
BOOST_AUTO_TEST_CASE(feed_behind_a_slow_link_catches_up)
{
    FeedBehindSlowLink cell;
    for (int i = 0; i < FeedBehindSlowLink::backlog_jobs; ++i)
        cell.submit();
    cell.feed.begin(0, cell.world.now());
    cell.run_for(Millis(20000), FeedBehindSlowLink::load_bytes);
    for (int look = 0; look < 50; ++look) {
        cell.run_for(Millis(100), FeedBehindSlowLink::load_bytes);
        BOOST_TEST((cell.age() < Millis(2000)), cell.age().count() << " ms old");
    }
    BOOST_TEST(cell.seen.size() > size_t(cell.jobs) * 9 / 10);
}

// A second poll from the same version would return the same rows.
BOOST_AUTO_TEST_CASE(feed_does_not_poll_while_a_reply_arrives)
{
    FeedBehindSlowLink cell;
    for (int i = 0; i < FeedBehindSlowLink::backlog_jobs; ++i)
        cell.submit();
    cell.feed.begin(0, cell.world.now());
    cell.world.run_for(Millis(2000));
    cell.feed.poll_now();
    cell.world.run_for(Millis(2000));
    BOOST_TEST(cell.link.max_open_replies() == 1U);
    BOOST_TEST(cell.seen.size() == size_t(FeedBehindSlowLink::backlog_jobs));
}

BOOST_AUTO_TEST_CASE(stalled_reply_is_overtaken)
{
    FeedBehindSlowLink cell;
    for (int i = 0; i < FeedBehindSlowLink::backlog_jobs / 2; ++i)
        cell.submit();
    cell.feed.begin(0, cell.world.now());
    cell.world.run_for(Millis(300));
    const Millis stalled_at = cell.world.now();
    cell.link.stall_open_replies();
    // The stall is detected, the next regular poll is sent, and its reply takes 1.2 s.
    cell.world.run_for(Millis(2400));
    BOOST_TEST((cell.feed.known_at() > stalled_at));
    BOOST_TEST(cell.seen.size() == size_t(FeedBehindSlowLink::backlog_jobs / 2));
}
