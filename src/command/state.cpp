#include "command/state.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <iostream>
#include <nlohmann/json.hpp>

#include "command/exit_status.hpp"
#include "config/config_error.hpp"
#include "learned_state/learned_state.hpp"
#include "store/posix_file_system.hpp"
#include "store/store.hpp"

namespace cressledge::command {
namespace {

void throw_if_failed(const std::string& directory, int error) {
    if (error == 0)
        return;
    const char* reason = error == EWOULDBLOCK ? "in use by another process" : std::strerror(error);
    throw config::ConfigError({directory, 0, {}}, reason);
}

void reset_state(store::PosixFileSystem& files, const std::string& directory) {
    store::Store state(files);
    throw_if_failed(directory, state.open());
    throw_if_failed(directory, state.reset());
    std::cout << directory << ": learned state deleted\n";
}

void print_state_json(const store::Store& state, bool with_entries) {
    nlohmann::json document = {{"generation", state.generation()},
                               {"log_records", state.replayed_records()},
                               {"entries", state.entries().size()},
                               {"refused", state.skipped_files()}};
    if (with_entries)
        document["state"] = nlohmann::json::parse(learned_state::to_json(state.entries()));
    std::cout << document.dump(2) << '\n';
}

void print_state(const store::Store& state, const std::string& directory, bool with_entries) {
    std::cout << directory << ": generation " << state.generation() << ", " << state.replayed_records()
              << " log records, " << state.entries().size() << " entries\n";
    for (const std::string& reason : state.skipped_files())
        std::cout << "skipped file: " << reason << '\n';
    if (with_entries)
        std::cout << learned_state::to_json(state.entries()) << '\n';
}

}  // namespace

int state(const std::vector<std::string>& arguments, bool prints_json) {
    static const std::vector<std::string> actions = {"show", "check", "export", "reset"};
    if (arguments.size() != 2 || std::find(actions.begin(), actions.end(), arguments[0]) == actions.end())
        throw config::ConfigError("state: usage: state show|check|export|reset FOLDER");
    const std::string& action = arguments[0];
    const std::string& directory = arguments[1];
    store::PosixFileSystem files(directory);
    store::Store saved(files);
    throw_if_failed(directory, saved.open_read_only());
    if (action == "reset")
        reset_state(files, directory);
    else if (action == "export")
        std::cout << learned_state::to_json(saved.entries()) << '\n';
    else if (prints_json)
        print_state_json(saved, action == "show");
    else
        print_state(saved, directory, action == "show");
    return action == "check" && !saved.skipped_files().empty() ? exit_check_failed : exit_success;
}

}  // namespace cressledge::command
