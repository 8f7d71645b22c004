#include <testsupport/virtualnet.h>

#include <algorithm>

namespace pimentofold::testsupport {

namespace {

int groupOf(const VirtualNet &net, int node)
{
    const auto it = net.groups.find(node);
    return it == net.groups.end() ? 0 : it->second;
}

Time delayOf(VirtualNet &net)
{
    Time delay = net.minDelay;
    if (net.meanExtraDelay > 0) {
        delay += static_cast<Time>(exponential(net.random, static_cast<double>(net.meanExtraDelay)));
    }
    if (net.late > 0 && chance(net.random, net.late)) {
        delay += static_cast<Time>(unit(net.random) * static_cast<double>(net.lateLimit));
    }
    return delay;
}

constexpr Time partitionRetry = 200 * millisecond;

void deliverWhenJoined(VirtualNet &net, int from, int to, Time at, const std::function<void()> &deliver)
{
    schedule(*net.queue, at, [&net, from, to, deliver] {
        if (separated(net, from, to)) {
            deliverWhenJoined(net, from, to, net.queue->now + partitionRetry, deliver);
        } else {
            deliver();
        }
    });
}

} // namespace

void schedule(EventQueue &queue, Time at, std::function<void()> event)
{
    queue.events.emplace(std::pair(std::max(at, queue.now), ++queue.sequence), std::move(event));
}

void runUntil(EventQueue &queue, Time limit)
{
    while (!queue.events.empty() && queue.events.begin()->first.first <= limit) {
        auto node = queue.events.extract(queue.events.begin());
        queue.now = node.key().first;
        node.mapped()();
    }
    queue.now = std::max(queue.now, limit);
}

bool separated(const VirtualNet &net, int a, int b)
{
    return groupOf(net, a) != groupOf(net, b);
}

void transmitReliably(VirtualNet &net, int from, int to, int kind, const std::function<void()> &deliver)
{
    ++net.sent;
    const Fate fate = net.script ? net.script(from, to, kind) : Fate{};
    if (!fate.lose) {
        deliverWhenJoined(net, from, to, net.queue->now + net.minDelay + fate.extraDelay, deliver);
    }
}

void transmit(VirtualNet &net, int from, int to, int kind, const std::function<void()> &deliver)
{
    ++net.sent;
    Fate fate;
    if (net.script) {
        fate = net.script(from, to, kind);
    }
    if (fate.lose || separated(net, from, to) || chance(net.random, net.loss)) {
        return;
    }
    if (chance(net.random, net.duplicate)) {
        ++fate.copies;
    }
    for (int n = 0; n < fate.copies; ++n) {
        schedule(*net.queue, net.queue->now + delayOf(net) + fate.extraDelay, deliver);
    }
}

} // namespace pimentofold::testsupport
