#include <pimentofold/datagramauth.h>

#include <algorithm>
#include <stdexcept>

#include <sodium.h>

namespace pimentofold {

static_assert(macKeyBytes == crypto_shorthash_siphashx24_KEYBYTES);
static_assert(macBytes == crypto_shorthash_siphashx24_BYTES);

namespace {

const std::uint8_t *bytesOf(std::string_view text)
{
    return reinterpret_cast<const std::uint8_t *>(text.data());
}

} // namespace

MacKey deriveKey(std::string_view secret, std::string_view purpose)
{
    MacKey key;
    std::string input(purpose);
    input += '\0';
    input += secret;
    if (crypto_generichash(key.data(), key.size(), bytesOf(input), input.size(), nullptr, 0) != 0) {
        throw std::runtime_error("key derivation failed");
    }
    return key;
}

Mac computeMac(std::string_view bytes, const MacKey &key)
{
    Mac mac;
    crypto_shorthash_siphashx24(mac.data(), bytesOf(bytes), bytes.size(), key.data());
    return mac;
}

bool macsEqual(const Mac &a, const Mac &b)
{
    return sodium_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string signDatagram(std::string_view payload, const std::vector<MacKey> &keys)
{
    const Mac mac = computeMac(payload, keys.front());
    std::string datagram(reinterpret_cast<const char *>(mac.data()), mac.size());
    datagram += payload;
    return datagram;
}

bool verifyDatagram(std::string_view datagram, const std::vector<MacKey> &keys, std::string_view &payload)
{
    if (datagram.size() < macBytes) {
        return false;
    }
    Mac receivedMac;
    std::copy_n(datagram.begin(), macBytes, receivedMac.begin());
    const std::string_view content = datagram.substr(macBytes);
    for (const MacKey &it : keys) {
        if (macsEqual(receivedMac, computeMac(content, it))) {
            payload = content;
            return true;
        }
    }
    return false;
}

} // namespace pimentofold
