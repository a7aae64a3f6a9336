// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Numbers of workers, by which tables and indexes refer to them.

#pragma once

#include <cstdint>

namespace pathport::jobs {

/// Identifies a worker within one leader's epoch. Numbers increase and are not reused, so a
/// number kept longer than its worker refers to a closed row.
using WorkerNumber = uint32_t;

} // namespace pathport::jobs
