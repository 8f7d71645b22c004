#pragma once

#include <list>
#include <memory>
#include <string>
#include <vector>

#include <libnet/httpserver.h>
#include <libnet/loop.h>
#include <libstandin/platformstore.h>

#include <pimentofold/settings.h>

/// The platform's object API over HTTP, with the faults that /admin/faults switches on.
namespace pimentofold::standin {

/// Settings file of the program: {"listen": "127.0.0.1:8080", "seed": 1}.
struct PlatformSettings {
    std::string listen;
    std::uint64_t seed = 1; ///< of the random numbers that decide which answers are lost or stale
};

/// @throws SettingsError
PlatformSettings parsePlatformSettings(SettingsObject top);

/// Serves the API until it is destroyed.
class PlatformService
{
public:
    /// @throws std::runtime_error when the address can't be bound
    explicit PlatformService(const PlatformSettings &settings);

    /// Answers the waiting watches, so that clients see the end of the service at once.
    void finishWatches();

private:
    struct Watch {
        std::int64_t since = 0;
        Time until = 0;
        KindFilter kinds;
        HttpResponder respond;
    };
    struct DelayedAnswer {
        Time due = 0;
        HttpResponder respond;
        HttpResponse response;
    };

    void handle(const HttpRequest &request, const HttpResponder &respond);
    void handleApi(const HttpRequest &request, const HttpResponder &respond);
    void handleAdmin(const HttpRequest &request, const HttpResponder &respond);
    void startWatch(const HttpRequest &request, const HttpResponder &respond);
    void handleObject(const HttpRequest &request, const HttpResponder &respond);
    void write(const HttpRequest &request, const ObjectName &name, const HttpResponder &respond);
    HttpResponse setFaults(const HttpRequest &request);
    HttpResponse setInstance(const HttpRequest &request);
    void answer(const HttpResponder &respond, HttpResponse response);
    void answerLater(const HttpResponder &respond, HttpResponse response, Time delay);
    void serveWatches();
    void tick();

    PlatformStore m_store;
    Random m_random;
    std::list<Watch> m_watches;
    std::list<DelayedAnswer> m_delayed;
    Timer m_timer;
    HttpServer m_server;
};

} // namespace pimentofold::standin
