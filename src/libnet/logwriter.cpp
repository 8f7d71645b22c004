#include <libnet/logwriter.h>

#include <algorithm>
#include <climits>
#include <utility>

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

namespace pimentofold {

namespace {

constexpr Time retryInterval = 100 * millisecond;
constexpr const char *callbackName = "LogWriter";

LogWriter *currentWriter = nullptr;

class WriterCallback : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        if (currentWriter != nullptr && data->dispatchAction() == el::base::DispatchAction::NormalLog) {
            currentWriter->add(data->logMessage()->message());
        }
    }
};

/// A descriptor shared with others stays blocking; a write of this many bytes to one that is ready doesn't wait.
bool isWritable(int descriptor)
{
    pollfd it{descriptor, POLLOUT, 0};
    return poll(&it, 1, 0) == 1 && (it.revents & POLLOUT) != 0;
}

} // namespace

LogWriter::LogWriter(int descriptor)
    : m_descriptor(descriptor)
    , m_retry([this] { flush(); })
{
    currentWriter = this;
    el::Helpers::installLogDispatchCallback<WriterCallback>(callbackName);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    ev_prepare_init(&m_beforeWait, [](struct ev_loop *, ev_prepare *watcher, int) { static_cast<LogWriter *>(watcher->data)->flush(); });
    m_beforeWait.data = this;
    ev_prepare_start(EV_DEFAULT, &m_beforeWait);
    ev_unref(EV_DEFAULT);
}

LogWriter::~LogWriter()
{
    flush();
    ev_ref(EV_DEFAULT);
    ev_prepare_stop(EV_DEFAULT, &m_beforeWait);
    el::Helpers::uninstallLogDispatchCallback<WriterCallback>(callbackName);
    el::Helpers::installLogDispatchCallback<el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    currentWriter = nullptr;
}

void LogWriter::add(std::string_view line)
{
    if (m_buffer.size() + line.size() + 1 > mostLogBytes) {
        ++m_dropped;
        return;
    }
    m_buffer += line;
    m_buffer += '\n';
}

void LogWriter::flush()
{
    std::size_t done = 0;
    while (done < m_buffer.size() && isWritable(m_descriptor)) {
        const std::size_t size = std::min<std::size_t>(m_buffer.size() - done, PIPE_BUF);
        const ssize_t n = write(m_descriptor, m_buffer.data() + done, size);
        if (n <= 0) {
            break;
        }
        done += static_cast<std::size_t>(n);
    }
    m_buffer.erase(0, done);
    if (m_buffer.empty() && m_dropped > m_told) {
        add("event=log_lines_dropped lines=" + std::to_string(m_dropped - m_told));
        m_told = m_dropped;
    }
    if (!m_buffer.empty()) {
        m_retry.start(retryInterval);
    }
}

std::uint64_t LogWriter::dropped() const
{
    return m_dropped;
}

bool takeLogShare(LogBudget &budget, std::string_view event, Time now)
{
    const auto found = budget.shares.find(event);
    LogBudget::Share &share = found != budget.shares.end() ? found->second : budget.shares[std::string(event)];
    if (share.at == 0) {
        share.left = budget.burst;
    }
    const double seconds = static_cast<double>(now - share.at) / static_cast<double>(second);
    share.left = std::min(budget.burst, share.left + seconds * budget.perSecond);
    share.at = now;
    if (share.left < 1) {
        ++share.held;
        ++budget.held;
        return false;
    }
    share.left -= 1;
    return true;
}

std::int64_t takeHeldCount(LogBudget &budget, std::string_view event)
{
    const auto it = budget.shares.find(event);
    if (it == budget.shares.end()) {
        return 0;
    }
    return std::exchange(it->second.held, 0);
}

} // namespace pimentofold
