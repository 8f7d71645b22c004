#include <pimentofold/token.h>

#include <algorithm>
#include <cstring>

namespace pimentofold {

namespace {

// To be changed with the layout of the token, so that a token of another layout is refused as malformed.
constexpr std::uint8_t tokenFormat = 1;
constexpr std::size_t contentBytes = tokenBytes - sealBytes;
constexpr std::size_t wordBytes = 8;

constexpr std::array<std::string_view, 6> faultNames{"none", "token_malformed", "token_unknown_epoch", "token_forged", "token_other_service", "token_expired"};

void putWord(char *out, std::uint64_t value, std::size_t size)
{
    for (std::size_t i = 0; i < size; ++i) {
        out[i] = static_cast<char>(value >> (8U * i));
    }
}

std::uint64_t getWord(const char *in, std::size_t size)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < size; ++i) {
        value |= static_cast<std::uint64_t>(static_cast<std::uint8_t>(in[i])) << (8U * i);
    }
    return value;
}

std::array<std::int64_t, 9> wordsOf(const Token &token)
{
    return {token.serviceId,
            token.target,
            token.targetIncarnation,
            token.home.instance,
            token.home.incarnation,
            token.witness.instance,
            token.witness.incarnation,
            token.pairExpiry,
            token.routeExpiry};
}

/// @return the authenticator of the content and the flow number
Seal sealFor(const char *content, std::int64_t flow, const SealKey &key)
{
    std::array<char, contentBytes + wordBytes> buf;
    std::memcpy(buf.data(), content, contentBytes);
    putWord(buf.data() + contentBytes, static_cast<std::uint64_t>(flow), wordBytes);
    return sealOf({buf.data(), buf.size()}, key);
}

const TokenKey *findKey(const std::vector<TokenKey> &keys, Id teamId, int epoch, WallTime now)
{
    for (const TokenKey &it : keys) {
        if (it.teamId == teamId && it.epoch == epoch) {
            return it.validUntil == 0 || now < it.validUntil ? &it : nullptr;
        }
    }
    return nullptr;
}

Token readContent(const char *content)
{
    std::array<std::int64_t, 9> words{};
    for (std::size_t i = 0; i < words.size(); ++i) {
        words[i] = static_cast<std::int64_t>(getWord(content + 5 + i * wordBytes, wordBytes));
    }
    Token token;
    token.epoch = static_cast<int>(getWord(content + 1, 4));
    token.serviceId = words[0];
    token.target = words[1];
    token.targetIncarnation = words[2];
    token.home = {words[3], words[4]};
    token.witness = {words[5], words[6]};
    token.pairExpiry = words[7];
    token.routeExpiry = words[8];
    return token;
}

} // namespace

std::string_view name(TokenFault fault)
{
    const auto i = static_cast<std::size_t>(fault);
    return i < faultNames.size() ? faultNames[i] : "unknown";
}

SealedToken sealToken(const Token &token, std::int64_t flow, const SealKey &key)
{
    SealedToken sealed;
    sealed[0] = static_cast<char>(tokenFormat);
    putWord(sealed.data() + 1, static_cast<std::uint32_t>(token.epoch), 4);
    std::size_t at = 5;
    for (const std::int64_t it : wordsOf(token)) {
        putWord(sealed.data() + at, static_cast<std::uint64_t>(it), wordBytes);
        at += wordBytes;
    }
    const Seal seal = sealFor(sealed.data(), flow, key);
    std::copy(seal.begin(), seal.end(), sealed.begin() + contentBytes);
    return sealed;
}

OpenedToken openToken(std::string_view bytes, Id teamId, Id serviceId, std::int64_t flow, const std::vector<TokenKey> &keys, WallTime now)
{
    if (bytes.size() != tokenBytes || static_cast<std::uint8_t>(bytes[0]) != tokenFormat) {
        return {TokenFault::Malformed, {}};
    }
    const Token token = readContent(bytes.data());
    const TokenKey *key = findKey(keys, teamId, token.epoch, now);
    if (key == nullptr) {
        return {TokenFault::UnknownEpoch, {}};
    }
    Seal given;
    std::memcpy(given.data(), bytes.data() + contentBytes, given.size());
    if (!sameSeal(given, sealFor(bytes.data(), flow, key->key))) {
        return {TokenFault::Forged, {}};
    }
    if (token.serviceId != serviceId) {
        return {TokenFault::OtherService, {}};
    }
    if (now >= token.routeExpiry || token.routeExpiry > now + routeLifeMs + clockToleranceMs) {
        return {TokenFault::Expired, {}};
    }
    return {TokenFault::None, token};
}

Token mintToken(Id serviceId, Id target, std::int64_t targetIncarnation, const InstanceKey &home, const InstanceKey &witness, int epoch, WallTime now)
{
    Token token;
    token.serviceId = serviceId;
    token.target = target;
    token.targetIncarnation = targetIncarnation;
    token.home = home;
    token.witness = witness;
    token.epoch = epoch;
    token.pairExpiry = now + pairLifeMs;
    token.routeExpiry = now + routeLifeMs;
    return token;
}

bool needsRefresh(const Token &token, const View &view, Id teamId, WallTime now)
{
    if (now >= token.pairExpiry - pairLifeMs / 2) {
        return true;
    }
    const TokenKey *newest = newestKey(view, teamId);
    if (newest != nullptr && newest->epoch != token.epoch) {
        return true;
    }
    if (token.witness.instance == 0) {
        return chooseWitness(view, token.home, 0).instance != 0;
    }
    return !isServing(view, token.home) || !isServing(view, token.witness);
}

} // namespace pimentofold
