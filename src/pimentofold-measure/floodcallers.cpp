#include <pimentofold-measure/floodmodel.h>

#include <algorithm>
#include <memory>

namespace pimentofold {

namespace {

constexpr Time firstTimeout = 300 * millisecond;
constexpr Time firstBackOff = 200 * millisecond;
constexpr int mostDoublings = 5;

/// @return a time that doubles with each attempt, with a jitter of half of it
Time backOff(FloodModel &model, Time first, int attempts)
{
    const Time base = first << std::min(attempts - 1, mostDoublings);
    return base / 2 + static_cast<Time>(unit(model.random) * static_cast<double>(base));
}

void sendAttempt(FloodModel &model, std::size_t index)
{
    FloodRequest &request = model.requests[index];
    request.attempts += 1;
    request.sendings.back().copies += 1;
    const int epoch = ++request.epoch;
    const std::size_t balancer = below(model.random, floodBalancers);
    const FloodItem item{ItemKind::Caller, {index, request.sendings.size() - 1, request.sendings.back().copies}, 0, RequestOutcome::Done, request.service, 0};
    after(model.sim, callerHop, [&model, balancer, item] { deliver(model, balancer, item); });
    const Time timeout = backOff(model, firstTimeout, request.attempts);
    if (model.sim.now + timeout >= request.deadline) {
        return;
    }
    after(model.sim, timeout, [&model, index, epoch] {
        if (model.requests[index].epoch == epoch) {
            sendAttempt(model, index);
        }
    });
}

} // namespace

void callerAnswered(FloodModel &model, std::size_t request)
{
    FloodRequest &it = model.requests[request];
    it.epoch += 1;
    it.answered = std::min(it.answered, model.sim.now);
}

void callerRefused(FloodModel &model, const FloodCopy &copy, int retryAfterMs)
{
    FloodRequest &it = model.requests[copy.request];
    FloodSending &sending = it.sendings[copy.number];
    const bool latest = copy.number + 1 == it.sendings.size() && copy.attempt == sending.copies;
    if (it.answered != never || !latest || sending.refused) {
        return;
    }
    sending.refused = true;
    model.falseNotRun += sending.ran ? 1 : 0;
    const int epoch = ++it.epoch;
    const Time wait = std::max<Time>(retryAfterMs * millisecond, backOff(model, firstBackOff, it.attempts));
    if (model.sim.now + wait >= it.deadline) {
        return;
    }
    after(model.sim, wait, [&model, request = copy.request, epoch] {
        FloodRequest &again = model.requests[request];
        if (again.epoch == epoch) {
            again.sendings.emplace_back();
            sendAttempt(model, request);
        }
    });
}

void noteRun(FloodModel &model, const FloodCopy &copy)
{
    FloodSending &sending = model.requests[copy.request].sendings[copy.number];
    model.falseNotRun += sending.refused && !sending.ran ? 1 : 0;
    sending.ran = true;
}

void addArrivals(FloodModel &model, std::size_t service, double perSecond, Time from, Time until)
{
    const auto next = std::make_shared<std::function<void()>>();
    // The function refers to itself weakly, so that it is freed with its last event.
    *next = [&model, service, perSecond, until, self = std::weak_ptr(next)] {
        if (model.sim.now >= until) {
            return;
        }
        FloodRequest request;
        request.service = static_cast<std::uint32_t>(service);
        request.created = model.sim.now;
        request.deadline = model.sim.now + model.services[service].deadline;
        request.sendings.resize(1);
        model.requests.push_back(std::move(request));
        sendAttempt(model, model.requests.size() - 1);
        const auto gap = static_cast<Time>(exponential(model.random, static_cast<double>(second) / perSecond));
        after(model.sim, gap, [again = self.lock()] { (*again)(); });
    };
    after(model.sim, from - model.sim.now, [next] { (*next)(); });
}

} // namespace pimentofold
