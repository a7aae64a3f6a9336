// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Guards against clocks that stop while the system is suspended, as the steady clock does:
/// leases and cached state would then outlive their limits by the time in suspend. The test
/// replaces clock_gettime() to simulate a suspended system.

#define BOOST_TEST_MODULE clock
#include <boost/test/unit_test.hpp>

#include <pathport/clock.h>

#include <chrono>
#include <ctime>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

/// Simulated time in suspend, in seconds.
int64_t suspended_s = 0;

} // namespace

/// Replaces the C library's function: adds the simulated time to the clocks that advance
/// during suspend.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept
{
    const long result = syscall(SYS_clock_gettime, clock, time);
    if (result == 0 && (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME))
        time->tv_sec += suspended_s;
    return static_cast<int>(result);
}

using namespace pathport;

BOOST_AUTO_TEST_CASE(clocks_advance_while_the_system_is_suspended)
{
    constexpr int64_t span_s = 7;
    const SystemClock clock;
    const Millis before = clock.now();
    const Millis wall_before = wall_time();
    const auto steady_before = std::chrono::steady_clock::now();
    suspended_s += span_s;
    // The steady clock does not advance, so it must not be used for leases or ages.
    BOOST_TEST(
        (std::chrono::steady_clock::now() - steady_before < std::chrono::seconds(span_s)));
    BOOST_TEST((clock.now() - before >= Millis(span_s * 1000)));
    BOOST_TEST((wall_time() - wall_before >= Millis(span_s * 1000)));
}
