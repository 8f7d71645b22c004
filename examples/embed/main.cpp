// Embeds libpimentofold without its programs: chooses the pair of balancers of a flow, mints and opens a token of a
// team, and uses a retry budget. It has no socket and no thread; time and randomness are passed in.
#include <cstdlib>
#include <iostream>
#include <string>

#include <easylogging++.h>

#include <pimentofold/retry.h>
#include <pimentofold/teams/template.h>
#include <pimentofold/token.h>
#include <pimentofold/view.h>

INITIALIZE_EASYLOGGINGPP

using namespace pimentofold;

namespace {

constexpr WallTime now = 1'764'830'000'000;
constexpr std::int64_t flow = 4711;

/// @return a view with three balancers of one data centre
View exampleView()
{
    View view;
    view.dataCentre = "dc1";
    for (const char *it : {"dc1-e01", "dc1-e02", "dc1-e03"}) {
        const InstanceKey key{idOf(it), 1};
        view.memberIndex[key.instance] = view.members.size();
        view.members.push_back({key, ViewMember::State::Alive, "127.0.0.1:7000", "dc1"});
    }
    return view;
}

/// Every program with the same view gets the same witness for a flow, without a message between them.
HomePair showPair()
{
    const HomePair pair = choosePair(exampleView(), {idOf("dc1-e01"), 1}, flow);
    std::cout << "home " << toString(pair.home) << ", witness " << toString(pair.witness) << '\n';
    return pair;
}

TokenKey keyOf(const TeamKeys &keys)
{
    const KeyEpoch epoch = keysInUse(keys, now).at(0);
    const std::string secret(epoch.secret.begin(), epoch.secret.end());
    return {idOf(keys.team), epoch.epoch, deriveKey(secret, "token"), epoch.validUntil};
}

/// @return whether the token opens for its own flow and for no other
bool showToken(const HomePair &pair)
{
    const TeamKeys keys = rotateKeys({"foundation", {}}, now, [](TeamSecret &secret) { secret.fill(7); });
    const TokenKey key = keyOf(keys);
    const Id service = idOf("foundation", "lookup");
    const Token token = mintToken(service, idOf("foundation", "lookup", "t1"), 1, pair.home, pair.witness, key.epoch, now);
    const SealedToken sealed = sealToken(token, flow, key.key);
    const std::string_view bytes(sealed.data(), sealed.size());
    const OpenedToken own = openToken(bytes, key.teamId, service, flow, {key}, now + 1000);
    const OpenedToken other = openToken(bytes, key.teamId, service, flow + 1, {key}, now + 1000);
    std::cout << "token of " << sealed.size() << " bytes: own flow " << name(own.fault) << ", other flow " << name(other.fault) << '\n';
    return own.fault == TokenFault::None && own.token == token && other.fault == TokenFault::Forged;
}

/// @return retries that were allowed for 100 failed requests in one second
int showRetries()
{
    RetryBudget budget;
    int retries = 0;
    for (Time at = 0; at < second; at += 10 * millisecond) {
        recordRequest(budget, at);
        retries += consumeRetry(budget, at) ? 1 : 0;
    }
    std::cout << "100 requests failed, " << retries << " were retried\n";
    return retries;
}

} // namespace

int main()
{
    const bool opened = showToken(showPair());
    const int retries = showRetries();
    return opened && retries >= 10 && retries <= 12 ? EXIT_SUCCESS : EXIT_FAILURE;
}
