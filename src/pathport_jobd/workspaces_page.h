// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The HTTP page that lists the workspaces.

#pragma once

#include <pathport/jobs/job_node.h>

#include <string>
#include <vector>

namespace pathport {

/// Returns the loads as a JSON object: `leads`, and `workspaces`, each with its name,
/// weight, bound and running resources, and the numbers of waiting jobs and steps.
std::string workspaces_page(bool leads, const std::vector<jobs::WorkspaceLoad>& loads);

} // namespace pathport
