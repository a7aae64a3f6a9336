// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/clock.h>

#include <chrono>
#include <ctime>

namespace pathport {

namespace {
constexpr int64_t millis_per_second = 1000;
constexpr int64_t nanos_per_milli = 1000000;
} // namespace

Millis SystemClock::now() const
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Millis(time.tv_sec * millis_per_second + time.tv_nsec / nanos_per_milli);
}

Millis wall_time()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return Millis(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

} // namespace pathport
