// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include <pathport/settings.h>

// Settings files are read as plain bytes, without character set conversion.
#define SI_NO_CONVERSION
#include <SimpleIni.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace pathport {

namespace {

constexpr int64_t max_port = 65535;

std::string join(const std::vector<std::string>& words)
{
    std::string text;
    for (const std::string& word : words)
        text += (text.empty() ? "" : ", ") + word;
    return text;
}

std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ',')) {
        part.erase(0, part.find_first_not_of(' '));
        part.erase(part.find_last_not_of(' ') + 1);
        if (!part.empty())
            parts.push_back(part);
    }
    return parts;
}

std::string allowed_values(const SettingSpec& spec)
{
    switch (spec.type) {
    case SettingType::text:
        return "non-empty text";
    case SettingType::integer:
        return "a whole number from " + std::to_string(spec.minimum) + " to "
            + std::to_string(spec.maximum);
    case SettingType::decimal:
        return "a number from " + std::to_string(spec.minimum) + " to "
            + std::to_string(spec.maximum);
    case SettingType::address:
        return "an IPv4 address and a port, such as 127.0.0.1:8080";
    case SettingType::address_list:
        return "IPv4 addresses with ports (IP:port), separated by commas";
    case SettingType::choice:
        return "one of " + join(spec.choices);
    }
    return "";
}

bool is_allowed(const SettingSpec& spec, const std::string& value)
{
    switch (spec.type) {
    case SettingType::text:
        return !value.empty();
    case SettingType::integer: {
        const auto number = parse_integer(value);
        return number && *number >= spec.minimum && *number <= spec.maximum;
    }
    case SettingType::decimal: {
        const auto number = parse_decimal(value);
        return number && *number >= double(spec.minimum) && *number <= double(spec.maximum);
    }
    case SettingType::address:
        return parse_address(value).has_value();
    case SettingType::address_list: {
        const auto parts = split_list(value);
        return std::all_of(parts.begin(), parts.end(), [](const std::string& part) {
            return parse_address(part).has_value();
        });
    }
    case SettingType::choice:
        return std::find(spec.choices.begin(), spec.choices.end(), value)
            != spec.choices.end();
    }
    return false;
}

const SettingSpec* find_spec(const std::vector<SettingSpec>& specs,
                             std::string_view section, std::string_view key)
{
    for (const SettingSpec& spec : specs) {
        if (spec.section == section && spec.key == key)
            return &spec;
    }
    return nullptr;
}

Failure bad_setting(const std::string& file, const std::string& section,
                    const std::string& key, const std::string& problem)
{
    return Failure(FailureKind::bad_input,
                   "file " + file + ", section [" + section + "], key " + key + ": "
                       + problem);
}

// Returns a failure for the first key of the file that is undeclared or given twice.
std::optional<Failure> check_keys(const CSimpleIniA& ini, const std::string& file,
                                  const std::vector<SettingSpec>& specs)
{
    CSimpleIniA::TNamesDepend sections;
    ini.GetAllSections(sections);
    for (const auto& section : sections) {
        CSimpleIniA::TNamesDepend keys;
        ini.GetAllKeys(section.pItem, keys);
        for (const auto& key : keys) {
            if (find_spec(specs, section.pItem, key.pItem) == nullptr)
                return bad_setting(file, section.pItem, key.pItem, "unknown key");
            CSimpleIniA::TNamesDepend values;
            ini.GetAllValues(section.pItem, key.pItem, values);
            if (values.size() > 1)
                return bad_setting(file, section.pItem, key.pItem, "given twice");
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<int64_t> parse_integer(std::string_view text)
{
    int64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<double> parse_decimal(std::string_view text)
{
    double value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value,
                                        std::chars_format::fixed);
    if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

std::optional<Address> parse_address(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto port = parse_integer(text.substr(colon + 1));
    if (!port || *port < 1 || *port > max_port)
        return std::nullopt;
    const std::string ip(text.substr(0, colon));
    std::istringstream stream(ip);
    std::string part;
    int parts = 0;
    while (std::getline(stream, part, '.')) {
        const auto number = parse_integer(part);
        if (!number || *number < 0 || *number > 255 || part.size() > 3)
            return std::nullopt;
        ++parts;
    }
    if (parts != 4 || ip.back() == '.')
        return std::nullopt;
    return Address { ip, static_cast<uint16_t>(*port) };
}

std::optional<Settings> Settings::load(const std::string& path,
                                       const std::vector<SettingSpec>& specs,
                                       Failure& reason)
{
    std::ifstream stream(path);
    if (!stream) {
        reason = Failure(FailureKind::not_found, "file " + path + ": can't be read");
        return std::nullopt;
    }
    std::ostringstream content;
    content << stream.rdbuf();
    return parse(content.str(), path, specs, reason);
}

std::optional<Settings> Settings::parse(const std::string& content, const std::string& name,
                                        const std::vector<SettingSpec>& specs,
                                        Failure& reason)
{
    CSimpleIniA ini(true, true, false);
    if (ini.LoadData(content) < 0) {
        reason = Failure(FailureKind::bad_input, "file " + name + ": not a valid INI file");
        return std::nullopt;
    }
    if (const auto problem = check_keys(ini, name, specs)) {
        reason = *problem;
        return std::nullopt;
    }
    Settings settings;
    for (const SettingSpec& spec : specs) {
        const char* given = ini.GetValue(spec.section.c_str(), spec.key.c_str());
        if (given == nullptr && !spec.default_value) {
            reason
                = bad_setting(name, spec.section, spec.key,
                              "required key is missing; allowed: " + allowed_values(spec));
            return std::nullopt;
        }
        const std::string value = given != nullptr ? given : *spec.default_value;
        if (given != nullptr && !is_allowed(spec, value)) {
            reason = bad_setting(name, spec.section, spec.key,
                                 "value '" + value + "'; allowed: " + allowed_values(spec));
            return std::nullopt;
        }
        settings.m_values[{ spec.section, spec.key }] = value;
    }
    return settings;
}

const std::string& Settings::text(std::string_view section, std::string_view key) const
{
    return m_values.at({ std::string(section), std::string(key) });
}

int64_t Settings::integer(std::string_view section, std::string_view key) const
{
    return parse_integer(text(section, key)).value_or(0);
}

double Settings::decimal(std::string_view section, std::string_view key) const
{
    return parse_decimal(text(section, key)).value_or(0);
}

Millis Settings::millis(std::string_view section, std::string_view key) const
{
    return Millis(integer(section, key));
}

std::vector<std::string> Settings::list(std::string_view section,
                                        std::string_view key) const
{
    return split_list(text(section, key));
}

} // namespace pathport
