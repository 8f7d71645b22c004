#include <pimentofold-measure/capacity.h>

#include <iostream>

#include <pimentofold-measure/measurements.h>

namespace pimentofold {

std::vector<double> capacitySizes(CapacityScale scale, std::vector<double> full)
{
    if (scale == CapacityScale::Smoke) {
        return {10, 20, 30};
    }
    return full;
}

int measureCapacity(const MeasureOptions &options)
{
    const CapacityScale scale = options.size == 0 ? CapacityScale::Full : CapacityScale::Smoke;
    nlohmann::json slopes = nlohmann::json::array();
    for (const auto &part : {dataPathSlopes(scale), controlStateSlopes(scale), controlTrafficSlopes(scale)}) {
        for (const Slope &it : part) {
            slopes.push_back(toJson(it));
        }
    }
    const nlohmann::json result{{"measurement", "capacity"}, {"reference_us", referenceMicroseconds()}, {"slopes", slopes}};
    std::cout << result.dump() << std::endl;
    return 0;
}

} // namespace pimentofold
