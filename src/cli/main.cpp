#include "cli/cli.h"

#include <exception>
#include <iostream>

int main(int argc, char **argv)
{
    try {
        return savorywick::runCli({argv + 1, argv + argc}, std::cout, std::cerr);
    } catch (const std::exception &e) {
        std::cerr << "savorywick: " << e.what() << "\n";
        return static_cast<int>(savorywick::ExitCode::Failed);
    }
}
