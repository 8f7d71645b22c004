#pragma once

#include <map>
#include <memory>

#include <libnet/logwriter.h>
#include <libnet/loop.h>
#include <libnet/streamhttp.h>
#include <libnet/udpsocket.h>
#include <pimentofold-edge/edgeoptions.h>
#include <pimentofold-edge/peertransport.h>
#include <pimentofold-edge/rosterclient.h>
#include <pimentofold-edge/storeclient.h>
#include <pimentofold/edgecodec.h>
#include <pimentofold/edgeforward.h>
#include <pimentofold/edgesettings.h>
#include <pimentofold/eventlog.h>
#include <pimentofold/metrics.h>
#include <pimentofold/storereplication.h>

/// The process of an edge node: sockets and timers around the library.
namespace pimentofold {

class Edge
{
public:
    Edge(const EdgeSettings &settings, const EdgeOptions &options);

    /// Takes over changed settings. Addresses of this node only change with a restart.
    void reload(const EdgeSettings &settings);
    /// Logs that changed settings can't be used; the old ones stay in force.
    void refuseReload(const std::string &problem);

    /// Starts the planned stop: readiness ends at once, forwarding goes on until the fabric sends nothing more.
    void stop();

private:
    void onPacket(std::string_view bytes);
    void handle(std::string_view bytes, Time now);
    void send(const ForwardOutput &out, Time now);
    void noteRunning(Time now);
    void onTick();
    void scheduleTick();

    void onPeerMessage(const wire::EdgeMessage &message, const Address &from);
    void onMembers();
    void onBeat(const wire::EdgeMessage &message, const Address &from, Time now);
    void onFetch(const wire::EdgeMessage &message, const Address &from, Time now);
    void onChanges(const wire::EdgeMessage &message, Time now);
    void onPlace(const wire::EdgeMessage &message, Time now);
    void onNotice(const wire::EdgeMessage &message, Time now);
    void sendNotice(wire::EdgeKind::type kind, Id to, const FlowKey &flow, std::uint64_t target);
    wire::EdgeMessage newMessage(wire::EdgeKind::type kind) const;
    wire::EdgeMessage fetchMessage(bool evenIfLarge) const;
    void onLarge(const Address &from, Time now);

    void prepareSharing();
    void startSharing();
    void onShareTick();
    void tickShare(Time now);
    void noteStoreContact(Time now);
    void fetchFirst(Time now);
    void sendBeat(Time now);
    void broadcastParts(const std::vector<wire::EdgeChanges> &parts);
    void onStoreChange();
    void afterChange();
    HttpResponse ready() const;
    HttpResponse metricsPage();
    void onStopTick();

    EdgeSettings m_settings;
    EventLog m_log;
    LogBudget m_budget;
    Metrics m_metrics;
    EdgeForwarder m_forwarder;
    StoreShare m_share;
    ChangesAssembler m_partial; ///< changes of which parts are missing
    UdpSocket m_packets;
    HttpResponderServer m_readiness;
    std::unique_ptr<HttpResponderServer> m_metricsServer;
    PeerLink m_peers;
    StoreLink m_store;
    RosterLink m_roster;
    bool m_rosterAsked = false;
    Timer m_tick;
    Time m_tickAt = never;
    Timer m_shareTick;
    Timer m_stopTimer;
    Time m_stopAt = never;
    Time m_packetAt = 0;
    std::int64_t m_beatConfig = 0; ///< revision of the configuration at the last own beat
    std::size_t m_fetches = 0; ///< requests for a first state
    std::size_t m_beats = 0;
    Time m_readAt = 0; ///< when the store was read for a peer's sake
};

} // namespace pimentofold
