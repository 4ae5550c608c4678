// Runs the admission controller for the simulator: reads one batch per line from standard input and writes one reply per
// line to standard output. On a malformed batch, prints one message to standard error and exits with 1.
#include <iostream>
#include <string>

#include "simulator_adapter/simulator_adapter.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    cressledge::simulator_adapter::SimulatorAdapter adapter;
    std::string line;
    try {
        while (std::getline(std::cin, line)) {
            std::cout << adapter.handle_batch(line) << '\n';
            std::cout.flush();
        }
    } catch (const std::exception& e) {
        std::cerr << "cressledge_simulator_adapter: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
