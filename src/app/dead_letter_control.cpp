#include "app/dead_letter_control.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace sagetally {
namespace {

// Returns the line that answers `request`, which may report an error. A StoreError is passed on to the thread
// that runs this function, because that thread handles errors of the store.
std::string ExecuteOnStore(const dead_letter::OperatorRequest& request, dead_letter::Database& database,
                           const dead_letter::ReviewSettings* review, const Timestamp& now) {
  try {
    return dead_letter::OkLine(dead_letter::ExecuteOperatorRequest(request, database, review, now));
  } catch (const dead_letter::StoreError&) {
    throw;
  } catch (const std::exception& error) {
    return dead_letter::ErrorLine(error.what());
  }
}

}  // namespace

DeadLetterControl::DeadLetterControl(EventLoop& loop, const std::string& socket_path,
                                     const std::vector<std::string>& classes, const Clock& clock,
                                     dead_letter::DeadLetterManager& manager, dead_letter::JobRunner& writer,
                                     dead_letter::JobRunner& reader)
    : classes_(classes),
      clock_(clock),
      manager_(manager),
      writer_(writer),
      reader_(reader),
      server_(loop, socket_path, dead_letter::kMaxRequestBytes,
              [this](std::string_view line, const ControlServer::Responder& respond) {
                OnRequest(line, respond);
              }) {}

void DeadLetterControl::OnRequest(std::string_view line, const ControlServer::Responder& respond) {
  dead_letter::OperatorRequest request;
  try {
    request = dead_letter::ParseOperatorRequest(line, classes_);
  } catch (const std::exception& error) {
    return respond(dead_letter::ErrorLine(error.what()));
  }
  if (request.kind == dead_letter::OperatorRequest::Kind::kStatus) {
    return respond(dead_letter::OkLine({{"live", Status()}}));
  }
  Execute(std::move(request), respond);
}

void DeadLetterControl::Execute(dead_letter::OperatorRequest request,
                                const ControlServer::Responder& respond) {
  const bool is_write = request.IsWrite();
  // The job writes the result on the store's thread, before its completion runs on the loop's.
  const auto result = std::make_shared<std::string>();
  const auto shared_request = std::make_shared<const dead_letter::OperatorRequest>(std::move(request));
  const auto job = [shared_request, result, review = manager_.review(),
                    now = clock_.CurrentTimestamp()](dead_letter::Database& database) {
    *result = ExecuteOnStore(*shared_request, database, review.get(), now);
  };
  const auto on_done = [this, is_write, result, respond](const dead_letter::JobError* error) {
    if (is_write) manager_.ScheduleReview();
    respond(error == nullptr ? *result : dead_letter::ErrorLine("the store: " + error->message));
  };
  dead_letter::JobRunner& runner = is_write ? writer_ : reader_;
  if (!runner.Run(job, on_done)) respond(dead_letter::ErrorLine("busy: ask again"));
}

// The keys are part of the control socket's protocol.
nlohmann::json DeadLetterControl::Status() const {
  const dead_letter::DeadLetterManager::Counters& counters = manager_.counters();
  return {{"owed", manager_.pending_transfers()},
          {"resends_out", manager_.redrives_in_flight()},
          {"store_failing", manager_.store_failing()},
          {"kept", counters.stored},
          {"resends", counters.redrives},
          {"delivered", counters.delivered},
          {"kept_again", counters.redrives_failed},
          {"handed_in_again", counters.resubmitted},
          {"evicted", counters.evicted},
          {"lost", counters.transfers_given_up},
          {"store_failures", counters.store_failures},
          {"stores_begun_anew", counters.files_replaced}};
}

}  // namespace sagetally
