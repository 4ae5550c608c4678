// A minimal user of the installed library: creates a controller, sends it a request and reads its actions.
#include <iostream>
#include <policy/admission_controller.hpp>

int main() {
    cressledge::policy::Settings settings;
    settings.cores = 4;
    settings.memory_kb = 100'000;
    settings.classes.push_back({"read", cressledge::policy::Idempotency::always});
    const auto controller = cressledge::policy::make_admission_controller(settings, 1);
    std::vector<cressledge::policy::Action> actions;
    controller->handle(cressledge::policy::Timestamp(1000), cressledge::policy::Started{}, actions);
    cressledge::policy::RequestArrived request;
    request.id = 7;
    request.class_index = 0;
    request.reserved_kb = 10;
    actions.clear();
    controller->handle(cressledge::policy::Timestamp(2000), request, actions);
    for (const auto& action : actions)
        if (const auto* run = std::get_if<cressledge::policy::Run>(&action); run != nullptr && run->id == 7) {
            std::cout << "consumer: the request is run\n";
            return 0;
        }
    std::cerr << "consumer: the request is not run\n";
    return 1;
}
