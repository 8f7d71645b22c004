#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include <sys/socket.h>
#include <unistd.h>

#include <libnet/framedconnection.h>
#include <libnet/httpclient.h>
#include <libnet/httpserver.h>
#include <libnet/streamhttp.h>
#include <libnet/udpsocket.h>
#include <testsupport/rununtil.h>

using namespace pimentofold;
using testsupport::runUntil;

namespace {

const Address anyPort{0x7f000001, 0};

} // namespace

// Guards against a program that is ended by the system when it is asked to stop before its handlers are there, which
// testsuite/balancer-process saw once as exit status 130.
TEST_CASE("a stop signal during the start waits for its handler")
{
    holdStopSignals();
    REQUIRE(raise(SIGTERM) == 0);
    int stops = 0;
    const StopSignals signals([&stops] { ++stops; });
    runUntil([&] { return stops > 0; });
    CHECK(stops == 1);
}

// Guards against datagrams lost between queueing and sending and against oversized ones being truncated.
TEST_CASE("UDP sockets deliver batches and drop oversized datagrams")
{
    std::vector<std::string> received;
    UdpSocket receiver(anyPort, [&](std::string_view bytes, const Address &) { received.emplace_back(bytes); });
    UdpSocket sender(anyPort, [](std::string_view, const Address &) {});
    const Address to = receiver.localAddress();
    constexpr int n = 200;
    for (int i = 0; i < n; ++i) {
        sender.send(std::to_string(i), to);
    }
    sender.send(std::string(maxDatagramBytes + 1, 'x'), to);
    Timer keepTurning([] {});
    keepTurning.start(millisecond, millisecond);
    runUntil([&] { return received.size() == n; });
    CHECK(received.back() == std::to_string(n - 1));
    CHECK(sender.sendDrops() == 1);
}

// Guards against lost or reordered frames and a missing close notice.
TEST_CASE("framed connections deliver frames in order and report the end")
{
    const Address server{0x7f000001, 39841};
    std::unique_ptr<FramedConnection> accepted;
    std::vector<std::string> frames;
    Listener listener(server, [&](int descriptor) {
        accepted = std::make_unique<FramedConnection>(descriptor,
                                                      FramedConnection::Callbacks{{},
                                                                                  [&](std::string_view payload) {
                                                                                      frames.emplace_back(payload);
                                                                                      accepted->send(payload);
                                                                                  },
                                                                                  {}});
    });
    std::vector<std::string> echoes;
    bool closed = false;
    FramedConnection client(server, {{}, [&](std::string_view payload) { echoes.emplace_back(payload); }, [&](const std::string &) { closed = true; }});
    const std::string large(300'000, 'y');
    client.send("one");
    client.send(large);
    runUntil([&] { return echoes.size() == 2; });
    CHECK(frames[0] == "one");
    CHECK(echoes[1] == large);
    accepted->close();
    runUntil([&] { return closed; });
    CHECK(client.isClosed());
}

// Guards against answers that come after the handler returned being lost, as a waiting watch needs them.
TEST_CASE("HTTP client and server: now, later and too large")
{
    // An address and a port that outgoing connections of other processes don't use.
    const Address at{0x7f4d0001, 9842};
    std::vector<HttpResponder> waiting;
    HttpServer server(
        at,
        [&](const HttpRequest &request, const HttpResponder &respond) {
            if (request.path == "/later") {
                waiting.push_back(respond);
                return;
            }
            respond({200, "text/plain", {{"X-Seen", request.headers.at("x-given")}}, request.method + request.query.at("a") + request.body});
        },
        1000);
    HttpClient client;
    HttpResult now;
    HttpResult later;
    HttpResult large;
    const std::string base = "http://" + toString(at);
    client.start({"PUT", base + "/now?a=1", {{"X-Given", "g"}}, "body", 5 * second}, [&](const HttpResult &it) { now = it; });
    client.start({"GET", base + "/later", {}, "", 20 * second}, [&](const HttpResult &it) { later = it; });
    client.start({"PUT", base + "/now", {}, std::string(2000, 'z'), 5 * second}, [&](const HttpResult &it) { large = it; });
    runUntil([&] { return now.status != 0 && large.status != 0 && !waiting.empty(); });
    CHECK(now.body == "PUT1body");
    CHECK(now.headers.at("x-seen") == "g");
    CHECK(large.status == 413);
    CHECK(later.status == 0);
    waiting.front()({204, "text/plain", {}, ""});
    runUntil([&] { return later.status != 0; });
    CHECK(later.status == 204);
    HttpResult refused;
    client.start({"GET", "http://127.0.0.1:1/", {}, "", second}, [&](const HttpResult &it) { refused = it; });
    runUntil([&] { return !refused.error.empty(); });
    CHECK(refused.status == 0);
}

// Guards against calls that hang, lose part of an answer or mix two answers when the server is slow, cuts the
// connection or closes a kept one.
TEST_CASE("HTTP over the own loop: answers, kept connections, time limits and cuts")
{
    int requests = 0;
    auto server = std::make_unique<HttpResponderServer>(Address{0x7f000001, 21'977}, [&](const HttpRequest &request) {
        ++requests;
        HttpResponse response;
        response.body = request.method + " " + request.path + " " + request.body + std::string(100'000, 'x');
        return response;
    });
    HttpConnection connection({0x7f000001, 21'977});
    const auto call = [&](const std::string &method, const std::string &body) {
        HttpResult result;
        bool done = false;
        connection.start(method, "/a/b?c=d", body, 5 * second, [&](const HttpResult &it) {
            result = it;
            done = true;
        });
        CHECK(connection.isBusy());
        runUntil([&] { return done; });
        CHECK_FALSE(connection.isBusy());
        return result;
    };
    HttpResult result = call("GET", "");
    CHECK(result.status == 200);
    CHECK(result.body == "GET /a/b " + std::string(100'000, 'x'));
    result = call("PUT", "{}");
    CHECK(result.body == "PUT /a/b {}" + std::string(100'000, 'x'));
    CHECK(requests == 2);
    server.reset();
    result = call("GET", "");
    CHECK(result.status == 0);
    CHECK(result.error != "");
}

TEST_CASE("HTTP over the own loop: a server that doesn't answer costs the time limit")
{
    const Listener silent({0x7f000001, 21'978}, [](int) {});
    HttpConnection connection({0x7f000001, 21'978});
    HttpResult result;
    bool done = false;
    connection.start("GET", "/", "", 50 * millisecond, [&](const HttpResult &it) {
        result = it;
        done = true;
    });
    runUntil([&] { return done; });
    CHECK(result.status == 0);
    CHECK(result.error == "timeout");
}

namespace {

/// Answers each connection with fixed pieces of raw bytes, sent at a fixed interval whatever the client sends.
class PieceServer
{
public:
    PieceServer(const Address &at, std::vector<std::string> pieces, Time interval)
        : m_pieces(std::move(pieces))
        , m_listener(at,
                     [this](int descriptor) {
                         ++connections;
                         m_descriptors.push_back(descriptor);
                         m_next = 0;
                     })
        , m_timer([this] { sendNext(); })
    {
        m_timer.start(interval, interval);
    }

    ~PieceServer()
    {
        for (const int it : m_descriptors) {
            ::close(it);
        }
    }

    int connections = 0;

private:
    void sendNext()
    {
        if (!m_descriptors.empty() && m_next < m_pieces.size()) {
            const std::string &piece = m_pieces[m_next++];
            ::send(m_descriptors.back(), piece.data(), piece.size(), MSG_NOSIGNAL);
        }
    }

    std::vector<std::string> m_pieces;
    std::vector<int> m_descriptors;
    std::size_t m_next = 0;
    Listener m_listener;
    Timer m_timer;
};

struct CallResult {
    HttpResult result;
    bool done = false;
};

void startCall(HttpConnection &connection, CallResult &call, Time timeout)
{
    connection.start("GET", "/", "", timeout, [&call](const HttpResult &it) { call = {it, true}; });
}

} // namespace

// Guards against large answers that never arrive over a slow link: each call was cut off at its time limit although bytes
// kept coming, and the next call began anew (1,520 routes over links of 2 Mbit/s).
TEST_CASE("HTTP over the own loop: the time limit starts anew while an answer makes progress")
{
    struct Row {
        Time pieceInterval;
        bool isWhole;
    };
    const Row rows[] = {{20 * millisecond, true}, {2 * second, false}};
    std::uint16_t port = 21'980;
    for (const Row &row : rows) {
        std::vector<std::string> pieces{"HTTP/1.1 200 OK\r\nContent-Length: 60\r\n\r\n"};
        pieces.insert(pieces.end(), 60, "x");
        const Address at{0x7f000001, ++port};
        const PieceServer server(at, pieces, row.pieceInterval);
        HttpConnection connection(at);
        CallResult call;
        startCall(connection, call, 500 * millisecond);
        runUntil([&] { return call.done; });
        CHECK(call.result.status == (row.isWhole ? 200 : 0));
        CHECK(call.result.body.size() == (row.isWhole ? 60 : 0));
    }
}

// Guards against an answer that reaches the wrong call: a second copy of an answer came on a kept connection.
TEST_CASE("HTTP over the own loop: a connection with bytes beyond the answer isn't used again")
{
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
    struct Row {
        const char *pattern;
        std::vector<std::string> pieces;
    };
    const Row rows[] = {
        {"with the answer", {answer + answer}},
        {"while the connection is idle", {answer, answer}},
        {"a part of a second answer", {answer + "HTTP/1.1"}},
    };
    std::uint16_t port = 21'990;
    for (const Row &row : rows) {
        CAPTURE(row.pattern);
        const Address at{0x7f000001, ++port};
        const PieceServer server(at, row.pieces, 20 * millisecond);
        HttpConnection connection(at);
        CallResult call;
        startCall(connection, call, 5 * second);
        runUntil([&] { return call.done; });
        CHECK(call.result.body == "one");
        bool waited = false;
        Timer wait([&] { waited = true; });
        wait.start(200 * millisecond);
        runUntil([&] { return waited; });
        CallResult next;
        startCall(connection, next, 5 * second);
        runUntil([&] { return next.done; });
        CHECK(server.connections == 2);
    }
}

// Guards against a truncated answer that is taken for a whole one.
TEST_CASE("HTTP over the own loop: an answer that breaks off is a failure")
{
    const std::string rows[] = {
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\n\r\nwithout a length",
    };
    std::uint16_t port = 22'000;
    for (const std::string &row : rows) {
        CAPTURE(row);
        const Address at{0x7f000001, ++port};
        const Listener server(at, [&](int descriptor) {
            ::send(descriptor, row.data(), row.size(), MSG_NOSIGNAL);
            ::shutdown(descriptor, SHUT_WR);
        });
        HttpConnection connection(at);
        CallResult call;
        startCall(connection, call, 5 * second);
        runUntil([&] { return call.done; });
        CHECK(call.result.status == 0);
    }
}

// Guards against one message that ends the whole process, and against messages of the same batch that are lost with it.
TEST_CASE("an exception while a message is handled costs that message only")
{
    std::vector<std::string> handled;
    std::vector<std::string> errors;
    setLoopErrorHandler([&](const std::exception &error) { errors.emplace_back(error.what()); });
    UdpSocket receiver(anyPort, [&](std::string_view bytes, const Address &) {
        if (bytes == "bad") {
            throw std::runtime_error("unexpected");
        }
        handled.emplace_back(bytes);
    });
    UdpSocket sender(anyPort, [](std::string_view, const Address &) {});
    int ticks = 0;
    Timer tick([&] {
        ++ticks;
        throw std::out_of_range("tick");
    });
    tick.start(millisecond, millisecond);
    for (const char *it : {"one", "bad", "two", "bad", "three"}) {
        sender.send(it, receiver.localAddress());
    }
    runUntil([&] { return handled.size() == 3 && ticks > 2; });
    CHECK(handled == std::vector<std::string>{"one", "two", "three"});
    CHECK(std::ranges::count(errors, "unexpected") == 2);
    setLoopErrorHandler({});
}
