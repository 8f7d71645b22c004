#include <doctest/doctest.h>

#include <string>

#include <pimentofold/agent/agentobjects.h>
#include <pimentofold/codec.h>

using namespace pimentofold;

namespace {

std::string makeList(const std::string &entry)
{
    const std::string valid = R"({"name":"i-1","role":"target","team":"t","service":"s","dataCentre":"a","address":"10.0.0.1:8080","slots":2})";
    return R"({"instances":[)" + entry + "," + valid + "]}";
}

} // namespace

// Guards against an agent that stops following the platform's list because another writer has left one odd entry in it.
TEST_CASE("an odd entry doesn't affect the other instances of the list")
{
    constexpr std::size_t depth = 400'000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    const std::string entries[] = {
        "7",
        "null",
        nested,
        R"({"name":)" + nested + "}",
        R"({"name":"i-2","address":"10.0.0.2:8080","more":)" + nested + "}",
        R"({"address":"10.0.0.2:8080"})",
        R"({"name":7,"address":"10.0.0.2:8080"})",
        R"({"name":"i-2","address":"10.0.0.2:70000"})",
        R"({"name":"i-2","address":"10.0.0.2:0"})",
        R"({"name":"i-2","address":"10.0.0.2:99999999999999999999"})",
        R"({"name":"i-2","address":"10.0.0.2:8080","slots":1e999})",
        R"({"name":"i-2","address":"10.0.0.2:8080","slots":1e30})",
        R"({"name":"i-2","address":"10.0.0.2:8080","slots":99999999999999999999999})",
        R"({"name":"i-2","address":"10.0.0.2:8080","slots":-1})",
        R"({"name":"i-2","address":"10.0.0.2:8080","slots":"2"})",
        R"({"name":"i-2","address":"10.0.0.2:8080","role":[]})",
        R"({"name":"\udce9","address":"10.0.0.2:8080"})",
    };
    for (const std::string &entry : entries) {
        CAPTURE(entry.substr(0, 80));
        const InstanceList list = parseInstanceList(makeList(entry));
        CHECK(list.unreadable == 1);
        REQUIRE(list.instances.size() == 1);
        CHECK(list.instances.front().name == "i-1");
    }
    for (const std::string text : {"", "[]", "{}", R"({"instances":7})", R"({"instances":[)"}) {
        CAPTURE(text);
        CHECK_THROWS_AS(parseInstanceList(text), DecodeError);
    }
}
