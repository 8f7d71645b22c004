#include <pimentofoldctl/objectwrite.h>

#include <array>

#include <pimentofold/retry.h>
#include <pimentofoldctl/changeid.h>

namespace pimentofold::ctl {

using nlohmann::json;

namespace {

constexpr Time initialRetryDelay = 200 * millisecond;
constexpr Time maxRetryDelay = 1 * second;

void finish(ObjectWrite &write, WriteOutcome outcome, const std::string &detail)
{
    write.outcome = outcome;
    write.detail = detail;
}

void finishWritten(ObjectWrite &write, const PlatformObject &seen)
{
    const bool isNewest = startsWithEntry(seen.changeId, write.request.entry);
    write.version = isNewest ? seen.version : 0;
    finish(write, WriteOutcome::Written, isNewest ? "" : "a later change has replaced this version already");
}

/// Ends a write on a response that doesn't show whether an earlier attempt took effect.
/// @param ifNeverSent outcome when no earlier attempt can have taken effect
void finishUndetermined(ObjectWrite &write, WriteOutcome ifNeverSent, const std::string &detail)
{
    finish(write, write.mayHaveTakenEffect ? WriteOutcome::Unknown : ifNeverSent, detail);
}

void handleFailure(ObjectWrite &write, Time now, const std::string &error)
{
    ++write.failures;
    if (now >= write.request.deadline) {
        finishUndetermined(write, WriteOutcome::NotWritten, error);
    }
}

/// @param seen a version without the entry of this write
/// @return whether @p seen proves that another change replaced the base, so that this write never takes effect
bool baseWasReplacedByOther(const ObjectWrite &write, const PlatformObject &seen)
{
    // A delayed creation could still take effect after the object has been deleted.
    if (write.base.version == 0 || seen.version <= write.base.version) {
        return false;
    }
    // The version right after the base was written by the one change that replaced the base.
    if (seen.version == write.base.version + 1) {
        return true;
    }
    // A later version whose change id contains the base's entry lists all changes since the base. Entries of other programs
    // don't count, since such programs may use one id for several changes.
    const auto baseEntries = parseChangeId(write.base.changeId);
    return !baseEntries.empty() && baseEntries.front().time != 0 && containsEntry(seen.changeId, baseEntries.front().id);
}

void determineOutcome(ObjectWrite &write, const PlatformObject &seen)
{
    write.current = seen;
    if (containsEntry(seen.changeId, write.request.entry)) {
        finishWritten(write, seen);
    } else if (!write.mayHaveTakenEffect || baseWasReplacedByOther(write, seen)) {
        finish(write, WriteOutcome::Conflict, "another change was written first");
    } else {
        finish(write, WriteOutcome::Unknown, "later changes hide whether this one took effect");
    }
}

bool isExpectedVersion(const ObjectWrite &write)
{
    const auto expected = write.request.ifVersion;
    return !expected || write.base.version == *expected || (*expected == 0 && !isPresent(write.base));
}

void startWriting(ObjectWrite &write)
{
    write.value = write.request.makeValue(write.base);
    const bool alreadyHasValue = write.value.is_null() ? !isPresent(write.base) : isPresent(write.base) && write.base.value == write.value;
    if (alreadyHasValue) {
        write.version = write.base.version;
        finish(write, WriteOutcome::Unchanged, "");
        return;
    }
    write.step = WriteStep::Write;
}

void handleRead(ObjectWrite &write, const PlatformObject &seen, Time now)
{
    write.base = seen;
    write.current = seen;
    if (isExpectedVersion(write)) {
        write.failures = 0;
        startWriting(write);
    } else if (seen.version < *write.request.ifVersion) {
        handleFailure(write, now, "the platform shows version " + std::to_string(seen.version) + ", which is older than the expected one");
    } else {
        // The value is needed for the difference in the conflict report.
        write.value = write.request.makeValue(seen);
        finish(write, WriteOutcome::Conflict, "the version is not the expected one");
    }
}

void handleReadBack(ObjectWrite &write, const PlatformObject &seen, Time now)
{
    if (seen.version < write.base.version) {
        handleFailure(write, now, "the platform returned a version older than the one to replace");
    } else if (seen.version == write.base.version) {
        // The write hasn't taken effect or the read is stale. The failure count isn't reset, so the back-off continues.
        write.step = WriteStep::Write;
    } else {
        determineOutcome(write, seen);
    }
}

void handleWritten(ObjectWrite &write, const json &body)
{
    const PlatformObject seen = parseObject(write.request.key, body);
    write.version = seen.version;
    const auto revision = body.find("revision");
    if (revision != body.end() && revision->is_number_integer()) {
        write.revision = revision->get<std::int64_t>();
    }
    write.current = {write.request.key, seen.version, write.value.is_null(), write.value, prependEntry(write.request.entry, write.base.changeId)};
    finish(write, WriteOutcome::Written, "");
}

void handleWriteResponse(ObjectWrite &write, const ApiResponse &response, Time now)
{
    switch (response.kind) {
    case ResponseKind::Ok:
        handleWritten(write, response.body);
        break;
    case ResponseKind::Conflict:
        determineOutcome(write, parseObject(write.request.key, response.body));
        break;
    case ResponseKind::NotFound:
    case ResponseKind::Refused:
        finishUndetermined(write, WriteOutcome::Refused, response.error);
        break;
    case ResponseKind::Lost:
        write.mayHaveTakenEffect = true;
        write.step = WriteStep::ReadBack;
        handleFailure(write, now, response.error);
        break;
    }
}

void handleReadResponse(ObjectWrite &write, const ApiResponse &response, Time now)
{
    if (response.kind == ResponseKind::Lost) {
        handleFailure(write, now, response.error);
    } else if (response.kind == ResponseKind::Refused || response.kind == ResponseKind::Conflict) {
        finishUndetermined(write, WriteOutcome::Refused, response.error);
    } else if (write.step == WriteStep::Read) {
        handleRead(write, parseObject(write.request.key, response.body), now);
    } else {
        handleReadBack(write, parseObject(write.request.key, response.body), now);
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
    // A deleted object is recreated by replacing its deletion (If-Match with the version of the deletion). A delayed write
    // with version 0 could take effect after others have created and deleted the object again.
    return writeCall(write.request.key, write.base.version, prependEntry(write.request.entry, write.base.changeId), write.value);
}

void handleResponse(ObjectWrite &write, const ApiResponse &response, Time now)
{
    if (write.step == WriteStep::Write) {
        handleWriteResponse(write, response, now);
    } else {
        handleReadResponse(write, response, now);
    }
}

Time retryDelay(int failures, Random &random)
{
    return failures == 0 ? 0 : backoffDelay(random, failures, initialRetryDelay, maxRetryDelay);
}

Time delayBeforeNextCall(const ObjectWrite &write, Random &random)
{
    return retryDelay(write.failures, random);
}

} // namespace pimentofold::ctl
