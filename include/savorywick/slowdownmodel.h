#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace savorywick {

// The fraction of a host's cores that batch work of one class uses, 0 to 1.
struct ClassShare
{
    std::string runClass;
    double share = 0;
};

// Learns how much each class of batch work slows down each urgent service, and each service's p99
// latency without batch work (its baseline).
//
// Use it to tell the slowdown caused by batch work from that caused by the service's own load. A
// slowdown is a latency relative to the baseline, minus 1: 0.1 is 10% slower. The model is linear:
// each class adds its coefficient, which is the slowdown on a host filled with it, times its share
// of the host. Coefficients are fitted by normalised least mean squares. The baseline of each
// service is kept per level of load and follows what is measured, less the slowdown that the
// classes predict. Memory grows with the number of pairs of service and class seen.
// Not thread-safe.
//
// Example:
//   SlowdownModel model;
//   model.learn("quotes", 0.4, 18.5, shares);
//   const double slowdown = model.predict("quotes", shares);
class SlowdownModel
{
public:
    // Updates the model with a p99 measured on a host that runs the service at `load` (the fraction
    // of the host's cores that it uses, 0 to 1) beside batch work of `shares`. Returns the measured
    // slowdown, or 0 and learns nothing if `p99Ms` is not positive and finite.
    double learn(std::string_view service, double load, double p99Ms,
                 std::span<const ClassShare> shares);
    // Returns the slowdown that the service is predicted to have beside `shares`.
    double predict(std::string_view service, std::span<const ClassShare> shares) const;
    // Returns the slowdown of the service on a host filled with `runClass`; 0 for unknown pairs.
    double coefficient(std::string_view service, std::string_view runClass) const;
    // Returns the service's p99 at `load` without batch work, or 0 if it is unknown.
    double baselineP99Ms(std::string_view service, double load) const;

private:
    struct ClassState
    {
        double coefficient = 0;
        double share = 0; // In the current measurement.
        double meanShare = 0;
        int samples = 0; // Measurements in which the class was present.
    };
    struct Service
    {
        std::map<int, double> baselineMs; // By level of load.
        std::map<std::string, ClassState, std::less<>> classes;
    };

    static void updateCoefficients(Service &service, double error,
                                   std::span<const ClassShare> shares);

    std::map<std::string, Service, std::less<>> m_services;
};

} // namespace savorywick
