#include <pimentofold-agent/statuspage.h>

#include <nlohmann/json.hpp>

namespace pimentofold {

using nlohmann::json;

std::string renderStatusPage(const AgentState &agent)
{
    json members = json::array();
    for (const auto &[id, it] : agent.membership.members) {
        members.push_back({{"name", it.name}, {"state", name(it.state)}});
    }
    json objects = json::array();
    for (const auto &[key, object] : agent.spread.store.objects) {
        const bool inForce = versionInForce(agent.viewPublisher, key) == object->version;
        objects.push_back({{"kind", key.kind}, {"name", key.name}, {"version", object->version}, {"inForce", inForce}});
    }
    return json{{"node", agent.identity.node},
                {"dataCentre", agent.identity.dataCentre},
                {"team", agent.identity.team},
                {"incarnation", agent.spread.self.incarnation},
                {"platformReachable", agent.spread.watch.reachable},
                {"isWatcher", agent.spread.peers.watcher},
                {"isDelegate", agent.spread.peers.delegate},
                {"members", std::move(members)},
                {"objects", std::move(objects)},
                {"viewGeneration", agent.viewPublisher.inForce},
                {"problem", agent.viewPublisher.problem}}
        .dump();
}

} // namespace pimentofold
