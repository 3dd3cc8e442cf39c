#pragma once

#include "shardsimulation.h"

#include <cstdlib>
#include <exception>
#include <iostream>

namespace savorywick::steps::testing {

// Prints the history of the job that the environment variable STORY names, if the scope is left by
// an exception.
class HistoryOnFailure
{
public:
    explicit HistoryOnFailure(const ShardSimulation &simulation)
        : m_simulation(simulation)
    { }
    ~HistoryOnFailure()
    {
        if (std::uncaught_exceptions() > 0 && std::getenv("STORY"))
            std::cerr << m_simulation.historyOf(std::getenv("STORY")) << "----\n";
    }
    HistoryOnFailure(const HistoryOnFailure &) = delete;
    HistoryOnFailure &operator=(const HistoryOnFailure &) = delete;

private:
    const ShardSimulation &m_simulation;
};

} // namespace savorywick::steps::testing
