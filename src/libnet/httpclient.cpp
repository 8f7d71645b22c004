#include <libnet/httpclient.h>

#include <algorithm>
#include <cctype>
#include <unordered_map>
#include <utility>

#include <curl/curl.h>

namespace pimentofold {

namespace {

struct Transfer {
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
    std::string body;
    HttpResult result;
    std::function<void(const HttpResult &)> onDone;

    Transfer() = default;
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;
    ~Transfer()
    {
        curl_easy_cleanup(easy);
        curl_slist_free_all(headers);
    }
};

std::size_t appendBody(char *data, std::size_t size, std::size_t n, void *closure)
{
    static_cast<Transfer *>(closure)->result.body.append(data, size * n);
    return size * n;
}

std::size_t takeHeader(char *data, std::size_t size, std::size_t n, void *closure)
{
    std::string line(data, size * n);
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
        std::string key = line.substr(0, colon);
        std::transform(key.begin(), key.end(), key.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        const auto begin = line.find_first_not_of(' ', colon + 1);
        const auto end = line.find_last_not_of("\r\n ");
        if (begin != std::string::npos && end != std::string::npos && end >= begin) {
            static_cast<Transfer *>(closure)->result.headers[key] = line.substr(begin, end - begin + 1);
        }
    }
    return size * n;
}

} // namespace

struct HttpClient::State {
    CURLM *multi = nullptr;
    std::unique_ptr<Timer> timer;
    std::unordered_map<curl_socket_t, std::unique_ptr<IoWatcher>> watchers;
    std::unordered_map<CURL *, std::unique_ptr<Transfer>> transfers;

    void act(curl_socket_t descriptor, int events);
    void finishTransfers();
    static int onSocket(CURL *, curl_socket_t descriptor, int what, void *closure, void *);
    static int onTimer(CURLM *, long timeoutMs, void *closure);
};

int HttpClient::State::onSocket(CURL *, curl_socket_t descriptor, int what, void *closure, void *)
{
    auto *state = static_cast<State *>(closure);
    if (what == CURL_POLL_REMOVE) {
        // Called from within the watcher's own callback, so that the watcher is only stopped here.
        const auto it = state->watchers.find(descriptor);
        if (it != state->watchers.end()) {
            it->second->watch(descriptor, 0);
        }
        return 0;
    }
    auto &watcher = state->watchers[descriptor];
    if (!watcher) {
        watcher = std::make_unique<IoWatcher>([state, descriptor](int events) {
            const int curlEvents = ((events & EV_READ) != 0 ? CURL_CSELECT_IN : 0) | ((events & EV_WRITE) != 0 ? CURL_CSELECT_OUT : 0);
            state->act(descriptor, curlEvents);
        });
    }
    watcher->watch(descriptor, ((what & CURL_POLL_IN) != 0 ? EV_READ : 0) | ((what & CURL_POLL_OUT) != 0 ? EV_WRITE : 0));
    return 0;
}

int HttpClient::State::onTimer(CURLM *, long timeoutMs, void *closure)
{
    auto *state = static_cast<State *>(closure);
    if (timeoutMs < 0) {
        state->timer->stop();
    } else {
        state->timer->start(timeoutMs * millisecond);
    }
    return 0;
}

void HttpClient::State::act(curl_socket_t descriptor, int events)
{
    int running = 0;
    curl_multi_socket_action(multi, descriptor, events, &running);
    finishTransfers();
}

void HttpClient::State::finishTransfers()
{
    int left = 0;
    while (CURLMsg *message = curl_multi_info_read(multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        CURL *easy = message->easy_handle;
        const CURLcode code = message->data.result;
        auto node = transfers.extract(easy);
        const std::unique_ptr<Transfer> transfer = std::move(node.mapped());
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        curl_multi_remove_handle(multi, easy);
        transfer->result.status = code == CURLE_OK ? static_cast<int>(status) : 0;
        if (code != CURLE_OK) {
            transfer->result.error = curl_easy_strerror(code);
        }
        transfer->onDone(transfer->result);
    }
}

HttpClient::HttpClient()
    : m_state(std::make_unique<State>())
{
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)initialised;
    m_state->multi = curl_multi_init();
    State *state = m_state.get();
    m_state->timer = std::make_unique<Timer>([state] { state->act(CURL_SOCKET_TIMEOUT, 0); });
    curl_multi_setopt(m_state->multi, CURLMOPT_SOCKETFUNCTION, &State::onSocket);
    curl_multi_setopt(m_state->multi, CURLMOPT_SOCKETDATA, state);
    curl_multi_setopt(m_state->multi, CURLMOPT_TIMERFUNCTION, &State::onTimer);
    curl_multi_setopt(m_state->multi, CURLMOPT_TIMERDATA, state);
}

HttpClient::~HttpClient()
{
    for (const auto &[easy, transfer] : m_state->transfers) {
        curl_multi_remove_handle(m_state->multi, easy);
    }
    m_state->transfers.clear();
    curl_multi_cleanup(m_state->multi);
}

void HttpClient::start(const HttpCall &call, std::function<void(const HttpResult &)> onDone)
{
    auto transfer = std::make_unique<Transfer>();
    transfer->easy = curl_easy_init();
    transfer->body = call.body;
    transfer->onDone = std::move(onDone);
    CURL *easy = transfer->easy;
    curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    // The system's proxy settings are not meant for the platform's address.
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout / millisecond));
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(call.connectTimeout / millisecond));
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.newConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &takeHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer.get());
    if (!call.body.empty() || call.method == "PUT" || call.method == "POST") {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(transfer->body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->body.c_str());
    }
    // An Expect header costs a round trip for bodies above 1 KB.
    transfer->headers = curl_slist_append(transfer->headers, "Expect:");
    for (const auto &[key, value] : call.headers) {
        std::string line = key;
        line += ": ";
        line += value;
        transfer->headers = curl_slist_append(transfer->headers, line.c_str());
    }
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
    m_state->transfers.emplace(easy, std::move(transfer));
    curl_multi_add_handle(m_state->multi, easy);
}

std::size_t HttpClient::pending() const
{
    return m_state->transfers.size();
}

} // namespace pimentofold
