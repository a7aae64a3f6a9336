// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/model.h>

#include <tuple>

namespace pathport {

namespace {

auto fields(const BoxInfo& b)
{
    return std::tie(b.id, b.incarnation, b.region, b.domain, b.rack, b.capacity, b.slots,
                    b.connections, b.control_address, b.work_address, b.state);
}

auto fields(const ServiceSpec& s)
{
    return std::tie(s.name, s.team, s.resources, s.replicas, s.window_ms, s.priority);
}

auto fields(const JobSpec& j)
{
    return std::tie(j.name, j.team, j.resources, j.tasks, j.duration_ms, j.priority,
                    j.stoppable);
}

auto fields(const TaskRecord& t)
{
    return std::tie(t.id, t.job, t.team, t.resources, t.duration_ms, t.priority,
                    t.stoppable, t.submitted_ms, t.state, t.attempt, t.box,
                    t.box_incarnation);
}

auto fields(const AuditRecord& a)
{
    return std::tie(a.revision, a.who, a.node, a.wall_ms, a.what, a.key, a.before, a.after);
}

} // namespace

bool BoxInfo::operator==(const BoxInfo& other) const
{
    return fields(*this) == fields(other);
}

bool ServiceSpec::operator==(const ServiceSpec& other) const
{
    return fields(*this) == fields(other);
}

bool JobSpec::operator==(const JobSpec& other) const
{
    return fields(*this) == fields(other);
}

bool TaskRecord::operator==(const TaskRecord& other) const
{
    return fields(*this) == fields(other);
}

bool AuditRecord::operator==(const AuditRecord& other) const
{
    return fields(*this) == fields(other);
}

const char* to_string(TaskState state)
{
    switch (state) {
    case TaskState::pending:
        return "pending";
    case TaskState::assigned:
        return "assigned";
    case TaskState::done:
        return "done";
    case TaskState::failed:
        return "failed";
    }
    return "pending";
}

} // namespace pathport
