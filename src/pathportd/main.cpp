// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// pathportd: one node of the cell.

#include "caller_api.h"
#include "node.h"
#include "operator_api.h"

#include <pathport/log.h>
#include <pathport/process.h>

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace pathport;

constexpr size_t max_operator_body = size_t(1024) * 1024;
constexpr int exit_bad_settings = 2;
constexpr int exit_no_start = 3;
constexpr int exit_replaced = 4;

void report_usage(Node& node)
{
    const ProcessUsage usage = process_usage();
    node.metrics().set("pathport_process_cpu_seconds", double(usage.cpu.count()) / 1000.0);
    node.metrics().set("pathport_process_resident_bytes",
                       double(usage.resident_kb) * 1024.0);
    const NodeHealth health = node.health();
    node.metrics().set("pathport_queued_requests", double(health.queued));
    node.metrics().set("pathport_table_reachable", health.table_reachable ? 1 : 0);
    node.metrics().set("pathport_config_current", health.config_current ? 1 : 0);
    node.metrics().set("pathport_remembered_ids", double(health.remembered_ids));
    node.metrics().set("pathport_owned_shards", double(node.keeper().shards().size()));
    const KeeperCounters counters = node.keeper().counters();
    node.metrics().set("pathport_placements", double(counters.placements));
    node.metrics().set("pathport_tasks_lost", double(counters.tasks_lost));
    node.metrics().set("pathport_replicas_lost", double(counters.replicas_lost));
}

int run(const NodeSettings& settings)
{
    start_log(settings.node, log_level_from(settings.log_level));
    block_end_signals();
    start_http_threads(settings.threads);
    Node node(settings);
    CallerApi caller_api(node);
    OperatorApi operator_api(node);
    HttpServer callers(settings.callers, settings.max_body_bytes, caller_api);
    HttpServer operators(settings.operators, max_operator_body, operator_api);
    Failure reason;
    if (!node.start(reason) || !callers.start(reason) || !operators.start(reason)) {
        log_event(LogLevel::error, "start_failed", { { "reason", reason.detail() } });
        std::cerr << "pathportd: " << reason.detail() << std::endl;
        std::_Exit(exit_no_start);
    }
    while (!end_requested(Millis(1000)) && !node.is_replaced())
        report_usage(node);
    const bool replaced = node.is_replaced();
    if (!replaced)
        node.leave();
    callers.stop();
    operators.stop();
    node.stop();
    const ProcessUsage usage = process_usage();
    log_event(LogLevel::info, "node_stopped",
              { { "cpu_ms", usage.cpu.count() }, { "resident_kb", usage.resident_kb } });
    // Exchanges that are still under way end on threads of the HTTP library, which nothing
    // can wait for; leaving without destructors keeps them from what is gone.
    std::_Exit(replaced ? exit_replaced : EXIT_SUCCESS);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine cmd("One node of a pathport cell.", ' ', "0.1.0");
        TCLAP::ValueArg<std::string> path("s", "settings", "Settings file (INI)", true, "",
                                          "path", cmd);
        TCLAP::SwitchArg check("c", "check", "Check the settings and exit", cmd);
        cmd.parse(argc, argv);
        Failure reason;
        const auto settings = NodeSettings::load(path.getValue(), reason);
        if (!settings) {
            std::cerr << "pathportd: " << reason.detail() << std::endl;
            return exit_bad_settings;
        }
        if (check.getValue()) {
            std::cout << "the settings are valid" << std::endl;
            return EXIT_SUCCESS;
        }
        return run(*settings);
    } catch (const TCLAP::ArgException& error) {
        std::cerr << "pathportd: " << error.error() << " " << error.argId() << std::endl;
        return exit_bad_settings;
    }
}
