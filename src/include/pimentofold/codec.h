#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

#include <thrift/TConfiguration.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

/// Encoding and decoding of Thrift structs in the compact protocol, and framing of byte streams.
namespace pimentofold {

/// Thrown by Codec::decode() for bytes that aren't a valid struct, and by takeFrame() for a frame above maxFrameBytes.
struct DecodeError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Largest payload of a datagram that callers and agents send, in bytes. Together with the headers and a token the
/// payload fits in one Ethernet frame.
constexpr std::size_t maxDatagramBytes = 1452;
/// Largest payload of a datagram between balancers, in bytes. The limit is higher than maxDatagramBytes because a relay
/// message contains a whole datagram of a caller, and an outcome message contains the answer that the witness stores.
constexpr std::size_t maxPeerDatagramBytes = 60'000;
/// Largest frame payload between balancer and target and between agent and balancer, in bytes.
constexpr std::size_t maxFrameBytes = 4 << 20;
/// Size of the length field that precedes the payload of each frame, in bytes.
constexpr std::size_t frameHeaderBytes = 4;

/// Encodes and decodes Thrift structs in buffers that are reused between calls. Not thread-safe: each thread needs a
/// Codec of its own.
class Codec
{
public:
    Codec();
    ~Codec();
    Codec(const Codec &) = delete;
    Codec &operator=(const Codec &) = delete;

    /// Encodes a struct.
    /// @param value a generated Thrift struct
    /// @return the encoded bytes, valid until the next call of encode()
    template<typename T>
    std::string_view encode(const T &value)
    {
        m_out->resetBuffer();
        value.write(m_writer.get());
        std::uint8_t *data = nullptr;
        std::uint32_t size = 0;
        m_out->getBuffer(&data, &size);
        return {reinterpret_cast<const char *>(data), size};
    }

    /// Decodes a struct.
    /// @param bytes exactly one encoded struct; containers and strings that claim to be longer than @p bytes are refused
    /// @param value receives the fields that are present and keeps its values in the others, so pass a newly constructed struct
    /// @throws DecodeError when @p bytes isn't a valid struct or has bytes after the struct
    template<typename T>
    void decode(std::string_view bytes, T &value)
    {
        prepare(bytes);
        try {
            value.read(reader());
        } catch (const std::exception &error) {
            m_readerIsClean = false;
            throw DecodeError(error.what());
        }
        if (m_in->available_read() != 0) {
            throw DecodeError("unexpected bytes after the end of the struct");
        }
    }

private:
    class Reader;

    apache::thrift::protocol::TProtocol *reader();
    void prepare(std::string_view bytes);

    std::shared_ptr<apache::thrift::transport::TMemoryBuffer> m_out;
    std::shared_ptr<apache::thrift::transport::TMemoryBuffer> m_in;
    std::unique_ptr<apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer>> m_writer;
    std::unique_ptr<Reader> m_reader;
    bool m_readerIsClean = true; ///< false after a failed decode(), which leaves the reader's struct nesting level above 0
};

/// Appends a frame to a byte stream: the length of @p payload as 4 bytes in big-endian order, then the payload.
void appendFrame(std::string &out, std::string_view payload);

/// Extracts the first frame from received bytes.
/// @param bytes received bytes that haven't been consumed; on success the frame is removed from the front
/// @param payload on success set to the content of the frame, a view of the memory of @p bytes
/// @return whether a frame was extracted; false when @p bytes doesn't hold a complete frame yet
/// @throws DecodeError when the length field is above maxFrameBytes
bool takeFrame(std::string_view &bytes, std::string_view &payload);

} // namespace pimentofold
