#include <algorithm>
#include <memory>
#include <set>

#include <unistd.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <libnet/httpserver.h>
#include <libnet/udpsocket.h>
#include <pimentofold-edge/edge.h>
#include <pimentofold-edge/storeclient.h>
#include <testsupport/rununtil.h>

using namespace pimentofold;
using nlohmann::json;
using testsupport::runUntil;

namespace {

constexpr std::uint16_t packetPort = 8172;
// Test programs of two checkouts may run at the same time, so that each process uses a network of its own: 127.160.0.0/22 to
// 127.223.252.0/22.
const std::uint32_t network = 0x7fa00000 + (static_cast<std::uint32_t>(getpid()) % 4096 << 10U);
const Address storeAddress{network + 1, 8169};
const Address closedAddress{network + 2, 8169};
const Address callerAddress{network + 0x301, packetPort};
constexpr Address routeAddress{0xc6120001, 443};
constexpr char synFlag = 2;
constexpr char ackFlag = 8;

void runFor(Time duration)
{
    const Time end = monotonicNow() + duration;
    Timer wake([] {});
    wake.start(duration);
    runUntil([&] { return monotonicNow() >= end; });
}

/// The platform's store: objects with one revision, lists in pages of two, and watches.
class FakeStore
{
public:
    FakeStore()
        : m_tick([this] { answerWatches(); })
        , m_server(
              storeAddress, [this](const HttpRequest &request, const HttpResponder &respond) { handle(request, respond); }, 1'000)
    {
        m_tick.start(5 * millisecond, 5 * millisecond);
    }

    ~FakeStore()
    {
        // The server can't be destroyed with open requests, nor with requests that wait in a socket until its next tick.
        failing = true;
        for (const Watch &it : m_watches) {
            it.respond({503, "application/json", {}, "{}"});
        }
        m_watches.clear();
        constexpr Time serverTick = 200 * millisecond;
        runFor(2 * serverTick);
    }

    FakeStore(const FakeStore &) = delete;
    FakeStore &operator=(const FakeStore &) = delete;

    void put(const std::string &kind, const std::string &name, const json &spec)
    {
        ++m_revision;
        const json object{{"meta", {{"name", name}, {"revision", m_revision}}}, {"spec", spec}};
        m_objects[kind][name] = object;
        m_history.push_back({m_revision, kind, {{"object", object}, {"deleted", false}}});
    }

    void remove(const std::string &kind, const std::string &name)
    {
        ++m_revision;
        m_history.push_back({m_revision, kind, {{"object", m_objects[kind][name]}, {"deleted", true}}});
        m_objects[kind].erase(name);
    }

    /// Forgets the history, so that watches from before get status 410.
    void compact()
    {
        m_history.clear();
        m_historyStart = m_revision;
    }

    /// Adds a route to the service "shop" and a target of it in each data centre.
    void addShop(const std::vector<std::string> &dataCentres)
    {
        put("config", "main", json::parse(R"({"version":1,"routes":[{"name":"r","host":"198.18.0.1","path_prefix":"/443/","type":"safe","service":"shop"}]})"));
        int n = 0;
        for (const std::string &it : dataCentres) {
            ++n;
            put("servers",
                "i-" + std::to_string(n),
                {{"service", "shop"},
                 {"address", toString(Address{network + 0x200 + static_cast<std::uint32_t>(n), 8080})},
                 {"zone", it},
                 {"version", "v1"},
                 {"slots", 100},
                 {"state", "ready"},
                 {"cold_remaining_ms", 0},
                 {"seq", 0},
                 {"born", 1}});
        }
    }

    /// @return number of lists, or of watches, of a kind so far
    int calls(const std::string &kind, bool watches) const
    {
        return static_cast<int>(std::ranges::count(m_calls, std::pair(kind, watches)));
    }

    std::int64_t revision() const
    {
        return m_revision;
    }

    bool failing = false; ///< all calls get status 503
    std::string unknownKind; ///< lists of this kind get status 404

private:
    struct Event {
        std::int64_t revision;
        std::string kind;
        json event;
    };

    struct Watch {
        std::string kind;
        std::int64_t since;
        Time until;
        HttpResponder respond;
    };

    void handle(const HttpRequest &request, const HttpResponder &respond)
    {
        const std::string kind = request.path.substr(std::string_view("/-/objects/").size());
        const bool watches = request.query.contains("watch");
        m_calls.emplace_back(kind, watches);
        if (failing || request.method != "GET" || kind.find('/') != std::string::npos || kind == unknownKind) {
            respond({failing ? 503 : 404, "application/json", {}, "{}"});
        } else if (watches) {
            const Time wait = std::stoll(request.query.at("wait_ms")) * millisecond;
            m_watches.push_back({kind, std::stoll(request.query.at("watch")), monotonicNow() + wait, respond});
            answerWatches();
        } else {
            const auto after = request.query.find("after");
            respond({200, "application/json", {}, page(kind, after == request.query.end() ? "" : after->second).dump()});
        }
    }

    json page(const std::string &kind, const std::string &after)
    {
        constexpr std::size_t pageSize = 2;
        json items = json::array();
        auto it = m_objects[kind].upper_bound(after);
        for (; it != m_objects[kind].end() && items.size() < pageSize; ++it) {
            items.push_back(it->second);
        }
        return {{"items", items}, {"has_more", it != m_objects[kind].end()}, {"store_revision", m_revision}};
    }

    void answerWatches()
    {
        std::vector<Watch> open;
        open.swap(m_watches);
        for (Watch &it : open) {
            json events = json::array();
            for (const Event &event : m_history) {
                if (event.kind == it.kind && event.revision > it.since) {
                    events.push_back(event.event);
                }
            }
            if (it.since < m_historyStart) {
                it.respond({410, "application/json", {}, "{}"});
            } else if (!events.empty() || monotonicNow() >= it.until) {
                it.respond({200, "application/json", {}, json{{"events", events}, {"store_revision", m_revision}}.dump()});
            } else {
                m_watches.push_back(std::move(it));
            }
        }
    }

    std::int64_t m_revision = 1;
    std::int64_t m_historyStart = 0;
    std::map<std::string, std::map<std::string, json>> m_objects;
    std::vector<Event> m_history;
    std::vector<Watch> m_watches;
    std::vector<std::pair<std::string, bool>> m_calls; ///< kind, and whether the call is a watch
    Timer m_tick;
    HttpServer m_server;
};

/// A store client with its table.
struct Reader {
    TargetTable table;
    Random random{1};
    EventLog log;
    StoreClient client{storeAddress, table, random, log, [] {}};

    const std::set<std::string, std::less<>> &evacuated() const
    {
        return table.evacuations.dataCentres;
    }
};

using Names = std::set<std::string, std::less<>>;

EdgeSettings nodeSettings(int n, const Address &store, Time evacuationBound)
{
    EdgeSettings settings;
    const std::uint32_t ip = network + 0x100 + static_cast<std::uint32_t>(n);
    settings.node = "n" + std::to_string(n);
    settings.dataCentre = "a";
    settings.packetAddress = {ip, packetPort};
    settings.readinessAddress = {ip, 8167};
    settings.peerAddress = {ip, 7720};
    settings.seeds = {{network + 0x101, 7720}};
    settings.storeAddress = store;
    settings.evacuationBound = evacuationBound;
    return settings;
}

std::string openingPacket(std::uint16_t port)
{
    std::string bytes(34, '\0');
    const auto write = [&](std::size_t offset, std::uint32_t value, std::size_t width) {
        for (std::size_t i = 0; i < width; ++i) {
            bytes[offset + width - 1 - i] = static_cast<char>(value >> (8U * i) & 0xffU);
        }
    };
    bytes[0] = synFlag;
    write(6, routeAddress.port, 2);
    write(8, routeAddress.ip, 4);
    write(12, callerAddress.ip, 4);
    write(16, port, 2);
    return bytes;
}

/// Targets and callers in front of nodes: counts the opening packets and resets of the flows of the last open().
struct Traffic {
    std::map<int, int> openings; ///< by the target's number
    int resets = 0;
    std::uint16_t lastPort = 1000;
    std::uint16_t firstPort = 1000; ///< of the last open(); earlier flows may be offered again at any time
    std::vector<std::unique_ptr<UdpSocket>> targets;
    UdpSocket caller{callerAddress, [this](std::string_view bytes, const Address &) { resets += isCurrent(bytes, 6) ? 1 : 0; }};

    explicit Traffic(int targetCount)
    {
        for (int n = 1; n <= targetCount; ++n) {
            const auto receive = [this, n](std::string_view bytes, const Address &node) { onTargetPacket(n, bytes, node); };
            targets.push_back(std::make_unique<UdpSocket>(Address{network + 0x200 + static_cast<std::uint32_t>(n), 8080}, receive));
        }
    }

    /// Counts an opening packet at a target, and goes on with the flow as the caller would after the target's answer.
    void onTargetPacket(int target, std::string_view bytes, const Address &node)
    {
        constexpr std::size_t prefixBytes = 8;
        std::string packet(bytes.substr(prefixBytes));
        if (packet[0] != synFlag) {
            return;
        }
        openings[target] += isCurrent(packet, 16) ? 1 : 0;
        packet[0] = ackFlag;
        caller.send(packet, node);
    }

    /// @param portOffset of the caller's port in a packet
    bool isCurrent(std::string_view bytes, std::size_t portOffset) const
    {
        const int port = static_cast<unsigned char>(bytes[portOffset]) << 8 | static_cast<unsigned char>(bytes[portOffset + 1]);
        return port >= firstPort;
    }

    /// Sends an opening packet for each of @p flows new flows to a node, and waits for answers.
    void open(int node, int flows)
    {
        openings = {{1, 0}, {2, 0}};
        resets = 0;
        firstPort = lastPort + 1;
        for (int n = 0; n < flows; ++n) {
            caller.send(openingPacket(++lastPort), {network + 0x100 + static_cast<std::uint32_t>(node), packetPort});
        }
        runFor(40 * millisecond); // below the time after which a flow is offered again
    }

    /// @return whether a node places flows; sends opening packets until it does
    bool placesFlows(int node)
    {
        open(node, 1);
        return openings[1] + openings[2] > 0;
    }
};

EdgeOptions nodeOptions()
{
    EdgeOptions options;
    options.metricsPort = 0;
    return options;
}

} // namespace

// Guards against calls to the store that nobody asked for.
TEST_CASE("without the setting the store isn't asked for evacuations")
{
    FakeStore store;
    store.addShop({"a"});
    store.put("evacuations", "a", json::object());
    Reader reader;
    reader.client.start({});
    runUntil([&] { return reader.client.known().targets > 0 && reader.client.known().config > 0; });
    runFor(100 * millisecond);
    CHECK(store.calls("evacuations", false) + store.calls("evacuations", true) == 0);
    CHECK(reader.table.evacuations == EvacuationState{});
}

// Guards against missing an evacuation on a later page, one of several, or one that is made again at once.
TEST_CASE("evacuations are listed and watched")
{
    FakeStore store;
    for (const std::string name : {"a", "b", "c"}) {
        store.put("evacuations", name, json::object());
    }
    Reader reader;
    reader.client.setEvacuationBound(5 * second);
    reader.client.start({});
    runUntil([&] { return reader.evacuated() == Names{"a", "b", "c"}; });
    store.remove("evacuations", "b");
    runUntil([&] { return reader.evacuated() == Names{"a", "c"}; });
    store.remove("evacuations", "c");
    store.put("evacuations", "c", json::object());
    store.put("evacuations", "elsewhere", json::object());
    runUntil([&] { return reader.evacuated() == Names{"a", "c", "elsewhere"}; });
    CHECK(store.calls("evacuations", false) == 2);
    const StoreRevision before = reader.table.evacuations.revision;
    store.put("other", "x", json::object());
    runUntil([&] { return reader.table.evacuations.revision > before; }); // at the end of a watch without changes
    CHECK(store.calls("evacuations", true) <= 5);
}

// Guards against an evacuation that was withdrawn or requested while the store forgot its history.
TEST_CASE("evacuations are listed again when the store's history is gone")
{
    FakeStore store;
    store.put("evacuations", "a", json::object());
    Reader reader;
    reader.client.setEvacuationBound(5 * second);
    reader.client.start({});
    runUntil([&] { return reader.evacuated() == Names{"a"}; });
    store.remove("evacuations", "a");
    store.put("evacuations", "b", json::object());
    store.compact();
    runUntil([&] { return reader.evacuated() == Names{"b"}; });
}

// Guards against a new leader that lists again, or that takes an older state than the one it knows.
TEST_CASE("a new leader watches from the revision that it knows")
{
    FakeStore store;
    store.put("evacuations", "a", json::object());
    const std::int64_t known = store.revision();
    store.remove("evacuations", "a");
    store.put("evacuations", "b", json::object());
    Reader reader;
    reader.client.setEvacuationBound(5 * second);
    reader.table.evacuations = {known, {"a", "b"}};
    reader.client.start({0, 0, known});
    runUntil([&] { return reader.table.evacuations.revision == store.revision(); });
    CHECK(reader.evacuated() == Names{"b"});
    CHECK(store.calls("evacuations", false) == 0);
}

// Guards against a list that was in flight when this node heard from a peer: it doesn't show what was withdrawn since.
TEST_CASE("a list that a peer's state has overtaken isn't taken for a watch")
{
    FakeStore store;
    store.put("evacuations", "a", json::object());
    const std::int64_t known = store.revision();
    store.remove("evacuations", "a");
    store.put("evacuations", "b", json::object());
    Reader reader;
    reader.client.setEvacuationBound(5 * second);
    reader.client.start({}); // the list is in flight
    reader.client.stop();
    reader.table.evacuations = {known, {"a"}};
    reader.client.start({0, 0, known});
    runUntil([&] { return reader.table.evacuations.revision == store.revision(); });
    CHECK(reader.evacuated() == Names{"b"});
}

// Guards against nodes that wait at each start for a kind that the store doesn't know yet.
TEST_CASE("a store that doesn't know the kind has no evacuations")
{
    FakeStore store;
    store.unknownKind = "evacuations";
    Reader reader;
    reader.client.setEvacuationBound(5 * second);
    reader.client.start({});
    runUntil([&] { return reader.table.evacuations.revision > 0; });
    CHECK(reader.evacuated().empty());
    store.unknownKind.clear();
    store.put("evacuations", "a", json::object());
    runUntil([&] { return reader.evacuated() == Names{"a"}; });
}

// Guards against losing the last known state, and against a node that never recovers from an outage.
TEST_CASE("the last known evacuations hold while the store is away")
{
    FakeStore store;
    store.failing = true;
    Reader reader;
    reader.client.setEvacuationBound(5 * second);
    reader.client.start({});
    runUntil([&] { return store.calls("evacuations", false) >= 2; });
    CHECK(reader.table.evacuations.revision == 0);
    store.put("evacuations", "a", json::object());
    store.failing = false;
    runUntil([&] { return reader.evacuated() == Names{"a"}; });
    store.failing = true;
    const int calls = store.calls("evacuations", true);
    runUntil([&] { return store.calls("evacuations", true) >= calls + 2; });
    CHECK(reader.evacuated() == Names{"a"});
    runUntil([&] { return reader.client.health() == StoreHealth::Failing; });
    CHECK(reader.evacuated() == Names{"a"});
    reader.client.setEvacuationBound(0);
    CHECK(reader.evacuated().empty());
}

// Guards against a node that starts and places flows in an evacuated data centre because it can't reach the store itself, and
// against callers that get no refusal when the dispatcher is another node.
TEST_CASE("a node hears of evacuations from its neighbours only")
{
    FakeStore store;
    store.addShop({"a", "b"});
    store.put("evacuations", "a", json::object());
    Traffic traffic(2);
    auto leader = std::make_unique<Edge>(nodeSettings(1, storeAddress, 5 * second), nodeOptions());
    runUntil([&] { return traffic.placesFlows(1); });
    CHECK(traffic.openings[1] == 0);
    Edge neighbour(nodeSettings(2, closedAddress, 5 * second), nodeOptions());
    runUntil([&] {
        const bool places = traffic.placesFlows(2);
        CHECK(traffic.openings[1] == 0);
        return places;
    });
    struct Row {
        bool evacuatedA;
        bool evacuatedB;
    };
    const Row rows[] = {{true, true}, {false, true}, {true, true}, {true, false}, {false, false}};
    Row current{true, false};
    for (const Row &row : rows) {
        if (row.evacuatedA != current.evacuatedA) {
            row.evacuatedA ? store.put("evacuations", "a", json::object()) : store.remove("evacuations", "a");
        }
        if (row.evacuatedB != current.evacuatedB) {
            row.evacuatedB ? store.put("evacuations", "b", json::object()) : store.remove("evacuations", "b");
        }
        current = row;
        for (const int node : {1, 2}) {
            CAPTURE(node);
            runUntil([&] {
                traffic.open(node, 10);
                const bool placed = (traffic.openings[1] == 0) == row.evacuatedA && (traffic.openings[2] == 0) == row.evacuatedB;
                return placed && traffic.resets == (row.evacuatedA && row.evacuatedB ? 10 : 0);
            });
        }
    }
    // The neighbour alone, without a leader and a dispatcher to rely on.
    store.put("evacuations", "a", json::object());
    runUntil([&] {
        traffic.open(2, 10);
        return traffic.openings[1] == 0;
    });
    leader.reset();
    runUntil([&] {
        traffic.open(2, 10);
        CHECK(traffic.openings[1] == 0);
        return traffic.openings[2] == 10;
    });
}

// Guards against an evacuation that is lost when the leader goes at the same time.
TEST_CASE("an evacuation comes into force when the leader is handed over")
{
    constexpr Time bound = 5 * second;
    for (const bool ends : {false, true}) {
        FakeStore store;
        store.addShop({"a", "b"});
        store.put("evacuations", "b", json::object());
        Traffic traffic(2);
        auto leader = std::make_unique<Edge>(nodeSettings(1, storeAddress, bound), nodeOptions());
        runUntil([&] { return traffic.placesFlows(1); });
        Edge successor(nodeSettings(2, storeAddress, bound), nodeOptions());
        runUntil([&] { return traffic.placesFlows(2); });
        runFor(500 * millisecond);
        const int lists = store.calls("evacuations", false);
        leader.reset();
        store.put("evacuations", "a", json::object());
        if (ends) {
            store.remove("evacuations", "b");
        }
        runUntil([&] {
            traffic.open(2, 4);
            return traffic.openings[1] == 0 && (ends ? traffic.openings[2] > 0 : traffic.resets > 0);
        });
        CHECK(store.calls("evacuations", false) == lists);
    }
}

// Guards against a node that waits for ever for a state that no neighbour has, and against one that takes over a state that its
// deployment doesn't ask for.
TEST_CASE("nodes with and without evacuations are neighbours")
{
    for (const bool neighbourEnabled : {true, false}) {
        FakeStore store;
        store.addShop({"a", "b"});
        store.put("evacuations", "a", json::object());
        Traffic traffic(2);
        Edge leader(nodeSettings(1, storeAddress, neighbourEnabled ? 0 : 5 * second), nodeOptions());
        runUntil([&] { return traffic.placesFlows(1); });
        const Time start = monotonicNow();
        Edge neighbour(nodeSettings(2, closedAddress, neighbourEnabled ? 5 * second : 0), nodeOptions());
        runUntil([&] { return traffic.placesFlows(2); });
        if (!neighbourEnabled) {
            // The neighbour would place the flows itself; that they are refused shows that the dispatcher's refusal has arrived.
            store.put("evacuations", "b", json::object());
            runUntil([&] {
                traffic.open(2, 10);
                return traffic.resets == 10;
            });
        } else {
            CHECK(monotonicNow() - start >= EvacuationWait::maxWait);
            // The leader, which the setting doesn't concern, uses both data centres.
            runUntil([&] {
                traffic.open(1, 10);
                return traffic.openings[1] > 0 && traffic.openings[2] > 0;
            });
        }
    }
}
