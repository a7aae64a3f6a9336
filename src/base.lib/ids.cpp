// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/ids.h>

#include <xxhash.h>

#include <cctype>
#include <random>

namespace pathport {

namespace {
constexpr size_t uuid_length = 36;
constexpr size_t uuid_time_digits = 12;
constexpr size_t uuid_version_position = 14;
constexpr size_t max_name_length = 63;
constexpr char hex_digits[] = "0123456789abcdef";

std::mt19937_64& random_engine()
{
    thread_local std::mt19937_64 engine { std::random_device {}() };
    return engine;
}

std::string to_hex(uint64_t value, size_t digits)
{
    std::string text(digits, '0');
    for (size_t i = digits; i-- > 0; value >>= 4)
        text[i] = hex_digits[value & 15];
    return text;
}

bool is_hyphen_position(size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}
} // namespace

std::string make_uuid7(Millis wall)
{
    const std::string time = to_hex(static_cast<uint64_t>(wall.count()), uuid_time_digits);
    const uint64_t high = random_engine()();
    const uint64_t low = random_engine()();
    const std::string low_digits = to_hex(low, 16);
    const uint64_t variant = 8 + (high >> 60) % 4;
    return time.substr(0, 8) + "-" + time.substr(8) + "-7" + to_hex(high & 0xfff, 3) + "-"
        + to_hex(variant, 1) + low_digits.substr(0, 3) + "-" + low_digits.substr(3, 12);
}

std::optional<Millis> uuid7_time(std::string_view text)
{
    if (text.size() != uuid_length || text[uuid_version_position] != '7')
        return std::nullopt;
    int64_t time = 0;
    size_t digits = 0;
    for (size_t i = 0; i < text.size(); ++i) {
        if (is_hyphen_position(i)) {
            if (text[i] != '-')
                return std::nullopt;
            continue;
        }
        // Only lower case is accepted: otherwise one id with two spellings would count as
        // two.
        const size_t digit = std::string_view(hex_digits, 16).find(text[i]);
        if (digit == std::string_view::npos)
            return std::nullopt;
        if (digits++ < uuid_time_digits)
            time = time * 16 + static_cast<int64_t>(digit);
    }
    return Millis(time);
}

std::string random_token()
{
    return to_hex(random_engine()(), 16);
}

uint64_t stable_hash(std::string_view text)
{
    return XXH64(text.data(), text.size(), 0);
}

bool is_valid_name(std::string_view text)
{
    if (text.empty() || text.size() > max_name_length || text[0] < 'a' || text[0] > 'z')
        return false;
    for (const char c : text) {
        const bool allowed = (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
        if (!allowed)
            return false;
    }
    return true;
}

bool equal_secrets(std::string_view given, std::string_view expected)
{
    unsigned difference = given.size() == expected.size() ? 0U : 1U;
    for (size_t i = 0; i < given.size(); ++i) {
        const char expected_char = expected.empty() ? '\0' : expected[i % expected.size()];
        difference |= static_cast<unsigned char>(given[i])
            ^ static_cast<unsigned char>(expected_char);
    }
    return difference == 0;
}

} // namespace pathport
