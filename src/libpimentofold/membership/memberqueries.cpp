#include <pimentofold/membership/membership.h>

#include <algorithm>
#include <cmath>

#include <libpimentofold/membership/memberupdates.h>

namespace pimentofold {

using memberupdates::isLive;

std::vector<Member> liveMembers(const MembershipState &state)
{
    std::vector<Member> result;
    for (const auto &[id, member] : state.members) {
        if (isLive(member)) {
            result.push_back(member);
        }
    }
    return result;
}

std::size_t liveCount(const MembershipState &state)
{
    return static_cast<std::size_t>(std::count_if(state.members.begin(), state.members.end(), [](const auto &it) { return isLive(it.second); }));
}

Time suspicionTimeout(const MembershipOptions &options, std::size_t members)
{
    const double factor = std::max(1.0, std::log10(static_cast<double>(std::max<std::size_t>(members, 1))));
    return static_cast<Time>(static_cast<double>(options.baseSuspicionTimeout) * factor);
}

std::vector<InstanceKey> rankInstances(std::span<const InstanceKey> members, std::string_view purpose, std::size_t count)
{
    const auto id = static_cast<std::uint64_t>(idOf(purpose));
    std::vector<std::pair<std::uint64_t, InstanceKey>> scores;
    for (const InstanceKey &it : members) {
        scores.emplace_back(~mix(id, static_cast<std::uint64_t>(it.instance)), it);
    }
    std::sort(scores.begin(), scores.end());
    std::vector<InstanceKey> result;
    for (std::size_t n = 0; n < std::min(count, scores.size()); ++n) {
        result.push_back(scores[n].second);
    }
    return result;
}

std::vector<InstanceKey> rankInstances(const MembershipState &state, std::string_view purpose, std::size_t count)
{
    std::vector<InstanceKey> keys;
    for (const auto &[id, member] : state.members) {
        if (isLive(member)) {
            keys.push_back(member.key);
        }
    }
    return rankInstances(keys, purpose, count);
}

} // namespace pimentofold
