#include <platform-standin/service.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <sstream>

#include <nlohmann/json.hpp>

namespace pimentofold::standin {

using nlohmann::json;

namespace {

// The answer to a write that was lost: the client sees nothing until its own time limit, or a gateway's error
// after this time.
constexpr Time lostAnswerHold = 10 * second;
constexpr Time tickInterval = 10 * millisecond;
constexpr double longestWaitSeconds = 60;
// Bodies up to a little above the limit for values are read, so that the answer can say what is wrong.
constexpr std::size_t maxBodyBytes = maxValueBytes;

HttpResponse jsonResponse(int status, const json &body)
{
    HttpResponse response;
    response.status = status;
    response.body = body.dump();
    return response;
}

HttpResponse errorResponse(int status, const std::string &text)
{
    return jsonResponse(status, {{"error", text}});
}

json toJson(const StoredObject &object)
{
    return {{"kind", object.kind},
            {"name", object.name},
            {"version", object.version},
            {"deleted", object.deleted},
            {"value", object.deleted ? json() : json::parse(object.value)},
            {"changeId", object.changeId}};
}

std::optional<std::int64_t> parseNumber(std::string_view text)
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, text.size() - 2);
    }
    std::int64_t n = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), n);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size() || n < 0) {
        return std::nullopt;
    }
    return n;
}

std::string valueOr(const std::map<std::string, std::string> &values, const std::string &key, const std::string &fallback)
{
    const auto it = values.find(key);
    return it == values.end() ? fallback : it->second;
}

bool isName(const std::string &text)
{
    return !text.empty()
        && std::all_of(text.begin(), text.end(), [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.'; });
}

KindFilter parseKinds(const std::string &text)
{
    KindFilter kinds;
    std::istringstream in(text);
    for (std::string kind; std::getline(in, kind, ',');) {
        kinds.insert(kind);
    }
    return kinds;
}

/// Splits "PREFIX/KIND/NAME"; empty strings when the path has another form.
ObjectName splitObjectPath(const std::string &path, std::size_t prefix)
{
    const auto slash = path.find('/', prefix);
    if (slash == std::string::npos) {
        return {};
    }
    return {path.substr(prefix, slash - prefix), path.substr(slash + 1)};
}

} // namespace

PlatformSettings parsePlatformSettings(SettingsObject top)
{
    PlatformSettings settings;
    settings.listen = takeAddress(top, "listen");
    settings.seed = static_cast<std::uint64_t>(takeInteger(top, "seed", 0, 1'000'000'000, 1));
    finishSettings(top);
    return settings;
}

PlatformService::PlatformService(const PlatformSettings &settings)
    : m_random{settings.seed}
    , m_timer([this] { tick(); })
    , m_server(
          parseAddress(settings.listen), [this](const HttpRequest &request, const HttpResponder &respond) { handle(request, respond); }, maxBodyBytes)
{
    m_timer.start(tickInterval, tickInterval);
}

void PlatformService::finishWatches()
{
    for (const Watch &it : m_watches) {
        it.respond(errorResponse(503, "the platform stops"));
    }
    m_watches.clear();
}

void PlatformService::handle(const HttpRequest &request, const HttpResponder &respond)
{
    if (request.path.starts_with("/admin/")) {
        handleAdmin(request, respond);
    } else if (m_store.faults.outage) {
        ++m_store.counts["refused"];
        answer(respond, errorResponse(503, "outage"));
    } else {
        handleApi(request, respond);
    }
}

void PlatformService::handleApi(const HttpRequest &request, const HttpResponder &respond)
{
    if (request.path == "/v1/objects" && request.method == "GET") {
        startWatch(request, respond);
    } else if (request.path.starts_with("/v1/objects/")) {
        handleObject(request, respond);
    } else if (request.path == "/v1/instances" && request.method == "GET") {
        ++m_store.counts["instances"];
        const std::string dataCentre = valueOr(request.query, "dc", "");
        json list = json::array();
        for (const auto &[name, value] : listInstances(m_store, monotonicNow())) {
            json instance = json::parse(value);
            instance["name"] = name;
            if (dataCentre.empty() || instance.value("dataCentre", "") == dataCentre) {
                list.push_back(std::move(instance));
            }
        }
        answer(respond, jsonResponse(200, {{"instances", std::move(list)}}));
    } else {
        answer(respond, errorResponse(404, "no such resource"));
    }
}

void PlatformService::startWatch(const HttpRequest &request, const HttpResponder &respond)
{
    const auto since = parseNumber(valueOr(request.query, "since", "0"));
    const auto wait = parseNumber(valueOr(request.query, "wait", "0"));
    if (!since || !wait || *wait > longestWaitSeconds) {
        answer(respond, errorResponse(400, "since and wait are numbers, wait at most 60"));
        return;
    }
    ++m_store.counts[*wait > 0 ? "watch" : "read"];
    m_watches.push_back({*since, monotonicNow() + *wait * second, parseKinds(valueOr(request.query, "kinds", "")), respond});
    serveWatches();
}

void PlatformService::serveWatches()
{
    const Time now = monotonicNow();
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        if (!hasChanged(m_store, it->since, it->kinds) && now < it->until) {
            ++it;
            continue;
        }
        const std::int64_t revision = readRevision(m_store, m_random);
        json objects = json::array();
        for (const StoredObject &object : objectsSince(m_store, it->since, revision, it->kinds)) {
            objects.push_back(toJson(object));
        }
        answer(it->respond, jsonResponse(200, {{"revision", revision}, {"objects", std::move(objects)}}));
        it = m_watches.erase(it);
    }
}

void PlatformService::handleObject(const HttpRequest &request, const HttpResponder &respond)
{
    const ObjectName name = splitObjectPath(request.path, std::string_view("/v1/objects/").size());
    if (!isName(name.first) || !isName(name.second)) {
        answer(respond, errorResponse(400, "kind and name consist of lower-case letters, digits, '-' and '.'"));
    } else if (request.method == "GET") {
        ++m_store.counts["read"];
        const StoredObject object = readObject(m_store, name, readRevision(m_store, m_random));
        const bool present = object.version > 0 && !object.deleted;
        answer(respond, present || object.deleted ? jsonResponse(present ? 200 : 404, toJson(object)) : errorResponse(404, "no such object"));
    } else if (request.method == "PUT" || request.method == "DELETE") {
        ++m_store.counts["write"];
        write(request, name, respond);
    } else {
        answer(respond, errorResponse(405, "GET, PUT or DELETE"));
    }
}

void PlatformService::write(const HttpRequest &request, const ObjectName &name, const HttpResponder &respond)
{
    const auto expected = parseNumber(valueOr(request.headers, "if-match", ""));
    if (!expected) {
        answer(respond, errorResponse(428, "If-Match with the version is required, 0 creates"));
        return;
    }
    const bool deletes = request.method == "DELETE";
    if (!deletes && !json::accept(request.body)) {
        answer(respond, errorResponse(400, "the value is not JSON"));
        return;
    }
    StoredObject change{name.first, name.second, 0, deletes, deletes ? "" : request.body, valueOr(request.headers, "x-change-id", ""), 0};
    const WriteResult result = writeObject(m_store, std::move(change), *expected);
    if (result.status == WriteStatus::TooLarge) {
        answer(respond, errorResponse(413, "a value has at most 1000000 bytes"));
        return;
    }
    if (result.status == WriteStatus::Conflict) {
        answer(respond, result.current.version == 0 ? errorResponse(409, "no such object") : jsonResponse(409, toJson(result.current)));
        return;
    }
    json body = toJson(result.current);
    body.erase("value");
    body["revision"] = result.current.revision;
    if (chance(m_random, m_store.faults.loseAnswers)) {
        answerLater(respond, errorResponse(504, "the answer was lost"), lostAnswerHold);
    } else {
        answer(respond, jsonResponse(200, body));
    }
    serveWatches();
}

void PlatformService::handleAdmin(const HttpRequest &request, const HttpResponder &respond)
{
    if (request.path == "/admin/counts" && request.method == "GET") {
        respond(jsonResponse(200, json(m_store.counts)));
    } else if (request.path == "/admin/faults" && request.method == "PUT") {
        respond(setFaults(request));
    } else if (request.path.starts_with("/admin/instances/") && (request.method == "PUT" || request.method == "DELETE")) {
        respond(setInstance(request));
    } else {
        respond(errorResponse(404, "no such resource"));
    }
}

HttpResponse PlatformService::setFaults(const HttpRequest &request)
{
    try {
        SettingsObject top = parseSettings(request.body, "faults");
        Faults faults;
        faults.outage = takeBoolean(top, "outage", false);
        faults.delay = takeInteger(top, "delayMs", 0, 600'000, 0) * millisecond;
        faults.loseAnswers = takeNumber(top, "loseAnswers", 0, 1, 0);
        faults.staleReads = takeNumber(top, "staleReads", 0, 1, 0);
        faults.listLag = takeInteger(top, "listLagMs", 0, 3'600'000, 0) * millisecond;
        finishSettings(top);
        m_store.faults = faults;
    } catch (const SettingsError &error) {
        return errorResponse(400, error.what());
    }
    if (m_store.faults.outage) {
        finishWatches();
    }
    return jsonResponse(200, json::object());
}

HttpResponse PlatformService::setInstance(const HttpRequest &request)
{
    const std::string name = request.path.substr(std::string_view("/admin/instances/").size());
    const bool present = request.method == "PUT";
    const json value = json::parse(request.body, nullptr, false);
    if (!isName(name) || (present && !value.is_object())) {
        return errorResponse(400, "a name and a JSON object are required");
    }
    changeInstance(m_store, name, {monotonicNow(), present, request.body});
    return jsonResponse(200, json::object());
}

void PlatformService::answer(const HttpResponder &respond, HttpResponse response)
{
    answerLater(respond, std::move(response), m_store.faults.delay);
}

void PlatformService::answerLater(const HttpResponder &respond, HttpResponse response, Time delay)
{
    if (delay == 0) {
        respond(std::move(response));
        return;
    }
    m_delayed.push_back({monotonicNow() + delay, respond, std::move(response)});
}

void PlatformService::tick()
{
    const Time now = monotonicNow();
    serveWatches();
    for (auto it = m_delayed.begin(); it != m_delayed.end();) {
        if (now < it->due) {
            ++it;
            continue;
        }
        it->respond(std::move(it->response));
        it = m_delayed.erase(it);
    }
}

} // namespace pimentofold::standin
