#include <fstream>
#include <string>

#include <doctest/doctest.h>

#include <pimentofold/json/jsonsplit.h>
#include <pimentofold/random.h>
#include <pimentofold/settings.h>
#include <platform/configstream.h>
#include <platform/packetcodec.h>
#include <platform/settingslines.h>
#include <platform/storecalls.h>

using namespace pimentofold;
using namespace pimentofold::platform;

namespace {

std::string bytesOf(std::initializer_list<int> numbers)
{
    std::string bytes;
    for (const int it : numbers) {
        bytes += static_cast<char>(it);
    }
    return bytes;
}

// An opening packet from 100.64.0.7:40001 to 198.18.0.1:443.
const std::string opening = bytesOf({0x02, 0,    0,    0,    0,    0,    0x01, 0xbb, 0xc6, 0x12, 0x00, 0x01, 0x64, 0x40, 0x00, 0x07, 0x9c,
                                     0x41, 0x00, 0x00, 0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00});

const std::string target = R"({"meta":{"name":"i-7f3a91c2","revision":41},"spec":{"service":"huvo11a","address":"10.128.0.9:8080",)"
                           R"("zone":"attica-a","version":"v1","slots":3,"state":"ready","cold_remaining_ms":250,"seq":4,"born":1700}})";

const std::string config = R"({"meta":{"name":"main","revision":9},"spec":{"version":7,"routes":[)"
                           R"({"name":"a","host":"198.18.0.1","path_prefix":"/8443/","type":"safe","aim_ms":200,"timeout_ms":2000,"priority":2,)"
                           R"("backends":[{"service":"x","weight":90},{"service":"y","weight":10},{"service":"z","weight":0}],"max_attempts":2},)"
                           R"({"name":"b","host":"198.18.0.2","path_prefix":"/80/","type":"unsafe","service":"x"}],"limits":{"idle_timeout_ms":15000}}})";

// The smallest instances have 56 MB, of which a node with a large configuration uses most.
constexpr std::size_t maxDecodingBytes = 10 << 20;

/// @param field of the process's memory, as the kernel names it
std::size_t memoryBytes(const std::string &field)
{
    std::ifstream status("/proc/self/status");
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with(field + ":")) {
            return std::stoul(line.substr(field.size() + 1)) * 1024;
        }
    }
    FAIL("no field " << field);
    return 0;
}

/// @return the memory that the process uses now, from which memoryBytes("VmHWM") counts its peak
std::size_t restartPeak()
{
    std::ofstream("/proc/self/clear_refs") << 5;
    return memoryBytes("VmRSS");
}

std::string list(const std::string &items)
{
    return R"({"items":[)" + items + R"(],"has_more":false,"store_revision":50})";
}

const std::string settingsText =
    "node=n1\nzone=attica-a\nzones.attica-a=gr\nzones.attica-b=gr\nlisten.packets=10.1.0.10:8172\nlisten.readiness=10.1.0.10:8167\n"
    "port_range=7720,7735\nseeds=10.1.0.10:8166,10.2.0.40:8166\nplatform.address=10.200.1.7:8169\nbounds.drain_ms=2500\nbounds.grace_s=6\n"
    "something.new=x\n";

} // namespace

TEST_CASE("callers' packets are decoded and encoded")
{
    const std::optional<FlowPacket> packet = decodePacket(opening);
    REQUIRE(packet);
    CHECK(packet->opens);
    CHECK(toString(packet->flow.caller) == "100.64.0.7:40001");
    CHECK(toString(packet->flow.service) == "198.18.0.1:443");
    CHECK(packet->token == 0);
    CHECK(packet->openingAge == 0);
    std::string retransmission = opening;
    retransmission[33] = 2;
    CHECK(decodePacket(retransmission)->openingAge == 600 * millisecond);

    std::string forwarded = encodeForwarded({{}, 0x7f3a91c2, 0xdeadbeef, opening});
    CHECK(forwarded.substr(0, 8) == bytesOf({0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2}));
    // Only the token may differ from the caller's packet.
    CHECK(forwarded.substr(8 + 18, 4) == bytesOf({0xde, 0xad, 0xbe, 0xef}));
    forwarded.replace(8 + 18, 4, std::string(4, '\0'));
    CHECK(forwarded.substr(8) == opening);

    const std::string reset = bytesOf(
        {0x10, 0, 0, 0, 0, 0, 0x9c, 0x41, 0x64, 0x40, 0x00, 0x07, 0xc6, 0x12, 0x00, 0x01, 0x01, 0xbb, 0x00, 0x00, 0x00, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0});
    CHECK(encodeReset({packet->flow, 0}) == reset);
}

// Guards against datagrams that crash the process, and against forwarding datagrams that are no packets of a caller.
TEST_CASE("invalid datagrams are not decoded")
{
    std::string answer = opening;
    answer[0] = 0x0a;
    std::string wrongLength = opening;
    wrongLength[5] = 1;
    const std::string rows[] = {"", "x", opening.substr(0, 33), opening + "x", wrongLength, std::string(2000, '\0'), answer};
    for (const std::string &row : rows) {
        CHECK_FALSE(decodePacket(row));
    }
    Random random{20'261'204};
    for (int n = 0; n < 20'000; ++n) {
        std::string bytes(below(random, 1300), '\0');
        for (char &it : bytes) {
            it = static_cast<char>(next(random));
        }
        const std::optional<FlowPacket> packet = decodePacket(bytes);
        if (packet) {
            CHECK(packet->payloadBytes == bytes.size() - packetHeaderBytes);
        }
    }
}

TEST_CASE("objects of the store are decoded")
{
    std::optional<StoreResponse> response = decodeStoreResponse(StoreKind::Targets, list(target));
    REQUIRE(response);
    CHECK(response->revision == 50);
    CHECK(response->lastName == "i-7f3a91c2");
    const auto &record = std::get<TargetRecord>(response->objects.at(0));
    CHECK(record.id == 0x7f3a91c2);
    CHECK(record.slots == 3);
    CHECK(record.warmup == 250 * millisecond);
    CHECK(record.startedAt == 1700);
    CHECK(record.revision == 41);
    CHECK(record.state == TargetState::Ready);

    response = decodeStoreResponse(StoreKind::Config, list(config));
    REQUIRE(response);
    const auto &read = std::get<EdgeConfig>(response->objects.at(0));
    CHECK(read.version == 7);
    CHECK(read.revision == 9);
    CHECK(read.idleTimeout == 15 * second);
    REQUIRE(read.routes.size() == 2);
    CHECK(toString(read.routes[0].address) == "198.18.0.1:8443");
    CHECK(read.routes[0].weightedServices == std::vector<WeightedService>{{"x", 90}, {"y", 10}});
    CHECK(read.routes[0].responseTimeGoal == 200 * millisecond);
    CHECK(read.routes[0].timeout == 2 * second);
    CHECK(read.routes[1].timeout == 0);
    CHECK(read.routes[1].type == RouteType::Unsafe);

    response = decodeStoreResponse(StoreKind::Targets, R"({"events":[{"deleted":true,"object":)" + target + R"(}],"store_revision":60})");
    REQUIRE(response);
    CHECK(std::get<DeletedObject>(response->objects.at(0)).id == 0x7f3a91c2);
}

// Guards against an evacuation that is ignored because of its spec, which carries no meaning.
TEST_CASE("evacuations are decoded whatever their spec is")
{
    for (const std::string spec : {R"({"meta":{"name":"attica-a","revision":7},"spec":{}})",
                                   R"({"meta":{"name":"attica-a","revision":7},"spec":null})",
                                   R"({"meta":{"name":"attica-a","revision":7}})"}) {
        const std::optional<StoreResponse> response = decodeStoreResponse(StoreKind::Evacuations, list(spec));
        REQUIRE(response);
        const auto &record = std::get<EvacuationRecord>(response->objects.at(0));
        CHECK(record.dataCentre == "attica-a");
        CHECK(record.revision == 7);
        const std::optional<StoreResponse> watch =
            decodeStoreResponse(StoreKind::Evacuations, R"({"events":[{"deleted":true,"object":)" + spec + R"(}],"store_revision":60})");
        REQUIRE(watch);
        CHECK(std::get<DeletedObject>(watch->objects.at(0)).name == "attica-a");
    }
    const std::optional<StoreResponse> invalid = decodeStoreResponse(StoreKind::Evacuations, list(R"({"meta":{"revision":7},"spec":{}})"));
    REQUIRE(invalid);
    CHECK(std::holds_alternative<UnreadableObject>(invalid->objects.at(0)));
}

// Guards against using invalid objects of other writers as targets, and against invalid objects that prevent the use of the
// valid ones in the same response.
TEST_CASE("an invalid object doesn't affect the other objects of a response")
{
    const auto changed = [](const std::string &from, const std::string &to) {
        std::string text = target;
        text.replace(text.find(from), from.size(), to);
        return text;
    };
    const std::string rows[] = {
        "17",
        "null",
        R"({"meta":{"name":"i-1","revision":4}})",
        R"({"meta":{"name":"i-1","revision":4},"spec":"text"})",
        R"({"meta":{"name":7,"revision":4},"spec":{}})",
        changed("\"ready\"", "\"sleeping\""),
        changed("\"slots\":3", "\"slots\":\"3\""),
        changed("\"slots\":3", "\"slots\":0"),
        changed("\"slots\":3", "\"slots\":3.5"),
        changed("\"slots\":3", "\"slots\":99999999999999999999"),
        changed("10.128.0.9:8080", "here"),
        changed("10.128.0.9:8080", "10.128.0.9:99999"),
        changed("i-7f3a91c2", "i-nothex"),
        changed("i-7f3a91c2", "i-"),
        changed("i-7f3a91c2", "i-7f3a91c27f3a91c27f3a91c2"),
        changed("\"service\":\"huvo11a\",", ""),
        changed("\"born\":1700", "\"born\":-1"),
        changed("\"born\":1700", "\"born\":1700.5"),
        changed("\"born\":1700", "\"born\":\"1700\""),
        changed(",\"born\":1700", ""),
        changed("\"seq\":4,", ""),
        changed("\"seq\":4", "\"seq\":null"),
        changed("\"version\":\"v1\",", ""),
        changed("\"version\":\"v1\"", "\"version\":1"),
        changed("\"cold_remaining_ms\":250,", ""),
        changed("\"cold_remaining_ms\":250", "\"cold_remaining_ms\":false"),
        changed("\"zone\":\"attica-a\",", ""),
        changed("\"state\":\"ready\",", ""),
        changed("\"slots\":3,", ""),
        changed("huvo11a", std::string(254, 'x')),
        changed("attica-a", std::string(254, 'x')),
        changed("huvo11a", ""),
        changed("attica-a", ""),
        changed("i-7f3a91c2", std::string(251, 'x') + "-1f"),
        changed("\"address\":\"10.128.0.9:8080\",", ""),
    };
    for (const std::string &row : rows) {
        CAPTURE(row);
        std::string valid = target;
        valid.replace(valid.find("i-7f3a91c2"), 10, "i-00000001");
        const std::optional<StoreResponse> response = decodeStoreResponse(StoreKind::Targets, list(std::string(row).append(",").append(valid)));
        REQUIRE(response);
        REQUIRE(response->objects.size() == 2);
        CHECK(std::holds_alternative<UnreadableObject>(response->objects[0]));
        CHECK(std::get<TargetRecord>(response->objects[1]).id == 1);
    }
}

// Guards against processes that exceed the memory of a small instance, or that end, when another writer has left an entry that is nested
// very deeply or has numbers that are too large, and against nodes that then follow the list no longer.
TEST_CASE("an odd entry of any shape costs little memory and doesn't affect the other entries")
{
    // The store takes values of up to 1 MB.
    constexpr std::size_t depth = 500'000;
    const std::string arrays = std::string(depth, '[') + std::string(depth, ']');
    std::string objects;
    for (std::size_t n = 0; n < depth / 3; ++n) {
        objects += R"({"a":)";
    }
    objects += "1" + std::string(depth / 3, '}');
    std::string wide = "[0";
    for (std::size_t n = 0; n < depth; ++n) {
        wide += ",0";
    }
    wide += "]";
    const std::string digits(depth, '9');
    std::string members = R"({"a":0)";
    for (std::size_t n = 0; n < depth / 3; ++n) {
        members += R"(,"a":0)";
    }
    members += "}";
    const std::string values[] = {arrays, objects, wide, members, "[" + digits + "]", digits, "-" + digits, "1e" + digits, "1e999", "\"" + digits + "\""};
    std::string valid = target;
    valid.replace(valid.find("i-7f3a91c2"), 10, "i-00000001");
    for (const std::string &value : values) {
        for (const std::string field :
             {"service", "address", "zone", "slots", "state", "cold_remaining_ms", "born", "seq", "version", "spec", "name", "revision"}) {
            CAPTURE(value.substr(0, 10));
            CAPTURE(field);
            std::string text = target;
            const std::size_t begin = text.find("\"" + field + "\":") + field.size() + 3;
            REQUIRE(begin > field.size() + 3);
            const std::size_t end = field == "spec" ? text.rfind("}}") + 1 : text.find_first_of(",}", begin);
            text.replace(begin, end - begin, value);
            const std::string body = list(std::string(text).append(",").append(valid));
            const std::size_t before = restartPeak();
            const std::optional<StoreResponse> response = decodeStoreResponse(StoreKind::Targets, body);
            CHECK(memoryBytes("VmHWM") < before + maxDecodingBytes);
            REQUIRE(response);
            REQUIRE(response->objects.size() == 2);
            CHECK(std::holds_alternative<UnreadableObject>(response->objects[0]));
            CHECK(std::get<TargetRecord>(response->objects[1]).id == 1);
        }
    }
}

// Guards against the refusal of valid entries by a limit that is too low.
TEST_CASE("entries with the longest allowed texts are decoded")
{
    std::string text = target;
    for (const std::string field : {"huvo11a", "attica-a", "i-7f3a91c2"}) {
        const std::string longest = field.starts_with("i-") ? std::string(maxTargetTextBytes - 3, 'x') + "-1f" : std::string(maxTargetTextBytes, 'x');
        text.replace(text.find(field), field.size(), longest);
    }
    const std::optional<StoreResponse> response = decodeStoreResponse(StoreKind::Targets, list(text));
    REQUIRE(response);
    CHECK(std::get<TargetRecord>(response->objects.at(0)).id == 0x1f);
}

// Guards against an object of another writer whose bytes can't be decoded and that makes each list and each watch fail, so that
// a running node hears of no further change and a restarted node never knows any target.
TEST_CASE("an object with undecodable bytes doesn't affect the other objects of a response")
{
    const std::string bad[] = {R"(\udce9)", R"(\ud83d)", "\xe9", std::string("\0", 1), R"(\x)"};
    const std::string places[] = {"huvo11a", "\"version\":\"v1", "attica-a", "i-7f3a91c2"};
    std::string valid = target;
    valid.replace(valid.find("i-7f3a91c2"), 10, "i-00000001");
    for (const std::string &bytes : bad) {
        for (const std::string &place : places) {
            CAPTURE(bytes);
            CAPTURE(place);
            std::string text = target;
            text.insert(text.find(place) + place.size(), bytes);
            const bool nameIsReadable = place != "i-7f3a91c2";
            std::optional<StoreResponse> response = decodeStoreResponse(StoreKind::Targets, list(std::string(valid).append(",").append(text)));
            REQUIRE(response);
            REQUIRE(response->objects.size() == 2);
            CHECK(std::get<TargetRecord>(response->objects[0]).id == 1);
            CHECK(std::get<UnreadableObject>(response->objects[1]).id == (nameIsReadable ? 0x7f3a91c2 : 0));
            CHECK(response->lastName == (nameIsReadable ? "i-7f3a91c2" : "i-00000001"));

            std::string events = R"({"store_revision":60,"events":[{"object":)";
            events.append(text).append(R"(},{"object":)").append(valid).append("}]}");
            response = decodeStoreResponse(StoreKind::Targets, events);
            REQUIRE(response);
            REQUIRE(response->objects.size() == 2);
            CHECK(std::get<UnreadableObject>(response->objects[0]).revision == (nameIsReadable ? 41 : 0));
            CHECK(std::get<TargetRecord>(response->objects[1]).id == 1);
        }
    }
}

// Guards against the endless repetition of a page on which no object's name can be decoded.
TEST_CASE("a page after which the list can't be continued is invalid")
{
    const std::string page = R"({"items":[{"meta":{"name":"\udce9","revision":4}}],"has_more":)";
    CHECK_FALSE(decodeStoreResponse(StoreKind::Targets, page + R"(true,"store_revision":50})"));
    CHECK(decodeStoreResponse(StoreKind::Targets, page + R"(false,"store_revision":50})"));
}

// Guards against a wrong split of objects at brackets, commas and quotes within strings.
TEST_CASE("JSON texts are split into their members")
{
    struct Row {
        std::string text;
        std::vector<std::string_view> values;
    };
    const Row rows[] = {
        {"[]", {}},
        {" [ ] ", {}},
        {R"([1, "a,]", {"b":[2,3]} ])", {"1", R"("a,]")", R"({"b":[2,3]})"}},
        {R"(["\"],","\\"])", {R"("\"],")", R"("\\")"}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.text);
        CHECK(splitArray(row.text) == row.values);
    }
    for (const std::string text : {"", "[", "]", "[1", "[1]]", "[{]}", R"(["])", R"(["\"])", "[1] x", "{}"}) {
        CAPTURE(text);
        CHECK_FALSE(splitArray(text));
    }
    const auto members = splitObject(R"({"a": 1,"b" :{"a":2}, "a":3})");
    REQUIRE(members);
    CHECK(findMember(*members, "a") == "3");
    CHECK(findMember(*members, "b") == R"({"a":2})");
    CHECK_FALSE(findMember(*members, "c"));
    for (const std::string text : {"{1}", "{a:1}", R"({"a"})", R"({"a" 1})", R"({"a":1)", "[]"}) {
        CAPTURE(text);
        CHECK_FALSE(splitObject(text));
    }
}

// Guards against one invalid route that keeps the whole configuration out of force, so that no caller is served.
TEST_CASE("an invalid field of a route affects that route only")
{
    struct Row {
        std::string from;
        std::string to;
        std::size_t routes; ///< decoded routes; the sample has two
        std::vector<std::string> unreadable;
    };
    const Row rows[] = {
        {R"("type":"safe")", R"("type":"upload")", 2, {}},
        {R"("type":"safe")", R"("type":"a-later-one")", 2, {}},
        {R"("type":"safe")", R"("type":17)", 2, {}},
        {R"("type":"safe",)", "", 2, {}},
        {R"("aim_ms":200)", R"("aim_ms":"soon")", 2, {}},
        {R"("aim_ms":200)", R"("aim_ms":-1)", 2, {}},
        {R"("timeout_ms":2000)", R"("timeout_ms":"long")", 2, {}},
        {R"("priority":2)", R"("priority":null)", 2, {}},
        {R"("priority":2)", R"("priority":99999999999999999999)", 2, {}},
        {R"("idle_timeout_ms":15000)", R"("idle_timeout_ms":[])", 2, {}},
        {R"("weight":90)", R"("weight":"most")", 2, {}},
        {R"("max_attempts":2)", R"("max_attempts":{})", 2, {}},
        {R"("host":"198.18.0.1")", R"("host":"a.name")", 1, {"a"}},
        {R"("path_prefix":"/8443/")", R"("path_prefix":8443)", 1, {"a"}},
        {R"("path_prefix":"/8443/",)", "", 1, {"a"}},
        {R"({"service":"x","weight":90})", R"({"weight":90})", 1, {"198.18.0.1:8443", "a"}},
        {R"({"service":"x","weight":90})", "null", 1, {"198.18.0.1:8443", "a"}},
        {R"("name":"a")", R"("name":[])", 1, {"198.18.0.1:8443"}},
        {R"({"name":"b","host":"198.18.0.2","path_prefix":"/80/","type":"unsafe","service":"x"})", "7", 1, {}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.to);
        std::string text = config;
        text.replace(text.find(row.from), row.from.size(), row.to);
        const std::optional<StoreResponse> response = decodeStoreResponse(StoreKind::Config, list(text));
        REQUIRE(response);
        REQUIRE(std::holds_alternative<EdgeConfig>(response->objects.at(0)));
        const auto &read = std::get<EdgeConfig>(response->objects[0]);
        CHECK(read.version == 7);
        CHECK(read.routes.size() == row.routes);
        CHECK(read.unreadableRoutes == row.unreadable);
        const bool isValid = row.to.find("upload") != std::string::npos || row.to.find("most") != std::string::npos || row.to.find("max_") != std::string::npos;
        CHECK(read.problems.empty() == isValid);
    }
}

// Guards against invalid limits of one service that keep the whole configuration out of force, or that pass unnoticed.
TEST_CASE("the limits of services are decoded one by one")
{
    const std::string fine = R"({"name":"y","health_path":"/h","max_conns":9,"cold_start_s":2.5,"cold_per_s":0.5})";
    struct Row {
        std::string services;
        std::vector<ServiceLimits> limits; ///< of the services before `fine`
        std::size_t problems;
        std::vector<std::string> unreadable;
    };
    const Row rows[] = {
        {R"({"name":"x","cold_start_s":10,"cold_per_s":4},)", {{"x", 10 * second, 4}}, 0, {}},
        {R"({"name":"x"},)", {{"x", 0, 0}}, 0, {}},
        {R"({"name":"x","cold_start_s":"10","cold_per_s":4},)", {{"x", 0, 4}}, 1, {"x"}},
        {R"({"name":"x","cold_start_s":10,"cold_per_s":-1},)", {{"x", 10 * second, 0}}, 1, {"x"}},
        {R"({"name":"x","cold_start_s":1e300,"cold_per_s":null},)", {{"x", 0, 0}}, 2, {"x"}},
        {R"({"name":7,"cold_start_s":10},)", {}, 1, {}},
        {"7,", {}, 1, {}},
        {"[],", {}, 1, {}},
    };
    for (const Row &row : rows) {
        CAPTURE(row.services);
        std::string text = config;
        text.insert(text.find(R"("routes")"), R"("services":[)" + row.services + fine + "],");
        const std::optional<StoreResponse> response = decodeStoreResponse(StoreKind::Config, list(text));
        REQUIRE(response);
        REQUIRE(std::holds_alternative<EdgeConfig>(response->objects.at(0)));
        const auto &read = std::get<EdgeConfig>(response->objects[0]);
        std::vector<ServiceLimits> expected = row.limits;
        expected.push_back({"y", 2500 * millisecond, 0.5});
        CHECK(read.services == expected);
        CHECK(read.routes.size() == 2);
        CHECK(read.problems.size() == row.problems);
        CHECK(read.unreadableServices == row.unreadable);
    }
    std::string text = config;
    text.insert(text.find(R"("routes")"), R"("services":7,)");
    const std::optional<StoreResponse> response = decodeStoreResponse(StoreKind::Config, list(text));
    REQUIRE(response);
    CHECK_FALSE(std::get<EdgeConfig>(response->objects.at(0)).services);
    CHECK(std::get<EdgeConfig>(response->objects.at(0)).problems.size() == 1);
}

// Guards against routes that are decoded from a part of their text, skipped or decoded twice when a response arrives in pieces.
TEST_CASE("routes are decoded while the response arrives")
{
    const std::string odd = R"({"meta":{"name":"x","revision":8},"spec":{"routes2":[{"name":"no"}],"n":{"routes":[{"name":"no","host":"198.18.0.9",)"
                            R"("path_prefix":"/1/","service":"x"}]},"routes":[1,[],{"name":"q\"}]","host":"198.18.0.3","path_prefix":"/81/","service":"x"},)"
                            R"({"name":"bad"},{"name":"d","host":"198.18.0.4","path_prefix":"/82/","service":"x"}]}})";
    const std::string body = list(config + "," + odd);
    for (const std::size_t step : {1UL, 2UL, 7UL, 64UL, body.size()}) {
        CAPTURE(step);
        ConfigStream stream;
        std::vector<std::string> names;
        for (std::size_t arrived = 0; arrived < body.size();) {
            arrived = std::min(arrived + step, body.size());
            for (const EdgeRoute &it : decodeArrivedRoutes(stream, std::string_view(body).substr(0, arrived))) {
                names.push_back(it.name);
            }
        }
        CHECK(names == std::vector<std::string>{"a", "b", "q\"}]", "d"});
    }
    ConfigStream early;
    const std::string_view first = std::string_view(body).substr(0, body.find(R"({"name":"b")"));
    const std::vector<EdgeRoute> routes = decodeArrivedRoutes(early, first);
    REQUIRE(routes.size() == 1);
    CHECK(routes.front().weightedServices.size() == 2);
    CHECK(routes.front().urgency == 2);
}

// Guards against a crash or an endless loop on a response of another program.
TEST_CASE("responses that are not JSON decode to no routes")
{
    for (const std::string &body :
         {std::string("]"), std::string("}}}"), std::string(1000, '['), std::string("{\"a"), std::string("\"\\"), std::string(R"({,,:"items":[{]})")}) {
        ConfigStream stream;
        CHECK(decodeArrivedRoutes(stream, body).empty());
        CHECK(stream.position <= body.size());
    }
}

TEST_CASE("a route of an unknown type is treated as one that is never repeated")
{
    struct Row {
        std::string name;
        RouteType type;
    };
    const Row rows[] = {
        {"safe", RouteType::Safe},
        {"unsafe", RouteType::Unsafe},
        {"download", RouteType::Download},
        {"upload", RouteType::Upload},
        {"stream", RouteType::Unsafe},
        {"", RouteType::Unsafe},
    };
    for (const Row &row : rows) {
        std::string text = config;
        const std::string from = R"("type":"safe")";
        text.replace(text.find(from), from.size(), R"("type":")" + row.name + "\"");
        const std::optional<StoreResponse> response = decodeStoreResponse(StoreKind::Config, list(text));
        REQUIRE(response);
        CHECK(std::get<EdgeConfig>(response->objects.at(0)).routes.at(0).type == row.type);
    }
}

// Guards against responses that crash the process: valid ones are truncated at each position or changed at random.
TEST_CASE("truncated and corrupted responses don't crash the decoder")
{
    const std::string whole[] = {list(target), list(config), R"({"events":[{"deleted":false,"object":)" + target + R"(}],"store_revision":60})"};
    Random random{7};
    for (const std::string &text : whole) {
        for (std::size_t n = 0; n < text.size(); ++n) {
            CHECK_FALSE(decodeStoreResponse(StoreKind::Targets, text.substr(0, n)));
        }
        for (int n = 0; n < 5'000; ++n) {
            std::string mutated = text;
            for (int k = 0; k < 3; ++k) {
                mutated[below(random, mutated.size())] = static_cast<char>(next(random));
            }
            decodeStoreResponse(StoreKind::Targets, mutated);
            decodeStoreResponse(StoreKind::Config, mutated);
            decodeRoster(mutated);
        }
    }
}

TEST_CASE("requests to the store are encoded")
{
    CHECK(listPath(StoreKind::Targets, "") == "/-/objects/servers");
    CHECK(listPath(StoreKind::Targets, "i-1 &") == "/-/objects/servers?after=i-1%20%26");
    CHECK(listPath(StoreKind::Evacuations, "") == "/-/objects/evacuations");
    CHECK(watchPath(StoreKind::Evacuations, 9, second) == "/-/objects/evacuations?watch=9&wait_ms=1000");
    CHECK(watchPath(StoreKind::Config, 530, 2 * second) == "/-/objects/config?watch=530&wait_ms=2000");
    const Roster roster{{{0x0a010006, 7500}}, 0};
    CHECK(rosterWriteRequest(roster).method == "POST");
    const StoreWriteRequest write = rosterWriteRequest({roster.nodes, 12});
    CHECK(write.method == "PUT");
    const std::optional<Roster> read = decodeRoster(write.body);
    REQUIRE(read);
    CHECK(read->nodes == roster.nodes);
    CHECK(read->revision == 12);
}

TEST_CASE("settings lines are parsed and checked")
{
    const EdgeSettings settings = parseSettingsLines(settingsText, "f");
    CHECK(settings.node == "n1");
    CHECK(settings.dataCentre == "attica-a");
    CHECK(toString(settings.peerAddress) == "10.1.0.10:7720");
    REQUIRE(settings.seeds.size() == 2);
    CHECK(toString(settings.seeds[1]) == "10.2.0.40:7720");
    CHECK(settings.stopGracePeriod == 6 * second);
    CHECK(settings.dataCentreCount == 2);
    CHECK(settings.drainBound == 2500 * millisecond);
    CHECK(settings.maxFlowAge == 0);
    CHECK(parseSettingsLines(settingsText + "bounds.flow_max_s=60\n", "f").maxFlowAge == minute);
    CHECK(settings.evacuationBound == 0);
    CHECK(parseSettingsLines(settingsText + "bounds.evacuate_ms=5000\n", "f").evacuationBound == 5 * second);
    CHECK_FALSE(settings.firstStart);
    CHECK(parseSettingsLines(settingsText + "bootstrap=true\n", "f").firstStart);
    CHECK_FALSE(parseSettingsLines(settingsText + "bootstrap=maybe\n", "f").firstStart);

    CHECK_FALSE(settings.coldOvershoot);
    CHECK_FALSE(settings.coldSlack);
    CHECK(settings.targetHeartbeat == 1200 * millisecond);
    const EdgeSettings limited = parseSettingsLines(settingsText + "bounds.cold_overshoot=1.5\nbounds.cold_slack=5\nheartbeat_ms=800\n", "f");
    CHECK(limited.coldOvershoot == 1.5);
    CHECK(limited.coldSlack == 5);
    CHECK(limited.targetHeartbeat == 800 * millisecond);

    struct Row {
        std::string from;
        std::string to;
        std::string field;
    };
    const Row rows[] = {
        {"node=n1\n", "", "node"},
        {"listen.packets=10.1.0.10:8172", "listen.packets=here", "listen.packets"},
        {"port_range=7720,7735", "port_range=x", "port_range"},
        {"port_range=7720,7735", "port_range=", "port_range"},
        {"port_range=7720,7735", "port_range=,", "port_range"},
        {"seeds=10.1.0.10:8166", "seeds=10.1.0:8166", "seeds"},
        {"bounds.grace_s=6", "bounds.grace_s=soon", "bounds.grace_s"},
        {"bounds.grace_s=6", "bounds.grace_s=-1", "bounds.grace_s"},
        {"bounds.grace_s=6", "bounds.cold_overshoot=x", "bounds.cold_overshoot"},
        {"bounds.grace_s=6", "bounds.cold_slack=-5", "bounds.cold_slack"},
        {"bounds.grace_s=6", "heartbeat_ms=1e9", "heartbeat_ms"},
        {"bounds.grace_s=6", "bounds.flow_max_s=-60", "bounds.flow_max_s"},
    };
    for (const Row &row : rows) {
        std::string text = settingsText;
        text.replace(text.find(row.from), row.from.size(), row.to);
        try {
            parseSettingsLines(text, "f");
            FAIL("no error for " << row.field);
        } catch (const SettingsError &error) {
            CHECK(error.field == row.field);
        }
    }
}
