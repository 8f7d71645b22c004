#include <pimentofold/relay.h>

#include <algorithm>
#include <utility>

namespace pimentofold {

namespace {

/// @return the balancers to try, in this order and without duplicates
std::vector<InstanceKey> recipientsOf(const RelayRequest &request)
{
    std::vector<InstanceKey> result;
    if (!request.homeGone) {
        result.push_back(request.pair.home);
    }
    if (!request.witnessGone && request.pair.witness.instance != 0) {
        result.push_back(request.pair.witness);
    }
    for (const InstanceKey &it : request.successors) {
        if (it != request.pair.home && it != request.pair.witness && std::find(result.begin(), result.end(), it) == result.end()) {
            result.push_back(it);
        }
    }
    return result;
}

void sendRelay(const RelayState &state, std::int64_t sequence, PendingRelay &relay, Time now, RelayOutput &out)
{
    OnceMessage message;
    message.to = relay.recipients.front();
    const bool toHome = message.to == relay.request.pair.home;
    message.message.kind = wire::PeerKind::Relay;
    message.message.sender = toWire(state.self);
    message.message.__set_recipient(toWire(message.to));
    message.message.sequence = sequence;
    message.message.__set_packet(relay.request.packet);
    message.message.__set_callerAddress(relay.request.destination.caller);
    message.message.hops = 1;
    message.message.__set_role(toHome ? wire::RelayRole::Home : wire::RelayRole::Witness);
    message.message.__set_onceKey(toWire(relay.request.key));
    message.message.serviceId = relay.request.key.serviceId;
    out.messages.push_back(std::move(message));
    ++relay.attempts;
    relay.retryAt = now + relayRetryInterval;
}

void answerUnacknowledged(RelayState &state, const RelayRequest &request, Time now, RelayOutput &out)
{
    ++state.unanswered;
    if (now + relayRetransmitMargin < request.deadline) {
        return;
    }
    auto outcome = std::make_shared<OnceOutcome>();
    outcome->verdict = Verdict::MayHaveRun;
    outcome->reason = Reason::PairLost;
    out.replies.push_back({{request.key, request.destination, std::move(outcome)}, request.packet});
}

OnceRequest toRequest(RelayRequest request)
{
    OnceRequest result;
    result.key = request.key;
    result.pair = request.pair;
    result.destination = std::move(request.destination);
    result.packet = std::move(request.packet);
    return result;
}

/// Sends the relay to its current recipient, or to the next one after maxRelayAttempts transmissions.
/// @return false when the relay has ended
bool advance(RelayState &state, std::int64_t sequence, PendingRelay &relay, Time now, RelayOutput &out)
{
    if (relay.attempts >= maxRelayAttempts) {
        out.unresponsive.push_back(relay.recipients.front());
        relay.recipients.erase(relay.recipients.begin());
        relay.attempts = 0;
    }
    if (relay.recipients.empty()) {
        answerUnacknowledged(state, relay.request, now, out);
        return false;
    }
    if (relay.recipients.front() == state.self) {
        out.witnessRequests.push_back(toRequest(std::move(relay.request)));
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
    relay.recipients = recipientsOf(request);
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
    if (fromWire(message.sender) == it->second.recipients.front()) {
        state.pending.erase(it);
        ++state.acknowledged;
    }
}

void tickRelay(RelayState &state, Time now, RelayOutput &out)
{
    for (auto it = state.pending.begin(); it != state.pending.end();) {
        const bool isPending = it->second.retryAt > now || advance(state, it->first, it->second, now, out);
        it = isPending ? std::next(it) : state.pending.erase(it);
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
