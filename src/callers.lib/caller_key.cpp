// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/callers/caller_key.h>

#include <xxhash.h>

#include <algorithm>
#include <cctype>
#include <random>

namespace pathport::callers {

namespace {

constexpr size_t digits_of_half = 16;

std::string hexadecimal(uint64_t value)
{
    constexpr int bits_of_digit = 4;
    std::string text(digits_of_half, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = "0123456789abcdef"[value & 0xf];
        value >>= bits_of_digit;
    }
    return text;
}

} // namespace

std::string KeyDigest::to_string() const
{
    return hexadecimal(high) + hexadecimal(low);
}

std::optional<KeyDigest> KeyDigest::parse(std::string_view text)
{
    constexpr int base = 16;
    const bool well_formed = text.size() == 2 * digits_of_half
        && std::all_of(text.begin(), text.end(), [](char c) {
                                 return std::isxdigit(static_cast<unsigned char>(c)) != 0;
                             });
    if (!well_formed)
        return std::nullopt;
    const std::string digits(text);
    return KeyDigest { std::stoull(digits.substr(0, digits_of_half), nullptr, base),
                       std::stoull(digits.substr(digits_of_half), nullptr, base) };
}

KeyHasher KeyHasher::random()
{
    constexpr int half = 32;
    std::random_device source;
    return KeyHasher(uint64_t(source()) << half | source());
}

KeyDigest KeyHasher::digest(std::string_view key) const
{
    const XXH128_hash_t hash = XXH3_128bits_withSeed(key.data(), key.size(), m_seed);
    return { hash.high64, hash.low64 };
}

PresentedKey::PresentedKey(const std::vector<std::string>& values)
{
    if (values.size() == 1 && !values.front().empty()
        && values.front().size() <= max_key_bytes)
        m_text = values.front();
}

} // namespace pathport::callers
