#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <libnet/framedconnection.h>

#include <pimentofold/codec.h>
#include <pimentofold/metrics.h>
#include <pimentofold/random.h>
#include <pimentofold/targetlink.h>
#include <pimentofold/view.h>

/// TCP connections from the balancer to the targets.
namespace pimentofold {

/// A target of the view with its connection.
struct PooledTarget {
    TargetLink link; ///< protocol state: identity check, calls in flight, last status
    Address address;
    ViewTarget::State state = ViewTarget::State::Serving;
    int slots = 1; ///< requests that the target runs at the same time, from the view
    std::unique_ptr<FramedConnection> connection; ///< null while disconnected
    int failedAttempts = 0; ///< connections that have failed since the last successful identity check
    Time reconnectAt = 0; ///< monotonic time of the next connection attempt while disconnected
    std::int64_t answered = 0; ///< answers received
    std::int64_t shed = 0; ///< answers with outcome Shed: the target refused the request for lack of room
};

/// Keeps a connection to each target of the view, checks the identity of the target before anything else is sent, and
/// matches answers to calls.
class TargetPool
{
public:
    struct Callbacks {
        /// An answer has arrived to the call that was started with @c context.
        std::function<void(std::uint64_t context, const wire::TargetFrame &frame, PooledTarget &target)> onAnswer;
        /// The connection was lost before the call that was started with @c context was answered. The call may have run.
        std::function<void(std::uint64_t context, PooledTarget &target)> onLost;
        /// The target has sent a status, or its identity check has succeeded.
        std::function<void(PooledTarget &target)> onStatus;
        /// The reachability, health or draining state of a target has changed; @c what names the cause for the log.
        std::function<void(PooledTarget &target, const std::string &what)> onChange;
    };

    /// @param metrics receives the counts of malformed frames, unmatched answers and wrong identities
    /// @param random spreads the delays between connection attempts
    TargetPool(Callbacks callbacks, Metrics &metrics, Random &random);

    /// Applies the targets of a view: connects to new targets, and disconnects and forgets targets that the view no longer
    /// lists or lists with another address. Calls in flight to a disconnected target are reported through onLost.
    void apply(const View &view);

    /// @return the target, or nullptr when the view doesn't list it
    PooledTarget *find(Id target);

    /// Sends a frame that the target answers.
    /// @param frame its call number and service id are set by this function
    /// @param context passed to onAnswer or onLost
    /// @return the call number, or 0 when the connection isn't ready and nothing was sent
    std::int64_t call(PooledTarget &target, wire::TargetFrame &frame, std::uint64_t context);

    /// Sends a frame that the target doesn't answer. The frame is dropped when the connection isn't ready.
    void notify(PooledTarget &target, const wire::TargetFrame &frame);

    /// Reconnects to disconnected targets, closes connections whose identity check has timed out, and sends Subscribe on
    /// quiet connections to request a status. Call every 100 ms.
    void tick();

    /// @return all targets, by id
    const std::unordered_map<Id, std::unique_ptr<PooledTarget>> &targets() const;

private:
    void connect(PooledTarget &target);
    void onFrame(PooledTarget &target, std::string_view payload);
    void onClosed(PooledTarget &target, const std::string &reason);
    void handleOutcome(PooledTarget &target, const FrameOutcome &outcome);
    void disconnect(PooledTarget &target, const std::string &reason);
    void send(PooledTarget &target, const wire::TargetFrame &frame);

    Callbacks m_callbacks;
    Metrics &m_metrics;
    Random &m_random;
    Codec m_codec;
    wire::TargetFrame m_frame; ///< the received frame that is being handled
    std::unordered_map<Id, std::unique_ptr<PooledTarget>> m_targets;
};

} // namespace pimentofold
