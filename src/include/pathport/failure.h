// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Typed errors; functions return them alongside an empty `std::optional`.

#pragma once

#include <string>
#include <utility>

namespace pathport {

/// Category of a failure. Every failure in pathport has exactly one.
enum class FailureKind {
    none, ///< No failure.
    bad_input, ///< The input is malformed; a retry will fail too.
    not_found, ///< The named object does not exist.
    conflict, ///< The object was changed concurrently; the detail holds its current value.
    unauthorized, ///< The key is missing or wrong.
    too_large, ///< The input exceeds a size limit.
    overloaded, ///< A limit is reached; retry later.
    unavailable, ///< A required system can't be reached; nothing was changed.
    outcome_unknown, ///< The change may or may not have taken effect.
    stale_epoch, ///< The sender's epoch is older than one already seen.
    not_owner, ///< The receiver does not own the shard.
    no_capacity, ///< There is currently not enough free capacity.
    policy_error, ///< A policy program failed to load or to run.
    internal, ///< An internal error of pathport.
};

/// Returns the stable lower-case name of `kind`, as used in responses and logs.
const char* to_string(FailureKind kind);

/// A failure: its kind and a human-readable detail.
class Failure {
public:
    Failure() = default;
    Failure(FailureKind kind, std::string detail)
        : m_kind(kind)
        , m_detail(std::move(detail))
    {
    }

    FailureKind kind() const { return m_kind; }
    const std::string& detail() const { return m_detail; }
    explicit operator bool() const { return m_kind != FailureKind::none; }

    bool operator==(const Failure& other) const
    {
        return m_kind == other.m_kind && m_detail == other.m_detail;
    }
    bool operator!=(const Failure& other) const { return !(*this == other); }

private:
    FailureKind m_kind = FailureKind::none;
    std::string m_detail;
};

} // namespace pathport
