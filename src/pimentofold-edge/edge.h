#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>

#include <libnet/loop.h>
#include <libnet/streamhttp.h>
#include <libnet/udpsocket.h>
#include <pimentofold/edgeforward.h>
#include <pimentofold/edgesettings.h>
#include <pimentofold/eventlog.h>
#include <pimentofold/storefollow.h>
#include <platform/storecalls.h>

/// The process of an edge node: sockets, timers and the store's calls around the library.
namespace pimentofold {

class Edge
{
public:
    explicit Edge(const EdgeSettings &settings);

    /// Starts the planned stop: readiness ends at once, forwarding goes on until the fabric sends nothing more.
    void stop();

private:
    struct Follower {
        platform::StoreKind kind;
        StoreFollow follow;
        HttpConnection connection;
        Timer timer;

        Follower(platform::StoreKind storeKind, const Address &store, std::function<void()> onTimer);
    };

    void onPacket(std::string_view bytes);
    void handle(std::string_view bytes, Time now);
    void send(const ForwardOutput &out);
    void onTick();
    void scheduleTick();
    void runFollower(Follower &follower);
    void onAnswer(Follower &follower, const HttpResult &result);
    void applyObject(Follower &follower, const platform::StoreObject &object, Time now);
    void finishList(Follower &follower, Time now);
    void releaseHeld();
    HttpResponse ready() const;
    void onStopTick();

    EdgeSettings m_settings;
    EventLog m_log;
    EdgeForwarder m_forwarder;
    UdpSocket m_packets;
    HttpResponderServer m_readiness;
    Follower m_config;
    Follower m_targets;
    Timer m_tick;
    Time m_tickAt = never;
    Timer m_stopTimer;
    Time m_stopAt = never;
    Time m_packetAt = 0;
    bool m_listed = false;
};

} // namespace pimentofold
