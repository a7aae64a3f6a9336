// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The settings of a node. docs/settings.md describes each key.

#pragma once

#include <pathport/admission.h>
#include <pathport/membership.h>
#include <pathport/settings.h>
#include <pathport/shard_keeper.h>

#include <optional>
#include <string>
#include <vector>

namespace pathport {

/// All settings of one node, checked.
struct NodeSettings {
    std::string node;
    std::string region;
    std::string domain;
    Address callers;
    Address operators;
    Address peers;
    Address metrics;
    Address table;
    Address objects;
    Address box_list;
    std::vector<std::string> seeds; ///< Peer addresses known from the start.
    std::string operator_key;
    std::string log_level;
    int threads = 4;
    size_t max_body_bytes = size_t(1024) * 1024;
    Millis heartbeat { 500 };
    Millis peer_heartbeat { 1000 };
    Millis table_timeout { 5000 };
    Millis box_timeout { 2000 };
    Millis request_limit { 30000 };
    Millis stop_limit { 30000 };
    MembershipSpans membership;
    AdmissionSpans admission;
    KeeperSpans keeper;

    /// Reads the settings file. Returns nothing and sets `reason` when it is not valid.
    static std::optional<NodeSettings> load(const std::string& path, Failure& reason);
    /// Reads settings from `content`; `name` stands for the file in failures.
    static std::optional<NodeSettings> parse(const std::string& content,
                                             const std::string& name, Failure& reason);
};

/// Returns the declarations of all keys.
const std::vector<SettingSpec>& node_setting_specs();

} // namespace pathport
