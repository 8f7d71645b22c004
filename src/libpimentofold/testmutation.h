#pragma once

#include <string>

#include <pimentofold/random.h>

namespace pimentofold {

/// Applies up to three random mutations: changes, removes, inserts or repeats bytes, or cuts the end off.
inline std::string mutate(Random &random, std::string bytes)
{
    for (std::uint64_t changes = below(random, 4); changes > 0 && !bytes.empty(); --changes) {
        const std::size_t at = below(random, bytes.size());
        switch (below(random, 6)) {
        case 0:
            bytes[at] = static_cast<char>(next(random));
            break;
        case 1:
            bytes[at] = static_cast<char>(bytes[at] ^ (1 << below(random, 8)));
            break;
        case 2:
            bytes.resize(at);
            break;
        case 3:
            bytes.insert(at, 1 + below(random, 8), static_cast<char>(next(random)));
            break;
        case 4:
            bytes.erase(at, 1 + below(random, 8));
            break;
        default:
            bytes += bytes.substr(at);
            break;
        }
    }
    return bytes;
}

} // namespace pimentofold
