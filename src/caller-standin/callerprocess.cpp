#include <caller-standin/callerprocess.h>

#include <memory>
#include <optional>

#include <libnet/loop.h>
#include <libnet/udpsocket.h>

#include <pimentofold/codec.h>
#include <pimentofold/eventlog.h>

#include <caller-standin/calleradmin.h>
#include <caller-standin/callers.h>
#include <caller-standin/entrylist.h>
#include <caller-standin/flows.h>

namespace pimentofold {

namespace {

constexpr Time tickInterval = 5 * millisecond;
// Flows are closed at this rate at the end, so that their datagrams fit in the sockets' buffers.
constexpr std::size_t closesPerTick = 100;
constexpr Time stopLimit = 3 * second;

std::string listUrl(const CallerSettings &settings)
{
    const std::string url = "http://" + *settings.platform + "/v1/instances";
    return settings.dataCentre.empty() ? url : url + "?dc=" + settings.dataCentre;
}

class CallerProcess
{
public:
    explicit CallerProcess(const CallerSettings &settings)
        : m_settings(settings)
        , m_log{settings.node, {}}
        , m_callers(makeCallers(settings, monotonicNow()))
        , m_fabric{settings.seed + 1}
        , m_tick([this] { onTick(); })
        , m_signals([this] { startStop(); })
    {
        for (int i = 0; i < settings.sockets; ++i) {
            m_sockets.push_back(std::make_unique<UdpSocket>(Address{parseIp(settings.ip), 0},
                                                            [this](std::string_view bytes, const Address &from) { onDatagram(bytes, from); }));
        }
        m_admin = serveCallerAdmin(parseAddress(settings.adminAddress), m_callers);
        if (settings.platform) {
            m_entries.emplace(listUrl(settings), settings.platformInterval, [this](const std::string &team, const std::vector<std::uint32_t> &numbers) {
                setBalancers(team, numbers);
            });
        }
        m_tick.start(tickInterval, tickInterval);
        logEvent(m_log, "serving", {{"groups", m_callers.groups.size()}, {"admin", settings.adminAddress}});
    }

private:
    void onDatagram(std::string_view bytes, const Address &from)
    {
        wire::CallerPacket packet;
        try {
            m_codec.decode(bytes, packet);
        } catch (const DecodeError &) {
            ++m_callers.counts.phase().malformed;
            return;
        }
        receive(m_callers, packet, from.port, monotonicNow());
        deliver();
    }

    void onTick()
    {
        tick(m_callers, monotonicNow());
        if (m_stopping) {
            closeSome();
        }
        deliver();
    }

    void setBalancers(const std::string &team, const std::vector<std::uint32_t> &numbers)
    {
        for (Group &it : m_callers.groups) {
            if (it.settings.team == team) {
                it.settings.balancers = numbers;
            }
        }
    }

    /// Sends what the callers produced. The fabric may lose a datagram or deliver it twice.
    void deliver()
    {
        for (const Sending &it : m_callers.out) {
            const int copies = chance(m_fabric, m_settings.duplicateShare) ? 2 : 1;
            for (int i = 0; i < copies; ++i) {
                if (!chance(m_fabric, m_settings.lossShare)) {
                    sendToAnyBalancer(it);
                    noteDelivered(m_callers, it.packet);
                }
            }
        }
        m_callers.out.clear();
    }

    void sendToAnyBalancer(const Sending &sending)
    {
        const GroupSettings &group = m_callers.groups[sending.group].settings;
        if (group.balancers.empty()) {
            return;
        }
        const Address to{group.balancers[below(m_fabric, group.balancers.size())], group.port};
        const auto socket = static_cast<std::uint64_t>(sending.packet.flow) % m_sockets.size();
        m_sockets[socket]->send(m_codec.encode(sending.packet), to);
    }

    void startStop()
    {
        logEvent(m_log, "stopping", {{"flows", m_callers.flows.size()}});
        for (Group &it : m_callers.groups) {
            it.settings.flows = 0;
            it.running.assign(it.running.size(), false);
        }
        m_stopping = true;
        m_stopAt = monotonicNow() + stopLimit;
    }

    void closeSome()
    {
        std::size_t left = closesPerTick;
        for (Group &group : m_callers.groups) {
            for (auto &list : group.openFlows) {
                for (; left > 0 && !list.empty(); --left) {
                    closeFlow(m_callers, list.back(), monotonicNow());
                }
            }
        }
        if (m_callers.flows.empty() || monotonicNow() >= m_stopAt) {
            logEvent(m_log, "stopped", {{"flows", m_callers.flows.size()}});
            stopLoop();
        }
    }

    const CallerSettings &m_settings;
    EventLog m_log;
    Callers m_callers;
    Random m_fabric;
    Codec m_codec;
    std::vector<std::unique_ptr<UdpSocket>> m_sockets;
    std::unique_ptr<HttpServer> m_admin;
    std::optional<EntryList> m_entries;
    bool m_stopping = false;
    Time m_stopAt = never;
    Timer m_tick;
    StopSignals m_signals;
};

} // namespace

void serveCallers(const CallerSettings &settings)
{
    const CallerProcess process(settings);
    runLoop();
}

} // namespace pimentofold
