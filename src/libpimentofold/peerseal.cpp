#include <pimentofold/peerseal.h>

#include <algorithm>
#include <stdexcept>

#include <sodium.h>

namespace pimentofold {

static_assert(sealKeyBytes == crypto_shorthash_siphashx24_KEYBYTES);
static_assert(sealBytes == crypto_shorthash_siphashx24_BYTES);

namespace {

const std::uint8_t *bytesOf(std::string_view text)
{
    return reinterpret_cast<const std::uint8_t *>(text.data());
}

} // namespace

SealKey deriveKey(std::string_view secret, std::string_view purpose)
{
    SealKey key;
    std::string salted(purpose);
    salted += '\0';
    salted += secret;
    if (crypto_generichash(key.data(), key.size(), bytesOf(salted), salted.size(), nullptr, 0) != 0) {
        throw std::runtime_error("key derivation failed");
    }
    return key;
}

Seal sealOf(std::string_view bytes, const SealKey &key)
{
    Seal seal;
    crypto_shorthash_siphashx24(seal.data(), bytesOf(bytes), bytes.size(), key.data());
    return seal;
}

bool sameSeal(const Seal &a, const Seal &b)
{
    return sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string sealDatagram(std::string_view payload, const std::vector<SealKey> &keys)
{
    const Seal seal = sealOf(payload, keys.front());
    std::string datagram(reinterpret_cast<const char *>(seal.data()), seal.size());
    datagram += payload;
    return datagram;
}

bool openDatagram(std::string_view datagram, const std::vector<SealKey> &keys, std::string_view &payload)
{
    if (datagram.size() < sealBytes) {
        return false;
    }
    Seal given;
    std::copy_n(datagram.begin(), sealBytes, given.begin());
    const std::string_view content = datagram.substr(sealBytes);
    for (const SealKey &it : keys) {
        if (sameSeal(given, sealOf(content, it))) {
            payload = content;
            return true;
        }
    }
    return false;
}

} // namespace pimentofold
