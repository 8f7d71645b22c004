#include <pimentofold/ingress.h>

#include <array>
#include <vector>

#include <pimentofold/random.h>

#include <doctest/doctest.h>

using namespace pimentofold;

namespace {

constexpr Time cost = 50 * microsecond;
constexpr Time length = 10 * second;

/// Datagrams of one service and the share of the gate's time that it is expected to get.
struct Stream {
    IngressPolicy policy;
    double offered; ///< time a second that its datagrams would take
    double least;
    double most;
};

/// @return the share of the time that each stream got
std::vector<double> runStreams(const std::vector<Stream> &streams, std::uint64_t seed)
{
    IngressLimiter gate;
    Random random{seed};
    std::vector<IngressPolicy> policies;
    double total = 0;
    for (const Stream &it : streams) {
        policies.push_back(it.policy);
        total += it.offered;
    }
    setIngressPolicies(gate, policies, 0);
    for (double now = 0; now < static_cast<double>(length); now += exponential(random, static_cast<double>(cost) / total)) {
        double drawn = unit(random) * total;
        std::size_t index = 0;
        while (index + 1 < streams.size() && drawn >= streams[index].offered) {
            drawn -= streams[index++].offered;
        }
        if (passDatagram(gate, streams[index].policy.service, static_cast<Time>(now))) {
            chargeDatagram(gate, streams[index].policy.service, cost);
        }
    }
    std::vector<double> shares;
    for (const IngressService &it : gate.services) {
        shares.push_back(static_cast<double>(it.passed * cost) / (static_cast<double>(length) * gate.settings.utilisation));
    }
    return shares;
}

} // namespace

// Guards against a flood of one service that takes the instance's time from the others, and against time that stays
// unused although a service asks for it.
TEST_CASE("a saturated instance drops the least urgent service first and keeps floors, ceilings and teams")
{
    struct Row {
        const char *name;
        std::vector<Stream> streams;
    };
    const std::array<Row, 5> rows{{
        {"least urgent floods", {{{1, 1, 0, 0.2, 1}, 0.4, 0.49, 0.51}, {{2, 1, 1, 0.1, 1}, 20, 0.48, 0.52}}},
        {"most urgent floods", {{{1, 1, 0, 0.2, 1}, 20, 0.88, 0.91}, {{2, 1, 1, 0.1, 1}, 2, 0.09, 0.12}}},
        {"unused floor is lent", {{{1, 1, 0, 0.6, 1}, 0.004, 0.0045, 0.006}, {{2, 1, 1, 0.1, 1}, 20, 0.97, 1.01}}},
        {"ceiling holds while idle", {{{1, 1, 0, 0.2, 1}, 0.004, 0.0045, 0.006}, {{2, 1, 1, 0.1, 0.3}, 20, 0.29, 0.31}}},
        {"teams keep their parts", {{{1, 1, 5, 0, 1}, 0.36, 0.44, 0.46}, {{2, 2, 0, 0.9, 1}, 20, 0.49, 0.51}}},
    }};
    for (const Row &row : rows) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            CAPTURE(row.name);
            CAPTURE(seed);
            const std::vector<double> shares = runStreams(row.streams, seed);
            for (std::size_t i = 0; i < shares.size(); ++i) {
                CAPTURE(i);
                CHECK(shares[i] >= row.streams[i].least);
                CHECK(shares[i] <= row.streams[i].most);
            }
        }
    }
}

// Guards against a check that can't fail: without floors and urgency the flood takes nearly all of the time.
TEST_CASE("equal urgency without floors lets a flood crowd out the other service")
{
    const std::vector<double> shares = runStreams({{{1, 1, 0, 0, 1}, 0.4, 0, 0}, {{2, 1, 0, 0, 1}, 20, 0, 0}}, 1);
    CHECK(shares[0] < 0.1);
}

// Guards against follow-up work, such as answers, that isn't counted against the service that caused it.
TEST_CASE("time charged later raises the expected cost of a datagram")
{
    IngressLimiter gate;
    setIngressPolicies(gate, std::array<IngressPolicy, 1>{{{1, 1, 0, 0.5, 1}}}, 0);
    for (int i = 1; i <= 200; ++i) {
        passDatagram(gate, 1, i * millisecond);
        chargeDatagram(gate, 1, 40);
        chargeFollowUp(gate, 1, 60);
    }
    CHECK(gate.services[0].meanCost == doctest::Approx(100).epsilon(0.02));
}

// Guards against a view update that forgets costs, or lets datagrams of unknown services count.
TEST_CASE("costs survive a new view and unknown services pass")
{
    IngressLimiter gate;
    const std::array<IngressPolicy, 2> policies{{{1, 1, 0, 0.5, 1}, {2, 1, 1, 0.9, 1}}};
    setIngressPolicies(gate, policies, 0);
    CHECK(gate.services[0].policy.floorShare + gate.services[1].policy.floorShare == doctest::Approx(1));
    passDatagram(gate, 1, 0);
    chargeDatagram(gate, 1, 1000);
    const double known = gate.services[0].meanCost;
    setIngressPolicies(gate, policies, second);
    CHECK(gate.services[0].meanCost == known);
    CHECK(passDatagram(gate, 99, second));
}

// Guards against a relay limit that isn't kept, or that stays after the overload is over.
TEST_CASE("a relay limit is kept while valid and ends by itself")
{
    RelayLimit limit;
    CHECK(passRelayedRequest(limit, 0, 0));
    setRelayLimit(limit, 100, 0);
    int passed = 0;
    for (Time now = 0; now < second; now += millisecond) {
        passed += passRelayedRequest(limit, 1, now) ? 1 : 0;
    }
    CHECK(passed == doctest::Approx(100).epsilon(0.02));
    passed = 0;
    for (Time now = second; now < 2 * second; now += millisecond) {
        passed += passRelayedRequest(limit, 1, now) ? 1 : 0;
    }
    CHECK(passed == 1000);
}

// Guards against callers at the end of their patience that hold up new ones after a flood.
TEST_CASE("a relay limit holds back requests with little time left first")
{
    RelayLimit limit;
    setRelayLimit(limit, 100, 0);
    int fresh = 0;
    int old = 0;
    for (Time now = 0; now < second; now += millisecond) {
        old += passRelayedRequest(limit, 0.1, now) ? 1 : 0;
        old += passRelayedRequest(limit, 0.3, now) ? 1 : 0;
        fresh += now % (20 * millisecond) == 0 && passRelayedRequest(limit, 1, now) ? 1 : 0;
    }
    CHECK(fresh >= 49);
    CHECK(old == doctest::Approx(50).epsilon(0.1));
}
