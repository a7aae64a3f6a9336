// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Validated settings from INI files. A program declares each key with its type, range and
/// default; an undeclared key in the file is an error.

#pragma once

#include <pathport/clock.h>
#include <pathport/failure.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pathport {

/// Type of the values of a key.
enum class SettingType {
    text, ///< Any non-empty text.
    integer, ///< A whole number within the declared range.
    decimal, ///< A decimal number within the declared range.
    address, ///< `IP:port`, with an IPv4 address and a port from 1 to 65535.
    address_list, ///< Comma-separated addresses; may be empty.
    choice, ///< One of the declared choices.
};

/// Declaration of one key.
struct SettingSpec {
    std::string section;
    std::string key;
    SettingType type = SettingType::text;
    /// The default; the key is required if there is none.
    std::optional<std::string> default_value;
    int64_t minimum = 0; ///< Smallest allowed value of an integer or a decimal.
    int64_t maximum = 0; ///< Largest allowed value of an integer or a decimal.
    std::vector<std::string> choices; ///< Allowed values of a choice.
};

/// The settings of one file, validated against their declarations.
class Settings {
public:
    /// Reads the file `path`. On failure returns nothing, and `reason` gives the file,
    /// section, key, value and the allowed values.
    static std::optional<Settings>
    load(const std::string& path, const std::vector<SettingSpec>& specs, Failure& reason);

    /// Parses `content`; `name` is the file name to give in failures.
    static std::optional<Settings> parse(const std::string& content,
                                         const std::string& name,
                                         const std::vector<SettingSpec>& specs,
                                         Failure& reason);

    /// Returns the value of a declared key.
    const std::string& text(std::string_view section, std::string_view key) const;
    /// Returns the value of a declared integer key.
    int64_t integer(std::string_view section, std::string_view key) const;
    /// Returns the value of a declared decimal key.
    double decimal(std::string_view section, std::string_view key) const;
    /// Returns the value of a declared integer key as milliseconds.
    Millis millis(std::string_view section, std::string_view key) const;
    /// Returns the values of a declared address list.
    std::vector<std::string> list(std::string_view section, std::string_view key) const;

private:
    std::map<std::pair<std::string, std::string>, std::string> m_values;
};

/// An IPv4 address and a port.
struct Address {
    std::string ip;
    uint16_t port = 0;

    bool operator==(const Address& other) const
    {
        return ip == other.ip && port == other.port;
    }
    std::string to_string() const { return ip + ":" + std::to_string(port); }
};

/// Parses `IP:port`; returns nothing if it is malformed.
std::optional<Address> parse_address(std::string_view text);

/// Parses a decimal integer; returns nothing if `text` has any other characters.
std::optional<int64_t> parse_integer(std::string_view text);

/// Parses a number in fixed notation, such as 0.25; returns nothing if `text` has any other
/// characters.
std::optional<double> parse_decimal(std::string_view text);

} // namespace pathport
