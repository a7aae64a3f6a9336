// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Time in whole milliseconds, and clocks.

#pragma once

#include <atomic>
#include <cstdint>

namespace pathport {

/// A duration, or a time point of one clock, in milliseconds.
class Millis {
public:
    constexpr Millis() = default;
    constexpr explicit Millis(int64_t count)
        : m_count(count)
    {
    }

    constexpr int64_t count() const { return m_count; }

    constexpr Millis operator+(Millis other) const
    {
        return Millis(m_count + other.m_count);
    }
    constexpr Millis operator-(Millis other) const
    {
        return Millis(m_count - other.m_count);
    }
    constexpr bool operator==(Millis other) const { return m_count == other.m_count; }
    constexpr bool operator!=(Millis other) const { return m_count != other.m_count; }
    constexpr bool operator<(Millis other) const { return m_count < other.m_count; }
    constexpr bool operator<=(Millis other) const { return m_count <= other.m_count; }
    constexpr bool operator>(Millis other) const { return m_count > other.m_count; }
    constexpr bool operator>=(Millis other) const { return m_count >= other.m_count; }

private:
    int64_t m_count = 0;
};

/// Source of time. Time points of different clocks must not be compared.
class Clock {
public:
    virtual ~Clock() = default;

    /// Returns the current time, which never goes back and also advances during suspend.
    virtual Millis now() const = 0;
};

/// Monotonic system clock that includes time in suspend (CLOCK_BOOTTIME).
class SystemClock : public Clock {
public:
    Millis now() const override;
};

/// Clock for tests; advances only when advance() is called.
class ManualClock : public Clock {
public:
    Millis now() const override { return Millis(m_now.load()); }

    /// Advances the clock by `span`.
    void advance(Millis span) { m_now.fetch_add(span.count()); }

private:
    std::atomic<int64_t> m_now { 1000000 };
};

/// Returns the wall-clock time in milliseconds since 1970-01-01 UTC. Used for timestamps in
/// records and for request ids; ownership decisions never depend on it.
Millis wall_time();

} // namespace pathport
