// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// JSON forms of the model's values, as rows, operators' calls and files use them. Decoding
/// is strict: an unknown field, a wrong type or a value out of range is a `bad_input`
/// failure that names the field.

#pragma once

#include <pathport/failure.h>
#include <pathport/model.h>

#include <optional>
#include <string>
#include <vector>

namespace pathport {

std::string encode(const BoxInfo& box);
std::string encode(const ServiceSpec& service);
std::string encode(const JobSpec& job);
std::string encode(const QuotaSpec& quota);
std::string encode(const PolicySpec& policy);
std::string encode(const TaskRecord& task);
std::string encode(const ShardRecord& shard);
std::string encode(const NodeRecord& node);
std::string encode(const AuditRecord& audit);
std::string encode(const std::vector<BoxInfo>& boxes);

std::optional<ServiceSpec> decode_service(const std::string& text, Failure& reason);
std::optional<JobSpec> decode_job(const std::string& text, Failure& reason);
std::optional<QuotaSpec> decode_quota(const std::string& text, Failure& reason);
std::optional<PolicySpec> decode_policy(const std::string& text, Failure& reason);
std::optional<TaskRecord> decode_task(const std::string& text, Failure& reason);
std::optional<ShardRecord> decode_shard(const std::string& text, Failure& reason);
std::optional<NodeRecord> decode_node(const std::string& text, Failure& reason);
std::optional<AuditRecord> decode_audit(const std::string& text, Failure& reason);
std::optional<std::vector<BoxInfo>> decode_boxes(const std::string& text, Failure& reason);

} // namespace pathport
