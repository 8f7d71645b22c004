#include <pimentofold/platformwatch.h>

#include <algorithm>

namespace pimentofold {

Time backOffDelay(int failures, Random &random)
{
    constexpr int maxDoublings = 6; // minBackOff doubled six times (12.8 s) exceeds maxBackOff
    const Time bound = std::min(maxBackOff, minBackOff << std::min(std::max(failures, 1) - 1, maxDoublings));
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

bool finishPoll(PlatformWatch &watch, const WatchResponse &response, Time now, Random &random)
{
    watch.polling = false;
    watch.reachable = response.succeeded;
    const bool trusted = response.succeeded && response.revision >= watch.revision;
    if (!trusted) {
        watch.staleResponses += response.succeeded ? 1 : 0;
        watch.nextAt = now + backOffDelay(++watch.failures, random);
        return false;
    }
    watch.failures = 0;
    watch.revision = response.revision;
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
