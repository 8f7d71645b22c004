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

/// Thrift structs to bytes and back.
namespace pimentofold {

/// Thrown by decode() for bytes that aren't a valid struct.
struct DecodeError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Largest datagram payload of callers and agents, in bytes. It fits in an Ethernet frame together with
/// the headers and a token.
constexpr std::size_t maxDatagramBytes = 1452;
/// Largest datagram payload between balancers, in bytes. A relay wraps a caller's datagram of any size, and an
/// outcome carries the answer that the witness keeps.
constexpr std::size_t maxPeerDatagramBytes = 60'000;
/// Largest frame between balancers and targets and between agent and balancer, in bytes.
constexpr std::size_t maxFrameBytes = 4 << 20;
/// Size of the length that precedes each frame, in bytes.
constexpr std::size_t frameHeaderBytes = 4;

/// Encodes and decodes with buffers that are kept between calls. One for each thread.
class Codec
{
public:
    Codec();
    ~Codec();
    Codec(const Codec &) = delete;
    Codec &operator=(const Codec &) = delete;

    /// @param value a generated Thrift struct
    /// @return its bytes, valid until the next call
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

    /// @param bytes exactly one struct; containers and strings larger than the bytes are refused
    /// @param value is overwritten where fields are present; pass a fresh one
    /// @throws DecodeError when the bytes aren't a valid struct or bytes are left over
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
            throw DecodeError("bytes left over after the struct");
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
    bool m_readerIsClean = true; ///< false after a failure, which leaves the nesting of the struct in the reader
};

/// Appends a frame: the length of @p payload as 4 bytes, most significant first, and the payload.
void appendFrame(std::string &out, std::string_view payload);

/// Takes one frame from the front of received bytes.
/// @param bytes what was received and not yet consumed; moved past the frame on success
/// @param payload set to the frame's content, which points into @p bytes
/// @return false when the frame isn't complete yet
/// @throws DecodeError when the length is above maxFrameBytes
bool takeFrame(std::string_view &bytes, std::string_view &payload);

} // namespace pimentofold
