#include <pimentofold/flowlocation/flowlocation.h>

#include <algorithm>
#include <utility>

namespace pimentofold {

namespace {

/// @return whether the rate of questions allows a further one, which is counted then
bool takeQuestionBudget(FlowLocations &locations, Time now)
{
    const FlowLocationSettings &settings = locations.settings;
    if (locations.budgetUpdatedAt == never) {
        locations.questionBudget = settings.questionBurst;
    } else {
        const double elapsed = static_cast<double>(now - locations.budgetUpdatedAt) / static_cast<double>(second);
        locations.questionBudget = std::min(locations.questionBudget + elapsed * settings.questionsPerSecond, settings.questionBurst);
    }
    locations.budgetUpdatedAt = now;
    if (locations.questionBudget < 1) {
        return false;
    }
    locations.questionBudget -= 1;
    return true;
}

EndedQuestion endQuestion(FlowLocations &locations, std::unordered_map<FlowKey, LocationQuestion>::iterator question, std::uint64_t target)
{
    EndedQuestion ended{question->first, target, std::move(question->second.packets), question->second.askedAt};
    locations.heldPackets -= ended.packets.size();
    locations.questions.erase(question);
    return ended;
}

} // namespace

std::vector<Id> locationHolders(const std::vector<Id> &members, Id self, const FlowKey &flow, std::size_t count)
{
    const std::uint64_t hash = std::hash<FlowKey>{}(flow);
    std::vector<std::pair<std::uint64_t, Id>> order;
    order.reserve(members.size());
    for (const Id it : members) {
        if (it != self) {
            order.emplace_back(mix(hash, static_cast<std::uint64_t>(it)), it);
        }
    }
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(count, order.size()));
    std::partial_sort(order.begin(), end, order.end());
    std::vector<Id> holders;
    for (auto it = order.begin(); it != end; ++it) {
        holders.push_back(it->second);
    }
    return holders;
}

bool mayBeSameFlow(std::optional<std::uint32_t> known, std::optional<std::uint32_t> sequence)
{
    if (!known || !sequence) {
        return true;
    }
    // Callers choose the first sequence number of each flow at random.
    constexpr std::int32_t maxBytesSent = 1 << 26;
    constexpr std::int32_t maxBytesRepeated = 1 << 16;
    const auto ahead = static_cast<std::int32_t>(*sequence - *known);
    return ahead > -maxBytesRepeated && ahead < maxBytesSent;
}

void recordNamedLocation(FlowLocations &locations, const FlowKey &flow, const FlowLocation &location, Time now)
{
    const auto known = locations.stored.find(flow);
    const bool isKnown = known != locations.stored.end();
    const bool isKept = isKnown && known->second.replicated && mayBeSameFlow(known->second.location.sequence, location.sequence)
        && now - known->second.openedAt < locations.settings.retention;
    if (location.target != 0 && !isKept && (isKnown || locations.stored.size() < locations.settings.maxNamedLocations)) {
        locations.stored[flow] = {location, now};
    }
}

void storeLocation(
    FlowLocations &locations, const FlowKey &flow, const FlowLocation &location, const std::array<InstanceKey, locationHolderCount> &holders, Time openedAt)
{
    if (locations.stored.size() < locations.settings.maxLocations || locations.stored.contains(flow)) {
        locations.stored[flow] = {location, openedAt, true, holders};
    }
}

void forgetLocation(FlowLocations &locations, const FlowKey &flow, std::optional<std::uint32_t> sequence)
{
    const auto it = locations.stored.find(flow);
    if (it != locations.stored.end() && mayBeSameFlow(it->second.location.sequence, sequence)) {
        locations.stored.erase(it);
    }
}

FlowLocation findLocation(const FlowLocations &locations, const FlowKey &flow, std::optional<std::uint32_t> sequence, Time now)
{
    const auto it = locations.stored.find(flow);
    const bool isKnown =
        it != locations.stored.end() && now - it->second.openedAt < locations.settings.retention && mayBeSameFlow(it->second.location.sequence, sequence);
    return isKnown ? it->second.location : FlowLocation{};
}

bool startQuestion(FlowLocations &locations, const FlowPacket &packet, std::vector<Id> holders, Time now)
{
    const FlowLocationSettings &settings = locations.settings;
    if (holders.empty() || locations.questions.size() >= settings.maxQuestions || locations.heldPackets >= settings.maxHeldPackets
        || !takeQuestionBudget(locations, now)) {
        return false;
    }
    LocationQuestion &question = locations.questions[packet.flow];
    question.unanswered = std::move(holders);
    question.askedAt = now;
    locations.deadlines.emplace(now + settings.answerTimeout, packet.flow);
    return holdPacket(locations, packet);
}

bool isAsked(const FlowLocations &locations, const FlowKey &flow)
{
    return locations.questions.contains(flow);
}

bool holdPacket(FlowLocations &locations, const FlowPacket &packet)
{
    LocationQuestion &question = locations.questions.at(packet.flow);
    if (question.packets.size() >= locations.settings.maxPacketsPerFlow || locations.heldPackets >= locations.settings.maxHeldPackets) {
        return false;
    }
    question.packets.push_back({packet, std::string(packet.bytes)});
    question.packets.back().packet.bytes = {};
    ++locations.heldPackets;
    return true;
}

std::optional<EndedQuestion> answerQuestion(FlowLocations &locations, const FlowKey &flow, Id sender, std::uint64_t target)
{
    const auto question = locations.questions.find(flow);
    if (question == locations.questions.end()) {
        return std::nullopt;
    }
    std::vector<Id> &unanswered = question->second.unanswered;
    if (target == 0 && (std::erase(unanswered, sender) == 0 || !unanswered.empty())) {
        return std::nullopt;
    }
    return endQuestion(locations, question, target);
}

void dropQuestion(FlowLocations &locations, const FlowKey &flow)
{
    const auto question = locations.questions.find(flow);
    if (question != locations.questions.end()) {
        endQuestion(locations, question, 0);
    }
}

std::vector<EndedQuestion> expireQuestions(FlowLocations &locations, Time now)
{
    std::vector<EndedQuestion> ended;
    while (!locations.deadlines.empty() && locations.deadlines.begin()->first <= now) {
        const FlowKey flow = locations.deadlines.begin()->second;
        locations.deadlines.erase(locations.deadlines.begin());
        const auto question = locations.questions.find(flow);
        // A later question for the same flow has a deadline of its own.
        if (question != locations.questions.end() && now - question->second.askedAt >= locations.settings.answerTimeout) {
            ended.push_back(endQuestion(locations, question, 0));
        }
    }
    return ended;
}

void removeExpiredLocations(FlowLocations &locations, Time now)
{
    std::erase_if(locations.stored, [&](const auto &it) { return now - it.second.openedAt >= locations.settings.retention; });
}

Time nextQuestionDeadline(const FlowLocations &locations)
{
    return locations.deadlines.empty() ? never : locations.deadlines.begin()->first;
}

} // namespace pimentofold
