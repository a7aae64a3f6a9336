// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/dispatcher.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace pathport {

namespace {

constexpr int max_tries = 3;
constexpr int64_t retry_cost = 1000; ///< In thousandths of a token.
constexpr int64_t max_retry_milli_tokens = 20000;
constexpr int failures_to_eject = 3;
constexpr int64_t samples_to_judge = 20;
constexpr double mean_weight = 0.1; ///< Of a new sample.
constexpr double deviations = 2; ///< Above the mean, for the likely service time.
constexpr double slow_floor_ms = 5; ///< A target faster than this is never slow.
constexpr int64_t min_retry_after_ms = 20;
constexpr int64_t max_retry_after_ms = 5000;
constexpr Millis longest_ejection { 30000 };

void add_sample(double& mean, int64_t samples, double value)
{
    mean = samples == 0 ? value : mean + mean_weight * (value - mean);
}

} // namespace

Dispatcher::Dispatcher(const Clock& clock, TargetClient& targets,
                       DispatchListener& listener, DispatchLimits limits)
    : m_clock(clock)
    , m_targets(targets)
    , m_listener(listener)
    , m_limits(limits)
{
}

// After a try that may have run, a later one that was not run says nothing about the first.
ForwardAnswer Dispatcher::final_answer(const Waiting& waiting, const ForwardAnswer& answer)
{
    ForwardAnswer final = answer;
    if (waiting.in_doubt && answer.outcome == RequestOutcome::not_run) {
        final.outcome = RequestOutcome::may_have_run;
        final.failure = Failure(FailureKind::outcome_unknown, answer.failure.detail());
    }
    return final;
}

void Dispatcher::set_targets(const std::vector<Target>& targets)
{
    std::vector<Sending> sendings;
    Finals finals;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (auto& item : m_boxes)
            item.second.present = false;
        for (const Target& target : targets) {
            BoxLoad& box = m_boxes[target.box.id];
            const std::string& before = box.target.box.incarnation;
            if (!before.empty() && before != target.box.incarnation) {
                // A restarted box runs nothing of before.
                box.foreign = 0;
                box.mean_ms = 0;
                box.samples = 0;
                box.failures_in_row = 0;
                box.ejected_until = Millis();
            }
            box.target = target;
            box.present = true;
        }
        for (auto item = m_boxes.begin(); item != m_boxes.end();) {
            const bool idle = !item->second.present && item->second.in_flight == 0
                && item->second.foreign == 0;
            item = idle ? m_boxes.erase(item) : std::next(item);
        }
        for (auto& item : m_queues) {
            ServiceQueue& queue = item.second;
            if (slots_of(item.first) > 0)
                continue;
            for (const Waiting& waiting : queue.waiting) {
                finals.emplace_back(
                    waiting.done,
                    final_answer(waiting,
                                 not_run_answer(FailureKind::not_owner, "no replica here",
                                                Millis(min_retry_after_ms))));
            }
            queue.waiting.clear();
        }
        take_sendings(sendings);
    }
    for (const auto& final : finals)
        final.first(final.second);
    send(std::move(sendings));
}

int64_t Dispatcher::slots_of(const std::string& service) const
{
    int64_t slots = 0;
    for (const auto& item : m_boxes) {
        const BoxLoad& box = item.second;
        if (box.present && box.target.services.count(service) > 0)
            slots += box.target.box.slots;
    }
    return slots;
}

// The time until a request that joins the queue now gets a slot: with all slots taken, one
// becomes free each time a slots-th part of the mean service time has passed.
Millis Dispatcher::expected_wait(const std::string& service,
                                 const ServiceQueue& queue) const
{
    int64_t slots = 0;
    int64_t free = 0;
    for (const auto& item : m_boxes) {
        const BoxLoad& box = item.second;
        if (!box.present || box.target.services.count(service) == 0)
            continue;
        slots += box.target.box.slots;
        free += std::max<int64_t>(0, box.target.box.slots - box.in_flight - box.foreign);
    }
    if (slots == 0 || free > 0)
        return Millis();
    const auto ahead = static_cast<double>(queue.waiting.size() + 1);
    return Millis(static_cast<int64_t>(ahead / static_cast<double>(slots) * queue.mean_ms));
}

// The time that most requests stay below. A request that starts with less would hold a slot
// and come too late all the same.
Millis Dispatcher::likely_service_time(const ServiceQueue& queue)
{
    return Millis(static_cast<int64_t>(queue.mean_ms + deviations * queue.deviation_ms));
}

// When the present queue will have drained.
Millis Dispatcher::retry_after(const std::string& service, const ServiceQueue& queue) const
{
    const Millis wait = expected_wait(service, queue);
    return Millis(std::clamp(wait.count(), min_retry_after_ms, max_retry_after_ms));
}

void Dispatcher::submit(const ForwardRequest& request, const Done& done)
{
    std::vector<Sending> sendings;
    std::optional<ForwardAnswer> refusal;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_retry_milli_tokens = std::min(m_retry_milli_tokens + m_limits.retry_milli_tokens,
                                        max_retry_milli_tokens);
        ServiceQueue& queue = m_queues[request.service];
        const int64_t slots = slots_of(request.service);
        const Millis wait = expected_wait(request.service, queue);
        const bool too_late
            = wait > Millis() && wait + likely_service_time(queue) > request.time_left;
        const auto length = static_cast<int64_t>(queue.waiting.size());
        if (slots == 0) {
            refusal = not_run_answer(FailureKind::not_owner, "no replica here",
                                     Millis(min_retry_after_ms));
        } else if (too_late || length >= slots * m_limits.queue_per_slot) {
            refusal = not_run_answer(FailureKind::overloaded,
                                     "the queue is too long for the time that is left",
                                     retry_after(request.service, queue));
        } else {
            queue.waiting.push_back(
                { request, done, m_clock.now() + request.time_left, 0, false });
            take_sendings(sendings);
        }
    }
    if (refusal)
        done(*refusal);
    send(std::move(sendings));
}

Dispatcher::BoxLoad* Dispatcher::pick_box(const std::string& service)
{
    const Millis now = m_clock.now();
    BoxLoad* best = nullptr;
    int64_t best_load = std::numeric_limits<int64_t>::max();
    BoxLoad* ejected = nullptr;
    // Starting at a new place each time shares the load among equals.
    auto item = m_boxes.begin();
    std::advance(item, static_cast<long>(m_turn++ % std::max<size_t>(1, m_boxes.size())));
    for (size_t i = 0; i < m_boxes.size(); ++i, ++item) {
        if (item == m_boxes.end())
            item = m_boxes.begin();
        BoxLoad& box = item->second;
        const int64_t load = box.in_flight + box.foreign;
        if (!box.present || load >= box.target.box.slots
            || box.target.services.count(service) == 0)
            continue;
        if (box.ejected_until > now) {
            ejected = &box;
        } else if (load < best_load) {
            best = &box;
            best_load = load;
        }
    }
    // When nothing else has a free slot an ejected target is better than waiting.
    return best != nullptr ? best : ejected;
}

// Gives free slots to waiting requests; of the services that have a free target, the
// request with the earliest deadline goes first.
void Dispatcher::take_sendings(std::vector<Sending>& sendings)
{
    for (;;) {
        ServiceQueue* first = nullptr;
        BoxLoad* first_box = nullptr;
        for (auto& item : m_queues) {
            ServiceQueue& queue = item.second;
            if (queue.waiting.empty())
                continue;
            if (first != nullptr
                && queue.waiting.front().deadline >= first->waiting.front().deadline)
                continue;
            BoxLoad* box = pick_box(item.first);
            if (box == nullptr)
                continue;
            first = &queue;
            first_box = box;
        }
        if (first == nullptr)
            return;
        ++first_box->in_flight;
        ++first_box->by_service[first->waiting.front().request.service];
        sendings.push_back({ first_box->target.box.id, first_box->target,
                             std::move(first->waiting.front()) });
        first->waiting.pop_front();
    }
}

void Dispatcher::send(std::vector<Sending> sendings)
{
    for (Sending& sending : sendings) {
        const Millis now = m_clock.now();
        sending.waiting.request.time_left = sending.waiting.deadline - now;
        const std::string box = sending.box;
        const Waiting waiting = sending.waiting;
        m_targets.send(sending.target.box, sending.target.epoch, waiting.request,
                       [this, box, waiting, now](const ForwardAnswer& answer) {
                           on_answer(box, waiting, now, answer);
                       });
    }
}

bool Dispatcher::should_retry(const Waiting& waiting, const ForwardAnswer& answer)
{
    const bool safe = answer.outcome == RequestOutcome::not_run
        || (answer.outcome == RequestOutcome::may_have_run && waiting.request.repeatable);
    if (!safe || waiting.tries + 1 >= max_tries || m_retry_milli_tokens < retry_cost)
        return false;
    if (waiting.deadline <= m_clock.now() || slots_of(waiting.request.service) == 0)
        return false;
    m_retry_milli_tokens -= retry_cost;
    return true;
}

void Dispatcher::on_answer(const std::string& box_id, const Waiting& waiting, Millis sent,
                           const ForwardAnswer& answer)
{
    std::vector<Sending> sendings;
    bool retry = false;
    const bool trouble = answer.outcome == RequestOutcome::not_run
        || answer.outcome == RequestOutcome::may_have_run;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto found = m_boxes.find(box_id);
        if (found != m_boxes.end()) {
            BoxLoad& box = found->second;
            --box.in_flight;
            --box.by_service[waiting.request.service];
            box.least_in_flight = std::min(box.least_in_flight, box.in_flight);
            // The request may still run there, and then holds its slot.
            if (answer.outcome == RequestOutcome::may_have_run) {
                ++box.foreign;
                ++box.doubts;
            }
            learn(box, m_queues[waiting.request.service], m_clock.now() - sent, answer);
        }
        retry = should_retry(waiting, answer);
        if (retry) {
            Waiting again = waiting;
            ++again.tries;
            again.in_doubt
                = again.in_doubt || answer.outcome == RequestOutcome::may_have_run;
            m_queues[waiting.request.service].waiting.push_front(std::move(again));
        }
        take_sendings(sendings);
    }
    if (trouble)
        m_listener.on_target_trouble(box_id);
    if (!retry)
        waiting.done(final_answer(waiting, answer));
    send(std::move(sendings));
}

void Dispatcher::learn(BoxLoad& box, ServiceQueue& queue, Millis took,
                       const ForwardAnswer& answer)
{
    if (answer.outcome == RequestOutcome::not_run
        || answer.outcome == RequestOutcome::may_have_run) {
        if (++box.failures_in_row >= failures_to_eject)
            eject(box);
        return;
    }
    box.failures_in_row = 0;
    const auto ms = static_cast<double>(took.count());
    add_sample(box.mean_ms, box.samples++, ms);
    add_sample(queue.deviation_ms, queue.samples, std::fabs(ms - queue.mean_ms));
    add_sample(queue.mean_ms, queue.samples++, ms);
    if (box.samples < samples_to_judge || box.mean_ms < slow_floor_ms)
        return;
    if (box.mean_ms > m_limits.slow_factor * median_ms())
        eject(box);
}

double Dispatcher::median_ms() const
{
    std::vector<double> means;
    for (const auto& item : m_boxes) {
        if (item.second.present && item.second.samples > 0)
            means.push_back(item.second.mean_ms);
    }
    if (means.empty())
        return 0;
    const auto middle = means.begin() + static_cast<long>(means.size() / 2);
    std::nth_element(means.begin(), middle, means.end());
    return *middle;
}

void Dispatcher::eject(BoxLoad& box)
{
    const Millis now = m_clock.now();
    const auto ejected
        = std::count_if(m_boxes.begin(), m_boxes.end(), [&](const auto& item) {
              return item.second.present && item.second.ejected_until > now;
          });
    const auto all = static_cast<int64_t>(m_boxes.size());
    if ((ejected + 1) * 100 > all * m_limits.max_ejected_percent)
        return;
    const Millis span = std::max(box.next_ejection, m_limits.ejection);
    box.ejected_until = now + span;
    box.next_ejection = std::min(Millis(span.count() * 2), longest_ejection);
    box.failures_in_row = 0;
    box.samples = 0;
    box.mean_ms = 0;
}

void Dispatcher::expire()
{
    Finals finals;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const Millis now = m_clock.now();
        for (auto& item : m_queues) {
            ServiceQueue& queue = item.second;
            const Millis service_time = likely_service_time(queue);
            for (auto waiting = queue.waiting.begin(); waiting != queue.waiting.end();) {
                if (waiting->deadline - service_time > now) {
                    ++waiting;
                    continue;
                }
                finals.emplace_back(
                    waiting->done,
                    final_answer(*waiting,
                                 not_run_answer(FailureKind::overloaded,
                                                "its time has passed in the queue",
                                                retry_after(item.first, queue))));
                waiting = queue.waiting.erase(waiting);
            }
        }
    }
    for (const auto& final : finals)
        final.first(final.second);
}

void Dispatcher::begin_report(const std::string& box)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_boxes.find(box);
    if (found == m_boxes.end())
        return;
    found->second.least_in_flight = found->second.in_flight;
    found->second.doubts = 0;
}

void Dispatcher::end_report(const std::string& id, int64_t busy, bool first)
{
    std::vector<Sending> sendings;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        BoxLoad& box = m_boxes[id];
        // At the moment of the report this node had at least `least_in_flight` of the busy
        // slots, so this bounds the others from above; they only become fewer. Doubts that
        // came up meanwhile are for the next report to judge.
        const int64_t bound = std::max<int64_t>(0, busy - box.least_in_flight);
        const int64_t judged = box.foreign - box.doubts;
        box.foreign = (first ? bound : std::min(judged, bound)) + box.doubts;
        box.least_in_flight = box.in_flight;
        take_sendings(sendings);
    }
    send(std::move(sendings));
}

int64_t Dispatcher::in_flight(const std::string& box, const std::string& service) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_boxes.find(box);
    if (found == m_boxes.end())
        return 0;
    const auto own = found->second.by_service.find(service);
    return found->second.foreign
        + (own == found->second.by_service.end() ? 0 : own->second);
}

int64_t Dispatcher::foreign(const std::string& box) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_boxes.find(box);
    return found == m_boxes.end() ? 0 : found->second.foreign;
}

std::vector<ServiceLoad> Dispatcher::loads(const std::string& shard) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::map<std::string, ServiceLoad> loads;
    for (const auto& item : m_boxes) {
        const BoxLoad& box = item.second;
        if (!box.present || box.target.box.shard() != shard)
            continue;
        for (const auto& service : box.target.services) {
            ServiceLoad& load = loads[service.first];
            load.service = service.first;
            load.running += service.second;
            load.slots += box.target.box.slots;
            load.busy += box.in_flight + box.foreign;
        }
    }
    std::vector<ServiceLoad> list;
    for (auto& item : loads) {
        // The queue is the node's; each shard's part of it goes by its slots.
        const auto queue = m_queues.find(item.first);
        const int64_t all = slots_of(item.first);
        if (queue != m_queues.end() && all > 0) {
            item.second.queued = static_cast<int64_t>(queue->second.waiting.size())
                * item.second.slots / all;
        }
        list.push_back(item.second);
    }
    return list;
}

ServiceLoad Dispatcher::load(const std::string& service) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    ServiceLoad load;
    load.service = service;
    for (const auto& item : m_boxes) {
        const BoxLoad& box = item.second;
        if (!box.present || box.target.services.count(service) == 0)
            continue;
        load.running += box.target.services.at(service);
        load.slots += box.target.box.slots;
        load.busy += box.in_flight + box.foreign;
    }
    const auto queue = m_queues.find(service);
    if (queue != m_queues.end())
        load.queued = static_cast<int64_t>(queue->second.waiting.size());
    return load;
}

int64_t Dispatcher::queued() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    int64_t sum = 0;
    for (const auto& item : m_queues)
        sum += static_cast<int64_t>(item.second.waiting.size());
    return sum;
}

} // namespace pathport
