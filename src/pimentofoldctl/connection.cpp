#include <pimentofoldctl/connection.h>

#include <memory>

#include <libnet/loop.h>

namespace pimentofold::ctl {

namespace {

/// Makes blocking HTTP calls by running the event loop of the process until the response arrives.
class BlockingClient
{
public:
    BlockingClient(std::string platform, Time callTimeout)
        : m_platform(std::move(platform))
        , m_callTimeout(callTimeout)
    {
    }

    ApiResponse call(const ApiCall &call)
    {
        HttpCall http{call.method, "http://" + m_platform + call.path, call.headers, call.body, call.timeout == 0 ? m_callTimeout : call.timeout};
        HttpResult result;
        m_client.start(http, [&result](const HttpResult &response) {
            result = response;
            stopLoop();
        });
        runLoop();
        return toResponse(result);
    }

private:
    std::string m_platform;
    Time m_callTimeout;
    HttpClient m_client;
};

void pauseOnLoop(Time duration)
{
    if (duration <= 0) {
        return;
    }
    Timer timer([] { stopLoop(); });
    timer.start(duration);
    runLoop();
}

} // namespace

Connection connectTo(const std::string &platform, Time callTimeout, Time retryTimeout, std::uint64_t seed)
{
    const auto client = std::make_shared<BlockingClient>(platform, callTimeout);
    return {[client](const ApiCall &call) { return client->call(call); }, pauseOnLoop, monotonicNow, Random{seed}, retryTimeout};
}

ApiResponse callRepeatedly(Connection &connection, const ApiCall &call)
{
    const Time retryUntil = connection.now() + connection.retryTimeout;
    for (int failures = 1;; ++failures) {
        ApiResponse response = connection.call(call);
        if (response.kind != ResponseKind::Lost) {
            return response;
        }
        if (connection.now() >= retryUntil) {
            throw PlatformUnreachable("the platform gave no answer to " + call.method + " " + call.path + ": " + response.error);
        }
        connection.pause(retryDelay(failures, connection.random));
    }
}

PlatformObject readObject(Connection &connection, const ObjectKey &key)
{
    const ApiResponse response = callRepeatedly(connection, readCall(key));
    if (response.kind != ResponseKind::Ok && response.kind != ResponseKind::NotFound) {
        throw std::runtime_error("the platform refused to read " + toString(key) + ": " + response.error);
    }
    return parseObject(key, response.body);
}

ObjectList readObjects(Connection &connection, std::int64_t since, int waitSeconds)
{
    ApiCall call = listCall(since, waitSeconds);
    // The platform may wait the full time before it responds, so the call times out 2 s after that.
    call.timeout = waitSeconds == 0 ? 0 : (waitSeconds + 2) * second;
    const ApiResponse response = callRepeatedly(connection, call);
    const auto &body = response.body;
    if (response.kind != ResponseKind::Ok || !body.contains("objects") || !body["objects"].is_array() || !body.contains("revision")
        || !body["revision"].is_number_integer()) {
        throw std::runtime_error("the platform returned no list of objects: " + response.error);
    }
    ObjectList list{body["revision"].get<std::int64_t>(), {}};
    for (const auto &it : body["objects"]) {
        if (it.is_object() && it.contains("kind") && it["kind"].is_string() && it.contains("name") && it["name"].is_string()) {
            list.objects.push_back(parseObject({it["kind"].get<std::string>(), it["name"].get<std::string>()}, it));
        }
    }
    return list;
}

void runWrite(Connection &connection, ObjectWrite &write)
{
    write.request.deadline = connection.now() + connection.retryTimeout;
    while (!isFinished(write)) {
        connection.pause(delayBeforeNextCall(write, connection.random));
        handleResponse(write, connection.call(nextCall(write)), connection.now());
    }
}

} // namespace pimentofold::ctl
