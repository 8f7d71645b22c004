#include <memory>
#include <string>

#include <doctest/doctest.h>

#include <libnet/httpserver.h>
#include <libnet/loop.h>
#include <pimentofold-edge/storeclient.h>
#include <testsupport/rununtil.h>

using namespace pimentofold;
using testsupport::runUntil;

namespace {

constexpr std::uint32_t loopback = 0x7f000001;
constexpr std::size_t maxBodyBytes = 1 << 20;

std::string targetEntry(const std::string &name, int revision)
{
    return R"({"meta":{"name":")" + name + R"(","revision":)" + std::to_string(revision)
        + R"(},"spec":{"service":"shop","address":"127.0.0.1:9","zone":"a","version":"v1","slots":1,"state":"ready","cold_remaining_ms":0,"seq":1,"born":1}})";
}

/// One address of the store. It has one target, and no changes.
struct StoreAddress {
    std::string target;
    bool hold = false; ///< lists are kept waiting
    std::vector<HttpResponder> held;
    int calls = 0;
    HttpServer server;

    StoreAddress(std::uint16_t port, std::string targetName)
        : target(std::move(targetName))
        , server(
              {loopback, port}, [this](const HttpRequest &request, const HttpResponder &respond) { answer(request, respond); }, maxBodyBytes)
    {
    }

    void answer(const HttpRequest &request, const HttpResponder &respond)
    {
        ++calls;
        const bool isTargets = request.path.ends_with("servers");
        if (hold && isTargets) {
            held.push_back(respond);
            return;
        }
        HttpResponse response;
        response.body = request.query.contains("watch") ? R"({"events":[],"store_revision":20})" : list(isTargets);
        respond(response);
    }

    std::string list(bool isTargets) const
    {
        return R"({"items":[)" + (isTargets ? targetEntry(target, 10) : std::string()) + R"(],"has_more":false,"store_revision":20})";
    }
};

} // namespace

// Guards against nodes that go on calling an address of the store that is no longer in the settings, and against an answer from
// there that is applied after the change.
TEST_CASE("after a change of the store's address only the new address is called and its answers are applied")
{
    StoreAddress before(22'301, "i-1");
    StoreAddress after(22'302, "i-2");
    before.hold = true;
    TargetTable table;
    Random random{1};
    EventLog log;
    StoreClient client({loopback, 22'301}, table, random, log, [] {});
    client.start({});
    runUntil([&] { return !before.held.empty(); });
    client.setAddress({loopback, 22'302});
    const int callsBefore = before.calls;
    HttpResponse late;
    late.body = before.list(true);
    before.held.front()(late);
    runUntil([&] { return client.health() == StoreHealth::Answering; });
    CHECK(findTarget(table, 1) == nullptr);
    CHECK(findTarget(table, 2) != nullptr);
    const int callsAfter = after.calls;
    runUntil([&] { return after.calls > callsAfter; });
    CHECK(before.calls == callsBefore);
    client.stop();
}
