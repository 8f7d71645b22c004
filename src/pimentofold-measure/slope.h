#pragma once

#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

/// Slopes for capacity planning: a cost measured at several sizes and a straight line through it.
namespace pimentofold {

/// One measured point.
struct SlopePoint {
    double x = 0;
    double y = 0;
};

/// Least-squares line through some points.
struct LineFit {
    double intercept = 0;
    double slope = 0;
    /// Largest distance of a point from the line, relative to the largest measured value.
    double error = 0;
};

/// One measured slope.
struct Slope {
    std::string name; ///< key by which the capacity page refers to it
    std::string xUnit;
    std::string yUnit;
    std::vector<SlopePoint> points;
    LineFit fit;
};

/// Fits a line by least squares.
/// @param points at least two with different x
/// @throws std::invalid_argument when there are fewer
LineFit fitLine(const std::vector<SlopePoint> &points);

/// Measures a slope.
/// @param name, xUnit, yUnit as in Slope
/// @param sizes at which to measure, at least three
/// @param measure returns the cost at one size
/// @throws std::invalid_argument with fewer than three sizes
Slope measureSlope(const std::string &name,
                   const std::string &xUnit,
                   const std::string &yUnit,
                   const std::vector<double> &sizes,
                   const std::function<double(double size)> &measure);

/// @return the slope with its points and fit
nlohmann::json toJson(const Slope &slope);

/// Measures processor time against a fixed reference loop of the same run, so that results from machines
/// of different speed or load can be compared.
/// @param work the work to time; it runs several times and the fastest run counts
/// @return processor time of @p work divided by that of one reference unit (referenceHashes hashes)
double referenceUnits(const std::function<void()> &work);

/// Times one run of work that can't be repeated.
/// @return processor time of @p work divided by that of one reference unit
double processorUnits(const std::function<void()> &work);

/// Hashes of 64 bytes in one reference unit.
constexpr int referenceHashes = 1000;

/// @return processor time of one reference unit on this machine in microseconds, the fastest of several runs
double referenceMicroseconds();

/// @return resident memory of this process in bytes
std::size_t residentBytes();

/// @return bytes of heap memory in use by this process, as the allocator counts them
std::size_t heapBytes();

} // namespace pimentofold
