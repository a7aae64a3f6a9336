// Copyright the pathport authors.
// SPDX-License-Identifier: Apache-2.0

#include "jobd_settings.h"

namespace pathport {

namespace {

constexpr double millicores_per_core = 1000;
constexpr double bytes_per_megabit = 125000;

SettingSpec text(const char* section, const char* key)
{
    SettingSpec spec;
    spec.section = section;
    spec.key = key;
    spec.type = SettingType::text;
    return spec;
}

SettingSpec address(const char* section, const char* key)
{
    SettingSpec spec = text(section, key);
    spec.type = SettingType::address;
    return spec;
}

SettingSpec integer_setting(const char* section, const char* key, int64_t min_value,
                            int64_t max_value, const char* fallback)
{
    SettingSpec spec = text(section, key);
    spec.type = SettingType::integer;
    spec.minimum = min_value;
    spec.maximum = max_value;
    spec.default_value = fallback;
    return spec;
}

SettingSpec decimal(const char* section, const char* key, const char* fallback)
{
    SettingSpec spec = text(section, key);
    spec.type = SettingType::decimal;
    spec.minimum = 0;
    spec.maximum = 1000000;
    spec.default_value = fallback;
    return spec;
}

std::vector<SettingSpec> specs()
{
    SettingSpec off = text("experiments", "off");
    off.default_value = "none";
    SettingSpec level = text("node", "log_level");
    level.type = SettingType::choice;
    level.choices = { "debug", "info", "warn", "error" };
    level.default_value = "info";
    SettingSpec by_capacity = text("admission", "by_capacity");
    by_capacity.type = SettingType::choice;
    by_capacity.choices = { "on", "off" };
    by_capacity.default_value = "off";
    return { text("node", "name"),
             level,
             by_capacity,
             off,
             integer_setting("node", "stop_grace_ms", 500, 600000, "5000"),
             decimal("machine", "processor_share", "1"),
             decimal("machine", "processor_cores", "1"),
             decimal("machine", "link_mbps", "1000"),
             address("listen", "clients"),
             address("listen", "readiness"),
             address("listen", "peers"),
             address("listen", "metrics"),
             address("services", "store"),
             address("services", "advice"),
             integer_setting("workers", "max_hold_ms", 1000, 3600000, "6000"),
             integer_setting("workers", "kill_grace_ms", 1, 600000, "400"),
             integer_setting("workers", "gang_timeout_ms", 1500, 600000, "3000"),
             integer_setting("workers", "drain_ms", 1000, 600000, "2000"),
             integer_setting("workers", "domain_drain_ms", 0, 600000, "0") };
}

Address address_of(const Settings& settings, const char* section, const char* key)
{
    return *parse_address(settings.text(section, key));
}

} // namespace

std::optional<JobdSettings> JobdSettings::load(const std::string& path, Failure& reason)
{
    const auto file = Settings::load(path, specs(), reason);
    if (!file)
        return std::nullopt;
    const auto mechanisms
        = jobs::Mechanisms::without(file->text("experiments", "off"), reason);
    if (!mechanisms) {
        reason = Failure(reason.kind(), path + ": [experiments] off: " + reason.detail());
        return std::nullopt;
    }
    JobdSettings settings;
    settings.mechanisms = file->text("admission", "by_capacity") == "on"
        ? *mechanisms
        : mechanisms->without(jobs::Mechanism::capacity_admission);
    settings.node = file->text("node", "name");
    settings.log_level = file->text("node", "log_level");
    settings.stop_grace = file->millis("node", "stop_grace_ms");
    const double cores = file->decimal("machine", "processor_share")
        * file->decimal("machine", "processor_cores");
    settings.cpu_millicores = static_cast<int>(cores * millicores_per_core);
    settings.link_bytes_per_s
        = static_cast<int64_t>(file->decimal("machine", "link_mbps") * bytes_per_megabit);
    settings.clients = address_of(*file, "listen", "clients");
    settings.readiness = address_of(*file, "listen", "readiness");
    settings.peers = address_of(*file, "listen", "peers");
    settings.metrics = address_of(*file, "listen", "metrics");
    settings.store = address_of(*file, "services", "store");
    settings.advice = address_of(*file, "services", "advice");
    settings.max_hold = file->millis("workers", "max_hold_ms");
    settings.gang_timeout = file->millis("workers", "gang_timeout_ms");
    settings.kill_grace = file->millis("workers", "kill_grace_ms");
    settings.drain = file->millis("workers", "drain_ms");
    settings.domain_drain = file->millis("workers", "domain_drain_ms");
    return settings;
}

} // namespace pathport
