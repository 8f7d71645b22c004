#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <vector>

#include <pimentofold/datagramauth.h>
#include <pimentofold/types.h>

/// The state that a balancer acts on: members, services, targets and token keys, as its agent sends them.
namespace pimentofold {

namespace wire {
class NodeView;
}

/// Thrown by parseView() for a view that can't be applied; what() names the field and what was expected.
struct ViewError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// A balancer of the team, as membership sees it.
struct ViewMember {
    enum class State { Alive = 1, Suspect = 2, Leaving = 3, Dead = 4 };

    InstanceKey key;
    State state = State::Alive;
    std::string address; ///< peer address, "ip:port"
    std::string dataCentre;
};

/// A target of a service.
struct ViewTarget {
    enum class State { Serving = 1, Leaving = 2, Down = 3 };

    Id id = 0;
    Id serviceId = 0;
    std::string instance;
    std::string address; ///< "ip:port"
    State state = State::Serving;
    int slots = 1;
};

/// A kind of work within a service.
struct ViewWorkKind {
    std::string name;
    int urgency = 0; ///< 0 is the most urgent
    double floorShare = 0;
    double ceilingShare = 1;
};

/// A service with the port on which its callers are served.
struct ViewService {
    Id id = 0;
    Id teamId = 0;
    std::string teamName;
    std::string serviceName;
    std::uint16_t port = 0;
    bool session = true; ///< true: a flow stays with its target; false: each request is placed alone
    int urgency = 0; ///< 0 is the most urgent; compared within a team
    double floorShare = 0;
    double ceilingShare = 1;
    std::vector<ViewWorkKind> workKinds;
    int defaultDeadlineMs = 0;
    std::vector<std::size_t> targets; ///< indexes in View::targets, also of leaving and down targets
};

/// A key for tokens. Never write one to a log.
struct TokenKey {
    Id teamId = 0;
    int epoch = 0;
    MacKey key{}; ///< derived from the secret of the epoch
    WallTime validUntil = 0; ///< 0: no end
};

/// A view with lookup tables.
struct View {
    std::int64_t generation = 0;
    std::string dataCentre;
    std::vector<ViewMember> members;
    std::vector<ViewTarget> targets;
    std::vector<ViewService> services;
    std::vector<TokenKey> keys; ///< newest epoch of each team first
    std::unordered_map<Id, std::size_t> targetIndex; ///< by target id
    std::unordered_map<Id, std::size_t> serviceIndex; ///< by service id
    std::unordered_map<Id, std::size_t> memberIndex; ///< by instance id
};

/// Converts and checks a view.
/// @throws ViewError when a value is out of range, an id occurs twice, or a target names an unknown service
View parseView(const wire::NodeView &from);

/// @return the target, or nullptr when the view doesn't have it
const ViewTarget *findTarget(const View &view, Id target);

/// @return the service, or nullptr when the view doesn't have it
const ViewService *findService(const View &view, Id service);

/// @return the member of this instance, whatever its incarnation, or nullptr
const ViewMember *findMember(const View &view, Id instance);

/// @return the newest key of a team, or nullptr when it has none
const TokenKey *newestKey(const View &view, Id teamId);

/// @return whether the instance is a member in this incarnation and in state Alive or Suspect
bool isServing(const View &view, const InstanceKey &instance);

/// Chooses the witness for a new pair: another serving member of the own data centre, preferred in
/// rendezvous order of the flow, so that pairs spread evenly.
/// @param home the first of the pair
/// @return the witness, or an empty key when there is no other member
InstanceKey chooseWitness(const View &view, const InstanceKey &home, std::int64_t flow);

/// The two balancers that answer for requests that may not be repeated.
struct HomePair {
    InstanceKey home;
    InstanceKey witness; ///< empty when there is no second balancer
};

/// Chooses the pair for a new token: the minting balancer and a witness, or two others when it is stopping.
/// @param own the minting balancer; its state in the view tells whether it is stopping
HomePair choosePair(const View &view, const InstanceKey &own, std::int64_t flow);

/// Enters the balancer's own state in a view, which may be older than this run of the process.
/// @param own this balancer as it should be seen
void setOwnMember(View &view, const ViewMember &own);

/// Members that don't answer although the view calls them serving. The view lags behind a crash by the time that
/// membership needs to detect it; until then no new pair and no dispatcher should be on such a member.
struct SilentMembers {
    std::unordered_map<InstanceKey, Time> until; ///< when each one is given another chance
};

/// A silent member is avoided for this time.
constexpr Time silentMemberTime = 5 * second;

/// Takes silent members out of the serving ones.
/// @param view as the agent sent it, apart from the own member
void hideSilentMembers(View &view, const SilentMembers &silent);

} // namespace pimentofold
