// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The commands of pathportctl.

#pragma once

#include <string>
#include <vector>

namespace ctl {

/// Exit codes, by kind of failure.
constexpr int exit_ok = 0;
constexpr int exit_unwell = 1; ///< `status` found problems, or `diff` found differences.
constexpr int exit_usage = 2;
constexpr int exit_not_found = 3;
constexpr int exit_conflict = 4;
constexpr int exit_unauthorized = 5;
constexpr int exit_unavailable = 6; ///< Nothing was changed; try again later.
constexpr int exit_unknown = 7; ///< The change may or may not have taken effect.
constexpr int exit_bad_input = 8;
constexpr int exit_other = 9;

/// What all commands share.
struct Session {
    std::vector<std::string> nodes;
    std::string key;
    std::string who;
    std::string expect;
    bool json = false;
};

/// Returns the list of commands, for people.
std::string command_help();

/// Runs one command; returns the exit code.
int run(const Session& session, const std::vector<std::string>& words);

} // namespace ctl
