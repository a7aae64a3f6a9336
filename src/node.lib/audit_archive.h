// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Keeps the audit trail in the table short: older records move to the object store.

#pragma once

#include <pathport/platform.h>
#include <pathport/table.h>

#include <cstddef>

namespace pathport {

/// How many records of the audit trail stay in the table.
constexpr size_t audit_records_kept = 1000;
/// How many records one object holds.
constexpr size_t audit_records_per_object = 500;

/// Moves the oldest records to the object store when the table holds `per_object` more than
/// `keep`: first the object `audit/<first key>..<last key>` is written, then the rows are
/// removed. Returns how many were moved; 0 with `reason` set when something failed, after
/// which nothing is lost and a repeat writes the same object again.
size_t archive_audit(Table& table, TableLane& lane, ObjectStore& objects, size_t keep,
                     size_t per_object, Failure& reason);

} // namespace pathport
