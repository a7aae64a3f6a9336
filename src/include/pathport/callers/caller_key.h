// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Callers' keys. A node holds only a keyed hash of each, never the key itself.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pathport::callers {

/// A longer key is invalid.
constexpr size_t max_key_bytes = 1024;

/// The keyed hash of a key. Two keys collide with a probability of 2^-128.
struct KeyDigest {
    uint64_t high = 0;
    uint64_t low = 0;

    /// Returns 32 hexadecimal digits.
    std::string to_string() const;
    /// Parses the output of to_string(); returns nothing when it is malformed.
    static std::optional<KeyDigest> parse(std::string_view text);
    bool operator==(const KeyDigest& other) const
    {
        return high == other.high && low == other.low;
    }
    bool operator!=(const KeyDigest& other) const { return !(*this == other); }
};

/// Hash function for hash tables; the digest is distributed evenly already.
struct KeyDigestHash {
    size_t operator()(const KeyDigest& digest) const
    {
        return static_cast<size_t>(digest.low);
    }
};

/// Computes key digests. Each configuration read from the store gets a new random seed,
/// which is sent to other nodes with the digests.
class KeyHasher {
public:
    explicit KeyHasher(uint64_t seed)
        : m_seed(seed)
    {
    }
    /// Returns a hasher with a random seed.
    static KeyHasher random();

    KeyDigest digest(std::string_view key) const;
    uint64_t seed() const { return m_seed; }
    bool operator==(const KeyHasher& other) const { return m_seed == other.m_seed; }

private:
    uint64_t m_seed;
};

/// The key of a call, from its headers.
class PresentedKey {
public:
    /// A call without a key.
    PresentedKey() = default;
    /// `values` are the values of all key headers of the call. Several of them, an empty
    /// one and one over max_key_bytes count as no valid key.
    explicit PresentedKey(const std::vector<std::string>& values);

    /// Returns the key, or nothing when the call has no valid one.
    const std::optional<std::string>& text() const { return m_text; }

private:
    std::optional<std::string> m_text;
};

} // namespace pathport::callers
