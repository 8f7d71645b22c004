#include <pimentofold/codec.h>

namespace pimentofold {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

namespace {

// Structs in src/idl are nested at most 4 levels deep. A lower limit than Thrift's default of 64 bounds the use of stack.
constexpr int maxRecursion = 16;

std::shared_ptr<TConfiguration> configuration()
{
    return std::make_shared<TConfiguration>(static_cast<int>(maxFrameBytes), static_cast<int>(maxFrameBytes), maxRecursion);
}

/// A read buffer over bytes that it doesn't own. Thrift's resetBuffer() would allocate a new buffer for each message.
class InputBuffer : public TMemoryBuffer
{
public:
    using TMemoryBuffer::TMemoryBuffer;

    void startMessage(std::string_view bytes)
    {
        // Thrift's interface requires a pointer to mutable bytes, but nothing is written to this buffer.
        auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
        setReadBuffer(data, static_cast<std::uint32_t>(bytes.size()));
        setWriteBuffer(data + bytes.size(), 0);
        // Thrift compares the total of bytes read during the lifetime of a buffer with the maximum message size. Without
        // the reset, decoding would fail after that many bytes.
        resetConsumedMessageSize();
    }
};

} // namespace

/// A reader with limits that are set to the size of each message, so that a length field within a message can't cause a
/// larger allocation.
class Codec::Reader : public TCompactProtocolT<TMemoryBuffer>
{
public:
    using TCompactProtocolT::TCompactProtocolT;

    void setLimits(std::size_t bytes)
    {
        string_limit_ = static_cast<std::int32_t>(bytes);
        container_limit_ = static_cast<std::int32_t>(bytes);
    }
};

Codec::~Codec() = default;

Codec::Codec()
    : m_out(std::make_shared<TMemoryBuffer>(configuration()))
    , m_in(std::make_shared<InputBuffer>(configuration()))
    , m_writer(std::make_unique<TCompactProtocolT<TMemoryBuffer>>(m_out))
    , m_reader(std::make_unique<Reader>(m_in))
{
}

apache::thrift::protocol::TProtocol *Codec::reader()
{
    return m_reader.get();
}

void Codec::prepare(std::string_view bytes)
{
    if (!m_readerIsClean) {
        m_reader = std::make_unique<Reader>(m_in);
        m_readerIsClean = true;
    }
    static_cast<InputBuffer &>(*m_in).startMessage(bytes);
    m_reader->setLimits(bytes.size());
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
        throw DecodeError("frame of " + std::to_string(n) + " bytes is above the limit of " + std::to_string(maxFrameBytes) + " bytes");
    }
    if (bytes.size() < frameHeaderBytes + n) {
        return false;
    }
    payload = bytes.substr(frameHeaderBytes, n);
    bytes.remove_prefix(frameHeaderBytes + n);
    return true;
}

} // namespace pimentofold
