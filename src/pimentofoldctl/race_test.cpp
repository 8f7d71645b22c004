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

/// Probabilities of the faults of the simulated platform.
struct FaultRates {
    double lostBeforeEffect = 0; ///< a write is lost and never takes effect
    double lostAfterEffect = 0; ///< a write takes effect and its response is lost
    double delayed = 0; ///< the response is lost and the write takes effect later
    double lostRead = 0; ///< the response to a read is lost
    double staleRead = 0; ///< a read returns an older state
    double otherProgram = 0; ///< another program writes the object, with a change id that isn't an entry of pimentofoldctl
    int operators = 2;
};

/// A write as received by the platform.
struct SentWrite {
    standin::StoredObject change;
    std::int64_t expected = 0;
};

struct Simulation {
    standin::PlatformStore store;
    Random random;
    FaultRates rates;
    std::list<SentWrite> delayed; ///< writes that take effect later
    std::vector<standin::StoredObject> writtenVersions; ///< all versions in the order in which they were written
};

json toBody(const standin::StoredObject &object)
{
    return {{"version", object.version},
            {"deleted", object.deleted},
            {"value", object.deleted ? json() : json::parse(object.value)},
            {"changeId", object.changeId}};
}

ApiResponse applyWrite(Simulation &simulation, const SentWrite &write)
{
    const standin::WriteResult result = standin::writeObject(simulation.store, write.change, write.expected);
    if (result.status != standin::WriteStatus::Written) {
        return {ResponseKind::Conflict, toBody(result.current), ""};
    }
    simulation.writtenVersions.push_back(result.current);
    return {ResponseKind::Ok, toBody(result.current), ""};
}

ApiResponse respondToWrite(Simulation &simulation, const ApiCall &call)
{
    const bool deletes = call.method == "DELETE";
    SentWrite write{{key.kind, key.name, 0, deletes, call.body, call.headers.at("X-Change-Id"), 0}, std::stoll(call.headers.at("If-Match"))};
    if (chance(simulation.random, simulation.rates.lostBeforeEffect)) {
        return {};
    }
    if (chance(simulation.random, simulation.rates.delayed)) {
        simulation.delayed.push_back(std::move(write));
        return {};
    }
    ApiResponse response = applyWrite(simulation, write);
    return chance(simulation.random, simulation.rates.lostAfterEffect) ? ApiResponse() : response;
}

ApiResponse respondToRead(Simulation &simulation)
{
    if (chance(simulation.random, simulation.rates.lostRead)) {
        return {};
    }
    const standin::StoredObject object = standin::readObject(simulation.store, storeName, standin::readRevision(simulation.store, simulation.random));
    if (object.version == 0) {
        return {ResponseKind::NotFound, {}, ""};
    }
    return {object.deleted ? ResponseKind::NotFound : ResponseKind::Ok, toBody(object), ""};
}

void deliverDelayedWrite(Simulation &simulation)
{
    auto it = std::next(simulation.delayed.begin(), static_cast<std::ptrdiff_t>(below(simulation.random, simulation.delayed.size())));
    const SentWrite write = *it;
    simulation.delayed.erase(it);
    applyWrite(simulation, write);
}

void writeFromOtherProgram(Simulation &simulation)
{
    const standin::StoredObject present = standin::readObject(simulation.store, storeName, simulation.store.revision);
    applyWrite(simulation, {{key.kind, key.name, 0, false, R"({"n": 1000000})", "agent", 0}, present.version});
}

/// Creates a write that adds 1 to a number or, with probability 0.1, deletes the object. A recreated object starts at 0.
ObjectWrite newWrite(Simulation &simulation, int step)
{
    const bool deletes = chance(simulation.random, 0.1);
    ObjectWrite write;
    write.request = {key,
                     [deletes](const PlatformObject &base) {
                         return deletes ? json() : json{{"n", isPresent(base) ? base.value.value("n", 0) + 1 : 0}};
                     },
                     makeChangeEntry(step, "operator", static_cast<std::uint32_t>(next(simulation.random))),
                     {},
                     step + 5 + static_cast<Time>(below(simulation.random, 60))};
    return write;
}

std::vector<standin::StoredObject> versionsOf(const Simulation &simulation, const std::string &entry)
{
    std::vector<standin::StoredObject> versions;
    for (const standin::StoredObject &it : simulation.writtenVersions) {
        if (startsWithEntry(it.changeId, entry)) {
            versions.push_back(it);
        }
    }
    return versions;
}

/// Checks the reported outcome of a write against the versions that the platform stored.
void checkOutcome(const Simulation &simulation, const ObjectWrite &write)
{
    const auto versions = versionsOf(simulation, write.request.entry);
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

/// Checks that each version was derived from the version before it, so that no operator's change was lost.
void checkNoLostUpdates(const Simulation &simulation)
{
    for (std::size_t i = 1; i < simulation.writtenVersions.size(); ++i) {
        const standin::StoredObject &before = simulation.writtenVersions[i - 1];
        const standin::StoredObject &after = simulation.writtenVersions[i];
        CHECK(after.version == before.version + 1);
        if (!after.deleted && after.changeId != "agent") {
            CHECK(json::parse(after.value)["n"] == (before.deleted ? 0 : json::parse(before.value)["n"].get<int>() + 1));
        }
    }
}

std::map<WriteOutcome, int> race(std::uint64_t seed, const FaultRates &rates)
{
    Simulation simulation{{}, Random{seed}, rates, {}, {}};
    simulation.store.faults.staleReads = rates.staleRead;
    applyWrite(simulation, {{key.kind, key.name, 0, false, R"({"n": 0})", "first", 0}, 0});
    std::vector<ObjectWrite> operators(static_cast<std::size_t>(rates.operators));
    std::vector<ObjectWrite> finished;
    for (ObjectWrite &it : operators) {
        it = newWrite(simulation, 0);
    }
    for (int step = 1; step <= 2000; ++step) {
        ObjectWrite &write = operators[below(simulation.random, operators.size())];
        const ApiCall call = nextCall(write);
        handleResponse(write, call.method == "GET" ? respondToRead(simulation) : respondToWrite(simulation, call), step);
        if (isFinished(write)) {
            finished.push_back(write);
            write = newWrite(simulation, step);
        }
        if (!simulation.delayed.empty() && chance(simulation.random, 0.1)) {
            deliverDelayedWrite(simulation);
        }
        if (chance(simulation.random, rates.otherProgram)) {
            writeFromOtherProgram(simulation);
        }
    }
    while (!simulation.delayed.empty()) {
        deliverDelayedWrite(simulation);
    }
    std::map<WriteOutcome, int> counts;
    for (const ObjectWrite &it : finished) {
        checkOutcome(simulation, it);
        ++counts[it.outcome];
    }
    checkNoLostUpdates(simulation);
    return counts;
}

} // namespace

// Guards against writes that take effect twice, are reported with a wrong outcome or are lost when several operators write
// the same object while the platform loses requests and responses, delays writes and serves stale reads.
TEST_CASE("concurrent writes with lost responses")
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
    // Without enough samples of every outcome, the checks above would prove nothing.
    for (const WriteOutcome it : {WriteOutcome::Written, WriteOutcome::Conflict, WriteOutcome::NotWritten, WriteOutcome::Unknown}) {
        CAPTURE(name(it));
        CHECK(total[it] > 20);
    }
}
