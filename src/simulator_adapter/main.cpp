// Runs the admission controller for the simulator: one batch a line on standard input, one reply a line on
// standard output. Exits with 1 and one message at a line that is no batch.
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
