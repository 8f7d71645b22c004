#include <pimentofold-measure/slope.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <ctime>
#include <fstream>
#include <limits>
#include <stdexcept>

#include <malloc.h>
#include <unistd.h>

#include <pimentofold/types.h>

namespace pimentofold {

namespace {

constexpr int repetitions = 5;
constexpr std::size_t referenceBytes = 64;

double processorMicroseconds()
{
    timespec now{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
}

double fastestMicroseconds(const std::function<void()> &work)
{
    double fastest = std::numeric_limits<double>::max();
    for (int i = 0; i < repetitions; ++i) {
        const double start = processorMicroseconds();
        work();
        fastest = std::min(fastest, processorMicroseconds() - start);
    }
    return fastest;
}

} // namespace

LineFit fitLine(const std::vector<SlopePoint> &points)
{
    const auto n = static_cast<double>(points.size());
    double sumX = 0;
    double sumY = 0;
    for (const SlopePoint &it : points) {
        sumX += it.x;
        sumY += it.y;
    }
    double covariance = 0;
    double variance = 0;
    for (const SlopePoint &it : points) {
        covariance += (it.x - sumX / n) * (it.y - sumY / n);
        variance += (it.x - sumX / n) * (it.x - sumX / n);
    }
    if (points.size() < 2 || variance == 0) {
        throw std::invalid_argument("a line needs two points with different x");
    }
    LineFit fit;
    fit.slope = covariance / variance;
    fit.intercept = (sumY - fit.slope * sumX) / n;
    double largest = 0;
    double distance = 0;
    for (const SlopePoint &it : points) {
        largest = std::max(largest, std::abs(it.y));
        distance = std::max(distance, std::abs(it.y - fit.intercept - fit.slope * it.x));
    }
    fit.error = largest == 0 ? 0 : distance / largest;
    return fit;
}

Slope measureSlope(
    const std::string &name, const std::string &xUnit, const std::string &yUnit, const std::vector<double> &sizes, const std::function<double(double)> &measure)
{
    if (sizes.size() < 3) {
        throw std::invalid_argument("a slope needs three sizes");
    }
    Slope slope{name, xUnit, yUnit, {}, {}};
    for (const double size : sizes) {
        slope.points.push_back({size, measure(size)});
    }
    slope.fit = fitLine(slope.points);
    return slope;
}

nlohmann::json toJson(const Slope &slope)
{
    nlohmann::json points = nlohmann::json::array();
    for (const SlopePoint &it : slope.points) {
        points.push_back({it.x, it.y});
    }
    return {{"name", slope.name},
            {"x_unit", slope.xUnit},
            {"y_unit", slope.yUnit},
            {"points", points},
            {"intercept", slope.fit.intercept},
            {"slope", slope.fit.slope},
            {"fit_error", slope.fit.error}};
}

double referenceMicroseconds()
{
    const std::string text(referenceBytes, 'r');
    return fastestMicroseconds([&text] {
        volatile Id sink = 0;
        for (int i = 0; i < referenceHashes; ++i) {
            sink = sink ^ idOf(text);
        }
    });
}

double referenceUnits(const std::function<void()> &work)
{
    const double reference = referenceMicroseconds();
    return fastestMicroseconds(work) / reference;
}

double processorUnits(const std::function<void()> &work)
{
    const double reference = referenceMicroseconds();
    const double start = processorMicroseconds();
    work();
    return (processorMicroseconds() - start) / reference;
}

std::size_t residentBytes()
{
    std::ifstream in("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    in >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::size_t heapBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace pimentofold
