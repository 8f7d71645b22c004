#include <pimentofold/teams/template.h>

#include <algorithm>

#include <sodium.h>

namespace pimentofold {

using nlohmann::json;

namespace {

constexpr std::int64_t maxEpoch = INT32_MAX;
// The largest wall-clock time that fits in an HlcTime, which has the milliseconds above 16 bits of a counter.
constexpr WallTime maxWallTime = INT64_MAX >> 16U;

std::string toHex(const TeamSecret &secret)
{
    std::string text(2 * secret.size() + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), secret.data(), secret.size());
    text.pop_back();
    return text;
}

TeamSecret takeSecret(SettingsObject &object)
{
    const std::string text = takeString(object, "secret");
    TeamSecret secret{};
    std::size_t size = 0;
    const int rc = sodium_hex2bin(secret.data(), secret.size(), text.data(), text.size(), nullptr, &size, nullptr);
    if (rc != 0 || size != secret.size() || text.size() != 2 * secret.size()) {
        throw SettingsError(object.file, object.path + ".secret", std::to_string(2 * secret.size()) + " hexadecimal digits");
    }
    return secret;
}

KeyEpoch parseEpoch(SettingsObject &object)
{
    KeyEpoch epoch;
    epoch.epoch = static_cast<std::int32_t>(takeInteger(object, "epoch", 1, maxEpoch));
    epoch.secret = takeSecret(object);
    epoch.validUntil = takeInteger(object, "validUntil", 0, maxWallTime, 0);
    epoch.useFrom = takeInteger(object, "useFrom", 0, maxWallTime, 0);
    finishSettings(object);
    return epoch;
}

bool isValid(const KeyEpoch &epoch, WallTime now)
{
    return epoch.validUntil == 0 || epoch.validUntil > now;
}

std::vector<KeyEpoch> validEpochs(const TeamKeys &keys, WallTime now)
{
    std::vector<KeyEpoch> valid;
    std::copy_if(keys.epochs.begin(), keys.epochs.end(), std::back_inserter(valid), [now](const KeyEpoch &it) { return isValid(it, now); });
    return valid;
}

} // namespace

TeamKeys parseKeys(const std::string &team, const json &value)
{
    const std::string file = "keys/" + team;
    if (!isPlainName(team)) {
        throw SettingsError(file, "", "the name of a team");
    }
    if (!value.is_object()) {
        throw SettingsError(file, "", "a JSON object");
    }
    SettingsObject top{file, "", value, {}};
    TeamKeys keys;
    keys.team = team;
    for (SettingsObject &it : takeObjects(top, "epochs")) {
        keys.epochs.push_back(parseEpoch(it));
        const std::size_t n = keys.epochs.size();
        if (n > 1 && keys.epochs[n - 1].epoch >= keys.epochs[n - 2].epoch) {
            throw SettingsError(file, it.path + ".epoch", "an epoch below the one before it, since the newest comes first");
        }
    }
    finishSettings(top);
    if (keys.epochs.empty() || keys.epochs.size() > maxKeyEpochs) {
        throw SettingsError(file, "epochs", "1 to " + std::to_string(maxKeyEpochs) + " epochs");
    }
    return keys;
}

json keysValue(const TeamKeys &keys)
{
    json epochs = json::array();
    for (const KeyEpoch &it : keys.epochs) {
        json epoch = {{"epoch", it.epoch}, {"secret", toHex(it.secret)}, {"validUntil", it.validUntil}};
        if (it.useFrom != 0) {
            epoch["useFrom"] = it.useFrom;
        }
        epochs.push_back(std::move(epoch));
    }
    return {{"epochs", epochs}};
}

TeamKeys rotateKeys(const TeamKeys &keys, WallTime now, const SecretSource &source)
{
    TeamKeys rotated{keys.team, validEpochs(keys, now)};
    if (rotated.epochs.size() >= maxKeyEpochs) {
        const std::string minutes = std::to_string((rotated.epochs.back().validUntil - now) / 60'000 + 1);
        throw SettingsError(
            "keys/" + keys.team, "epochs", "fewer than " + std::to_string(maxKeyEpochs) + " valid epochs; the oldest one ends in " + minutes + " minutes");
    }
    KeyEpoch added;
    // Expired epochs are counted too, so that an epoch number is never used for two secrets.
    added.epoch = keys.epochs.empty() ? 1 : keys.epochs.front().epoch + 1;
    added.useFrom = rotated.epochs.empty() ? 0 : now + keyUseDelayMs;
    source(added.secret);
    for (KeyEpoch &it : rotated.epochs) {
        if (it.validUntil == 0) {
            it.validUntil = added.useFrom + replacedKeyValidMs;
        }
    }
    rotated.epochs.insert(rotated.epochs.begin(), added);
    return rotated;
}

std::vector<KeyEpoch> keysInUse(const TeamKeys &keys, WallTime now)
{
    std::vector<KeyEpoch> valid = validEpochs(keys, now);
    auto current = std::find_if(valid.begin(), valid.end(), [now](const KeyEpoch &it) { return it.useFrom <= now; });
    if (current == valid.end() && !valid.empty()) {
        current = valid.end() - 1;
    }
    if (current != valid.end()) {
        std::rotate(valid.begin(), current, current + 1);
    }
    return valid;
}

} // namespace pimentofold
