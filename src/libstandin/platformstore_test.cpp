#include <libstandin/platformstore.h>

#include <doctest/doctest.h>

using namespace pimentofold;
using namespace pimentofold::standin;

namespace {

StoredObject change(const std::string &value, bool deleted = false)
{
    return {"team", "shop", 0, deleted, value, "id", 0};
}

} // namespace

// Guards against lost updates of two operators, and against versions that step back after a deletion.
TEST_CASE("writes are conditional and versions grow across deletions")
{
    struct Step {
        StoredObject object;
        std::int64_t expected;
        WriteStatus status;
        std::int64_t version;
    };
    const std::vector<Step> steps{{change("1"), 1, WriteStatus::Conflict, 0},
                                  {change("", true), 0, WriteStatus::Conflict, 0},
                                  {change("1"), 0, WriteStatus::Written, 1},
                                  {change("2"), 0, WriteStatus::Conflict, 1},
                                  {change("2"), 1, WriteStatus::Written, 2},
                                  {change("", true), 2, WriteStatus::Written, 3},
                                  {change("", true), 3, WriteStatus::Conflict, 3},
                                  {change("4"), 0, WriteStatus::Written, 4},
                                  {change(std::string(maxValueBytes + 1, ' ')), 4, WriteStatus::TooLarge, 0}};
    PlatformStore store;
    for (const Step &it : steps) {
        const WriteResult result = writeObject(store, it.object, it.expected);
        CHECK(result.status == it.status);
        CHECK(result.current.version == it.version);
    }
    CHECK(store.revision == 4);
    CHECK(objectsSince(store, 3, 4).size() == 1);
    CHECK(objectsSince(store, 4, 4).empty());
    CHECK(readObject(store, {"team", "shop"}, 3).deleted);
}

// Guards against a stand-in whose instance list shows changes at once, which would hide faults in its readers.
TEST_CASE("the instance list lags")
{
    PlatformStore store;
    store.faults.listLag = 2 * second;
    changeInstance(store, "t1", {0, true, "a"});
    CHECK(listInstances(store, second).empty());
    changeInstance(store, "t1", {3 * second, true, "b"});
    CHECK(listInstances(store, 4 * second).front().second == "a");
    changeInstance(store, "t1", {5 * second, false, ""});
    CHECK(listInstances(store, 6 * second).front().second == "b");
    CHECK(listInstances(store, 7 * second).empty());
}
