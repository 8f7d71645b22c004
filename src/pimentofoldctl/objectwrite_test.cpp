#include <pimentofoldctl/objectwrite.h>

#include <doctest/doctest.h>

#include <pimentofoldctl/changeid.h>

using namespace pimentofold;
using namespace pimentofold::ctl;
using nlohmann::json;

namespace {

const ObjectKey key{"team", "shop"};
constexpr Time deadline = 100;

ApiResponse object(ResponseKind kind, std::int64_t version, const char *changeId, bool deleted = false)
{
    return {kind, {{"version", version}, {"deleted", deleted}, {"changeId", changeId}, {"value", {{"a", version}}}}, ""};
}

ApiResponse seen(std::int64_t version, const char *changeId)
{
    return object(ResponseKind::Ok, version, changeId);
}

ApiResponse conflict(std::int64_t version, const char *changeId)
{
    return object(ResponseKind::Conflict, version, changeId);
}

ApiResponse written(std::int64_t version)
{
    return {ResponseKind::Ok, {{"version", version}, {"revision", 70}}, ""};
}

const ApiResponse lost{ResponseKind::Lost, {}, "timeout"};
const ApiResponse refused{ResponseKind::Refused, {}, "status 413"};
const ApiResponse absent{ResponseKind::NotFound, {}, ""};

struct Step {
    const char *method;
    ApiResponse response;
    Time now = 0;
};

struct Row {
    const char *what;
    std::vector<Step> steps;
    WriteOutcome outcome;
    std::int64_t version = 0;
    std::optional<std::int64_t> ifVersion = std::nullopt;
    const char *ifMatch = "3"; ///< expected If-Match header of each PUT
};

const std::vector<Row> rows = {
    {"plain write", {{"GET", seen(3, "1.b.1")}, {"PUT", written(4)}}, WriteOutcome::Written, 4},
    {"creation", {{"GET", absent}, {"PUT", written(1)}}, WriteOutcome::Written, 1, {}, "0"},
    {"creation over a deletion", {{"GET", object(ResponseKind::NotFound, 7, "1.b.1", true)}, {"PUT", written(8)}}, WriteOutcome::Written, 8, {}, "7"},
    {"lost after it took effect", {{"GET", seen(3, "1.b.1")}, {"PUT", lost}, {"GET", seen(4, "me,1.b.1")}}, WriteOutcome::Written, 4},
    {"lost before it took effect", {{"GET", seen(3, "1.b.1")}, {"PUT", lost}, {"GET", seen(3, "1.b.1")}, {"PUT", written(4)}}, WriteOutcome::Written, 4},
    {"took effect late", {{"GET", seen(3, "1.b.1")}, {"PUT", lost}, {"GET", seen(3, "1.b.1")}, {"PUT", conflict(4, "me,1.b.1")}}, WriteOutcome::Written, 4},
    {"lost, other change instead", {{"GET", seen(3, "1.b.1")}, {"PUT", lost}, {"GET", seen(4, "x,1.b.1")}}, WriteOutcome::Conflict},
    {"lost, two other changes instead", {{"GET", seen(3, "1.b.1")}, {"PUT", lost}, {"GET", seen(5, "y,x,1.b.1")}}, WriteOutcome::Conflict},
    {"lost, replaced by a later change", {{"GET", seen(3, "1.b.1")}, {"PUT", lost}, {"GET", seen(5, "x,me,1.b.1")}}, WriteOutcome::Written, 0},
    {"lost, hidden by other ids", {{"GET", seen(3, "1.b.1")}, {"PUT", lost}, {"GET", seen(5, "foreign")}}, WriteOutcome::Unknown},
    {"lost, base without id", {{"GET", seen(3, "")}, {"PUT", lost}, {"GET", seen(5, "y,x")}}, WriteOutcome::Unknown},
    {"lost creation, other creation instead", {{"GET", absent}, {"PUT", lost}, {"GET", seen(1, "x")}}, WriteOutcome::Unknown, 0, {}, "0"},
    {"stale read-back", {{"GET", seen(3, "1.b.1")}, {"PUT", lost}, {"GET", seen(2, "a")}, {"GET", seen(4, "me,1.b.1")}}, WriteOutcome::Written, 4},
    {"conflict", {{"GET", seen(3, "1.b.1")}, {"PUT", conflict(4, "x,1.b.1")}}, WriteOutcome::Conflict},
    {"conflict far ahead", {{"GET", seen(3, "1.b.1")}, {"PUT", conflict(9, "foreign")}}, WriteOutcome::Conflict},
    {"refused", {{"GET", seen(3, "1.b.1")}, {"PUT", refused}}, WriteOutcome::Refused},
    {"refused after a lost response", {{"GET", seen(3, "1.b.1")}, {"PUT", lost}, {"GET", seen(3, "1.b.1")}, {"PUT", refused}}, WriteOutcome::Unknown},
    {"outage before the write", {{"GET", lost}, {"GET", lost, deadline}}, WriteOutcome::NotWritten},
    {"outage after the write", {{"GET", seen(3, "1.b.1")}, {"PUT", lost}, {"GET", lost, deadline}}, WriteOutcome::Unknown},
    {"outage that ends", {{"GET", lost}, {"GET", seen(3, "1.b.1")}, {"PUT", written(4)}}, WriteOutcome::Written, 4},
    {"same value", {{"GET", seen(99, "1.b.1")}}, WriteOutcome::Unchanged, 99},
    {"newer than expected", {{"GET", seen(3, "1.b.1")}}, WriteOutcome::Conflict, 0, 2},
    {"as expected after a stale read", {{"GET", seen(2, "a")}, {"GET", seen(3, "1.b.1")}, {"PUT", written(4)}}, WriteOutcome::Written, 4, 3},
    {"expected version never shows", {{"GET", seen(2, "a")}, {"GET", seen(2, "a"), deadline}}, WriteOutcome::NotWritten, 0, 3},
    {"must not exist, but does", {{"GET", seen(3, "1.b.1")}}, WriteOutcome::Conflict, 0, 0},
    {"must not exist, is deleted", {{"GET", object(ResponseKind::NotFound, 7, "1.b.1", true)}, {"PUT", written(8)}}, WriteOutcome::Written, 8, 0, "7"},
};

WriteRequest requestFor(const Row &row)
{
    return {key, [](const PlatformObject &) { return json{{"a", 99}}; }, "me", row.ifVersion, deadline};
}

} // namespace

// Guards against a lost response that is reported as a failure or success without proof, and against a write that replaces
// another version than the one that the operator has seen.
TEST_CASE("outcome of a write for each sequence of responses")
{
    for (const Row &row : rows) {
        CAPTURE(row.what);
        ObjectWrite write;
        write.request = requestFor(row);
        for (const Step &step : row.steps) {
            REQUIRE_FALSE(isFinished(write));
            const ApiCall call = nextCall(write);
            CHECK(call.method == step.method);
            if (call.method == "PUT") {
                CHECK(call.headers.at("If-Match") == row.ifMatch);
                CHECK(startsWithEntry(call.headers.at("X-Change-Id"), "me"));
            }
            handleResponse(write, step.response, step.now);
        }
        CHECK(name(write.outcome) == name(row.outcome));
        CHECK(write.version == row.version);
    }
}

// Guards against a deletion that is sent with a body, or sent for an object that doesn't exist.
TEST_CASE("deletions")
{
    ObjectWrite write;
    write.request = {key, [](const PlatformObject &) { return json(); }, "me", {}, deadline};
    ObjectWrite other = write;
    handleResponse(write, seen(3, "1.b.1"), 0);
    CHECK(nextCall(write).method == "DELETE");
    CHECK(nextCall(write).body.empty());
    handleResponse(other, object(ResponseKind::NotFound, 4, "1.b.1", true), 0);
    CHECK(other.outcome == WriteOutcome::Unchanged);
}

// Guards against change ids that grow without bound, lose the newest entry, or contain text from other programs that isn't
// allowed in an HTTP header.
TEST_CASE("change ids carry the latest changes")
{
    std::string changeId;
    for (int i = 0; i < 20; ++i) {
        changeId = prependEntry(makeChangeEntry(1000 + i, "alice", 7), changeId);
    }
    const auto entries = parseChangeId(changeId);
    REQUIRE(entries.size() == maxChangeEntries);
    CHECK(entries.front().id == "1019.alice.00000007");
    CHECK(entries.front().time == 1019);
    CHECK(entries.front().author == "alice");
    CHECK(containsEntry(changeId, "1012.alice.00000007"));
    CHECK_FALSE(containsEntry(changeId, "1011.alice.00000007"));
    CHECK_FALSE(containsEntry(changeId, "1019.alice.0000000"));
    CHECK(prependEntry("me", "a b\r\nX: y,c") == "me");
    CHECK(parseChangeId("").empty());
    CHECK(parseChangeId("agent-7").front().author.empty());
}

// Guards against server errors that are classified as a rejection although the write may have taken effect.
TEST_CASE("classification of HTTP responses")
{
    struct Class {
        int status;
        const char *body;
        ResponseKind kind;
    };
    const Class classes[] = {
        {200, "{}", ResponseKind::Ok},
        {200, "<html>", ResponseKind::Lost},
        {0, "", ResponseKind::Lost},
        {503, "{}", ResponseKind::Lost},
        {504, "", ResponseKind::Lost},
        {429, "", ResponseKind::Lost},
        {409, "{}", ResponseKind::Conflict},
        {404, "{}", ResponseKind::NotFound},
        {400, R"({"error": "no"})", ResponseKind::Refused},
        {413, "", ResponseKind::Refused},
    };
    for (const Class &it : classes) {
        CAPTURE(it.status);
        HttpResult result;
        result.status = it.status;
        result.body = it.body;
        CHECK(toResponse(result).kind == it.kind);
    }
}
