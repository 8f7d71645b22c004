#include <pimentofold-edge/edgelog.h>

#include <cstdio>

namespace pimentofold {

namespace {

std::string hex(std::uint64_t number)
{
    char buf[17];
    const int n = std::snprintf(buf, sizeof buf, "%llx", static_cast<unsigned long long>(number));
    return std::string(buf, static_cast<std::size_t>(n));
}

} // namespace

std::string flowName(const FlowKey &key)
{
    return toString(key.caller) + ">" + toString(key.service);
}

void logNote(EventLog &log, const ForwardNote &note)
{
    logEvent(log,
             name(note.event),
             {{"flow", flowName(note.flow)},
              {"target", hex(note.target)},
              {"token", hex(note.token)},
              {"attempts", note.attempts},
              {"load", note.load},
              {"node", hex(static_cast<std::uint64_t>(note.node))},
              {"elapsed_us", note.elapsed}});
}

} // namespace pimentofold
