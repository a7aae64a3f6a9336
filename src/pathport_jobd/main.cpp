// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// pathport_jobd: one node of the job path. It accepts jobs, answers queries about them,
/// and schedules them while it is the elected leader.

#include "http_peers.h"
#include "jobd_settings.h"
#include "process_monitor.h"
#include "workspaces_page.h"

#include <platform/client_request_handler.h>
#include <platform/http_worker_client.h>
#include <platform/store_client.h>

#include <pathport/ids.h>
#include <pathport/jobs/job_node.h>
#include <pathport/log.h>
#include <pathport/metrics.h>
#include <pathport/process.h>

#include <tclap/CmdLine.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace {

using namespace pathport;

constexpr int exit_bad_settings = 2;
constexpr int exit_no_start = 3;
constexpr size_t max_peer_body = size_t(4) * 1024 * 1024;
constexpr Millis drain_check_interval { 50 };
constexpr Millis traffic_interval { 5000 };
/// Paths with less traffic in that interval are not logged, in bytes.
constexpr int64_t min_logged_traffic = 10000;
/// Maximum number of connections to one worker, for a poll and some orders. Workers limit
/// their connections, and those of leaders that lost power stay open for a long time.
constexpr size_t worker_connections = 6;
/// Clients' connections are closed so long before the end of the shutdown grace period.
constexpr Millis close_margin { 1500 };

ClientLimits worker_limits()
{
    ClientLimits limits;
    limits.max_connections = worker_connections;
    limits.max_held_bytes = size_t(16) * 1024 * 1024;
    return limits;
}

/// Limits of the addresses that serve only the platform and the operators.
ServerLimits internal_limits()
{
    ServerLimits limits;
    limits.max_body_bytes = 0;
    limits.max_connections = 64;
    limits.max_held_bytes = size_t(4) * 1024 * 1024;
    return limits;
}

/// The program: all objects that live as long as the process.
class Program {
public:
    explicit Program(const JobdSettings& settings)
        : m_settings(settings)
        , m_http(m_loop)
        , m_worker_http(m_loop, worker_limits())
        , m_store(m_http, settings.store)
        , m_workers(m_worker_http)
        , m_advice(m_http, settings.advice)
        , m_peers(m_http)
        , m_node({ m_loop, m_store, m_store, m_workers, m_advice, m_peers, m_metrics,
                   [] { return wall_time().count(); } },
                 setup(settings))
        , m_request_handler(m_node)
        , m_clients(m_loop, settings.clients,
                    [this](ServerRequest request, ServerReply reply) {
                        m_request_handler.handle(request, std::move(reply));
                    },
                    {})
        , m_readiness(
              m_loop, settings.readiness,
              [this](const ServerRequest& request, const ServerReply& reply) {
                  m_request_handler.handle_readiness(request, reply);
              },
              internal_limits())
        , m_peer_server(
              m_loop, settings.peers,
              [this](const ServerRequest& request, const ServerReply& reply) {
                  handle_peer_request(m_node, request, reply);
              },
              peer_limits())
        , m_metrics_server(
              m_loop, settings.metrics,
              [this](const ServerRequest& request, const ServerReply& reply) {
                  reply(request.target == "/workspaces" ? workspaces_answer()
                                                        : metrics_answer());
              },
              internal_limits())
    {
    }

    int run()
    {
        m_loop.on_signals([this](int number) { on_signal(number); });
        m_clients.capture_header(platform::api_key_header);
        if (!m_peer_server.start() || !m_clients.start() || !m_readiness.start()) {
            std::cerr << "pathport_jobd: can't listen on the address for clients, peers or "
                         "readiness"
                      << std::endl;
            return exit_no_start;
        }
        if (!m_metrics_server.start())
            log_event(LogLevel::warn, "metrics_not_served",
                      { { "address", m_settings.metrics.to_string() } });
        log_event(LogLevel::info, "started",
                  { { "clients", m_settings.clients.to_string() } });
        m_node.on_configuration([this](const jobs::Configuration& configuration) {
            set_limits(configuration);
        });
        m_node.begin();
        m_monitor.begin();
        log_traffic();
        m_loop.run();
        const ProcessUsage usage = process_usage();
        log_event(
            LogLevel::info, "stopped",
            { { "cpu_ms", usage.cpu.count() }, { "resident_kb", usage.resident_kb } });
        return EXIT_SUCCESS;
    }

private:
    static jobs::NodeSetup setup(const JobdSettings& settings)
    {
        jobs::NodeSetup setup;
        setup.node = settings.node;
        setup.peer_address = settings.peers.to_string();
        setup.incarnation = random_token();
        setup.gang_timeout = settings.gang_timeout;
        setup.drain_margin = settings.drain;
        setup.domain_drain_time = settings.domain_drain;
        setup.mechanisms = settings.mechanisms;
        setup.max_hand_over_delay = Millis(settings.stop_grace.count() / 2);
        setup.max_lease = settings.max_hold;
        setup.link_bytes_per_s = settings.link_bytes_per_s;
        setup.kill_grace = settings.kill_grace;
        // Without this mechanism all nodes count as equal.
        setup.cpu_millicores = settings.mechanisms.uses(jobs::Mechanism::strongest_leads)
            ? settings.cpu_millicores
            : 1;
        return setup;
    }

    static ServerLimits peer_limits()
    {
        ServerLimits limits;
        limits.max_body_bytes = max_peer_body;
        return limits;
    }

    ServerResponse metrics_answer()
    {
        const ProcessUsage usage = process_usage();
        m_metrics.set("pathport_process_cpu_seconds", double(usage.cpu.count()) / 1000);
        m_metrics.set("pathport_process_resident_bytes", double(usage.resident_kb) * 1024);
        const int64_t evictions = m_clients.evictions() + m_readiness.evictions()
            + m_peer_server.evictions() + m_metrics_server.evictions();
        m_metrics.set("pathport_connections_evicted", double(evictions));
        m_node.update_gauges();
        ServerResponse answer;
        answer.content_type = "text/plain; version=0.0.4";
        answer.body = m_metrics.text();
        return answer;
    }

    // Lists the workspaces as known to the leader; empty on other nodes.
    ServerResponse workspaces_answer()
    {
        ServerResponse answer;
        answer.body = workspaces_page(m_node.leads(), m_node.workspace_loads());
        return answer;
    }

    // Logs the traffic by path at regular intervals.
    void log_traffic()
    {
        HttpTrafficByPath all = m_http.traffic();
        for (const auto& [path, traffic] : m_worker_http.traffic())
            all[path] = traffic;
        all["clients"] = m_clients.traffic();
        all["peers"] = m_peer_server.traffic();
        std::string text;
        for (const auto& [path, traffic] : all) {
            const HttpTraffic& before = m_logged_traffic[path];
            const int64_t sent = traffic.sent - before.sent;
            const int64_t received = traffic.received - before.received;
            if (sent + received > min_logged_traffic)
                text += path + " " + std::to_string(sent) + "/" + std::to_string(received)
                    + " ";
        }
        m_logged_traffic = std::move(all);
        if (!text.empty())
            log_event(LogLevel::info, "link_traffic",
                      { { "span_ms", traffic_interval.count() },
                        { "sent_received_bytes", text } });
        m_loop.after(traffic_interval, [this] { log_traffic(); });
    }

    // Applies the configuration's limits to clients' requests.
    void set_limits(const jobs::Configuration& configuration)
    {
        ServerLimits limits;
        limits.max_header_bytes = static_cast<size_t>(configuration.max_header_bytes);
        limits.max_body_bytes = static_cast<size_t>(configuration.max_body_bytes);
        m_clients.set_limits(limits);
    }

    void on_signal(int number)
    {
        if (number == SIGHUP) {
            log_event(LogLevel::info, "reload_asked", {});
            return;
        }
        if (m_stopping)
            return;
        m_stopping = true;
        log_event(LogLevel::info, "stopping", {});
        m_node.begin_shutdown();
        // The load balancer sees the readiness check fail; requests on open connections are
        // still served.
        m_clients.close_after_responses();
        m_loop.after(m_settings.stop_grace - close_margin, [this] {
            m_clients.drain();
            stop_when_idle();
        });
        m_loop.after(m_settings.stop_grace, [this] { m_loop.stop(); });
    }

    void stop_when_idle()
    {
        if (m_clients.requests_in_progress() == 0) {
            m_loop.stop();
            return;
        }
        m_loop.after(drain_check_interval, [this] { stop_when_idle(); });
    }

    JobdSettings m_settings;
    IoLoop m_loop;
    AsyncHttpClient m_http;
    AsyncHttpClient m_worker_http;
    platform::StoreClient m_store;
    platform::HttpWorkerClient m_workers;
    platform::AdviceClient m_advice;
    HttpPeerClient m_peers;
    Metrics m_metrics;
    jobs::JobNode m_node;
    platform::ClientRequestHandler m_request_handler;
    AsyncHttpServer m_clients;
    AsyncHttpServer m_readiness;
    AsyncHttpServer m_peer_server;
    AsyncHttpServer m_metrics_server;
    HttpTrafficByPath m_logged_traffic;
    ProcessMonitor m_monitor { m_loop, m_metrics };
    bool m_stopping = false;
};

std::string default_settings_path()
{
    const char* const path = std::getenv("PATHPORT_NODE_FILE");
    return path == nullptr ? "" : path;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine cmd("One node of the job path.", ' ', "0.2.0");
        TCLAP::ValueArg<std::string> path("s", "settings",
                                          "Settings file (INI); else PATHPORT_NODE_FILE",
                                          false, default_settings_path(), "path", cmd);
        TCLAP::SwitchArg check("c", "check", "Check the settings and exit", cmd);
        cmd.parse(argc, argv);
        Failure reason;
        const auto settings = JobdSettings::load(path.getValue(), reason);
        if (!settings) {
            std::cerr << "pathport_jobd: " << reason.detail() << std::endl;
            return exit_bad_settings;
        }
        if (check.getValue()) {
            std::cout << "the settings are valid" << std::endl;
            return EXIT_SUCCESS;
        }
        start_log(settings->node, log_level_from(settings->log_level), LogForm::json);
        Program program(*settings);
        const int result = program.run();
        std::_Exit(result);
    } catch (const TCLAP::ArgException& error) {
        std::cerr << "pathport_jobd: " << error.error() << " " << error.argId()
                  << std::endl;
        return exit_bad_settings;
    }
}
