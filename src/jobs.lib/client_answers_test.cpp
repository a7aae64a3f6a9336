// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Replies of nodes to clients and to each other about jobs while the leadership changes.

#define BOOST_TEST_MODULE client_answers
#include <boost/test/unit_test.hpp>

#include "cell_fixture.h"
#include "head_log.h"
#include "job_record.h"
#include "leadership.h"
#include "store_keys.h"

#include <optional>

using namespace pathport;
using namespace pathport::jobs;
using namespace pathport::cell_tests;

namespace {

/// Records requests, which only `on_send` may answer.
class SilentPeers : public PeerClient {
public:
    std::vector<PeerRequest> sent;
    std::function<void(const PeerRequest&, const PeerReply&)> on_send;
    void send(const std::string&, const PeerRequest& request, Millis,
              PeerReply done) override
    {
        sent.push_back(request);
        if (on_send)
            on_send(request, done);
    }
};

/// A store client that archives a job as soon as its row has been read.
class ArchivingStore : public JobStore {
public:
    ArchivingStore(emulator::Store& store, emulator::ProcessLoop& loop, std::string job)
        : m_rows(store)
        , m_port(store, loop, "b")
        , m_job(std::move(job))
    {
    }
    void write(const StoreWrite& write, Millis timeout, StoreReply done) override
    {
        m_port.write(write, timeout, std::move(done));
    }
    void watch(const std::string& table, int64_t version, Millis wait,
               StoreReply done) override
    {
        m_port.watch(table, version, wait, std::move(done));
    }
    void read(const StoreRange& range, Millis timeout, StoreReply done) override
    {
        m_port.read(range, timeout, [this, range, done](const StoreResult& result) {
            if (range.table == jobs_table && !m_archived) {
                m_archived = true;
                StoreWrite write;
                write.puts.push_back(
                    { closed_row(m_job), encode_final_progress(JobState::completed) });
                write.removes.push_back(job_row(m_job));
                m_rows.write_now(write);
                StoreWrite forget;
                forget.removes.push_back(progress_row(m_job));
                m_rows.write_now(forget);
            }
            done(result);
        });
    }

private:
    emulator::Store& m_rows;
    emulator::StorePort m_port;
    std::string m_job;
    bool m_archived = false;
};

/// A node that follows the leader "a", which does not reply.
struct Follower {
    emulator::World world { 8 };
    emulator::Store store { world };
    emulator::Workers workers { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort directory { store, loop, "b" };
    emulator::WorkerPort worker_port { workers, loop, "b" };
    SilentPeers peers;
    Metrics metrics;
    std::unique_ptr<JobNode> node;

    /// Writes `rows` and those of the leader, and starts the node with the store client
    /// `port`.
    void begin(JobStore& port, StoreWrite rows)
    {
        store.list_workers = [this] { return workers.list(); };
        Configuration configuration;
        configuration.version = 1;
        store.configure(configuration);
        rows.puts.push_back(
            { lead_row(leader_key), encode(LeaderValue { 1, { "a", "a", "x", 1000 } }) });
        rows.puts.push_back({ lead_row(head_key), encode(HeadValue { 1, 5, "x", {} }) });
        store.write_now(rows);
        NodeSetup setup;
        setup.node = setup.peer_address = "b";
        setup.incarnation = "y";
        node = std::make_unique<JobNode>(
            NodeContext { loop, port, directory, worker_port, worker_port, peers, metrics,
                          [this] { return world.now().count(); } },
            setup);
        node->begin();
        world.run_for(Millis(50));
    }
    /// Returns the job rows that were announced to the leader.
    std::vector<std::string> announced() const
    {
        std::vector<std::string> rows;
        for (const PeerRequest& request : peers.sent) {
            if (request.topic == PeerTopic::job_accepted)
                rows.push_back(request.row);
        }
        return rows;
    }
    /// Submits "job1" with this payload; its reply is appended to `answers`.
    void submit(const std::string& payload)
    {
        jobs::JobSpec spec;
        spec.payload = payload;
        spec.steps.push_back(StepSpec());
        node->submit(Queue(), "job1", spec, world.now(), Millis(2000),
                     [this](ClientStatus status) { answers.push_back(status); });
    }
    std::vector<ClientStatus> answers;
};

std::string payload_of(const std::string& row)
{
    Failure reason;
    const auto job = decode_accepted_job("job1", row, reason);
    return job ? job->spec.payload : "malformed";
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// A leader that has not loaded its jobs yet must not report that none are pending.
BOOST_AUTO_TEST_CASE(loading_leader_does_not_report_zero_pending_jobs)
{
    Cell cell(4, 2, 1);
    cell.world.run_for(Millis(2000));
    for (int i = 0; i < 40; ++i)
        submit_plain(cell, "job" + std::to_string(i), small_step(10, 60000));
    cell.world.run_for(Millis(3000));
    const int64_t before = cell.ask_pending(false);
    BOOST_REQUIRE(before > 10);
    cell.store.injected.latency_factor = 20;
    cell.kill(cell.leader(), Millis(60000));
    for (int i = 0; i < 100; ++i) {
        const int64_t count = cell.ask_pending(false);
        BOOST_TEST((count == -1 || count > 10), "count " << count << " after " << i * 50);
        if (count == 0)
            break;
    }
}

// A leader that resumes after a freeze can tell by its own clock that its lease has
// expired. It must not report its outdated state of a job, which its successor has already
// shown as completed.
BOOST_AUTO_TEST_CASE(resumed_leader_does_not_report_old_states)
{
    Cell cell(5, 2, 3);
    cell.world.run_for(Millis(2000));
    submit_plain(cell, "job1", small_step(1, 3000));
    cell.world.run_for(Millis(1000));
    const std::string first = cell.leader();
    const std::string second = first == "n1" ? "n2" : "n1";
    cell.freeze(first, Millis(20000));
    cell.world.run_for(Millis(12000));
    const auto shown = cell.ask_state("job1");
    BOOST_REQUIRE((shown && *shown == JobState::completed));
    cell.world.run_for(Millis(4999));
    cell.kill(second, Millis(60000));
    cell.world.run_for(Millis(1));
    const auto again = cell.ask_state("job1");
    BOOST_TEST((!again || *again == JobState::completed),
               "shown again as " << (again ? to_string(*again) : "nothing"));
}

// The same for the number of pending jobs, all of which have begun meanwhile.
BOOST_AUTO_TEST_CASE(resumed_leader_does_not_report_old_counts)
{
    Cell cell(5, 2, 1);
    cell.world.run_for(Millis(2000));
    for (int i = 0; i < 20; ++i)
        submit_plain(cell, "job" + std::to_string(i), small_step(2, 700));
    cell.world.run_for(Millis(500));
    BOOST_REQUIRE(cell.ask_pending(false) > 0);
    const std::string first = cell.leader();
    const std::string second = first == "n1" ? "n2" : "n1";
    cell.freeze(first, Millis(40000));
    cell.world.run_for(Millis(39000));
    BOOST_REQUIRE(cell.ask_pending(false) == 0);
    cell.world.run_for(Millis(949));
    cell.kill(second, Millis(60000));
    cell.world.run_for(Millis(1));
    const int64_t again = cell.ask_pending(false);
    BOOST_TEST((again == 0 || again == -1), "counted again: " << again);
}

// A node reads a job's row, then the leader archives the job, and the node finds no
// progress row. It must not report the job as pending after it was shown as completed.
BOOST_AUTO_TEST_CASE(job_archived_between_two_reads_is_not_pending)
{
    Follower follower;
    ArchivingStore port { follower.store, follower.loop, "job1" };
    StoreWrite rows;
    rows.puts.push_back({ job_row("job1"), "row" });
    rows.puts.push_back(
        { progress_row("job1"), encode_final_progress(JobState::completed) });
    follower.begin(port, rows);
    std::optional<std::pair<ClientStatus, JobState>> answer;
    follower.node->query("job1", follower.world.now(), Millis(2000),
                         [&answer](ClientStatus status, JobState state) {
                             answer = { status, state };
                         });
    follower.world.run_for(Millis(500));
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST((answer->first != ClientStatus::ok || answer->second == JobState::completed),
               "status " << int(answer->first) << ", " << to_string(answer->second));
}

// The store already holds another row under this id, such as one whose reply was lost. Only
// that row may be announced to the leader.
BOOST_AUTO_TEST_CASE(row_that_is_in_the_store_is_announced)
{
    Follower follower;
    AcceptedJob stored;
    stored.id = "job1";
    stored.spec.payload = "first";
    stored.spec.steps.push_back(StepSpec());
    StoreWrite rows;
    rows.puts.push_back({ job_row("job1"), encode(stored) });
    follower.begin(follower.directory, rows);
    follower.submit("second");
    follower.world.run_for(Millis(200));
    BOOST_REQUIRE(follower.answers.size() == 1U);
    BOOST_TEST((follower.answers[0] == ClientStatus::ok));
    BOOST_REQUIRE(follower.announced().size() == 1U);
    BOOST_TEST(payload_of(follower.announced()[0]) == "first");
}

// Two submissions under one id share a write, which contains the row of the first.
BOOST_AUTO_TEST_CASE(row_of_a_shared_write_is_announced)
{
    Follower follower;
    follower.begin(follower.directory, {});
    follower.submit("first");
    follower.submit("second");
    follower.world.run_for(Millis(200));
    BOOST_TEST(follower.answers.size() == 2U);
    BOOST_REQUIRE(!follower.announced().empty());
    for (const std::string& row : follower.announced())
        BOOST_TEST(payload_of(row) == "first");
}

// The known leader is about to be replaced and declines. The cancellation has to be sent
// again until a leader accepts it, independently of the feed.
BOOST_AUTO_TEST_CASE(a_cancellation_is_resent_until_a_leader_accepts_it)
{
    Follower follower;
    int notified = 0;
    follower.peers.on_send = [&](const PeerRequest& request, const PeerReply& done) {
        if (request.topic != PeerTopic::job_canceled)
            return;
        PeerAnswer answer;
        answer.served = ++notified == 3;
        follower.world.after(Millis(5),
                             [done, answer] { done(PeerEnd::answered, answer); });
    };
    AcceptedJob job;
    job.id = "job1";
    StoreWrite rows;
    rows.puts.push_back({ job_row(job.id), encode(job) });
    follower.begin(follower.directory, rows);
    std::optional<ClientStatus> status;
    follower.node->cancel("job1", follower.world.now(), Millis(2000),
                          [&status](ClientStatus answer) { status = answer; });
    follower.world.run_for(Millis(1000));
    BOOST_TEST((status == ClientStatus::ok));
    BOOST_TEST(notified == 3);
}

// The leader announces in its heartbeat replies that a queue accepts no jobs.
BOOST_AUTO_TEST_CASE(job_of_a_closed_queue_is_turned_away_at_once)
{
    Follower follower;
    bool leader_answers = true;
    follower.peers.on_send = [&](const PeerRequest& request, const PeerReply& done) {
        if (request.topic != PeerTopic::heartbeat || !leader_answers) {
            follower.world.after(Millis(300), [done] { done(PeerEnd::silent, {}); });
            return;
        }
        PeerAnswer answer;
        answer.leads = true;
        answer.epoch = 1;
        answer.incarnation = "x";
        answer.closed = { { "full", Millis(2500) } };
        follower.world.after(Millis(2),
                             [done, answer] { done(PeerEnd::answered, answer); });
    };
    follower.begin(follower.directory, {});
    const auto submit = [&](const std::string& queue, const std::string& id) {
        Queue target_queue;
        target_queue.name = queue;
        jobs::JobSpec spec;
        spec.payload = "p";
        spec.steps.push_back(StepSpec());
        std::optional<ClientStatus> status;
        follower.node->submit(target_queue, id, spec, follower.world.now(), Millis(2000),
                              [&status](ClientStatus answer) { status = answer; });
        follower.world.run_for(Millis(1000));
        return status;
    };
    BOOST_TEST(follower.node->closed_queue_retry_after("full").count() == 2500);
    BOOST_TEST((submit("full", "job1") == ClientStatus::refused));
    BOOST_TEST(follower.store.count(jobs_table) == 0U);
    BOOST_TEST(follower.node->closed_queue_retry_after("other").count() == 0);
    BOOST_TEST((submit("other", "job2") == ClientStatus::ok));
    // A job that was accepted before is not reported as refused.
    BOOST_TEST((submit("full", "job2") == ClientStatus::ok));
    // The announcement expires when the leader stops replying.
    leader_answers = false;
    follower.world.run_for(Millis(2000));
    BOOST_TEST((submit("full", "job3") == ClientStatus::ok));
}

// The leader announces in its heartbeat replies how long jobs of a queue wait for capacity.
// Guards against refusals of jobs that are stored, that would not be very late, or that an
// outdated announcement is about.
BOOST_AUTO_TEST_CASE(job_that_waits_too_long_for_capacity_is_turned_away_at_once)
{
    Follower follower;
    bool leader_answers = true;
    follower.peers.on_send = [&](const PeerRequest& request, const PeerReply& done) {
        if (request.topic != PeerTopic::heartbeat || !leader_answers) {
            follower.world.after(Millis(300), [done] { done(PeerEnd::silent, {}); });
            return;
        }
        PeerAnswer answer;
        answer.leads = true;
        answer.epoch = 1;
        answer.incarnation = "x";
        answer.limited = { { "busy", Millis(6500) } };
        follower.world.after(Millis(2),
                             [done, answer] { done(PeerEnd::answered, answer); });
    };
    follower.begin(follower.directory, {});
    Queue queue;
    queue.stretch = 2;
    queue.slo_ms = 500;
    jobs::JobSpec spec;
    spec.payload = "p";
    spec.steps.push_back(StepSpec());
    const auto submit
        = [&](const std::string& name, const std::string& id, int64_t expected_ms) {
              queue.name = name;
              spec.steps[0].expected_ms = expected_ms;
              std::optional<ClientStatus> status;
              follower.node->submit(queue, id, spec, follower.world.now(), Millis(2000),
                                    [&status](ClientStatus answer) { status = answer; });
              follower.world.run_for(Millis(1000));
              return status;
          };
    // Its slack is 1.5 s and its allowed time 2.5 s.
    BOOST_TEST((submit("busy", "job1", 1000) == ClientStatus::refused));
    BOOST_TEST(follower.node->retry_after_refusal(queue, spec, "job1").count() == 3000);
    BOOST_TEST(
        follower.metrics.counter_value("pathport_jobs_turned_away_total",
                                       { { "queue", "busy" }, { "reason", "capacity" } })
        == 1);
    BOOST_TEST(follower.store.count(jobs_table) == 0U);
    BOOST_TEST((submit("other", "job2", 1000) == ClientStatus::ok));
    // A job that was accepted before is not reported as refused.
    BOOST_TEST((submit("busy", "job2", 1000) == ClientStatus::ok));
    // A job that has more time, or tells no run time.
    BOOST_TEST((submit("busy", "job3", 2000) == ClientStatus::ok));
    BOOST_TEST((submit("busy", "job4", 0) == ClientStatus::ok));
    // The announcement expires when the leader stops replying.
    leader_answers = false;
    follower.world.run_for(Millis(2000));
    BOOST_TEST((submit("busy", "job5", 1000) == ClientStatus::ok));
}

// A weaker node asks when it finds the leader gone, which a stronger one may notice half a
// second later. Guards against a weak node that has claimed by then; and against a second
// heartbeat for each of many nodes that ask.
BOOST_AUTO_TEST_CASE(asked_candidate_checks_its_leader_at_once)
{
    Follower follower;
    int heartbeats = 0;
    follower.peers.on_send = [&](const PeerRequest& request, const PeerReply& done) {
        if (request.topic != PeerTopic::heartbeat)
            return;
        ++heartbeats;
        PeerAnswer answer;
        answer.leads = true;
        answer.served = true;
        answer.epoch = 1;
        answer.incarnation = "x";
        follower.world.after(Millis(2),
                             [done, answer] { done(PeerEnd::answered, answer); });
    };
    follower.begin(follower.directory, {});
    const int first = heartbeats;
    for (int i = 0; i < 1000 && heartbeats == first; ++i)
        follower.world.run_for(Millis(1));
    BOOST_REQUIRE(heartbeats == first + 1);
    follower.world.run_for(Millis(110));
    BOOST_REQUIRE(heartbeats == first + 1);
    PeerRequest question;
    question.topic = PeerTopic::candidacy;
    int served = 0;
    for (int i = 0; i < 10; ++i) {
        follower.node->handle_peer(
            question, [&](const PeerAnswer& answer) { served += answer.served ? 1 : 0; });
        follower.world.run_for(Millis(5));
    }
    BOOST_TEST(served == 10);
    BOOST_TEST(heartbeats == first + 2);
}

// Guards against strong nodes that rule themselves out when an outage of the store is over:
// they are bound by a promise for a second at most, and learn late that the store is back.
BOOST_AUTO_TEST_CASE(candidate_is_ready_once_the_store_serves_it_again)
{
    Follower follower;
    follower.peers.on_send = [&](const PeerRequest& request, const PeerReply& done) {
        if (request.topic != PeerTopic::heartbeat)
            return;
        PeerAnswer answer;
        answer.leads = true;
        answer.served = !follower.store.injected.refuse_calls;
        answer.epoch = 1;
        answer.incarnation = "x";
        answer.sent_ms = follower.world.now().count();
        follower.world.after(Millis(2),
                             [done, answer] { done(PeerEnd::answered, answer); });
    };
    follower.begin(follower.directory, {});
    PeerRequest question;
    question.topic = PeerTopic::candidacy;
    const auto is_ready = [&] {
        bool served = false;
        follower.node->handle_peer(
            question, [&](const PeerAnswer& answer) { served = answer.served; });
        return served;
    };
    BOOST_TEST(is_ready());
    follower.store.injected.refuse_calls = true;
    follower.world.run_for(Millis(3000));
    BOOST_TEST(!is_ready());
    follower.world.run_for(Millis(300));
    follower.store.injected.refuse_calls = false;
    BOOST_TEST(!is_ready());
    follower.world.run_for(Millis(20));
    BOOST_TEST(is_ready());
    follower.node->begin_shutdown();
    BOOST_TEST(!is_ready());
}
