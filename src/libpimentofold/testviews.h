#pragma once

#include <string>

#include <pimentofold/types.h>

#include "view_types.h"

/// Functions that build views for tests of the data path.
namespace pimentofold::testviews {

inline void addMember(wire::NodeView &view, Id instance, std::int64_t incarnation, wire::MemberState::type state = wire::MemberState::Alive)
{
    wire::MemberView member;
    member.key.instance = instance;
    member.key.incarnation = incarnation;
    member.state = state;
    member.address = "127.10.4.1:21100";
    member.dataCentre = "dc1";
    view.members.push_back(member);
}

inline void addService(wire::NodeView &view, Id id, int port, bool session, Id teamId)
{
    wire::ServiceView service;
    service.id = id;
    service.teamId = teamId;
    service.teamName = "team" + std::to_string(teamId);
    service.serviceName = "service" + std::to_string(id);
    service.port = port;
    service.session = session;
    service.defaultDeadlineMs = 1000;
    view.services.push_back(service);
}

inline void addTarget(wire::NodeView &view, Id id, Id serviceId)
{
    wire::TargetView target;
    target.id = id;
    target.serviceId = serviceId;
    target.instance = "t" + std::to_string(id);
    target.address = "127.10.4.2:21101";
    target.state = wire::TargetState::Serving;
    target.slots = 2;
    view.targets.push_back(target);
}

inline void addKey(wire::NodeView &view, Id teamId, int epoch, std::int64_t validUntil = 0)
{
    wire::KeyView key;
    key.teamId = teamId;
    key.epoch = epoch;
    key.secret = std::string(32, static_cast<char>('a' + epoch + 3 * teamId));
    key.validUntil = validUntil;
    view.keys.push_back(key);
}

/// @return a view of two teams with one service each and of five members in data centre dc1: service 11 of team 1 has the
///     targets 100 to 114 and the key epochs 2 and 1, service 22 of team 2 has the targets 200 to 203 and the key epoch 1
inline wire::NodeView smallView()
{
    wire::NodeView view;
    view.generation = 1;
    view.dataCentre = "dc1";
    for (Id it = 1; it <= 5; ++it) {
        addMember(view, it, 10 * it);
    }
    addService(view, 11, 21111, true, 1);
    addService(view, 22, 21122, false, 2);
    for (Id it = 100; it < 115; ++it) {
        addTarget(view, it, 11);
    }
    for (Id it = 200; it < 204; ++it) {
        addTarget(view, it, 22);
    }
    addKey(view, 1, 2);
    addKey(view, 1, 1, 1'000'000);
    addKey(view, 2, 1);
    return view;
}

} // namespace pimentofold::testviews
