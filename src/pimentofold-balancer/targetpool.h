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

/// TCP connections to all targets of the view.
namespace pimentofold {

/// A target with its connection.
struct PooledTarget {
    TargetLink link;
    Address address;
    ViewTarget::State state = ViewTarget::State::Serving;
    int slots = 1;
    std::unique_ptr<FramedConnection> connection;
    int failures = 0; ///< connection attempts that failed in a row
    Time retryAt = 0;
    std::int64_t answered = 0;
    std::int64_t shed = 0;
};

class TargetPool
{
public:
    struct Callbacks {
        /// An answer to the call that was started with this context.
        std::function<void(std::uint64_t context, const wire::TargetFrame &frame, PooledTarget &target)> onAnswer;
        /// The connection broke under the call; it may have run.
        std::function<void(std::uint64_t context, PooledTarget &target)> onLost;
        /// The target has sent a status.
        std::function<void(PooledTarget &target)> onStatus;
        /// Reachability, health or drain of a target has changed.
        std::function<void(PooledTarget &target, const std::string &what)> onChange;
    };

    /// @param metrics counts unmatched answers and wrong identities
    TargetPool(Callbacks callbacks, Metrics &metrics, Random &random);

    /// Takes over the targets of a view: connects to new ones, closes those that are gone and idle.
    void apply(const View &view);

    /// @return the target, or nullptr when the pool doesn't have it
    PooledTarget *find(Id target);

    /// Sends a frame as a call.
    /// @param frame its call number is set
    /// @return the call number, or 0 when the target's connection isn't ready
    std::int64_t call(PooledTarget &target, wire::TargetFrame &frame, std::uint64_t context);

    /// Sends a frame without a call, if the connection is ready.
    void notify(PooledTarget &target, const wire::TargetFrame &frame);

    /// Reconnects, subscribes to silent targets and gives up overdue identity checks. To be called each 100 ms.
    void tick();

    const std::unordered_map<Id, std::unique_ptr<PooledTarget>> &targets() const;

private:
    void connect(PooledTarget &target);
    void onFrame(PooledTarget &target, std::string_view payload);
    void onClosed(PooledTarget &target, const std::string &reason);
    void handle(PooledTarget &target, const FrameOutcome &outcome);
    void drop(PooledTarget &target, const std::string &reason);
    void send(PooledTarget &target, const wire::TargetFrame &frame);

    Callbacks m_callbacks;
    Metrics &m_metrics;
    Random &m_random;
    Codec m_codec;
    wire::TargetFrame m_frame;
    std::unordered_map<Id, std::unique_ptr<PooledTarget>> m_targets;
};

} // namespace pimentofold
