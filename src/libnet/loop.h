#pragma once

#include <exception>
#include <functional>

#include <ev.h>

#include <pimentofold/types.h>

/// The event loop of a process: one loop on one thread, with timers and signals as owned objects.
namespace pimentofold {

/// @return monotonic time in microseconds
Time monotonicNow();

/// A repeating or single timer that stops when it is destroyed.
class Timer
{
public:
    explicit Timer(std::function<void()> callback);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    /// Starts or restarts the timer.
    /// @param delay to the first call
    /// @param interval between further calls; 0 for a single call
    void start(Time delay, Time interval = 0);
    void stop();

private:
    ev_timer m_watcher{};
    std::function<void()> m_callback;
};

/// Readiness of a descriptor; stops watching when it is destroyed and doesn't close the descriptor.
class IoWatcher
{
public:
    explicit IoWatcher(std::function<void(int events)> callback);
    ~IoWatcher();
    IoWatcher(const IoWatcher &) = delete;
    IoWatcher &operator=(const IoWatcher &) = delete;

    /// @param descriptor to watch
    /// @param events EV_READ, EV_WRITE or both; 0 stops watching
    void watch(int descriptor, int events);

private:
    ev_io m_watcher{};
    std::function<void(int)> m_callback;
};

/// Keeps SIGTERM and SIGINT pending until StopSignals exists, so that a signal during the start of a program is handled
/// like a later one. To be called before anything tells that the program runs.
void holdStopSignals();

/// Calls @p onStop at the first SIGTERM or SIGINT; a second one ends the process at once with status 1.
class StopSignals
{
public:
    explicit StopSignals(std::function<void()> onStop);
    ~StopSignals();
    StopSignals(const StopSignals &) = delete;
    StopSignals &operator=(const StopSignals &) = delete;

private:
    static void handle(struct ev_loop *loop, ev_signal *watcher, int revents);

    ev_signal m_terminate{};
    ev_signal m_interrupt{};
    std::function<void()> m_onStop;
    int m_seen = 0;
};

/// Calls @p onReload at each SIGHUP.
class ReloadSignal
{
public:
    explicit ReloadSignal(std::function<void()> onReload);
    ~ReloadSignal();
    ReloadSignal(const ReloadSignal &) = delete;
    ReloadSignal &operator=(const ReloadSignal &) = delete;

private:
    ev_signal m_watcher{};
    std::function<void()> m_onReload;
};

/// Lets the process go on after an unexpected exception of a callback, so that one message can't end it.
/// @param handler gets each exception, for the log; must not throw. Without a handler an exception leaves runLoop().
void setLoopErrorHandler(std::function<void(const std::exception &)> handler);

/// Calls @p callback, and the error handler if it throws. For callbacks that handle one of several messages.
void runGuarded(const std::function<void()> &callback);

/// Runs the default loop until stopLoop().
void runLoop();
void stopLoop();

} // namespace pimentofold
