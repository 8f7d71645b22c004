#include <algorithm>

#include <libpimentofold/onceparts.h>

namespace pimentofold::onceparts {

namespace {

/// Handover messages that may wait for their acknowledgement at a time, by peer.
constexpr std::size_t handoverWindow = 32;
/// Announcements of a stop that are remembered.
constexpr std::size_t maxRetired = 64;

void endRunning(OnceState &state, OnceOutput &out)
{
    std::vector<OnceKey> keys(state.running.begin(), state.running.end());
    std::sort(keys.begin(), keys.end());
    for (const OnceKey &key : keys) {
        finish(state, key, state.home.records.at(key), {Verdict::MayHaveRun, Reason::TimedOut, {}, 0, 0}, out);
    }
}

void beginHandover(OnceState &state, Time now)
{
    state.handingOver = true;
    for (const auto &[key, record] : state.home.records) {
        if (record.pair.witness.instance != 0) {
            state.handovers[record.pair.witness].keys.push_back(key);
        }
    }
    for (const auto &[key, refusal] : state.witness.refusals) {
        state.handovers[refusal.peer].keys.push_back(key);
    }
    for (const auto &[key, record] : state.witness.records) {
        state.handovers[record.pair.home]; // the home knows the record, but must learn that this witness goes
    }
    for (auto &[peer, handover] : state.handovers) {
        std::sort(handover.keys.begin(), handover.keys.end());
        handover.retryAt = now + oncePeerRetry;
        handover.progressAt = now;
    }
}

/// @return the records to send for a key: one of this home, or one that this witness has closed
std::vector<wire::OnceRecordWire> recordsFor(OnceState &state, const OnceKey &key, const InstanceKey &peer)
{
    std::vector<wire::OnceRecordWire> result;
    const OnceRecord *record = findRecord(state.home, key);
    if (record != nullptr && record->pair.witness == peer && record->outcome) {
        result = recordParts(key, record->pair, *record->outcome);
    }
    const auto it = state.witness.refusals.find(key);
    if (it != state.witness.refusals.end() && it->second.peer == peer) {
        const OncePair pair{peer, state.self};
        const auto closed = recordParts(key, pair, *verdictOnly(Verdict::NotRun, it->second.reason));
        result.insert(result.end(), closed.begin(), closed.end());
    }
    return result;
}

void sendHandover(OnceState &state, const InstanceKey &peer, OnceHandover &handover, std::vector<wire::OnceRecordWire> records, OnceOutput &out)
{
    OnceMessage message = messageTo(state, peer, wire::PeerKind::Handover);
    message.message.sequence = ++state.sequence;
    message.message.last = records.empty();
    message.message.__set_records(std::move(records));
    handover.unacknowledged[message.message.sequence] = message.message;
    out.messages.push_back(std::move(message));
}

/// Sends as much as the window permits; the end is announced when all else is acknowledged.
void fillWindow(OnceState &state, const InstanceKey &peer, OnceHandover &handover, OnceOutput &out)
{
    std::vector<wire::OnceRecordWire> batch;
    std::size_t bytes = 0;
    const auto flush = [&] {
        if (!batch.empty()) {
            sendHandover(state, peer, handover, std::move(batch), out);
        }
        batch.clear();
        bytes = 0;
    };
    while (!handover.keys.empty() && handover.unacknowledged.size() < handoverWindow) {
        for (wire::OnceRecordWire &it : recordsFor(state, handover.keys.back(), peer)) {
            const std::size_t size = recordBytes + it.answer.size();
            if (bytes + size > messageRecordBytes) {
                flush();
            }
            bytes += size;
            batch.push_back(std::move(it));
        }
        handover.keys.pop_back();
    }
    flush();
    if (handover.keys.empty() && handover.unacknowledged.empty() && !handover.lastSent) {
        handover.lastSent = true;
        sendHandover(state, peer, handover, {}, out);
    }
}

void tickHandover(OnceState &state, const InstanceKey &peer, OnceHandover &handover, Time now, OnceOutput &out)
{
    if (now - handover.progressAt >= onceHandoverLimit) {
        handover.done = true;
        return;
    }
    if (now >= handover.retryAt) {
        handover.retryAt = now + oncePeerRetry;
        for (const auto &[sequence, message] : handover.unacknowledged) {
            out.messages.push_back({peer, message});
        }
    }
    fillWindow(state, peer, handover, out);
}

/// Takes a record that a stopping witness has closed without an intent.
void takeClosed(OnceState &state, const wire::OnceRecordWire &record, OnceOutput &out)
{
    const OnceKey key = fromWire(record.key);
    if (OnceRecord *kept = findRecord(state.home, key)) {
        if (kept->stage == OnceStage::Intending && kept->pair.witness == fromWire(record.witness)) {
            ++state.counts.closedByWitness;
            finish(state, key, *kept, {Verdict::NotRun, Reason::PairLost, {}, 0, 0}, out);
        }
        return;
    }
    if (state.wall <= key.pairExpiry) {
        addRefusal(state, state.home, key, {Reason::PairLost, fromWire(record.witness)});
    }
}

} // namespace

void takeHandover(OnceState &state, const wire::PeerMessage &message, const OnceNow &now, OnceOutput &out)
{
    bool kept = true;
    for (const wire::OnceRecordWire &it : message.records) {
        if (it.home == message.sender) {
            kept = takeOutcome(state, it, now, out) && kept;
        } else if (it.witness == message.sender && fromWire(it.home) == state.self) {
            takeClosed(state, it, out);
        }
    }
    if (!kept) {
        return; // without an acknowledgement the sender tries again until its limit
    }
    if (message.last) {
        state.retiredWitnesses.insert(fromWire(message.sender));
        if (state.retiredWitnesses.size() > maxRetired) {
            state.retiredWitnesses.erase(state.retiredWitnesses.begin());
        }
    }
    OnceMessage answer = messageTo(state, fromWire(message.sender), wire::PeerKind::HandoverAck);
    answer.message.sequence = message.sequence;
    out.messages.push_back(std::move(answer));
}

void handoverAcknowledged(OnceState &state, const wire::PeerMessage &message, const OnceNow &now)
{
    const auto it = state.handovers.find(fromWire(message.sender));
    if (it == state.handovers.end() || it->second.unacknowledged.erase(message.sequence) == 0) {
        ++state.counts.ignored;
        return;
    }
    OnceHandover &handover = it->second;
    handover.progressAt = now.now;
    handover.done = handover.lastSent && handover.unacknowledged.empty();
}

void tickStop(OnceState &state, const OnceNow &now, OnceOutput &out)
{
    if (now.now >= state.stopLimit) {
        endRunning(state, out);
    }
    if (!state.handingOver) {
        if (!state.intending.empty() || !state.running.empty()) {
            return;
        }
        beginHandover(state, now.now);
    }
    for (auto &[peer, handover] : state.handovers) {
        if (!handover.done) {
            tickHandover(state, peer, handover, now.now, out);
        }
    }
}

} // namespace pimentofold::onceparts
