#include <caller-standin/entrylist.h>

#include <map>
#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

#include <pimentofold/address.h>

namespace pimentofold {

namespace {

constexpr Time readTimeout = second;

std::map<std::string, std::vector<std::uint32_t>> liveEntries(const std::string &body)
{
    std::map<std::string, std::vector<std::uint32_t>> entries;
    const nlohmann::json list = nlohmann::json::parse(body);
    for (const auto &it : list.at("instances")) {
        if (it.at("role") == "entry" && it.at("state") == "live") {
            entries[it.at("team").get<std::string>()].push_back(parseAddress(it.at("address").get<std::string>()).ip);
        }
    }
    return entries;
}

} // namespace

EntryList::EntryList(const std::string &url, Time interval, std::function<void(const std::string &, std::vector<std::uint32_t>)> onList)
    : m_url(url)
    , m_onList(std::move(onList))
    , m_timer([this] { read(); })
{
    m_timer.start(0, interval);
}

void EntryList::read()
{
    if (m_client.pending() > 0) {
        return;
    }
    HttpCall call;
    call.url = m_url;
    call.timeout = readTimeout;
    m_client.start(call, [this](const HttpResult &result) {
        if (result.status != 200) {
            return;
        }
        try {
            for (auto &[team, numbers] : liveEntries(result.body)) {
                m_onList(team, std::move(numbers));
            }
        } catch (const nlohmann::json::exception &) {
            return; // a list that can't be read counts as a failed read
        } catch (const std::invalid_argument &) {
            return;
        }
    });
}

} // namespace pimentofold
