// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// The cell's policy: who goes first, what may share a box, and what may be stopped. A
/// policy can order and forbid; it can't give away capacity or run a task twice.

#pragma once

#include <pathport/failure.h>
#include <pathport/model.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pathport {

/// What a policy sees of a task or a replica.
struct PolicyTask {
    std::string name; ///< Of its job or service.
    std::string team;
    bool is_service = false;
    int64_t priority = 0;
    bool stoppable = false;
    Resources resources;

    bool operator==(const PolicyTask& other) const
    {
        return name == other.name && team == other.team && is_service == other.is_service
            && priority == other.priority && stoppable == other.stoppable
            && resources == other.resources;
    }
};

/// Returns a number that is the same for equal tasks, and differs for others but for
/// chance.
uint64_t policy_class(const PolicyTask& task);

/// What a policy sees of a box.
struct PolicyBox {
    std::string id;
    std::string domain;
    std::string rack;
    Resources capacity;
    Resources free;
    std::vector<PolicyTask> tasks; ///< What runs there.
};

/// The three decisions of a policy. Calls are safe from any thread.
class Policy {
public:
    virtual ~Policy() = default;

    /// Returns the rank of `task`; the highest rank goes first.
    virtual double rank(const PolicyTask& task) const = 0;
    /// Returns whether `task` may run on `box` beside what runs there.
    virtual bool may_share(const PolicyTask& task, const PolicyBox& box) const = 0;
    /// Returns whether `victim` may be stopped to make room for `task`.
    virtual bool may_stop(const PolicyTask& victim, const PolicyTask& task) const = 0;
};

/// The built-in policy: priority goes first, everything shares, and an urgent task stops
/// stoppable tasks of a lower priority.
class DefaultPolicy : public Policy {
public:
    double rank(const PolicyTask& task) const override;
    bool may_share(const PolicyTask& task, const PolicyBox& box) const override;
    bool may_stop(const PolicyTask& victim, const PolicyTask& task) const override;
};

/// What a policy program has done so far.
struct PolicyHealth {
    int64_t calls = 0;
    int64_t failures = 0; ///< Calls that failed and were decided by the built-in policy.
    Failure last;
};

/// Most instructions that one call of a policy program may take.
constexpr int policy_instruction_limit = 20000;
/// Most memory that a policy program may hold, in bytes.
constexpr size_t policy_memory_limit = size_t(4) * 1024 * 1024;
/// Most classes of tasks whose tables a policy program is kept.
constexpr size_t policy_table_limit = 2000;

/// A policy program in Lua 5.4. It may define `rank(task)`, `may_share(task, box)` and
/// `may_stop(victim, task)`; the built-in policy decides what it leaves out, and each call
/// that fails. docs/policies.md describes the fields and the functions that a program can
/// use.
class LuaPolicy : public Policy {
public:
    /// Compiles `program` and tries each entry point once. Returns null and sets `reason`
    /// when it can't be accepted.
    static std::unique_ptr<LuaPolicy> compile(const std::string& program, Failure& reason);
    ~LuaPolicy() override;

    double rank(const PolicyTask& task) const override;
    bool may_share(const PolicyTask& task, const PolicyBox& box) const override;
    bool may_stop(const PolicyTask& victim, const PolicyTask& task) const override;

    /// Returns what the program has done so far.
    PolicyHealth health() const;

private:
    class Impl;
    explicit LuaPolicy(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace pathport
