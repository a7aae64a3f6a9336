// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// A step that could run must start within a bounded time, whatever single workers or
/// single answers of the advisor do. One node schedules; the test scripts the advisor and
/// the workers' answers to start orders.

#define BOOST_TEST_MODULE stuck_step
#include <boost/test/unit_test.hpp>

#include "head_log.h"
#include "store_keys.h"

#include <pathport/emulator/store.h>
#include <pathport/emulator/workers.h>
#include <pathport/jobs/job_node.h>
#include <pathport/log.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>

using namespace pathport;
using namespace pathport::jobs;
using emulator::StepModel;

namespace {

/// Forwards all orders except starts on workers that are set to refuse them.
class ScriptedWorkers : public WorkerClient {
public:
    ScriptedWorkers(emulator::WorkerPort& port, EventLoop& loop)
        : m_port(port)
        , m_loop(loop)
    {
    }

    void start(const WorkerInfo& worker, const StartOrder& order, Millis timeout,
               std::function<void(OrderAnswer)> done) override
    {
        const std::string name = WorkerIncarnation::parse(worker.id).name;
        ++starts[name];
        const auto refusal = refusals.find(name);
        if (refusal == refusals.end()) {
            m_port.start(worker, order, timeout, done);
            return;
        }
        m_loop.after(Millis(2), [done, status = refusal->second] {
            done(OrderAnswer { status, 0 });
        });
    }
    void stop(const WorkerInfo& worker, const RunOrder& order, Millis timeout,
              std::function<void(OrderAnswer)> done) override
    {
        m_port.stop(worker, order, timeout, done);
    }
    void set_speed(const WorkerInfo& worker, const RunOrder& order, Millis timeout,
                   std::function<void(OrderAnswer)> done) override
    {
        m_port.set_speed(worker, order, timeout, done);
    }
    void poll(const WorkerInfo& worker, const PollRequest& order, Millis timeout,
              std::function<void(OrderStatus, std::optional<PollReport>)> done) override
    {
        m_port.poll(worker, order, timeout, done);
    }

    /// Workers that refuse all starts, with the status they answer.
    std::map<std::string, OrderStatus> refusals;
    std::map<std::string, int> starts; ///< Start orders, by worker.

private:
    emulator::WorkerPort& m_port;
    EventLoop& m_loop;
};

/// Allows all workers except those in `refused`.
class ScriptedAdvisor : public Advisor {
public:
    explicit ScriptedAdvisor(EventLoop& loop)
        : m_loop(loop)
    {
    }

    void ask(const std::string&, const std::vector<std::string>& workers, Millis,
             std::function<void(std::optional<std::vector<WorkerTicket>>)> done) override
    {
        ++queries;
        std::vector<WorkerTicket> tickets;
        for (const std::string& worker : workers) {
            if (refused.count(WorkerIncarnation::parse(worker).name) == 0)
                tickets.push_back({ worker, "t" });
        }
        if (empty_answers > 0) {
            --empty_answers;
            tickets.clear();
        }
        m_loop.after(Millis(20), [done, tickets] { done(tickets); });
    }

    std::set<std::string> refused;
    int empty_answers = 0; ///< Number of coming answers that name no worker.
    int queries = 0;

private:
    EventLoop& m_loop;
};

/// Peers of a node that has none: every call is refused.
class NoPeers : public PeerClient {
public:
    explicit NoPeers(EventLoop& loop)
        : m_loop(loop)
    {
    }
    void send(const std::string&, const PeerRequest&, Millis, PeerReply done) override
    {
        m_loop.after(Millis(1), [done] { done(PeerEnd::refused, {}); });
    }

private:
    EventLoop& m_loop;
};

StepModel facts_of(int count, int64_t run_ms, int64_t cpu)
{
    StepModel facts;
    facts.count = count;
    facts.run_ms = run_ms;
    facts.need = { cpu, 500, 0 };
    facts.payload = "p";
    return facts;
}

/// One leading node and its dependencies. Queue 0 has no advice, queue 1 has.
struct Site {
    Site(int worker_count, int plain_priority, int advised_priority)
    {
        store.list_workers = [this] { return listed(); };
        Configuration configuration;
        configuration.version = 1;
        configuration.services = { "pool" };
        for (const bool advised : { false, true }) {
            Queue queue;
            queue.name = advised ? "advised" : "plain";
            queue.host = "site";
            queue.path_prefix = "/" + queue.name + "/";
            queue.service = "pool";
            queue.priority = advised ? advised_priority : plain_priority;
            queue.max_failures = 4;
            queue.stretch = 4;
            if (advised)
                queue.advice = AdviceRule { 42, 0.6, 2000 };
            configuration.queues.push_back(queue);
        }
        store.configure(configuration);
        for (int i = 0; i < worker_count; ++i)
            emulated.add("pool", { 8000, 16000, 0 });
        NodeSetup setup;
        setup.node = "n1";
        setup.peer_address = "n1";
        setup.incarnation = "1";
        node = std::make_unique<JobNode>(
            NodeContext { loop, store_port, store_port, workers, advisor, peers, metrics,
                          [this] { return world.now().count(); } },
            setup);
        node->begin();
        world.run_for(Millis(2000));
        BOOST_REQUIRE(node->leads());
    }

    std::vector<WorkerInfo> listed() const
    {
        std::vector<WorkerInfo> found = emulated.list();
        const auto hidden = [this](const WorkerInfo& info) {
            return unlisted.count(WorkerIncarnation::parse(info.id).name) > 0;
        };
        found.erase(std::remove_if(found.begin(), found.end(), hidden), found.end());
        return found;
    }

    void submit(const std::string& id, int queue, const StepModel& facts,
                const std::string& label = "", int64_t expected_ms = 0)
    {
        jobs::JobSpec spec;
        spec.payload = "p";
        StepSpec step;
        step.count = facts.count;
        step.need = facts.need;
        step.label = label;
        step.gang = facts.gang;
        step.expected_ms = expected_ms == 0 ? facts.run_ms : expected_ms;
        spec.steps.push_back(step);
        emulated.define_step(id, 0, facts);
        node->submit(store.configuration().queues[size_t(queue)], id, spec, world.now(),
                     Millis(3000), [](ClientStatus) {});
    }

    bool done(const std::string& id, int count) const
    {
        return emulated.all_done(id, 0, count, false);
    }

    int64_t epoch() const
    {
        const auto head = decode_head(store.value(lead_row(head_key)));
        return head ? head->epoch : 0;
    }

    emulator::World world { 1 };
    emulator::Store store { world };
    emulator::Workers emulated { world };
    emulator::ProcessLoop loop { world };
    emulator::StorePort store_port { store, loop, "n1" };
    emulator::WorkerPort worker_port { emulated, loop, "n1" };
    ScriptedWorkers workers { worker_port, loop };
    ScriptedAdvisor advisor { loop };
    NoPeers peers { loop };
    Metrics metrics;
    std::set<std::string> unlisted; ///< Workers missing from the list.
    std::unique_ptr<JobNode> node;
};

struct LogFixture {
    LogFixture()
    {
        const char* const level = std::getenv("PATHPORT_LOG");
        start_log("test", log_level_from(level == nullptr ? "error" : level));
    }
};

constexpr Millis long_enough { 20000 };
/// A worker that refuses starts may be retried occasionally, not continuously.
constexpr int max_refused_starts = 40;
/// The same holds for queries about refused workers.
constexpr int max_futile_queries = 10;

/// Makes the worker that is the first choice refuse all starts and checks that a task
/// starts elsewhere.
void check_refused_starts(OrderStatus refusal, int queue)
{
    Site site(3, 2, 2);
    // The fullest worker with enough capacity is the first choice.
    site.submit("job0", 0, facts_of(1, 60000, 4000), "r1-1");
    site.world.run_for(Millis(500));
    site.workers.refusals["w1"] = refusal;
    site.submit("job1", queue, facts_of(1, 500, 450));
    site.world.run_for(long_enough);
    BOOST_TEST(site.done("job1", 1), to_string(refusal) << ", queue " << queue);
    BOOST_TEST(site.workers.starts["w1"] <= max_refused_starts,
               to_string(refusal) << ", queue " << queue << ": "
                                  << site.workers.starts["w1"] << " starts");
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(LogFixture);

// Guards against choosing a worker that declines all starts for the same task over and
// over: refusals of one job by one worker count once, so the worker is not avoided.
BOOST_AUTO_TEST_CASE(worker_that_declines_all_starts_delays_no_task)
{
    for (const int queue : { 0, 1 })
        check_refused_starts(OrderStatus::declined, queue);
}

// The same with refusals that the leader's accounting should rule out. An error in the
// accounting must not block a task forever either.
BOOST_AUTO_TEST_CASE(worker_that_refuses_for_other_reasons_delays_no_task)
{
    for (const OrderStatus refusal :
         { OrderStatus::no_room, OrderStatus::too_late, OrderStatus::old_run }) {
        for (const int queue : { 0, 1 })
            check_refused_starts(refusal, queue);
    }
}

// If the only worker refuses all starts, it is retried occasionally, not continuously.
BOOST_AUTO_TEST_CASE(only_worker_is_retried_until_it_starts_tasks)
{
    for (const int queue : { 0, 1 }) {
        Site site(1, 2, 2);
        site.workers.refusals["w1"] = OrderStatus::declined;
        site.submit("job1", queue, facts_of(3, 500, 450));
        site.world.run_for(long_enough);
        BOOST_TEST(site.workers.starts["w1"] <= max_refused_starts,
                   "queue " << queue << ": " << site.workers.starts["w1"] << " starts");
        site.workers.refusals.clear();
        site.world.run_for(long_enough);
        BOOST_TEST(site.done("job1", 3), "queue " << queue);
    }
}

// A rejected ticket is requested anew. Meanwhile other workers are preferred to this one.
BOOST_AUTO_TEST_CASE(worker_that_rejects_all_tickets_delays_no_task)
{
    check_refused_starts(OrderStatus::bad_ticket, 1);
}

// A worker missing from an answer is not refused for good if it was allowed before: the
// advisor may have been unaware of its incarnation for a moment.
BOOST_AUTO_TEST_CASE(allowed_workers_stay_allowed_after_an_empty_answer)
{
    Site site(6, 2, 2);
    StepModel facts = facts_of(15, 3000, 450);
    facts.failing_runs = 1;
    site.submit("job1", 1, facts);
    // All tasks fail at about the same time, after their tickets have expired.
    site.world.run_for(Millis(1500));
    site.advisor.empty_answers = 4;
    site.world.run_for(long_enough);
    BOOST_TEST(site.done("job1", 15));
}

// A refusal may be temporary. If no other worker has capacity, the refused ones are asked
// about again, but not continuously.
BOOST_AUTO_TEST_CASE(refused_workers_are_asked_about_again)
{
    for (const bool gang : { false, true }) {
        Site site(4, 2, 2);
        site.advisor.refused = { "w1", "w2", "w3", "w4" };
        StepModel facts = facts_of(2, 500, 5000);
        facts.gang = gang;
        site.submit("job1", 1, facts);
        site.world.run_for(long_enough);
        BOOST_TEST(site.advisor.queries > 0, "gang: " << gang);
        BOOST_TEST(site.advisor.queries <= max_futile_queries,
                   "gang: " << gang << ": " << site.advisor.queries << " queries");
        site.advisor.refused.clear();
        site.world.run_for(long_enough);
        BOOST_TEST(site.done("job1", 2), "gang: " << gang);
    }
}

// The advisor may also change its verdict for good. Of two jobs allowed on the same worker,
// one waits for its capacity and is then allowed on another worker only.
BOOST_AUTO_TEST_CASE(other_workers_are_asked_about_after_a_refusal)
{
    Site site(14, 2, 2);
    const auto refuse_all_but = [&site](const std::string& allowed) {
        for (const WorkerInfo& info : site.emulated.list())
            site.advisor.refused.insert(WorkerIncarnation::parse(info.id).name);
        site.advisor.refused.erase(allowed);
    };
    refuse_all_but("w14");
    site.submit("job1", 1, facts_of(1, 3000, 5000));
    site.submit("job2", 1, facts_of(1, 3000, 5000));
    site.world.run_for(Millis(1000));
    refuse_all_but("w7");
    site.world.run_for(long_enough);
    BOOST_TEST(site.workers.starts["w14"] == 1);
    BOOST_TEST(site.done("job1", 1));
    BOOST_TEST(site.done("job2", 1));
}

// A worker that disappeared from the list and came back, as it may during store trouble,
// was polled with the first fence of the epoch again. If the leader had raised the fence
// there, it mistook the refusal for that of a later leader and stepped down.
BOOST_AUTO_TEST_CASE(leader_continues_when_a_worker_is_listed_again)
{
    Site site(2, 2, 2);
    // An unanswered order raises the fence.
    site.emulated.injected.unanswered_share = 1;
    site.submit("job0", 0, facts_of(2, 300, 4000), "r1-1");
    site.world.run_for(Millis(500));
    site.emulated.injected.unanswered_share = 0;
    site.world.run_for(Millis(4000));
    BOOST_TEST(site.done("job0", 2));
    const int64_t epoch = site.epoch();
    site.unlisted = { "w1" };
    site.world.run_for(Millis(2000));
    site.unlisted.clear();
    site.world.run_for(Millis(4000));
    BOOST_TEST(site.epoch() == epoch);
}

// Among the workers that an urgent step may be allowed to use, slow ones come last. Guards
// against sending no query at all when only those have capacity.
BOOST_AUTO_TEST_CASE(urgent_step_uses_a_slow_worker_when_the_others_are_full)
{
    for (const bool slow : { false, true }) {
        Site site(3, 1, 0);
        // w3 is learned to be slow, relative to the typical estimate error of its queue.
        for (int i = 0; i < 12; ++i) {
            const std::string name = std::to_string(i);
            site.submit("one" + name, 0, facts_of(1, 200, 1000), "r1-1", 200);
            site.submit("two" + name, 0, facts_of(1, slow ? 900 : 200, 1000), "r1-0", 200);
            site.world.run_for(Millis(1200));
        }
        // The other workers are full of lower-priority tasks.
        const StepModel full = facts_of(1, 60000, 8000);
        site.submit("full1", 0, full, "r1-1");
        site.submit("full2", 0, full, "r1-2");
        site.world.run_for(Millis(500));
        site.submit("job1", 1, facts_of(1, 500, 450));
        site.world.run_for(long_enough);
        BOOST_TEST(site.done("job1", 1), "slow: " << slow);
        BOOST_TEST(site.advisor.queries > 0, "slow: " << slow);
    }
}

// Tasks on a worker that fails every task were placed there again three times within 130
// ms, since it alone had free capacity and valid tickets. Their job had failed before other
// workers were asked about.
BOOST_AUTO_TEST_CASE(failed_task_goes_to_other_workers)
{
    Site site(14, 2, 2);
    // The workers that are asked about first, except the one that fails tasks.
    site.advisor.refused = { "w10", "w11", "w12", "w13", "w14", "w2", "w3", "w4", "w5" };
    site.emulated.inject_fault("w1", emulator::WorkerFault::fails_tasks, long_enough);
    site.submit("job1", 1, facts_of(4, 500, 450));
    site.world.run_for(long_enough);
    BOOST_TEST(site.done("job1", 4));
    // Each of the tasks was tried there at most once.
    BOOST_TEST(site.workers.starts["w1"] <= 4);
}
