#include <libstandin/workload.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>

namespace pimentofold {

namespace {

constexpr std::string_view orderPrefix = "order";
constexpr char separator = ' ';
constexpr std::string_view noOperation = "-";
constexpr std::int64_t wordBytes = 8;

std::uint64_t seedOf(const WorkOrder &order, std::int64_t total)
{
    const std::uint64_t service = static_cast<std::uint64_t>(idOf(order.team, order.service));
    const std::uint64_t request = mix(static_cast<std::uint64_t>(order.flow), static_cast<std::uint64_t>(order.request));
    return mix(mix(service, request), static_cast<std::uint64_t>(total));
}

std::string_view takeWord(std::string_view &text)
{
    const std::size_t end = std::min(text.find(separator), text.size());
    const std::string_view word = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return word;
}

bool takeNumber(std::string_view &text, std::int64_t &value)
{
    const std::string_view word = takeWord(text);
    const auto result = std::from_chars(word.data(), word.data() + word.size(), value);
    return !word.empty() && result.ec == std::errc() && result.ptr == word.data() + word.size();
}

/// Fills bytes from @p offset of an answer; the offset is a multiple of the word size.
void fillWords(std::uint64_t seed, std::int64_t offset, std::string &out)
{
    for (std::size_t i = 0; i < out.size(); i += wordBytes) {
        const std::uint64_t word = mix(seed, static_cast<std::uint64_t>(offset) + i);
        std::memcpy(out.data() + i, &word, std::min<std::size_t>(wordBytes, out.size() - i));
    }
}

} // namespace

std::string formatOrder(const WorkOrder &order)
{
    std::string text(orderPrefix);
    const std::string numbers = std::to_string(order.flow) + separator + std::to_string(order.request);
    for (const std::string &it : {order.team, order.service, numbers, order.operation.empty() ? std::string(noOperation) : order.operation}) {
        text += separator;
        text += it;
    }
    return text;
}

std::optional<WorkOrder> parseOrder(std::string_view body)
{
    WorkOrder order;
    if (takeWord(body) != orderPrefix) {
        return std::nullopt;
    }
    order.team = takeWord(body);
    order.service = takeWord(body);
    if (!takeNumber(body, order.flow) || !takeNumber(body, order.request)) {
        return std::nullopt;
    }
    order.operation = takeWord(body);
    if (order.team.empty() || order.service.empty() || order.operation.empty() || !body.empty()) {
        return std::nullopt;
    }
    if (order.operation == noOperation) {
        order.operation.clear();
    }
    return order;
}

std::string answerHeader(std::string_view server)
{
    std::string header(server.substr(0, answerHeaderBytes));
    header.resize(answerHeaderBytes, ' ');
    return header;
}

std::string_view serverOf(std::string_view answer)
{
    const std::string_view header = answer.substr(0, answerHeaderBytes);
    return header.substr(0, std::min(header.find(' '), header.size()));
}

std::string answerPart(const WorkOrder &order, std::string_view server, std::int64_t total, std::int64_t offset, std::int64_t limit)
{
    const std::int64_t first = std::clamp<std::int64_t>(offset, 0, total);
    const std::int64_t end = first + std::clamp<std::int64_t>(limit, 0, total - first);
    const std::int64_t aligned = first - first % wordBytes;
    std::string part(static_cast<std::size_t>(end - aligned), '\0');
    fillWords(seedOf(order, total), aligned, part);
    part.erase(0, static_cast<std::size_t>(first - aligned));
    if (first < static_cast<std::int64_t>(answerHeaderBytes) && !part.empty()) {
        const std::string header = answerHeader(server).substr(static_cast<std::size_t>(first));
        part.replace(0, std::min(header.size(), part.size()), header, 0, std::min(header.size(), part.size()));
    }
    return part;
}

bool isStartOfAnswerTo(const WorkOrder &order, std::int64_t total, std::string_view bytes)
{
    return bytes.size() >= answerHeaderBytes && answerPart(order, serverOf(bytes), total, 0, static_cast<std::int64_t>(bytes.size())) == bytes;
}

bool isAnswerTo(const WorkOrder &order, std::string_view answer)
{
    return isStartOfAnswerTo(order, static_cast<std::int64_t>(answer.size()), answer);
}

std::int64_t entityTagOf(const WorkOrder &order, std::int64_t total)
{
    return static_cast<std::int64_t>(seedOf(order, total));
}

} // namespace pimentofold
