// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Callers' keys as a node holds them: a keyed hash, never the key itself.

#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pathport::callers {

/// A longer key is none.
constexpr size_t max_key_bytes = 1024;

/// The keyed hash of a key. Two keys share one with a chance of 2^-128.
struct KeyDigest {
    uint64_t high = 0;
    uint64_t low = 0;

    /// Returns 32 hexadecimal digits.
    std::string to_string() const;
    /// Returns the digest that `text` stands for, or nothing when it is malformed.
    static std::optional<KeyDigest> parse(std::string_view text);
    bool operator==(const KeyDigest& other) const
    {
        return high == other.high && low == other.low;
    }
    bool operator!=(const KeyDigest& other) const { return !(*this == other); }
};

/// For hash tables. The digest is spread evenly already.
struct KeyDigestHash {
    size_t operator()(const KeyDigest& digest) const
    {
        return static_cast<size_t>(digest.low);
    }
};

/// Makes digests. The seed is drawn anew for each configuration that is read and goes with
/// the digests to other nodes.
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

/// The key that a call brings, as its header has it.
class PresentedKey {
public:
    /// The call brings none.
    PresentedKey() = default;
    /// `values` are those of all headers of that name. More than one, an empty one and one
    /// over max_key_bytes are no key of anybody.
    explicit PresentedKey(const std::vector<std::string>& values);

    /// Returns the key, or nothing when the call brings none that could be anybody's.
    const std::optional<std::string>& text() const { return m_text; }

private:
    std::optional<std::string> m_text;
};

} // namespace pathport::callers
