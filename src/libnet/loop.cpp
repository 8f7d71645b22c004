#include <libnet/loop.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <utility>

namespace pimentofold {

namespace {

double toSeconds(Time duration)
{
    return static_cast<double>(duration) / static_cast<double>(second);
}

std::function<void(const std::exception &)> &errorHandler()
{
    static std::function<void(const std::exception &)> handler;
    return handler;
}

} // namespace

Time monotonicNow()
{
    using namespace std::chrono;
    return duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
}

Timer::Timer(std::function<void()> callback)
    : m_callback(std::move(callback))
{
    ev_init(&m_watcher, [](struct ev_loop *, ev_timer *watcher, int) {
        // The callback may destroy or restart the timer, so that nothing of it is touched afterwards.
        runGuarded(static_cast<Timer *>(watcher->data)->m_callback);
    });
    m_watcher.data = this;
}

Timer::~Timer()
{
    stop();
}

void Timer::start(Time delay, Time interval)
{
    stop();
    ev_now_update(EV_DEFAULT);
    ev_timer_set(&m_watcher, toSeconds(delay), toSeconds(interval));
    ev_timer_start(EV_DEFAULT, &m_watcher);
}

void Timer::stop()
{
    ev_timer_stop(EV_DEFAULT, &m_watcher);
}

IoWatcher::IoWatcher(std::function<void(int)> callback)
    : m_callback(std::move(callback))
{
    ev_init(&m_watcher,
            [](struct ev_loop *, ev_io *watcher, int revents) { runGuarded([&] { static_cast<IoWatcher *>(watcher->data)->m_callback(revents); }); });
    m_watcher.data = this;
}

IoWatcher::~IoWatcher()
{
    ev_io_stop(EV_DEFAULT, &m_watcher);
}

void IoWatcher::watch(int descriptor, int events)
{
    if (ev_is_active(&m_watcher) && m_watcher.fd == descriptor && (m_watcher.events & (EV_READ | EV_WRITE)) == events) {
        return;
    }
    ev_io_stop(EV_DEFAULT, &m_watcher);
    if (events != 0) {
        ev_io_set(&m_watcher, descriptor, events);
        ev_io_start(EV_DEFAULT, &m_watcher);
    }
}

namespace {

sigset_t stopSignalSet()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void holdStopSignals()
{
    const sigset_t signals = stopSignalSet();
    sigprocmask(SIG_BLOCK, &signals, nullptr);
}

void StopSignals::handle(struct ev_loop *, ev_signal *watcher, int)
{
    auto *self = static_cast<StopSignals *>(watcher->data);
    if (++self->m_seen > 1) {
        std::_Exit(1);
    }
    self->m_onStop();
}

StopSignals::StopSignals(std::function<void()> onStop)
    : m_onStop(std::move(onStop))
{
    // Writes to a connection that the other side has closed report EPIPE instead.
    std::signal(SIGPIPE, SIG_IGN);
    ev_signal_init(&m_terminate, &StopSignals::handle, SIGTERM);
    ev_signal_init(&m_interrupt, &StopSignals::handle, SIGINT);
    m_terminate.data = this;
    m_interrupt.data = this;
    ev_signal_start(EV_DEFAULT, &m_terminate);
    ev_signal_start(EV_DEFAULT, &m_interrupt);
    const sigset_t signals = stopSignalSet();
    sigprocmask(SIG_UNBLOCK, &signals, nullptr);
}

StopSignals::~StopSignals()
{
    ev_signal_stop(EV_DEFAULT, &m_terminate);
    ev_signal_stop(EV_DEFAULT, &m_interrupt);
}

ReloadSignal::ReloadSignal(std::function<void()> onReload)
    : m_onReload(std::move(onReload))
{
    ev_signal_init(
        &m_watcher, [](struct ev_loop *, ev_signal *watcher, int) { static_cast<ReloadSignal *>(watcher->data)->m_onReload(); }, SIGHUP);
    m_watcher.data = this;
    ev_signal_start(EV_DEFAULT, &m_watcher);
    ev_unref(EV_DEFAULT);
}

ReloadSignal::~ReloadSignal()
{
    ev_ref(EV_DEFAULT);
    ev_signal_stop(EV_DEFAULT, &m_watcher);
}

void setLoopErrorHandler(std::function<void(const std::exception &)> handler)
{
    errorHandler() = std::move(handler);
}

void runGuarded(const std::function<void()> &callback)
{
    if (!errorHandler()) {
        callback();
        return;
    }
    try {
        callback();
    } catch (const std::exception &error) {
        errorHandler()(error);
    }
}

void runLoop()
{
    ev_run(EV_DEFAULT, 0);
}

void stopLoop()
{
    ev_break(EV_DEFAULT, EVBREAK_ALL);
}

} // namespace pimentofold
