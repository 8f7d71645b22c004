#include <pimentofold/relay.h>

#include <utility>

namespace pimentofold {

namespace {

/// @return true when the role's balancer is worth a try
bool usable(const PendingRelay &relay)
{
    const RelayRequest &request = relay.request;
    if (relay.role == OnceRole::Home) {
        return !request.homeGone;
    }
    return !request.witnessGone && request.pair.witness.instance != 0;
}

void sendRelay(const RelayState &state, std::int64_t sequence, PendingRelay &relay, Time now, RelayOutput &out)
{
    const bool toHome = relay.role == OnceRole::Home;
    OnceMessage message;
    message.to = toHome ? relay.request.pair.home : relay.request.pair.witness;
    message.message.kind = wire::PeerKind::Relay;
    message.message.sender = toWire(state.self);
    message.message.__set_recipient(toWire(message.to));
    message.message.sequence = sequence;
    message.message.__set_packet(relay.request.packet);
    message.message.__set_callerAddress(relay.request.route.caller);
    message.message.hops = 1;
    message.message.__set_role(toHome ? wire::RelayRole::Home : wire::RelayRole::Witness);
    message.message.__set_onceKey(toWire(relay.request.key));
    message.message.serviceId = relay.request.key.serviceId;
    out.messages.push_back(std::move(message));
    ++relay.tries;
    relay.retryAt = now + relayInterval;
}

void answerGone(RelayState &state, const RelayRequest &request, RelayOutput &out)
{
    ++state.bothGone;
    auto outcome = std::make_shared<OnceOutcome>();
    outcome->verdict = Verdict::MayHaveRun;
    outcome->reason = Reason::PairLost;
    out.replies.push_back({request.key, request.route, std::move(outcome)});
}

OnceRequest toRequest(RelayRequest request)
{
    OnceRequest result;
    result.key = request.key;
    result.pair = request.pair;
    result.route = std::move(request.route);
    result.packet = std::move(request.packet);
    return result;
}

/// Sends the relay or moves it on.
/// @return false when it has ended
bool advance(RelayState &state, std::int64_t sequence, PendingRelay &relay, Time now, RelayOutput &out)
{
    if (relay.role == OnceRole::Home && (relay.tries >= relayTries || !usable(relay))) {
        relay.role = OnceRole::Witness;
        relay.tries = 0;
        if (relay.request.pair.witness == state.self) {
            out.asWitness.push_back(toRequest(std::move(relay.request)));
            return false;
        }
    }
    if (relay.role == OnceRole::Witness && (relay.tries >= relayTries || !usable(relay))) {
        answerGone(state, relay.request, out);
        return false;
    }
    sendRelay(state, sequence, relay, now, out);
    return true;
}

} // namespace

void startRelay(RelayState &state, RelayRequest request, Time now, RelayOutput &out)
{
    if (state.pending.size() >= state.limit) {
        ++state.dropped;
        return;
    }
    PendingRelay relay;
    relay.request = std::move(request);
    const std::int64_t sequence = ++state.sequence;
    if (advance(state, sequence, relay, now, out)) {
        state.pending.emplace(sequence, std::move(relay));
    }
}

void handleRelayAck(RelayState &state, const wire::PeerMessage &message)
{
    const auto it = state.pending.find(message.sequence);
    if (it == state.pending.end() || !message.__isset.recipient || fromWire(message.recipient) != state.self) {
        return;
    }
    const OncePair &pair = it->second.request.pair;
    const InstanceKey expected = it->second.role == OnceRole::Home ? pair.home : pair.witness;
    if (fromWire(message.sender) == expected) {
        state.pending.erase(it);
        ++state.acknowledged;
    }
}

void tickRelay(RelayState &state, Time now, RelayOutput &out)
{
    for (auto it = state.pending.begin(); it != state.pending.end();) {
        const bool kept = it->second.retryAt > now || advance(state, it->first, it->second, now, out);
        it = kept ? std::next(it) : state.pending.erase(it);
    }
}

OnceMessage relayAck(const InstanceKey &self, const wire::PeerMessage &relay)
{
    OnceMessage result;
    result.to = fromWire(relay.sender);
    result.message.kind = wire::PeerKind::RelayAck;
    result.message.sender = toWire(self);
    result.message.__set_recipient(relay.sender);
    result.message.sequence = relay.sequence;
    return result;
}

} // namespace pimentofold
