#include <pimentofoldctl/connection.h>

#include <memory>

#include <libnet/loop.h>

namespace pimentofold::ctl {

namespace {

/// Runs calls of an HttpClient one at a time on the process's loop.
class BlockingClient
{
public:
    BlockingClient(std::string platform, Time callTimeout)
        : m_platform(std::move(platform))
        , m_callTimeout(callTimeout)
    {
    }

    ApiAnswer call(const ApiCall &call)
    {
        HttpCall http{call.method, "http://" + m_platform + call.path, call.headers, call.body, call.timeout == 0 ? m_callTimeout : call.timeout};
        HttpResult result;
        m_client.start(http, [&result](const HttpResult &answer) {
            result = answer;
            stopLoop();
        });
        runLoop();
        return toAnswer(result);
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

Connection connectTo(const std::string &platform, Time callTimeout, Time deadline, std::uint64_t seed)
{
    const auto client = std::make_shared<BlockingClient>(platform, callTimeout);
    return {[client](const ApiCall &call) { return client->call(call); }, pauseOnLoop, monotonicNow, Random{seed}, deadline};
}

ApiAnswer callRepeatedly(Connection &connection, const ApiCall &call)
{
    const Time end = connection.now() + connection.deadline;
    for (int failures = 1;; ++failures) {
        ApiAnswer answer = connection.call(call);
        if (answer.kind != AnswerKind::Lost) {
            return answer;
        }
        if (connection.now() >= end) {
            throw PlatformUnreachable("the platform gave no answer to " + call.method + " " + call.path + ": " + answer.error);
        }
        connection.pause(pauseAfter(failures, connection.random));
    }
}

PlatformObject readObject(Connection &connection, const ObjectKey &key)
{
    const ApiAnswer answer = callRepeatedly(connection, readCall(key));
    if (answer.kind != AnswerKind::Ok && answer.kind != AnswerKind::NotFound) {
        throw std::runtime_error("the platform refuses to read " + toString(key) + ": " + answer.error);
    }
    return parseObject(key, answer.body);
}

ObjectList readObjects(Connection &connection, std::int64_t since, int waitSeconds)
{
    ApiCall call = listCall(since, waitSeconds);
    // The platform may use the whole wait before it answers.
    call.timeout = waitSeconds == 0 ? 0 : (waitSeconds + 2) * second;
    const ApiAnswer answer = callRepeatedly(connection, call);
    const auto &body = answer.body;
    if (answer.kind != AnswerKind::Ok || !body.contains("objects") || !body["objects"].is_array() || !body.contains("revision")
        || !body["revision"].is_number_integer()) {
        throw std::runtime_error("the platform gives no list of objects: " + answer.error);
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
    write.request.deadline = connection.now() + connection.deadline;
    while (!isFinished(write)) {
        connection.pause(pauseBefore(write, connection.random));
        acceptAnswer(write, connection.call(nextCall(write)), connection.now());
    }
}

} // namespace pimentofold::ctl
