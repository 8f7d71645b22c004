#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <unordered_map>
#include <vector>

#include <pimentofold/datagramauth.h>
#include <pimentofold/types.h>

/// The view of a balancer: the members, services, targets and token keys that its agent sends and that the balancer
/// bases its decisions on.
namespace pimentofold {

namespace wire {
class NodeView;
}

/// Thrown by parseView() for an invalid view; what() names the field and what was expected there.
struct ViewError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// A balancer of the team, with its state according to the membership protocol.
struct ViewMember {
    enum class State { Alive = 1, Suspect = 2, Leaving = 3, Dead = 4 };

    InstanceKey key;
    State state = State::Alive;
    std::string address; ///< address for messages between balancers, "ip:port"
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
    int slots = 1; ///< number of requests that the target runs at a time, 1 or above
};

/// A kind of work within a service.
struct ViewWorkKind {
    std::string name;
    int urgency = 0; ///< 0 is the most urgent
    double floorShare = 0; ///< share of the service's capacity that is reserved for this kind
    double ceilingShare = 1; ///< largest share of the service's capacity that this kind may use
};

/// A service and the UDP port on which the balancer receives its requests.
struct ViewService {
    Id id = 0;
    Id teamId = 0;
    std::string teamName;
    std::string serviceName;
    std::uint16_t port = 0;
    bool session = true; ///< true: all requests of a flow go to the same target; false: a target is chosen per request
    int urgency = 0; ///< 0 is the most urgent; compared with other services of the same team only
    double floorShare = 0; ///< share of the team's work that is reserved for this service
    double ceilingShare = 1; ///< largest share of the team's work that this service may use
    std::vector<ViewWorkKind> workKinds;
    int defaultDeadlineMs = 0; ///< deadline of requests that don't set one
    std::vector<std::size_t> targets; ///< indexes into View::targets; includes targets in state Leaving and Down
};

/// A key that seals and opens tokens. It must never be written to a log.
struct TokenKey {
    Id teamId = 0;
    int epoch = 0; ///< number of the key epoch, see KeyEpoch
    MacKey key{}; ///< derived from the secret of the epoch
    WallTime validUntil = 0; ///< tokens of this epoch are refused from this time on; 0: no limit
};

/// A validated view with indexes for lookup.
struct View {
    std::int64_t generation = 0; ///< number of the view; the agent gives each changed view a higher one
    std::string dataCentre; ///< data centre of the balancer that uses the view
    std::vector<ViewMember> members;
    std::vector<ViewTarget> targets;
    std::vector<ViewService> services;
    std::vector<TokenKey> keys; ///< for each team, the epoch that new tokens use comes first
    std::unordered_map<Id, std::size_t> targetIndex; ///< positions in targets, by target id
    std::unordered_map<Id, std::size_t> serviceIndex; ///< positions in services, by service id
    std::unordered_map<Id, std::size_t> memberIndex; ///< positions in members, by instance id
};

/// Validates a view from the agent and builds its indexes.
/// @throws ViewError when a value is out of range, an id or a port occurs twice, or a target names an unknown service
View parseView(const wire::NodeView &from);

/// @return the target with this id, or nullptr when the view doesn't contain it
const ViewTarget *findTarget(const View &view, Id target);

/// @return the service with this id, or nullptr when the view doesn't contain it
const ViewService *findService(const View &view, Id service);

/// @return the member on this instance, regardless of its incarnation, or nullptr when the view doesn't contain one
const ViewMember *findMember(const View &view, Id instance);

/// @return the key under which new tokens of the team are sealed, or nullptr when the team has no key
const TokenKey *newestKey(const View &view, Id teamId);

/// @return whether the view contains the instance as a member with this incarnation and in state Alive or Suspect
bool isServing(const View &view, const InstanceKey &instance);

/// Chooses the witness for a new pair of balancers: a serving member of the view's data centre other than @p home.
/// Rendezvous hashing of the flow distributes the witnesses evenly over the members.
/// @param home the first balancer of the pair
/// @param flow identifier of the flow
/// @return the witness, or an empty key when there is no other serving member
InstanceKey chooseWitness(const View &view, const InstanceKey &home, std::int64_t flow);

/// The two balancers that keep the records of a flow's at-most-once requests.
struct HomePair {
    InstanceKey home; ///< the balancer that is responsible for the flow
    InstanceKey witness; ///< the balancer that holds copies of the records; empty when there is no second balancer
};

/// Chooses the pair of balancers for a new token: the balancer that issues the token and a witness, or two other
/// balancers when the issuing one is stopping, as far as there are others.
/// @param own the balancer that issues the token; it counts as stopping when it isn't serving according to the view
/// @param flow identifier of the flow
HomePair choosePair(const View &view, const InstanceKey &own, std::int64_t flow);

/// Adds or replaces the balancer's own member in a view. The view may be older than the present run of the process and
/// contain an earlier incarnation.
/// @param own this balancer with its present incarnation and state
void setOwnMember(View &view, const ViewMember &own);

/// Members that left a message unacknowledged although they are serving according to the view. The view shows a crash only
/// after membership has detected it; until then, new pairs and dispatchers should not be placed on such a member.
struct SilentMembers {
    std::unordered_map<InstanceKey, Time> until; ///< for each silent member, the time until which it isn't used
};

/// Time for which a silent member isn't used.
constexpr Time silentMemberTime = 5 * second;

/// Sets the state of all silent members that aren't dead to Leaving, so that they don't count as serving.
/// @param view view from the agent, with the balancer's own member set by setOwnMember()
/// @param silent the silent members; an entry applies to one incarnation of a member
void hideSilentMembers(View &view, const SilentMembers &silent);

} // namespace pimentofold
