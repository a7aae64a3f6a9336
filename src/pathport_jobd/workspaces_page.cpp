// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "workspaces_page.h"

#include <nlohmann/json.hpp>

namespace pathport {

namespace {

using Json = nlohmann::json;

Json to_json(const Resources& amount)
{
    return { { "cpu_millis", amount.cpu_millis },
             { "memory_mb", amount.memory_mb },
             { "accelerators", amount.accelerators } };
}

} // namespace

std::string workspaces_page(bool leads, const std::vector<jobs::WorkspaceLoad>& loads)
{
    Json list = Json::array();
    for (const jobs::WorkspaceLoad& load : loads) {
        list.push_back({ { "name", load.workspace.name },
                         { "weight", load.workspace.weight },
                         { "priority", load.workspace.priority },
                         { "bound", to_json(load.workspace.bound) },
                         { "running", to_json(load.running) },
                         { "waiting_jobs", load.waiting_jobs },
                         { "beyond_share", load.beyond_share },
                         { "steps_at_bound", load.steps_at_bound } });
    }
    const Json page { { "leads", leads }, { "workspaces", std::move(list) } };
    return page.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace pathport
