#include <array>
#include <list>
#include <map>

#include <doctest/doctest.h>

#include <libstandin/platformstore.h>
#include <pimentofoldctl/changeid.h>
#include <pimentofoldctl/objectwrite.h>

using namespace pimentofold;
using namespace pimentofold::ctl;
using nlohmann::json;

namespace {

const ObjectKey key{"team", "shop"};
const standin::ObjectName storeName{"team", "shop"};

/// How often the platform misbehaves.
struct FaultRates {
    double lostBefore = 0; ///< a write is lost before it takes effect
    double lostAfter = 0; ///< the answer to a write is lost
    double late = 0; ///< the answer is lost and the write takes effect later
    double lostRead = 0;
    double stale = 0;
    double foreign = 0; ///< another program writes an id of its own
    int operators = 2;
};

/// A write on its way, as the platform gets it.
struct SentWrite {
    standin::StoredObject change;
    std::int64_t expected = 0;
};

struct World {
    standin::PlatformStore store;
    Random random;
    FaultRates rates;
    std::list<SentWrite> late;
    std::vector<standin::StoredObject> log; ///< every version that was written
};

json bodyOf(const standin::StoredObject &object)
{
    return {{"version", object.version},
            {"deleted", object.deleted},
            {"value", object.deleted ? json() : json::parse(object.value)},
            {"changeId", object.changeId}};
}

ApiAnswer carryOut(World &world, const SentWrite &write)
{
    const standin::WriteResult result = standin::writeObject(world.store, write.change, write.expected);
    if (result.status != standin::WriteStatus::Written) {
        return {AnswerKind::Conflict, bodyOf(result.current), ""};
    }
    world.log.push_back(result.current);
    return {AnswerKind::Ok, bodyOf(result.current), ""};
}

ApiAnswer answerWrite(World &world, const ApiCall &call)
{
    const bool deletes = call.method == "DELETE";
    SentWrite write{{key.kind, key.name, 0, deletes, call.body, call.headers.at("X-Change-Id"), 0}, std::stoll(call.headers.at("If-Match"))};
    if (chance(world.random, world.rates.lostBefore)) {
        return {};
    }
    if (chance(world.random, world.rates.late)) {
        world.late.push_back(std::move(write));
        return {};
    }
    ApiAnswer answer = carryOut(world, write);
    return chance(world.random, world.rates.lostAfter) ? ApiAnswer() : answer;
}

ApiAnswer answerRead(World &world)
{
    if (chance(world.random, world.rates.lostRead)) {
        return {};
    }
    const standin::StoredObject object = standin::readObject(world.store, storeName, standin::readRevision(world.store, world.random));
    if (object.version == 0) {
        return {AnswerKind::NotFound, {}, ""};
    }
    return {object.deleted ? AnswerKind::NotFound : AnswerKind::Ok, bodyOf(object), ""};
}

void deliverLate(World &world)
{
    auto it = std::next(world.late.begin(), static_cast<std::ptrdiff_t>(below(world.random, world.late.size())));
    const SentWrite write = *it;
    world.late.erase(it);
    carryOut(world, write);
}

void writeForeign(World &world)
{
    const standin::StoredObject present = standin::readObject(world.store, storeName, world.store.revision);
    carryOut(world, {{key.kind, key.name, 0, false, R"({"n": 1000000})", "agent", 0}, present.version});
}

/// Each operator adds 1 to a number; some delete the object, which starts over at 0.
ObjectWrite newWrite(World &world, int step)
{
    const bool deletes = chance(world.random, 0.1);
    ObjectWrite write;
    write.request = {key,
                     [deletes](const PlatformObject &base) {
                         return deletes ? json() : json{{"n", isPresent(base) ? base.value.value("n", 0) + 1 : 0}};
                     },
                     makeChangeEntry(step, "operator", static_cast<std::uint32_t>(next(world.random))),
                     {},
                     step + 5 + static_cast<Time>(below(world.random, 60))};
    return write;
}

std::vector<standin::StoredObject> versionsOf(const World &world, const std::string &entry)
{
    std::vector<standin::StoredObject> versions;
    for (const standin::StoredObject &it : world.log) {
        if (chainStartsWith(it.changeId, entry)) {
            versions.push_back(it);
        }
    }
    return versions;
}

/// Checks what the operator was told against what the platform did.
void checkOutcome(const World &world, const ObjectWrite &write)
{
    const auto versions = versionsOf(world, write.request.entry);
    CAPTURE(write.request.entry);
    CAPTURE(name(write.outcome));
    CHECK(versions.size() <= 1);
    switch (write.outcome) {
    case WriteOutcome::Written:
        REQUIRE(versions.size() == 1);
        CHECK((write.version == 0 || write.version == versions.front().version));
        CHECK(versions.front().deleted == write.value.is_null());
        break;
    case WriteOutcome::Unknown:
        CHECK(write.mayHaveTakenEffect);
        break;
    default:
        CHECK(versions.empty());
    }
}

/// Checks that each version was made from the one before it, so that no operator's change was overwritten unseen.
void checkNothingLost(const World &world)
{
    for (std::size_t i = 1; i < world.log.size(); ++i) {
        const standin::StoredObject &before = world.log[i - 1];
        const standin::StoredObject &after = world.log[i];
        CHECK(after.version == before.version + 1);
        if (!after.deleted && after.changeId != "agent") {
            CHECK(json::parse(after.value)["n"] == (before.deleted ? 0 : json::parse(before.value)["n"].get<int>() + 1));
        }
    }
}

std::map<WriteOutcome, int> race(std::uint64_t seed, const FaultRates &rates)
{
    World world{{}, Random{seed}, rates, {}, {}};
    world.store.faults.staleReads = rates.stale;
    carryOut(world, {{key.kind, key.name, 0, false, R"({"n": 0})", "first", 0}, 0});
    std::vector<ObjectWrite> operators(static_cast<std::size_t>(rates.operators));
    std::vector<ObjectWrite> finished;
    for (ObjectWrite &it : operators) {
        it = newWrite(world, 0);
    }
    for (int step = 1; step <= 2000; ++step) {
        ObjectWrite &write = operators[below(world.random, operators.size())];
        const ApiCall call = nextCall(write);
        acceptAnswer(write, call.method == "GET" ? answerRead(world) : answerWrite(world, call), step);
        if (isFinished(write)) {
            finished.push_back(write);
            write = newWrite(world, step);
        }
        if (!world.late.empty() && chance(world.random, 0.1)) {
            deliverLate(world);
        }
        if (chance(world.random, rates.foreign)) {
            writeForeign(world);
        }
    }
    while (!world.late.empty()) {
        deliverLate(world);
    }
    std::map<WriteOutcome, int> counts;
    for (const ObjectWrite &it : finished) {
        checkOutcome(world, it);
        ++counts[it.outcome];
    }
    checkNothingLost(world);
    return counts;
}

} // namespace

// Guards against a change that is applied twice, reported wrongly or overwritten unseen when operators race and the
// platform loses, delays or repeats answers.
TEST_CASE("operators race with lost answers")
{
    const FaultRates cases[] = {
        {},
        {0.1, 0.2, 0, 0.1, 0, 0, 2},
        {0.2, 0.2, 0.2, 0.2, 0.2, 0, 2},
        {0.2, 0.2, 0.2, 0.2, 0.2, 0.02, 2},
        {0.3, 0.3, 0.3, 0.3, 0.3, 0.05, 5},
    };
    std::map<WriteOutcome, int> total;
    for (const FaultRates &rates : cases) {
        for (std::uint64_t seed = 1; seed <= 25; ++seed) {
            CAPTURE(seed);
            CAPTURE(&rates - &cases[0]);
            for (const auto &[outcome, n] : race(seed, rates)) {
                total[outcome] += n;
            }
        }
    }
    // The check is worth something only if every outcome occurs.
    for (const WriteOutcome it : {WriteOutcome::Written, WriteOutcome::Conflict, WriteOutcome::NotWritten, WriteOutcome::Unknown}) {
        CAPTURE(name(it));
        CHECK(total[it] > 20);
    }
}
