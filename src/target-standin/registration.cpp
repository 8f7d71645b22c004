#include <target-standin/registration.h>

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace pimentofold {

namespace {

constexpr Time retryInterval = 300 * millisecond;
constexpr Time callTimeout = 2 * second;

} // namespace

Registration::Registration(const std::string &platform)
    : m_base("http://" + platform + "/admin/instances/")
    , m_retry([this] { send(); })
{
    m_retry.start(retryInterval, retryInterval);
}

void Registration::announce(const BackendSettings &server, const std::string &state)
{
    HttpCall call;
    call.method = "PUT";
    call.headers["Content-Type"] = "application/json";
    call.body = nlohmann::json{{"name", server.instance},
                               {"role", "target"},
                               {"team", server.team},
                               {"service", server.service},
                               {"dataCentre", server.dataCentre},
                               {"address", server.address},
                               {"state", state},
                               {"slots", server.slots}}
                    .dump();
    put(server.instance, std::move(call));
}

void Registration::withdraw(const BackendSettings &server)
{
    HttpCall call;
    call.method = "DELETE";
    put(server.instance, std::move(call));
}

bool Registration::isSettled() const
{
    return std::all_of(m_entries.begin(), m_entries.end(), [](const auto &it) { return it.second.taken; });
}

void Registration::put(const std::string &instance, HttpCall call)
{
    Entry &entry = m_entries[instance];
    call.url = m_base + instance;
    call.timeout = callTimeout;
    entry.call = std::move(call);
    entry.taken = false;
    entry.underWay = false;
    ++entry.generation;
    send();
}

void Registration::send()
{
    for (auto &[instance, entry] : m_entries) {
        if (entry.taken || entry.underWay) {
            continue;
        }
        entry.underWay = true;
        m_client.start(entry.call, [this, name = instance, generation = entry.generation](const HttpResult &result) { finish(name, generation, result); });
    }
}

void Registration::finish(const std::string &instance, std::uint64_t generation, const HttpResult &result)
{
    Entry &entry = m_entries.at(instance);
    if (entry.generation != generation) {
        return;
    }
    entry.underWay = false;
    entry.taken = result.status >= 200 && result.status < 300;
}

} // namespace pimentofold
