// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

/// \file
/// Checked settings from INI files. A program declares every key with its type, range and
/// default; anything else in the file is an error.

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

/// What values a key takes.
enum class SettingType {
    text, ///< Any non-empty text.
    integer, ///< A whole number within the declared range.
    decimal, ///< A decimal number within the declared range.
    address, ///< `IP:port`, where IP is an IPv4 number and port is 1 to 65535.
    address_list, ///< Comma-separated addresses; may be empty.
    choice, ///< One of the declared words.
};

/// The declaration of one key.
struct SettingSpec {
    std::string section;
    std::string key;
    SettingType type = SettingType::text;
    /// The default; nothing means that the key must be given.
    std::optional<std::string> default_value;
    int64_t minimum = 0; ///< Smallest allowed number.
    int64_t maximum = 0; ///< Largest allowed number.
    std::vector<std::string> choices; ///< Allowed words of a choice.
};

/// The values of one file, all checked against their declarations.
class Settings {
public:
    /// Reads `path`. On failure returns nothing, and `reason` names file, section, key,
    /// value and what is allowed.
    static std::optional<Settings>
    load(const std::string& path, const std::vector<SettingSpec>& specs, Failure& reason);

    /// Reads from `content`; `name` stands for the file in failures.
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

/// An IP number and a port.
struct Address {
    std::string ip;
    uint16_t port = 0;

    bool operator==(const Address& other) const
    {
        return ip == other.ip && port == other.port;
    }
    std::string to_string() const { return ip + ":" + std::to_string(port); }
};

/// Parses `IP:port`; returns nothing when it is malformed.
std::optional<Address> parse_address(std::string_view text);

/// Parses a whole decimal number; returns nothing when anything else stands in `text`.
std::optional<int64_t> parse_integer(std::string_view text);

/// Parses a decimal number such as 0.25; returns nothing when anything else stands in
/// `text`.
std::optional<double> parse_decimal(std::string_view text);

} // namespace pathport
