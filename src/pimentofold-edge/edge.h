#pragma once

#include <exception>
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
#include <pimentofold/balancing/traffic.h>
#include <pimentofold/edgecodec.h>
#include <pimentofold/edgeforward.h>
#include <pimentofold/edgesettings.h>
#include <pimentofold/eventlog.h>
#include <pimentofold/metrics.h>
#include <pimentofold/replication/storereplication.h>
#include <pimentofold/settingschange/settingschange.h>

namespace pimentofold {

/// An edge node's process: connects the library's packet forwarding and store replication with sockets, timers, log and metrics.
class Edge
{
public:
    /// Opens the sockets, contacts the seeds and starts to forward packets.
    /// @param settings from the platform: name, place and addresses of this node
    /// @param options thresholds and intervals
    Edge(const EdgeSettings &settings, const EdgeOptions &options);

    /// Applies changed settings as a whole, or refuses all of them when a field has changed that needs a restart.
    void reload(const EdgeSettings &settings);
    /// Logs that changed settings are not applied. The previous ones stay in force.
    void refuseReload(const RefusedSettings &refused);

    /// Logs and counts an exception that ended the handling of a message or timer.
    void logUnexpectedError(const std::exception &error);

    /// Starts the planned stop: the readiness check fails from now on, and the node forwards packets until the fabric sends no
    /// more or the stop limit is near. Then the event loop ends.
    void stop();

private:
    /// Takes over the platform's bounds of flows and drains.
    void applyBounds(const EdgeSettings &settings);
    void onPacket(std::string_view bytes);
    /// Decodes and forwards a caller's packet.
    /// @param heldFor time since the packet has arrived
    void handlePacketBytes(std::string_view bytes, Time heldFor, Time now);
    /// Sends the packets and notices that the forwarder returned, and logs its events.
    void send(const ForwardOutput &out, Time now);
    /// Logs when the process did not run for some time.
    void checkForPause(Time now);
    /// Handles the messages of other nodes that have arrived while this process didn't run, since what it is about to do may no
    /// longer hold.
    /// @return whether the process has not run for a moment
    bool readMissedMessages(Time now);
    /// Places what other nodes have relayed, after their messages have been read.
    void onMessagesRead();
    void onForwardTick();
    /// Logs when slow start stops to use cold targets, because this node has lost the majority, and when it uses them again.
    void logSlowStart();
    /// Turns reachability on or off, as the settings say.
    void configureReachability();
    /// Records a sign of life of a node.
    void onHeard(Id node);
    /// Logs which data centres have become reachable or unreachable, and changes of the readiness that follow from it.
    void logReachability(Time now);
    void scheduleForwardTick();

    void onPeerMessage(const wire::EdgeMessage &message, const Address &from);
    void onMembersChanged();
    void onHeartbeat(const wire::EdgeMessage &message, const Address &from, Time now);
    void onFetch(const wire::EdgeMessage &message, const Address &from, Time now);
    void onEvacuations(const wire::EdgeMessage &message);
    /// Turns evacuations on or off, as the settings say.
    void configureEvacuations();
    /// Takes over the evacuations of the table after an update: logs the differences and derives the dispatchers again.
    /// @param source "store", "peer" or "settings"
    /// @param age time since the leader's state was confirmed by the store
    void announceEvacuations(std::string_view source, Time age);
    /// Adds the evacuations to a message.
    void addEvacuations(wire::EdgeMessage &message) const;
    void onChanges(const wire::EdgeMessage &message, Time now);
    void onPlaceRequest(const wire::EdgeMessage &message, Time now);
    void onFlowNotice(const wire::EdgeMessage &message, Time now);
    /// Sends evidence against targets to their owners, and verdicts to all nodes.
    void sendLossMessages(const ForwardOutput &out);
    std::vector<wire::EdgeMessage> verdictMessages(const std::vector<LostTarget> &lost) const;
    void onTargetSuspected(const wire::EdgeMessage &message, Time now);
    void onTargetLost(const wire::EdgeMessage &message, Time now);
    /// Handles a question for a flow's location, an answer or a report.
    void onLocationMessage(const wire::EdgeMessage &message, Time now);
    void onDispatchLoads(const wire::EdgeMessage &message, Time now);
    /// Sends the load reports, and logs the changes of the share of flows that leaves the data centre.
    void sendLoadReports(const ForwardOutput &out);
    void sendLocation(const LocationMessage &location);
    void sendFlowNotice(wire::EdgeKind::type kind, Id to, const FlowKey &flow, std::uint64_t target);
    void sendRefusedNotice(const RefusedNotice &notice);
    wire::EdgeMessage newMessage(wire::EdgeKind::type kind) const;
    /// @param acceptLarge whether the peer should send its changes even if they take more than maxParts datagrams
    wire::EdgeMessage fetchMessage(bool acceptLarge) const;
    /// Handles a peer's response that it has too many changes to send.
    void onChangesTooLarge(const Address &from, Time now);

    void configureReplication();
    void startReplication();
    void onReplicationTick();
    /// Starts or ends leading, requests missing changes from peers, and sends a heartbeat if one is due.
    void updateReplication(Time now);
    /// Records and logs whether the store answers this node.
    void refreshStoreHealth(Time now);
    /// Requests the state from a seed or a random peer while the configuration or the targets are unknown.
    void fetchInitialState(Time now);
    void sendHeartbeat(Time now);
    /// Broadcasts changes that don't fit into a heartbeat.
    void broadcastChanges(const std::vector<wire::EdgeChanges> &parts);
    void onStoreAnswer();
    /// Derives the dispatchers again and handles packets that arrived before the configuration was known.
    void onStateChanged();
    /// Handles the stored packets of flows that can be placed now.
    void releaseEarlyPackets();
    HttpResponse readinessResponse() const;
    HttpResponse metricsResponse();
    /// Sets the metrics of flows that leave the data centre.
    void updateBalancingMetrics();
    /// Sets the counters of sent bytes by purpose and data centre.
    void updateTrafficMetrics();
    void onStopTick();

    EdgeSettings m_settings;
    EventLog m_log;
    LogBudget m_logBudget;
    Metrics m_metrics;
    EdgeForwarder m_forwarder;
    StoreReplication m_replication;
    ChangesAssembler m_changesAssembler;
    ScopedBytes m_targetBytes; ///< of packets sent to targets, with the target's id in front
    UdpSocket m_packets;
    HttpResponderServer m_readiness;
    std::unique_ptr<HttpResponderServer> m_metricsServer;
    PeerTransport m_peers;
    StoreClient m_store;
    RosterClient m_roster;
    bool m_rosterRequested = false; ///< the roster is read once, by a node that starts to lead without having found a peer
    Timer m_forwardTimer;
    Time m_forwardTimerAt = never; ///< when m_forwardTimer expires; never: it is not running
    Timer m_replicationTimer;
    Timer m_stopTimer;
    Time m_stopStartedAt = never; ///< never: no stop was requested
    Time m_lastPacketAt = 0;
    StoreRevision m_heartbeatConfigRevision; ///< revision of the configuration at this node's last heartbeat
    EvacuationState m_announcedEvacuations; ///< as of the last announceEvacuations()
    std::size_t m_initialFetches = 0; ///< number of requests for an initial state
    bool m_slowStartPaused = false; ///< as last logged
    std::vector<std::string> m_unreachableDataCentres; ///< as last logged
    bool m_reachabilityReady = true; ///< as last logged
    std::size_t m_heartbeatsSent = 0; ///< selects the relays of a broadcast
    std::size_t m_lossBroadcasts = 0; ///< selects the relays of a broadcast of lost targets
    Time m_storeReadAt = 0; ///< when the store was last read because a peer had too many changes to send
};

} // namespace pimentofold
