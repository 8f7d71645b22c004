#include <pimentofold/view.h>

#include <algorithm>
#include <functional>
#include <map>

#include <doctest/doctest.h>

#include <libpimentofold/testviews.h>

using namespace pimentofold;
using namespace pimentofold::testviews;

// Guards against accepting an invalid view, which could be applied in part or crash the balancer later.
TEST_CASE("a view with a wrong field is refused and the field is named")
{
    CHECK_NOTHROW(parseView(smallView()));
    struct Case {
        const char *field;
        std::function<void(wire::NodeView &)> change;
    };
    const Case cases[] = {{"members.address", [](auto &it) { it.members[0].address = "nowhere"; }},
                          {"members.state", [](auto &it) { it.members[0].state = static_cast<wire::MemberState::type>(9); }},
                          {"members.key", [](auto &it) { it.members[1].key = it.members[0].key; }},
                          {"targets.state", [](auto &it) { it.targets[0].state = static_cast<wire::TargetState::type>(0); }},
                          {"targets.address", [](auto &it) { it.targets[0].address = "127.0.0.1"; }},
                          {"targets.id", [](auto &it) { it.targets[1].id = it.targets[0].id; }},
                          {"targets.id", [](auto &it) { it.targets[1].id = 0; }},
                          {"targets.serviceId", [](auto &it) { it.targets[0].serviceId = 33; }},
                          {"services.port", [](auto &it) { it.services[0].port = 65536; }},
                          {"services.port", [](auto &it) { it.services[1].port = it.services[0].port; }},
                          {"services.id", [](auto &it) { it.services[1].id = it.services[0].id; }},
                          {"keys.secret", [](auto &it) { it.keys[0].secret = "short"; }}};
    for (const Case &it : cases) {
        wire::NodeView view = smallView();
        it.change(view);
        try {
            parseView(view);
            FAIL("accepted a wrong " << it.field);
        } catch (const ViewError &error) {
            CHECK(std::string(error.what()).find(it.field) != std::string::npos);
        }
    }
}

// Guards against pairs with members that aren't serving, and against one member being the witness of all flows.
TEST_CASE("pairs consist of two serving members and spread over the members")
{
    wire::NodeView from = smallView();
    for (wire::MemberView &it : from.members) {
        it.key.instance = idOf("node" + std::to_string(it.key.instance));
    }
    from.members[4].state = wire::MemberState::Leaving;
    addMember(from, idOf("node6"), 60);
    from.members[5].dataCentre = "dc2";
    View view = parseView(from);
    const InstanceKey own{idOf("node1"), 10};
    std::map<Id, int> witnesses;
    constexpr int flows = 3000;
    for (int flow = 0; flow < flows; ++flow) {
        const HomePair pair = choosePair(view, own, flow);
        CHECK((pair.home == own));
        ++witnesses[pair.witness.instance];
    }
    CHECK(witnesses.size() == 3);
    for (const char *it : {"node2", "node3", "node4"}) {
        CHECK(witnesses[idOf(it)] > flows / 3 - 150);
    }
    setOwnMember(view, {own, ViewMember::State::Leaving, "127.10.4.1:21100", "dc1"});
    for (int flow = 0; flow < 100; ++flow) {
        const HomePair pair = choosePair(view, own, flow);
        CHECK(isServing(view, pair.home));
        CHECK(isServing(view, pair.witness));
        CHECK((pair.home != pair.witness));
    }
}

// Guards against new pairs with a member that has crashed and that membership hasn't declared dead yet.
TEST_CASE("silent members get no new pairs, and other incarnations of them do")
{
    View view = parseView(smallView());
    SilentMembers silent;
    for (const InstanceKey it : {InstanceKey{2, 20}, InstanceKey{3, 31}}) {
        silent.until[it] = 1;
    }
    hideSilentMembers(view, silent);
    CHECK_FALSE(isServing(view, {2, 20}));
    CHECK(isServing(view, {3, 30}));
    for (int flow = 0; flow < 100; ++flow) {
        CHECK(choosePair(view, {1, 10}, flow).witness.instance != 2);
    }
}
