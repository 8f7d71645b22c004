#include <pimentofold-measure/capacity.h>

#include <string>
#include <utility>

#include <pimentofold/flowroute.h>
#include <pimentofold/once/once.h>
#include <pimentofold/random.h>
#include <pimentofold/token.h>
#include <pimentofold/view.h>

namespace pimentofold {

namespace {

constexpr Id team = 11;
constexpr Id service = 22;
constexpr WallTime someWallTime = 1'764'830'000'000;

/// Processor time of opening tokens, the work of every packet of a token flow beyond decoding.
double openTokens(double packets)
{
    const std::vector<TokenKey> keys{{team, 1, deriveKey("a secret of the measurement", "token"), 0}};
    constexpr std::int64_t flow = 42;
    const Token token = mintToken(service, 33, 1, {1, 1}, {2, 1}, 1, someWallTime);
    const SealedToken sealed = sealToken(token, flow, keys.front().key);
    return referenceUnits([&] {
        volatile bool valid = true;
        for (int i = 0; i < static_cast<int>(packets); ++i) {
            const OpenedToken opened = openToken({sealed.data(), sealed.size()}, team, service, flow, keys, someWallTime);
            valid = valid && opened.fault == TokenFault::None;
        }
    });
}

View viewOfOneService(std::size_t targets)
{
    View view;
    ViewService entry;
    entry.id = service;
    entry.teamId = team;
    for (std::size_t i = 0; i < targets; ++i) {
        ViewTarget target;
        target.id = idOf("target" + std::to_string(i));
        target.serviceId = service;
        view.targetIndex[target.id] = i;
        view.targets.push_back(std::move(target));
        entry.targets.push_back(i);
    }
    view.serviceIndex[service] = 0;
    view.services.push_back(std::move(entry));
    return view;
}

/// Processor time of finding the first candidate of 1,000 bare flows.
double findCandidates(double targets)
{
    const View view = viewOfOneService(static_cast<std::size_t>(targets));
    return referenceUnits([&view] {
        volatile std::size_t sink = 0;
        for (std::int64_t flow = 1; flow <= 1000; ++flow) {
            sink = sink + nextCandidate(view, view.services.front(), flow, 0).value_or(0);
        }
    });
}

/// Heap memory of records of finished requests at their home.
double onceRecords(double records)
{
    const InstanceKey home{1, 1};
    const InstanceKey witness{2, 1};
    const std::size_t before = heapBytes();
    OnceState state;
    state.self = home;
    state.limits.records = static_cast<std::size_t>(records) + 1;
    const std::string packet(200, 'p');
    for (std::int64_t i = 1; i <= static_cast<std::int64_t>(records); ++i) {
        OnceOutput out;
        OnceRequest request;
        request.key = {service, i, 1, someWallTime + pairLifeMs};
        request.pair = {home, witness};
        request.destination.caller = "127.0.0.1:40000";
        request.packet = packet;
        const ClockReading now{i, someWallTime};
        handleOnceRequest(state, request, OnceRole::Home, now, out);
        wire::PeerMessage stored;
        stored.kind = wire::PeerKind::IntentStored;
        stored.sender = toWire(witness);
        stored.__set_recipient(toWire(home));
        stored.__set_onceKey(toWire(request.key));
        handleOnceMessage(state, stored, now, out);
        OnceOutcome outcome = toOnceOutcome(wire::Outcome::Done);
        outcome.answer = "accepted";
        outcome.total = static_cast<std::int64_t>(outcome.answer.size());
        handleOnceOutcome(state, request.key, std::move(outcome), now, out);
    }
    return static_cast<double>(heapBytes() - before);
}

/// Heap memory of the exceptions that a balancer remembers for its bare flows.
double bareFlowMemory(double flows)
{
    const std::size_t before = heapBytes();
    FlowCache cache;
    for (std::int64_t flow = 1; flow <= static_cast<std::int64_t>(flows); ++flow) {
        storeRoute(cache, flowHash(service, flow), 1);
    }
    return static_cast<double>(heapBytes() - before);
}

} // namespace

std::vector<Slope> dataPathSlopes(CapacityScale scale)
{
    return {
        measureSlope("token_open_cpu", "packets", "reference units", capacitySizes(scale, {10'000, 20'000, 40'000, 80'000}), openTokens),
        measureSlope("candidate_cpu", "targets of the service", "reference units for 1,000 flows", capacitySizes(scale, {5, 15, 50, 150, 400}), findCandidates),
        measureSlope("once_memory", "records", "bytes", capacitySizes(scale, {10'000, 20'000, 40'000}), onceRecords),
        measureSlope("bare_flow_memory", "open bare flows", "bytes", capacitySizes(scale, {250'000, 500'000, 1'000'000}), bareFlowMemory),
    };
}

} // namespace pimentofold
