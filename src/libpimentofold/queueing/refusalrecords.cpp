#include <pimentofold/queueing/refusalrecords.h>

#include <algorithm>

namespace pimentofold {

namespace {

constexpr std::array<std::string_view, 6> reasonNames{"no_target", "evacuated", "unreachable", "no_time", "queue_full", "retry_limit"};

std::pair<std::uint32_t, Address> callerOf(const FlowKey &flow)
{
    return {flow.caller.ip, flow.service};
}

/// Removes the oldest refusal. A flow or caller that was refused again since then keeps its record.
void evictOldest(RefusalRecords &records)
{
    const auto [refusedAt, key] = records.order.front();
    records.order.pop_front();
    const auto flow = records.flows.find(key);
    if (flow != records.flows.end() && flow->second.refusedAt <= refusedAt) {
        records.flows.erase(flow);
    }
    const auto caller = records.callers.find(callerOf(key));
    if (caller != records.callers.end() && caller->second <= refusedAt) {
        records.callers.erase(caller);
    }
}

} // namespace

std::string_view name(RefusalReason reason)
{
    return reasonNames.at(static_cast<std::size_t>(reason));
}

RefusalReason refusalReasonFromNumber(int value)
{
    return value < 0 || value >= static_cast<int>(reasonNames.size()) ? RefusalReason::NoTarget : static_cast<RefusalReason>(value);
}

void recordOpening(OpeningRecords &records, const FlowKey &flow, Time openedAt, Time now)
{
    while (!records.order.empty() && (now - records.order.front().first > openingTimeout || records.order.size() >= records.maxRecords)) {
        records.flows.erase(records.order.front().second);
        records.order.pop_front();
    }
    if (records.flows.try_emplace(flow, openedAt).second) {
        records.order.emplace_back(now, flow);
    }
}

Time ageOf(const OpeningRecords &records, const FlowKey &flow, Time openingAge, Time now)
{
    const auto it = records.flows.find(flow);
    const Time recorded = it == records.flows.end() ? 0 : now - it->second;
    return recorded > openingTimeout ? openingAge : std::max(openingAge, recorded);
}

void recordRefusal(RefusalRecords &records, const FlowKey &flow, RefusalReason reason, Time now)
{
    while (!records.order.empty() && (now - records.order.front().first > openingTimeout || records.order.size() >= records.maxRecords)) {
        evictOldest(records);
    }
    records.flows.insert_or_assign(flow, RefusalRecord{reason, now});
    records.callers.insert_or_assign(callerOf(flow), now);
    records.order.emplace_back(now, flow);
}

std::optional<RefusalRecord> findRefusal(const RefusalRecords &records, const FlowKey &flow, Time now)
{
    const auto it = records.flows.find(flow);
    return it == records.flows.end() || now - it->second.refusedAt > openingTimeout ? std::nullopt : std::optional(it->second);
}

void forgetRefusal(RefusalRecords &records, const FlowKey &flow)
{
    records.flows.erase(flow);
}

bool isRetry(const RefusalRecords &records, const FlowKey &flow, Time now)
{
    const auto it = records.callers.find(callerOf(flow));
    return it != records.callers.end() && now - it->second <= retryMemory;
}

} // namespace pimentofold
