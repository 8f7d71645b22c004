#include <target-standin/targetsettings.h>

#include <libstandin/workload.h>

namespace pimentofold {

namespace {

constexpr std::int64_t maxMs = 3'600'000;
constexpr std::int64_t maxServiceTimeUs = 60'000'000;
constexpr std::int64_t maxAnswerBytes = 3 << 20;

BackendSettings readServer(SettingsObject &object)
{
    BackendSettings server;
    server.team = takeString(object, "team");
    server.service = takeString(object, "service");
    server.instance = takeString(object, "instance");
    server.dataCentre = takeString(object, "dataCentre");
    server.address = takeAddress(object, "address");
    server.session = takeBoolean(object, "session", server.session);
    server.slots = static_cast<int>(takeInteger(object, "slots", 1, 1024, server.slots));
    server.serviceTime = takeInteger(object, "serviceTimeUs", 0, maxServiceTimeUs, server.serviceTime);
    server.queueLimit = static_cast<std::size_t>(takeInteger(object, "queueLimit", 0, 100'000, static_cast<std::int64_t>(server.queueLimit)));
    server.unusedLimit = takeInteger(object, "unusedLimitMs", 1, maxMs, server.unusedLimit / millisecond) * millisecond;
    server.coldStart = takeInteger(object, "coldStartMs", 0, maxMs, 0) * millisecond;
    server.coldFactor = takeNumber(object, "coldFactor", 1, 1000, server.coldFactor);
    server.answerBytes = takeInteger(object, "answerBytes", answerHeaderBytes, maxAnswerBytes, server.answerBytes);
    return server;
}

BackendFaults readInitialFaults(SettingsObject &object)
{
    BackendFaults faults;
    faults.statusLag = takeInteger(object, "statusLagMs", 0, maxMs, 0) * millisecond;
    const std::optional<ReportedLoad> load = parseReportedLoad(takeString(object, "reportedLoad", "true"));
    if (!load) {
        throw SettingsError(object.file, object.path + ".reportedLoad", R"("true", "idle" or "full")");
    }
    faults.reportedLoad = *load;
    return faults;
}

} // namespace

TargetSettings readTargetSettings(SettingsObject &top)
{
    TargetSettings settings;
    settings.node = takeString(top, "node");
    settings.adminAddress = takeAddress(top, "adminAddress");
    if (hasField(top, "platform")) {
        settings.platform = takeAddress(top, "platform");
    }
    settings.drainLimit = takeInteger(top, "drainLimitMs", 0, maxMs, settings.drainLimit / millisecond) * millisecond;
    for (SettingsObject &it : takeObjects(top, "servers")) {
        settings.servers.push_back(readServer(it));
        settings.faults.push_back(readInitialFaults(it));
        finishSettings(it);
    }
    if (settings.servers.empty()) {
        throw SettingsError(top.file, "servers", "at least one server");
    }
    return settings;
}

std::optional<ReportedLoad> parseReportedLoad(const std::string &text)
{
    if (text == "true") {
        return ReportedLoad::True;
    }
    if (text == "idle") {
        return ReportedLoad::Idle;
    }
    if (text == "full") {
        return ReportedLoad::Full;
    }
    return std::nullopt;
}

} // namespace pimentofold
