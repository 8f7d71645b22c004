#include <algorithm>

#include <libpimentofold/once/onceinternal.h>

namespace pimentofold::onceinternal {

namespace {

/// Largest number of unacknowledged Handover messages to one peer.
constexpr std::size_t handoverWindow = 32;
/// Limit on OnceState::stoppingWitnesses.
constexpr std::size_t maxStoppingWitnesses = 64;

/// Gives the dispatched requests without an outcome the verdict MayHaveRun.
void timeOutRunning(OnceState &state, OnceOutput &out)
{
    std::vector<OnceKey> keys(state.running.begin(), state.running.end());
    std::sort(keys.begin(), keys.end());
    for (const OnceKey &key : keys) {
        finishRecord(state, key, state.home.records.at(key), {Verdict::MayHaveRun, Reason::TimedOut, {}, 0, 0}, out);
    }
}

/// @return the handover to @p peer, which is added when there is none
OnceHandover &handoverTo(OnceState &state, const InstanceKey &peer)
{
    for (OnceHandover &it : state.handovers) {
        if (it.peer == peer) {
            return it;
        }
    }
    state.handovers.emplace_back();
    state.handovers.back().peer = peer;
    return state.handovers.back();
}

/// Prepares the transfer of records to the other balancer of their pair.
void addPairHandovers(OnceState &state)
{
    for (const auto &[key, record] : state.home.records) {
        if (record.pair.witness.instance != 0) {
            handoverTo(state, record.pair.witness).allKeys.push_back(key);
        }
    }
    for (const auto &[key, refusal] : state.witness.refusals) {
        handoverTo(state, refusal.peer).allKeys.push_back(key);
    }
    for (const auto &[key, record] : state.witness.records) {
        handoverTo(state, record.pair.home); // no records to send, but the home has to know that this witness stops
    }
}

void addKeys(const OnceTable &table, std::vector<OnceKey> &keys)
{
    for (const auto &[key, record] : table.records) {
        keys.push_back(key);
    }
}

/// Prepares the transfer of all records of @p owner to its successor.
void addSuccessorHandover(OnceState &state, const InstanceKey &owner, std::vector<OnceKey> keys)
{
    std::vector<InstanceKey> successors = rankSuccessors(state.successorCandidates, owner);
    if (successors.empty()) {
        return;
    }
    OnceHandover handover;
    handover.peer = successors.front();
    handover.owner = owner;
    handover.fallbackPeers.assign(successors.begin() + 1, successors.end());
    handover.allKeys = std::move(keys);
    state.handovers.push_back(std::move(handover));
}

void startHandover(OnceHandover &handover, Time now)
{
    std::sort(handover.allKeys.begin(), handover.allKeys.end());
    handover.allKeys.erase(std::unique(handover.allKeys.begin(), handover.allKeys.end()), handover.allKeys.end());
    handover.unsentKeys = handover.allKeys;
    handover.unacknowledged.clear();
    handover.endSent = false;
    handover.retryAt = now + oncePeerRetryInterval;
    handover.lastAckAt = now;
}

/// @return true when there are records to transfer and no other live balancer is known
bool needsSuccessor(const OnceState &state)
{
    const bool records = !state.home.records.empty() || !state.witness.records.empty() || !state.successorRecords.empty();
    return records && std::ranges::all_of(state.successorCandidates, [&](const InstanceKey &it) { return it == state.self; });
}

void beginHandover(OnceState &state, Time now)
{
    state.handingOver = true;
    std::erase(state.successorCandidates, state.self);
    addPairHandovers(state);
    std::vector<OnceKey> own;
    addKeys(state.home, own);
    addKeys(state.witness, own);
    addSuccessorHandover(state, state.self, std::move(own));
    for (const auto &[owner, records] : state.successorRecords) {
        if (records.complete) {
            std::vector<OnceKey> keys;
            addKeys(records.table, keys);
            addSuccessorHandover(state, owner, std::move(keys));
        }
    }
    for (OnceHandover &it : state.handovers) {
        startHandover(it, now);
    }
}

void appendParts(std::vector<wire::OnceRecordWire> &result, const OnceKey &key, const OnceRecord *record)
{
    if (record == nullptr) {
        return;
    }
    const auto outcome = record->outcome ? record->outcome : outcomeWithoutAnswer(Verdict::MayHaveRun, Reason::PairLost);
    const auto parts = splitRecord(key, record->pair, *outcome);
    result.insert(result.end(), parts.begin(), parts.end());
}

/// @return the records of a request to be sent to a successor
std::vector<wire::OnceRecordWire> recordsForSuccessor(OnceState &state, const OnceKey &key, const InstanceKey &owner)
{
    std::vector<wire::OnceRecordWire> result;
    if (owner == state.self) {
        appendParts(result, key, findRecord(state.home, key));
        appendParts(result, key, findRecord(state.witness, key));
    } else {
        appendParts(result, key, findRecord(state.successorRecords[owner].table, key));
    }
    return result;
}

/// @return the records of a request to be sent to the other balancer of its pair: the record of this balancer as home, and the
///         refusal of this balancer as witness
std::vector<wire::OnceRecordWire> recordsForPeer(OnceState &state, const OnceKey &key, const InstanceKey &peer)
{
    std::vector<wire::OnceRecordWire> result;
    const OnceRecord *record = findRecord(state.home, key);
    if (record != nullptr && record->pair.witness == peer) {
        appendParts(result, key, record);
    }
    const auto it = state.witness.refusals.find(key);
    if (it != state.witness.refusals.end() && it->second.peer == peer) {
        const BalancerPair pair{peer, state.self};
        const auto refused = splitRecord(key, pair, *outcomeWithoutAnswer(Verdict::NotRun, it->second.reason));
        result.insert(result.end(), refused.begin(), refused.end());
    }
    return result;
}

void sendHandover(OnceState &state, OnceHandover &handover, const std::vector<wire::OnceRecordWire> &records, OnceOutput &out)
{
    OnceMessage message = messageTo(state, handover.peer, wire::PeerKind::Handover);
    message.message.sequence = ++state.sequence;
    message.message.last = records.empty();
    if (handover.owner.instance != 0) {
        message.message.__set_about(toWire(handover.owner));
    }
    message.message.__set_records(records);
    handover.unacknowledged[message.message.sequence] = message.message;
    out.messages.push_back(std::move(message));
}

/// Sends records while fewer than handoverWindow messages are unacknowledged. The last message, without records, marks the end and
/// is sent when all others are acknowledged.
void fillWindow(OnceState &state, OnceHandover &handover, OnceOutput &out)
{
    std::vector<wire::OnceRecordWire> batch;
    std::size_t bytes = 0;
    const auto flush = [&] {
        if (!batch.empty()) {
            sendHandover(state, handover, batch, out);
        }
        batch.clear();
        bytes = 0;
    };
    while (!handover.unsentKeys.empty() && handover.unacknowledged.size() < handoverWindow) {
        const OnceKey &key = handover.unsentKeys.back();
        const bool toSuccessor = handover.owner.instance != 0;
        for (wire::OnceRecordWire &it : toSuccessor ? recordsForSuccessor(state, key, handover.owner) : recordsForPeer(state, key, handover.peer)) {
            const std::size_t size = recordOverheadBytes + it.answer.size();
            if (bytes + size > maxMessageRecordBytes) {
                flush();
            }
            bytes += size;
            batch.push_back(std::move(it));
        }
        handover.unsentKeys.pop_back();
    }
    flush();
    if (handover.unsentKeys.empty() && handover.unacknowledged.empty() && !handover.endSent) {
        handover.endSent = true;
        sendHandover(state, handover, {}, out);
    }
}

void tickHandover(OnceState &state, OnceHandover &handover, Time now, OnceOutput &out)
{
    if (now - handover.lastAckAt >= onceHandoverTimeout) {
        if (handover.fallbackPeers.empty()) {
            handover.done = true;
            return;
        }
        handover.peer = handover.fallbackPeers.front();
        handover.fallbackPeers.erase(handover.fallbackPeers.begin());
        startHandover(handover, now);
    }
    if (now >= handover.retryAt) {
        handover.retryAt = now + oncePeerRetryInterval;
        for (const auto &[sequence, message] : handover.unacknowledged) {
            out.messages.push_back({handover.peer, message});
        }
    }
    fillWindow(state, handover, out);
}

/// Applies the refusal of a request that a stopping witness had closed before it got an intent.
void applyClosedRecord(OnceState &state, const wire::OnceRecordWire &record, OnceOutput &out)
{
    const OnceKey key = fromWire(record.key);
    if (OnceRecord *existing = findRecord(state.home, key)) {
        if (existing->stage == OnceStage::AwaitingWitness && existing->pair.witness == fromWire(record.witness)) {
            ++state.counts.closedByWitness;
            finishRecord(state, key, *existing, {Verdict::NotRun, Reason::PairLost, {}, 0, 0}, out);
        }
        return;
    }
    if (state.wall <= key.pairExpiry) {
        addRefusal(state, state.home, key, {Reason::PairLost, fromWire(record.witness)});
    }
}

} // namespace

void handleHandover(OnceState &state, const wire::PeerMessage &message, const ClockReading &now, OnceOutput &out)
{
    bool stored = true;
    if (message.__isset.about) {
        stored = storeSuccessorRecords(state, message, now, out);
    } else {
        for (const wire::OnceRecordWire &it : message.records) {
            if (it.home == message.sender) {
                stored = storeOutcome(state, state.witness, it, now, out) && stored;
            } else if (it.witness == message.sender && fromWire(it.home) == state.self) {
                applyClosedRecord(state, it, out);
            }
        }
    }
    if (!stored) {
        return; // without an acknowledgement the sender repeats the message until onceHandoverTimeout
    }
    if (message.last) {
        state.stoppingWitnesses.insert(fromWire(message.sender));
        if (state.stoppingWitnesses.size() > maxStoppingWitnesses) {
            state.stoppingWitnesses.erase(state.stoppingWitnesses.begin());
        }
    }
    OnceMessage answer = messageTo(state, fromWire(message.sender), wire::PeerKind::HandoverAck);
    answer.message.sequence = message.sequence;
    out.messages.push_back(std::move(answer));
}

void handleHandoverAck(OnceState &state, const wire::PeerMessage &message, const ClockReading &now)
{
    for (OnceHandover &it : state.handovers) {
        if (it.peer == fromWire(message.sender) && it.unacknowledged.erase(message.sequence) > 0) {
            it.lastAckAt = now.monotonic;
            it.done = it.endSent && it.unacknowledged.empty();
            return;
        }
    }
    ++state.counts.ignored;
}

void tickStop(OnceState &state, const ClockReading &now, OnceOutput &out)
{
    if (now.monotonic >= state.stopLimit) {
        timeOutRunning(state, out);
    }
    if (!state.handingOver) {
        if (!state.awaitingWitness.empty() || !state.running.empty()) {
            return;
        }
        if (needsSuccessor(state) && now.monotonic < state.stopLimit) {
            return;
        }
        beginHandover(state, now.monotonic);
    }
    for (OnceHandover &it : state.handovers) {
        if (!it.done) {
            tickHandover(state, it, now.monotonic, out);
        }
    }
}

} // namespace pimentofold::onceinternal
