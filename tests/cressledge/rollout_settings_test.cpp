/// The settings files of a rollout and of a supervisor.
#include "rollout/rollout_settings.hpp"

#include <string>

#include "config/settings.hpp"
#include "supervisor/supervisor_settings.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;

}  // namespace

TEST_CASE("rollout and supervisor settings: errors name file, line and field") {
    TemporaryDirectory directory;
    directory.write_file("o.yaml", "routing: {policy: probe-pool}\n");
    const auto error_of = [&](const std::string& text, bool is_rollout) -> std::string {
        const std::string path = directory.write_file("x.yaml", text);
        try {
            if (is_rollout)
                rollout::load_rollout_settings(path);
            else
                supervisor::load_supervisor_settings(path);
        } catch (const config::ConfigError& error) {
            return error.what();
        }
        return "";
    };
    const std::string valid_text =
        "name: r\nsupervisors: [\"127.0.0.1:1\"]\nchange: {settings: o.yaml}\nstages: [1, 5%, 100%]\n";
    CHECK(error_of(valid_text, true).empty());
    CHECK(error_of(valid_text + "bake: 3\n", true).find("x.yaml:5: bake: no such field") !=
          std::string::npos);
    CHECK(error_of("name: r\nsupervisors: [nobody]\nchange: {settings: o.yaml}\nstages: [1]\n", true)
              .find("x.yaml:2: supervisors: not an address") != std::string::npos);
    CHECK(error_of("name: r\nsupervisors: [\"127.0.0.1:1\"]\nchange: {}\nstages: [1]\n", true)
              .find("x.yaml:3: change: neither") != std::string::npos);
    CHECK(error_of("name: r\nsupervisors: [\"127.0.0.1:1\"]\nchange: {program: new}\nstages: [1]\n", true)
              .find("program: not an absolute path") != std::string::npos);
    CHECK(error_of("name: r\nsupervisors: [\"127.0.0.1:1\"]\nchange: {settings: o.yaml}\nstages: [0]\n", true)
              .find("x.yaml:4: stages: neither") != std::string::npos);
    CHECK(error_of("control: \"127.0.0.1:0\"\nprogram: /p\nprocesses:\n  - {id: a, file: a.yaml}\n", false)
              .empty());
    CHECK(
        error_of(
            "control: \"127.0.0.1:0\"\nprogram: /p\nprocesses:\n  - {id: a, file: a}\n  - {id: a, file: b}\n",
            false)
            .find("x.yaml:5: id: duplicate process id: a") != std::string::npos);
}
