#include "app/forwarder.h"

#include <utility>

#include "frontend/cloudevents/cloudevents_frontend.h"
#include "frontend/http_response.h"
#include "frontend/platform/platform_frontend.h"

namespace sagetally {
namespace {

using std::chrono::milliseconds;

constexpr Duration kMaxShutdownDuration = milliseconds(3000);
// How long new connections still arrive after SIGTERM.
constexpr Duration kLateConnectionDelay = milliseconds(400);

Headers RetryAfterHeaders(const HttpResult& result) {
  Headers headers;
  for (const auto& [name, value] : result.headers) {
    if (evutil_ascii_strcasecmp(name.c_str(), "Retry-After") == 0) headers.emplace_back(name, value);
  }
  return headers;
}

}  // namespace

// One submission of a client, from its request to the response.
struct Forwarder::ForwardedSubmission {
  ForwardedSubmission(EventLoop& loop, std::shared_ptr<Exchange> client_exchange, Address planner_address,
                      std::function<void(const ForwardedSubmission*)> on_retry)
      : exchange(std::move(client_exchange)),
        planner(std::move(planner_address)),
        retry_timer(loop, [this, on_retry = std::move(on_retry)] { on_retry(this); }) {}

  const std::shared_ptr<Exchange> exchange;
  const Address planner;
  Headers headers;
  std::string body;
  // Whether the planner may have accepted the submission. Then it may only be sent to the same planner again,
  // and the forwarder must not reject it by itself.
  bool may_be_accepted = false;
  const std::chrono::steady_clock::time_point give_up_at =
      std::chrono::steady_clock::now() + kForwardingTimeout;
  Timer retry_timer;
};

Forwarder::Forwarder(EventLoop& loop, Logger& log, const Config& config, const NodeFile& node_file)
    : loop_(loop),
      log_(log),
      config_(config),
      memory_(loop, log, config.memory_limit_bytes),
      cloudevents_address_(node_file.cloudevents->listen),
      planners_application_(node_file.eureka->planners),
      eureka_(
          loop, *node_file.eureka, Instance{}, [](const Applications&) {}, log),
      http_client_(loop),
      exit_timer_(loop, [this] { loop_.Break(); }) {}

Forwarder::~Forwarder() = default;

void Forwarder::Start() {
  const DescriptorLimits limits = DivideDescriptors(config_, true);
  platform_server_ = std::make_unique<HttpServer>(
      loop_, config_.listen, HttpServer::Limits{RequestValidator::kMaxBodyBytes, limits.platform_connections},
      [this](const std::shared_ptr<Exchange>& exchange) { OnPlatformRequest(exchange); }, FileDescriptor(),
      &memory_.clients());
  cloudevents_server_ = std::make_unique<HttpServer>(
      loop_, cloudevents_address_,
      HttpServer::Limits{limits.cloudevents_body_bytes, limits.cloudevents_connections,
                         CloudEventsFrontend::kMaxHeadBytes},
      [this](const std::shared_ptr<Exchange>& exchange) { OnCloudEventsRequest(exchange); }, FileDescriptor(),
      &memory_.clients());
  cloudevents_server_->SetRequestIdentification(RequestIdentification::kByContent);
  log_.Info(
      "ready",
      {{"name", config_.name}, {"role", "forwarder"}, {"port", port()}, {"events_port", cloudevents_port()}});
}

std::size_t Forwarder::planners_up() const {
  const auto planners = eureka_.applications().find(planners_application_);
  if (planners == eureka_.applications().end()) return 0;
  std::size_t count = 0;
  for (const auto& [id, planner] : planners->second) count += planner.is_up() ? 1 : 0;
  return count;
}

void Forwarder::OnPlatformRequest(const std::shared_ptr<Exchange>& exchange) {
  if (RespondToOtherPath(*exchange, !is_stopping_)) return;
  Request request;
  if (const std::string problem = ParsePlatformRequest(*exchange, config_.site, request); !problem.empty()) {
    exchange->Respond(400, problem + "\n");
    return;
  }
  Forward({ToCloudEvent(request, config_.site)}, {request.destination}, exchange);
}

void Forwarder::OnCloudEventsRequest(const std::shared_ptr<Exchange>& exchange) {
  if (RespondToOtherPath(*exchange, !is_stopping_)) return;
  std::vector<CloudEvent> events;
  std::vector<int> destinations;
  try {
    events = ParseCloudEvents(exchange->headers(), exchange->body());
    for (const CloudEvent& event : events) {
      destinations.push_back(ToRequest(event, config_.site).destination);
    }
  } catch (const std::exception& error) {
    exchange->Respond(400, std::string(error.what()) + "\n");
    return;
  }
  Forward(events, destinations, exchange);
}

void Forwarder::Forward(const std::vector<CloudEvent>& events, const std::vector<int>& destinations,
                        const std::shared_ptr<Exchange>& exchange) {
  if (events.empty()) {
    exchange->Respond(202);
    return;
  }
  if (is_stopping_) {
    exchange->Respond(503, "stopping\n");
    return;
  }
  const PlannerChoice choice = ChoosePlanner(eureka_.applications(), planners_application_, destinations);
  switch (choice.status) {
    case PlannerChoice::Status::kNoPlannerUp:
      exchange->Respond(503, "no planner is up\n");
      return;
    case PlannerChoice::Status::kSeveralPlanners:
      exchange->Respond(400, "the batch's destinations belong to several planners: hand them in apart\n");
      return;
    case PlannerChoice::Status::kFound:
      StartForwarding(events, choice.planner, exchange);
      return;
  }
}

void Forwarder::StartForwarding(const std::vector<CloudEvent>& events, const Address& planner,
                                const std::shared_ptr<Exchange>& exchange) {
  const auto submission = std::make_shared<ForwardedSubmission>(
      loop_, exchange, planner, [this](const ForwardedSubmission* waiting) { Retry(waiting); });
  if (events.size() == 1) {
    submission->headers = BinaryHeaders(events.front());
    submission->body = events.front().data;
  } else {
    submission->headers = {{"Content-Type", "application/cloudevents-batch+json"}};
    submission->body = exchange->body();
  }
  ++in_flight_;
  SendAttempt(submission);
}

void Forwarder::SendAttempt(const SubmissionPtr& submission) {
  http_client_.Send(submission->planner, EVHTTP_REQ_POST, "/", submission->headers, submission->body,
                    kForwardingAttemptTimeout,
                    [this, submission](const HttpResult& result) { OnAttemptResult(submission, result); });
}

void Forwarder::OnAttemptResult(const SubmissionPtr& submission, const HttpResult& result) {
  if (result.status_code == 0 && result.request_written) submission->may_be_accepted = true;
  switch (DecideAfterAttempt(result, submission->may_be_accepted, std::chrono::steady_clock::now(),
                             submission->give_up_at)) {
    case ForwardingStep::kPassOnResponse:
      return Complete(submission, result.status_code, result.body, RetryAfterHeaders(result));
    case ForwardingStep::kReportUnreachable:
      return Complete(submission, 503, "the planner can't be reached\n");
    case ForwardingStep::kReportUnknown:
      return Complete(submission, 504,
                      "not known whether it was taken: hand it in again under the same id\n");
    case ForwardingStep::kRetry:
      waiting_for_retry_.insert(submission);
      submission->retry_timer.Schedule(kForwardingRetryDelay);
  }
}

void Forwarder::Retry(const ForwardedSubmission* submission) {
  for (const SubmissionPtr& waiting : waiting_for_retry_) {
    // Copies the pointer, because the attempt's result may remove the submission from the set.
    if (waiting.get() == submission) return SendAttempt(SubmissionPtr(waiting));
  }
}

void Forwarder::Complete(const SubmissionPtr& submission, int status_code, const std::string& body,
                         const Headers& headers) {
  submission->exchange->Respond(status_code, body, headers);
  waiting_for_retry_.erase(submission);
  --in_flight_;
  ExitIfDone();
}

void Forwarder::ExitIfDone() {
  if (is_stopping_ && in_flight_ == 0) exit_timer_.Schedule(kLateConnectionDelay);
}

void Forwarder::Shutdown() {
  if (std::exchange(is_stopping_, true)) return;
  log_.Info("shutdown.started", {{"in_flight", in_flight_}});
  platform_server_->CloseBetweenRequests();
  cloudevents_server_->CloseBetweenRequests();
  exit_timer_.Schedule(kMaxShutdownDuration);
  ExitIfDone();
}

}  // namespace sagetally
