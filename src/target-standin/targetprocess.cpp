#include <target-standin/targetprocess.h>

#include <algorithm>
#include <memory>
#include <optional>

#include <libnet/loop.h>

#include <pimentofold/eventlog.h>

#include <target-standin/registration.h>
#include <target-standin/targetadmin.h>

namespace pimentofold {

namespace {

constexpr Time stopCheckInterval = 50 * millisecond;
// Bound on the wait for the platform to take the removal from its list.
constexpr Time withdrawLimit = 2 * second;

class TargetProcess
{
public:
    explicit TargetProcess(const TargetSettings &settings)
        : m_settings(settings)
        , m_log{settings.node, {}}
        , m_stopCheck([this] { checkStop(); })
        , m_signals([this] { startStop(); })
    {
        for (std::size_t i = 0; i < settings.servers.size(); ++i) {
            m_servers.push_back(std::make_unique<BackendServer>(settings.servers[i], settings.faults[i]));
        }
        m_admin = serveTargetAdmin(parseAddress(settings.adminAddress), m_servers, [this](const BackendServer &it) { onDrain(it); });
        if (settings.platform) {
            m_registration.emplace(*settings.platform);
            for (const BackendSettings &it : settings.servers) {
                m_registration->announce(it, "live");
            }
        }
        logEvent(m_log, "serving", {{"servers", m_servers.size()}, {"admin", settings.adminAddress}});
    }

private:
    void onDrain(const BackendServer &server)
    {
        const Backend &backend = server.state();
        const bool draining = backend.drainingSince.has_value();
        logEvent(m_log, draining ? "draining" : "drain_ended", {{"instance", backend.settings.instance}, {"flows", backend.flows.size()}});
        if (m_registration) {
            m_registration->announce(backend.settings, draining ? "leaving" : "live");
        }
    }

    void startStop()
    {
        logEvent(m_log, "stopping", {});
        for (const auto &it : m_servers) {
            it->setDraining(true);
            onDrain(*it);
        }
        m_stopAt = monotonicNow() + m_settings.drainLimit;
        m_stopCheck.start(0, stopCheckInterval);
    }

    void checkStop()
    {
        const Time now = monotonicNow();
        if (!m_withdrawn) {
            const bool idle = std::all_of(m_servers.begin(), m_servers.end(), [](const auto &it) { return isIdle(it->state()); });
            if (!idle && now < m_stopAt) {
                return;
            }
            withdraw(now);
        }
        if (!m_registration || m_registration->isSettled() || now >= m_stopAt) {
            logEvent(m_log, "stopped", {});
            stopLoop();
        }
    }

    void withdraw(Time now)
    {
        m_withdrawn = true;
        m_stopAt = now + withdrawLimit;
        if (m_registration) {
            for (const BackendSettings &it : m_settings.servers) {
                m_registration->withdraw(it);
            }
        }
    }

    const TargetSettings &m_settings;
    EventLog m_log;
    std::vector<std::unique_ptr<BackendServer>> m_servers;
    std::unique_ptr<HttpServer> m_admin;
    std::optional<Registration> m_registration;
    bool m_withdrawn = false;
    Time m_stopAt = never;
    Timer m_stopCheck;
    StopSignals m_signals;
};

} // namespace

void serveTargets(const TargetSettings &settings)
{
    const TargetProcess process(settings);
    runLoop();
}

} // namespace pimentofold
