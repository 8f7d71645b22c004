#include <pimentofold/codec.h>

namespace pimentofold {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

namespace {

// Nesting of the structs in src/idl is at most 4; a lower limit than Thrift's 64 keeps the stack small.
constexpr int maxRecursion = 16;

std::shared_ptr<TConfiguration> configuration()
{
    return std::make_shared<TConfiguration>(static_cast<int>(maxFrameBytes), static_cast<int>(maxFrameBytes), maxRecursion);
}

/// Thrift counts bytes that are read over the life of a buffer against the largest message. A buffer that is kept
/// between messages has to start the count anew, or it refuses everything after that many bytes.
class InputBuffer : public TMemoryBuffer
{
public:
    using TMemoryBuffer::TMemoryBuffer;

    void startMessage()
    {
        resetConsumedMessageSize();
    }
};

} // namespace

Codec::Codec()
    : m_out(std::make_shared<TMemoryBuffer>(configuration()))
    , m_in(std::make_shared<InputBuffer>(configuration()))
    , m_writer(std::make_unique<TCompactProtocolT<TMemoryBuffer>>(m_out))
    , m_reader(std::make_unique<TCompactProtocolT<TMemoryBuffer>>(m_in))
{
}

void Codec::prepare(std::string_view bytes)
{
    // Thrift's buffer takes a pointer to mutable bytes but only reads from it under OBSERVE.
    auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
    m_in->resetBuffer(data, static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
    static_cast<InputBuffer &>(*m_in).startMessage();
    // A struct that failed halfway leaves its nesting in the protocol; a new one starts clean.
    m_reader = std::make_unique<TCompactProtocolT<TMemoryBuffer>>(m_in, static_cast<std::int32_t>(bytes.size()), static_cast<std::int32_t>(bytes.size()));
}

void appendFrame(std::string &out, std::string_view payload)
{
    const auto n = static_cast<std::uint32_t>(payload.size());
    for (int shift = 24; shift >= 0; shift -= 8) {
        out.push_back(static_cast<char>((n >> static_cast<unsigned>(shift)) & 0xffU));
    }
    out.append(payload);
}

bool takeFrame(std::string_view &bytes, std::string_view &payload)
{
    if (bytes.size() < frameHeaderBytes) {
        return false;
    }
    std::uint32_t n = 0;
    for (std::size_t i = 0; i < frameHeaderBytes; ++i) {
        n = (n << 8U) | static_cast<std::uint8_t>(bytes[i]);
    }
    if (n > maxFrameBytes) {
        throw DecodeError("frame of " + std::to_string(n) + " bytes is above the limit");
    }
    if (bytes.size() < frameHeaderBytes + n) {
        return false;
    }
    payload = bytes.substr(frameHeaderBytes, n);
    bytes.remove_prefix(frameHeaderBytes + n);
    return true;
}

} // namespace pimentofold
