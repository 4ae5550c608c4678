// Runs the controller on the bench's wire: one batch a line on standard input, one reply a line on standard
// output.
#include <iostream>
#include <string>

#include "wire.hpp"

int main() {
    std::ios::sync_with_stdio(false);
    std::cin.tie(nullptr);
    curlewreel::wire::Adapter adapter;
    std::string line;
    try {
        while (std::getline(std::cin, line)) {
            std::cout << adapter.reply(line) << '\n';
            std::cout.flush();
        }
    } catch (const std::exception& e) {
        std::cerr << "curlewreel_adapter: " << e.what() << '\n';
        return 1;
    }
    return 0;
}
