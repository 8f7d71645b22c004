#include <pimentofoldctl/objectwrite.h>

#include <array>

#include <pimentofold/retry.h>
#include <pimentofoldctl/changeid.h>

namespace pimentofold::ctl {

using nlohmann::json;

namespace {

constexpr Time firstPause = 200 * millisecond;
constexpr Time longestPause = 1 * second;

void finish(ObjectWrite &write, WriteOutcome outcome, const std::string &detail)
{
    write.outcome = outcome;
    write.detail = detail;
}

void finishWritten(ObjectWrite &write, const PlatformObject &seen)
{
    const bool newest = chainStartsWith(seen.changeId, write.request.entry);
    write.version = newest ? seen.version : 0;
    finish(write, WriteOutcome::Written, newest ? "" : "a later change has replaced this version already");
}

/// Ends a write on an answer that doesn't say whether earlier sendings took effect.
void finishUnsettled(ObjectWrite &write, WriteOutcome ifNeverSent, const std::string &detail)
{
    finish(write, write.mayHaveTakenEffect ? WriteOutcome::Unknown : ifNeverSent, detail);
}

void acceptFailure(ObjectWrite &write, Time now, const std::string &why)
{
    ++write.failures;
    if (now >= write.request.deadline) {
        finishUnsettled(write, WriteOutcome::NotWritten, why);
    }
}

/// @return whether @p seen proves that the write never takes effect: it replaces the base, and @p seen shows that
///     another change has done that
bool baseWasReplacedByOther(const ObjectWrite &write, const PlatformObject &seen)
{
    // A creation that is still on its way could take effect after the object has been deleted again.
    if (write.base.version == 0 || seen.version <= write.base.version) {
        return false;
    }
    // With the version right after the base, only one write has come after it.
    if (seen.version == write.base.version + 1) {
        return true;
    }
    // Other programs may use one id for several changes, which would show a later version as the base's successor.
    const auto baseEntries = parseChain(write.base.changeId);
    return !baseEntries.empty() && baseEntries.front().time != 0 && chainContains(seen.changeId, baseEntries.front().id);
}

void settle(ObjectWrite &write, const PlatformObject &seen)
{
    write.current = seen;
    if (chainContains(seen.changeId, write.request.entry)) {
        finishWritten(write, seen);
    } else if (!write.mayHaveTakenEffect || baseWasReplacedByOther(write, seen)) {
        finish(write, WriteOutcome::Conflict, "another change was written first");
    } else {
        finish(write, WriteOutcome::Unknown, "later changes hide whether this one took effect");
    }
}

bool isExpectedVersion(const ObjectWrite &write)
{
    const auto wanted = write.request.ifVersion;
    return !wanted || write.base.version == *wanted || (*wanted == 0 && !isPresent(write.base));
}

void startWriting(ObjectWrite &write)
{
    write.value = write.request.makeValue(write.base);
    const bool same = write.value.is_null() ? !isPresent(write.base) : isPresent(write.base) && write.base.value == write.value;
    if (same) {
        write.version = write.base.version;
        finish(write, WriteOutcome::Unchanged, "");
        return;
    }
    write.step = WriteStep::Write;
}

void acceptRead(ObjectWrite &write, const PlatformObject &seen, Time now)
{
    write.base = seen;
    write.current = seen;
    if (isExpectedVersion(write)) {
        write.failures = 0;
        startWriting(write);
    } else if (seen.version < *write.request.ifVersion) {
        acceptFailure(write, now, "the platform shows version " + std::to_string(seen.version) + ", which is older than the expected one");
    } else {
        // The value is needed for the difference that the operator is shown.
        write.value = write.request.makeValue(seen);
        finish(write, WriteOutcome::Conflict, "the version is not the expected one");
    }
}

void acceptReadBack(ObjectWrite &write, const PlatformObject &seen, Time now)
{
    if (seen.version < write.base.version) {
        acceptFailure(write, now, "the platform answers from an older state");
    } else if (seen.version == write.base.version) {
        // Not in effect, or the answer is stale. The failure count stays, so that the back-off goes on.
        write.step = WriteStep::Write;
    } else {
        settle(write, seen);
    }
}

void acceptWritten(ObjectWrite &write, const json &body)
{
    const PlatformObject seen = parseObject(write.request.key, body);
    write.version = seen.version;
    const auto revision = body.find("revision");
    if (revision != body.end() && revision->is_number_integer()) {
        write.revision = revision->get<std::int64_t>();
    }
    write.current = {write.request.key, seen.version, write.value.is_null(), write.value, extendChain(write.request.entry, write.base.changeId)};
    finish(write, WriteOutcome::Written, "");
}

void acceptWriteAnswer(ObjectWrite &write, const ApiAnswer &answer, Time now)
{
    switch (answer.kind) {
    case AnswerKind::Ok:
        acceptWritten(write, answer.body);
        break;
    case AnswerKind::Conflict:
        settle(write, parseObject(write.request.key, answer.body));
        break;
    case AnswerKind::NotFound:
    case AnswerKind::Refused:
        finishUnsettled(write, WriteOutcome::Refused, answer.error);
        break;
    case AnswerKind::Lost:
        write.mayHaveTakenEffect = true;
        write.step = WriteStep::ReadBack;
        acceptFailure(write, now, answer.error);
        break;
    }
}

void acceptReadAnswer(ObjectWrite &write, const ApiAnswer &answer, Time now)
{
    if (answer.kind == AnswerKind::Lost) {
        acceptFailure(write, now, answer.error);
    } else if (answer.kind == AnswerKind::Refused || answer.kind == AnswerKind::Conflict) {
        finishUnsettled(write, WriteOutcome::Refused, answer.error);
    } else if (write.step == WriteStep::Read) {
        acceptRead(write, parseObject(write.request.key, answer.body), now);
    } else {
        acceptReadBack(write, parseObject(write.request.key, answer.body), now);
    }
}

} // namespace

std::string_view name(WriteOutcome outcome)
{
    constexpr std::array<std::string_view, 7> names = {"pending", "written", "unchanged", "conflict", "refused", "not written", "unknown"};
    return names.at(static_cast<std::size_t>(outcome));
}

bool isFinished(const ObjectWrite &write)
{
    return write.outcome != WriteOutcome::Pending;
}

ApiCall nextCall(const ObjectWrite &write)
{
    if (write.step != WriteStep::Write) {
        return readCall(write.request.key);
    }
    // A deleted object is created again on top of its deletion, since a late "create" could otherwise take effect
    // after others have created and deleted the object once more.
    return writeCall(write.request.key, write.base.version, extendChain(write.request.entry, write.base.changeId), write.value);
}

void acceptAnswer(ObjectWrite &write, const ApiAnswer &answer, Time now)
{
    if (write.step == WriteStep::Write) {
        acceptWriteAnswer(write, answer, now);
    } else {
        acceptReadAnswer(write, answer, now);
    }
}

Time pauseAfter(int failures, Random &random)
{
    return failures == 0 ? 0 : backoffDelay(random, failures, firstPause, longestPause);
}

Time pauseBefore(const ObjectWrite &write, Random &random)
{
    return pauseAfter(write.failures, random);
}

} // namespace pimentofold::ctl
