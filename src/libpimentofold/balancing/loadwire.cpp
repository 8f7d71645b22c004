#include <pimentofold/balancing/loadwire.h>

namespace pimentofold {

wire::EdgeDispatchLoad toWire(const DispatchLoad &load)
{
    wire::EdgeDispatchLoad result;
    result.serviceName = load.service;
    result.dataCentre = load.dataCentre;
    result.slots = load.slots;
    result.working = load.working;
    result.waiting = load.waiting;
    result.expectedWait = load.expectedWait;
    return result;
}

DispatchLoad fromWire(const wire::EdgeDispatchLoad &load)
{
    return {load.serviceName, load.dataCentre, load.slots, load.working, load.waiting, load.expectedWait};
}

} // namespace pimentofold
