#include <pimentofold/platformwatch.h>

#include <algorithm>

namespace pimentofold {

Time backOffDelay(int failures, Random &random)
{
    constexpr int mostDoublings = 6; // 0.2 s doubled six times is above mostBackOff
    const Time bound = std::min(maxBackOff, minBackOff << std::min(std::max(failures, 1) - 1, mostDoublings));
    return static_cast<Time>(below(random, static_cast<std::uint64_t>(bound))) + 1;
}

bool isPollDue(const PlatformWatch &watch, Time now)
{
    return !watch.polling && now >= watch.nextAt;
}

WatchRequest startPoll(PlatformWatch &watch, Time now)
{
    watch.polling = true;
    watch.startedAt = now;
    ++watch.polls;
    return {watch.revision, watchWaitSeconds};
}

bool finishPoll(PlatformWatch &watch, const WatchResponse &answer, Time now, Random &random)
{
    watch.polling = false;
    watch.reachable = answer.succeeded;
    const bool trusted = answer.succeeded && answer.revision >= watch.revision;
    if (!trusted) {
        watch.staleResponses += answer.succeeded ? 1 : 0;
        watch.nextAt = now + backOffDelay(++watch.failures, random);
        return false;
    }
    watch.failures = 0;
    watch.revision = answer.revision;
    watch.nextAt = std::max(now, watch.startedAt + minWatchInterval);
    return true;
}

void shortenBackOff(PlatformWatch &watch, Time now, Random &random)
{
    if (watch.failures > 1) {
        watch.failures = 1;
        watch.nextAt = std::min(watch.nextAt, now + backOffDelay(1, random));
    }
}

} // namespace pimentofold
