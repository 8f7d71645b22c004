#include <caller-standin/callersettings.h>

#include <algorithm>
#include <stdexcept>

#include <pimentofold/address.h>

namespace pimentofold {

namespace {

constexpr std::int64_t maxMs = 3'600'000;
constexpr std::int64_t maxFlows = 1'000'000;
constexpr double maxRate = 1'000'000;
constexpr std::int64_t maxRangeBytes = 32 << 10;

WorkSettings readWork(SettingsObject &object)
{
    WorkSettings work;
    work.kind = takeString(object, "kind");
    work.index = static_cast<int>(takeInteger(object, "index", 0, 255));
    work.rate = takeNumber(object, "rate", 0, maxRate, 0);
    work.repeatable = takeBoolean(object, "repeatable", true);
    work.deadline = takeInteger(object, "deadlineMs", 1, 30'000, work.deadline / millisecond) * millisecond;
    work.cancelShare = takeNumber(object, "cancelShare", 0, 1, 0);
    work.rangeBytes = static_cast<int>(takeInteger(object, "rangeBytes", 0, maxRangeBytes, 0));
    work.sends = static_cast<int>(takeInteger(object, "sends", 1, 100, work.sends));
    finishSettings(object);
    return work;
}

std::vector<std::uint32_t> readBalancers(SettingsObject &object)
{
    std::vector<std::uint32_t> numbers;
    for (const std::string &it : takeStrings(object, "balancers")) {
        try {
            numbers.push_back(parseIp(it));
        } catch (const std::invalid_argument &) {
            throw SettingsError(object.file, object.path + ".balancers", "IPv4 numbers");
        }
    }
    return numbers;
}

GroupSettings readGroup(SettingsObject &object)
{
    GroupSettings group;
    group.team = takeString(object, "team");
    group.service = takeString(object, "service");
    group.port = static_cast<std::uint16_t>(takeInteger(object, "port", 1, 65535));
    group.balancers = readBalancers(object);
    group.session = takeBoolean(object, "session", true);
    group.flows = static_cast<std::size_t>(takeInteger(object, "flows", 0, maxFlows, 0));
    group.opensPerSecond = takeNumber(object, "opensPerSecond", 0.1, maxRate, group.opensPerSecond);
    group.tokenShare = takeNumber(object, "tokenShare", 0, 1, group.tokenShare);
    group.flowLife = takeInteger(object, "flowLifeMs", 0, maxMs, 0) * millisecond;
    for (SettingsObject &it : takeObjects(object, "work")) {
        group.work.push_back(readWork(it));
    }
    if (std::none_of(group.work.begin(), group.work.end(), [](const WorkSettings &it) { return it.repeatable; })) {
        throw SettingsError(object.file, object.path + ".work", "at least one kind of work that may be repeated");
    }
    finishSettings(object);
    return group;
}

} // namespace

CallerSettings readCallerSettings(SettingsObject &top)
{
    CallerSettings settings;
    settings.node = takeString(top, "node");
    settings.adminAddress = takeAddress(top, "adminAddress");
    settings.ip = takeString(top, "ip");
    if (!isAddress(settings.ip + ":1")) {
        throw SettingsError(top.file, "ip", "an IPv4 number");
    }
    settings.sockets = static_cast<int>(takeInteger(top, "sockets", 1, 64, settings.sockets));
    settings.seed = static_cast<std::uint64_t>(takeInteger(top, "seed", 0, INT64_MAX, 1));
    if (hasField(top, "platform")) {
        settings.platform = takeAddress(top, "platform");
    }
    settings.dataCentre = takeString(top, "dataCentre", "");
    settings.platformInterval = takeInteger(top, "platformIntervalMs", 10, maxMs, settings.platformInterval / millisecond) * millisecond;
    settings.lossShare = takeNumber(top, "lossShare", 0, 1, 0);
    settings.duplicateShare = takeNumber(top, "duplicateShare", 0, 1, 0);
    for (SettingsObject &it : takeObjects(top, "groups")) {
        settings.groups.push_back(readGroup(it));
    }
    if (settings.groups.empty()) {
        throw SettingsError(top.file, "groups", "at least one group of callers");
    }
    return settings;
}

std::uint32_t parseIp(const std::string &text)
{
    return parseAddress(text + ":1").ip;
}

} // namespace pimentofold
