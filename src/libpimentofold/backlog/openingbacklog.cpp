#include <pimentofold/backlog/openingbacklog.h>

#include <utility>

namespace pimentofold {

void addOpening(OpeningBacklog &backlog, OpeningFlow opening, Time now)
{
    if (backlog.openings.empty()) {
        backlog.startedAt = now;
    }
    const auto [it, added] = backlog.positions.try_emplace(opening.key, backlog.openings.size());
    if (added) {
        backlog.openings.emplace_back(std::move(opening));
    } else {
        backlog.openings[it->second] = std::move(opening);
    }
}

std::optional<OpeningFlow> withdrawOpening(OpeningBacklog &backlog, const FlowKey &flow)
{
    const auto it = backlog.positions.find(flow);
    if (it == backlog.positions.end()) {
        return std::nullopt;
    }
    std::optional<OpeningFlow> withdrawn = std::exchange(backlog.openings[it->second], std::nullopt);
    backlog.positions.erase(it);
    return withdrawn;
}

std::vector<OpeningFlow> takeOpenings(OpeningBacklog &backlog)
{
    std::vector<OpeningFlow> openings;
    openings.reserve(backlog.positions.size());
    for (std::optional<OpeningFlow> &it : backlog.openings) {
        if (it) {
            openings.push_back(std::move(*it));
        }
    }
    backlog.openings.clear();
    backlog.positions.clear();
    backlog.startedAt = never;
    return openings;
}

} // namespace pimentofold
