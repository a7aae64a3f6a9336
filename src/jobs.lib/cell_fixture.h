// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Shared code of the whole-cell tests: the log, queues of each kind, and jobs for them.

#pragma once

#include "head_log.h"
#include "store_keys.h"

#include <pathport/emulator/cell.h>
#include <pathport/log.h>

#include <cstdlib>
#include <string>
#include <vector>

namespace pathport::cell_tests {

using emulator::Cell;
using emulator::StepModel;
using emulator::WorkerFault;

/// Starts the log at the level that PATHPORT_LOG names, or at "error".
struct LogFixture {
    LogFixture()
    {
        const char* const level = std::getenv("PATHPORT_LOG");
        start_log("test", log_level_from(level == nullptr ? "error" : level));
    }
};

/// Returns the lines as one indented text.
inline std::string join_lines(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines)
        text += "\n  " + line;
    return text;
}

/// Adds a queue of each priority without advice ("q0" to "q2") and with it ("a0" to "a2").
inline void add_queues(Cell& cell)
{
    jobs::Configuration configuration = cell.store.configuration();
    ++configuration.version;
    for (int i = 0; i < 6; ++i) {
        const bool advised = i >= 3;
        jobs::Queue queue;
        queue.name = (advised ? "a" : "q") + std::to_string(i % 3);
        queue.host = "cell";
        queue.path_prefix = "/" + queue.name + "/";
        queue.service = "pool";
        queue.priority = i % 3;
        queue.max_failures = 3 + i % 2;
        queue.stretch = 2;
        queue.slo_ms = 1000;
        if (advised)
            queue.advice = jobs::AdviceRule { 5, 1, 1500 };
        configuration.queues.push_back(queue);
    }
    cell.store.configure(configuration);
    cell.workers.injected.ticket_validity = Millis(1500);
    cell.workers.injected.dead_are_unresponsive = true;
}

/// Returns the job specification of these steps.
inline jobs::JobSpec spec_of(const std::vector<StepModel>& models)
{
    jobs::JobSpec spec;
    spec.payload = "p";
    for (const StepModel& step : models) {
        jobs::StepSpec entry;
        entry.count = step.count;
        entry.need = step.need;
        entry.gang = step.gang;
        entry.after = step.after;
        entry.expected_ms = step.run_ms;
        entry.long_running = step.lasting;
        entry.saves_progress = step.saves_progress;
        entry.max_per_worker = step.max_per_worker;
        spec.steps.push_back(entry);
    }
    return spec;
}

/// Submits a job on the queue of that name.
inline void submit(Cell& cell, const std::string& queue, const std::string& id,
                   std::vector<StepModel> steps, const std::string& key = "")
{
    const jobs::Queue& found = *cell.store.configuration().by_name(queue);
    for (StepModel& model : steps) {
        model.payload = "p";
        model.advised = found.advice.has_value();
        model.max_failures = found.max_failures;
    }
    cell.submit_on(queue, id, spec_of(steps), steps, key);
}

/// Returns a step of small tasks: 450 millicores, 500 MB, payload "p".
inline StepModel small_step(int count, int64_t run_ms)
{
    StepModel model;
    model.count = count;
    model.run_ms = run_ms;
    model.need = { 450, 500, 0 };
    model.payload = "p";
    return model;
}

/// Submits a job of one step on the cell's initial queue without advice.
inline void submit_plain(Cell& cell, const std::string& id, const StepModel& model)
{
    cell.submit(id, spec_of({ model }), { model }, false);
}

/// Returns the epoch of the latest leadership claim, or 0.
inline int64_t epoch_of(const Cell& cell)
{
    const auto head = jobs::decode_head(cell.store.value(jobs::lead_row(jobs::head_key)));
    return head ? head->epoch : 0;
}

/// Returns a step of tasks that need one core each.
inline StepModel one_core_step(int count, int64_t run_ms)
{
    StepModel model;
    model.count = count;
    model.run_ms = run_ms;
    model.need = { 1000, 1000, 0 };
    return model;
}

} // namespace pathport::cell_tests
