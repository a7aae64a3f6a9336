// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Request ids (UUID version 7, RFC 9562), random tokens and stable hashes.

#pragma once

#include <pathport/clock.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pathport {

/// Returns a new UUIDv7 in its 36-character text form, with `wall` as its timestamp.
std::string make_uuid7(Millis wall);

/// Returns the timestamp of a UUIDv7, or nothing if `text` is not a UUIDv7 in lower case.
std::optional<Millis> uuid7_time(std::string_view text);

/// Returns 16 random hexadecimal digits.
std::string random_token();

/// Returns a hash that is identical on all machines and in all versions of pathport.
uint64_t stable_hash(std::string_view text);

/// Returns whether `text` is a valid name: 1 to 63 of a-z, 0-9 and '-', starting with a
/// letter.
bool is_valid_name(std::string_view text);

/// Compares two secrets in a time that depends only on the length of `given`.
bool equal_secrets(std::string_view given, std::string_view expected);

} // namespace pathport
