#include <pimentofold/token.h>

#include <doctest/doctest.h>

#include <libpimentofold/testviews.h>

using namespace pimentofold;
using namespace pimentofold::testviews;

namespace {

constexpr WallTime now = 500'000;
constexpr std::int64_t flow = 77;

Token tokenOf(int epoch)
{
    return mintToken(11, 100, 5, {1, 10}, {2, 20}, epoch, now);
}

std::string sealed(const Token &token, std::int64_t forFlow, const TokenKey &key)
{
    const SealedToken bytes = sealToken(token, forFlow, key.key);
    return {bytes.begin(), bytes.end()};
}

} // namespace

// Guards against a token that is accepted for another team, service or flow, after the end of its epoch, or after its expiry.
TEST_CASE("a token is accepted only for its service, team and flow, before its expiry and under a valid epoch")
{
    const View view = parseView(smallView());
    const std::string bytes = sealed(tokenOf(1), flow, view.keys[1]);
    CHECK(bytes.size() <= 110);
    struct Case {
        Id team;
        Id service;
        std::int64_t flow;
        WallTime at;
        TokenFault fault;
    };
    const Case cases[] = {{1, 11, flow, now, TokenFault::None},
                          {2, 22, flow, now, TokenFault::Forged},
                          {2, 11, flow, now, TokenFault::Forged},
                          {1, 22, flow, now, TokenFault::OtherService},
                          {1, 11, flow + 1, now, TokenFault::Forged},
                          {3, 11, flow, now, TokenFault::UnknownEpoch},
                          {1, 11, flow, 999'999, TokenFault::None},
                          {1, 11, flow, 1'000'000, TokenFault::UnknownEpoch}};
    for (const Case &it : cases) {
        CAPTURE(it.team);
        CAPTURE(it.service);
        CAPTURE(it.at);
        const OpenedToken opened = openToken(bytes, it.team, it.service, it.flow, view.keys, it.at);
        CHECK(opened.fault == it.fault);
        CHECK((it.fault != TokenFault::None || opened.token == tokenOf(1)));
    }
    const std::string newer = sealed(tokenOf(2), flow, view.keys[0]);
    CHECK(openToken(newer, 1, 11, flow, view.keys, now + routeLifeMs - 1).fault == TokenFault::None);
    CHECK(openToken(newer, 1, 11, flow, view.keys, now + routeLifeMs).fault == TokenFault::Expired);
    CHECK(openToken(newer, 1, 11, flow, view.keys, now - clockToleranceMs - 1).fault == TokenFault::Expired);
    CHECK(openToken(newer.substr(1), 1, 11, flow, view.keys, now).fault == TokenFault::Malformed);
}

// Guards against an authenticator that doesn't cover all bytes of the token.
TEST_CASE("a token with any bit changed is refused")
{
    const View view = parseView(smallView());
    const std::string bytes = sealed(tokenOf(2), flow, view.keys[0]);
    for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
        std::string altered = bytes;
        altered[bit / 8] = static_cast<char>(altered[bit / 8] ^ (1 << (bit % 8)));
        CHECK(openToken(altered, 1, 11, flow, view.keys, now).fault != TokenFault::None);
    }
}

// Guards against callers that keep a token whose home or witness no longer serves, and against unnecessary refreshes.
TEST_CASE("a token is refreshed after half of its pair's lifetime, a new epoch, or the loss of its home or witness")
{
    const auto refreshes = [](const wire::NodeView &from, int epoch, WallTime at) { return needsRefresh(tokenOf(epoch), parseView(from), 1, at); };
    wire::NodeView view = smallView();
    CHECK_FALSE(refreshes(view, 2, now));
    CHECK_FALSE(refreshes(view, 2, now + pairLifeMs / 2 - 1));
    CHECK(refreshes(view, 2, now + pairLifeMs / 2));
    CHECK(refreshes(view, 1, now));
    for (const std::size_t member : {0U, 1U}) {
        for (const wire::MemberState::type state : {wire::MemberState::Leaving, wire::MemberState::Dead}) {
            wire::NodeView changed = view;
            changed.members[member].state = state;
            CHECK(refreshes(changed, 2, now));
        }
        wire::NodeView restarted = view;
        ++restarted.members[member].key.incarnation;
        CHECK(refreshes(restarted, 2, now));
    }
    view.members.resize(1);
    const Token alone = mintToken(11, 100, 5, {1, 10}, {}, 2, now);
    CHECK_FALSE(needsRefresh(alone, parseView(view), 1, now));
}
