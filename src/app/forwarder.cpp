#include "app/forwarder.h"

#include <set>
#include <utility>

#include "frontend/cloudevents/cloudevents_frontend.h"
#include "frontend/http_response.h"
#include "frontend/platform/platform_frontend.h"
#include "service_registry/planner_selection.h"

namespace sagetally {
namespace {

using std::chrono::milliseconds;

constexpr Duration kOneTry = milliseconds(150);  // a planner answers at once
constexpr Duration kTryAgain = milliseconds(30);
// A client waits 400 ms; by then it must know, or know that nobody knows.
constexpr Duration kAllTries = milliseconds(330);
constexpr Duration kLongestStop = milliseconds(3000);

}  // namespace

struct Forwarder::ForwardedSubmission {
  ForwardedSubmission(EventLoop& loop, std::function<void(ForwardedSubmission&)> again)
      : timer(loop, [this, again = std::move(again)] { again(*this); }) {}
  std::shared_ptr<Exchange> exchange;
  Address planner;
  Headers headers;
  std::string body;
  bool may_be_taken = false;  // once written, only the same planner may be asked, and no refusal be made up
  std::chrono::steady_clock::time_point limit = std::chrono::steady_clock::now() + kAllTries;
  Timer timer;
};

Forwarder::Forwarder(EventLoop& loop, Logger& log, const Config& config, const NodeFile& deploy)
    : loop_(loop),
      log_(log),
      site_(config.site),
      planners_app_(deploy.eureka->planners),
      eureka_(std::make_unique<EurekaClient>(
          loop, *deploy.eureka, Instance{}, [](const Applications&) {}, log)),
      calls_(loop),
      end_(loop, [this] { loop_.Break(); }) {
  const DescriptorShares shares = ShareDescriptors(config, true);
  plain_ = std::make_unique<HttpServer>(
      loop, config.listen, HttpServer::HttpServerLimits{RequestValidator::kMaxBodyBytes, shares.plain},
      [this](const std::shared_ptr<Exchange>& e) { Plain(e); });
  events_ = std::make_unique<HttpServer>(
      loop, deploy.cloudevents->listen,
      HttpServer::HttpServerLimits{shares.event_body, shares.events, CloudEventsFrontend::kMaxHeadBytes},
      [this](const std::shared_ptr<Exchange>& e) { Events(e); });
  log_.Info("ready",
            {{"name", config.name}, {"role", "forwarder"}, {"port", port()}, {"events_port", events_port()}});
}
Forwarder::~Forwarder() = default;

std::size_t Forwarder::planners_up() const {
  const auto at = eureka_->applications().find(planners_app_);
  if (at == eureka_->applications().end()) return 0;
  std::size_t n = 0;
  for (const auto& [id, planner] : at->second) n += planner.up() ? 1 : 0;
  return n;
}

void Forwarder::Plain(const std::shared_ptr<Exchange>& exchange) {
  if (RespondToOtherPath(*exchange, !stopping_)) return;
  Request request;
  if (const std::string problem = ParsePlatformRequest(*exchange, site_, request); !problem.empty()) {
    exchange->Respond(400, problem + "\n");
    return;
  }
  Pass({ToCloudEvent(request, site_)}, {request.destination}, exchange);
}

void Forwarder::Events(const std::shared_ptr<Exchange>& exchange) {
  if (RespondToOtherPath(*exchange, !stopping_)) return;
  std::vector<CloudEvent> events;
  std::vector<int> destinations;
  try {
    events = ParseCloudEvents(exchange->headers(), exchange->body());
    for (const CloudEvent& event : events) destinations.push_back(ToRequest(event, site_).destination);
  } catch (const std::exception& e) {
    exchange->Respond(400, std::string(e.what()) + "\n");
    return;
  }
  Pass(std::move(events), destinations, exchange);
}

void Forwarder::Pass(std::vector<CloudEvent> events, const std::vector<int>& destinations,
                     const std::shared_ptr<Exchange>& exchange) {
  if (events.empty()) {
    exchange->Respond(202);
    return;
  }
  if (stopping_) {
    exchange->Respond(503, "stopping\n");
    return;
  }
  std::set<const Instance*> planners;
  const auto listed = eureka_->applications().find(planners_app_);
  for (const int destination : destinations) {
    planners.insert(listed == eureka_->applications().end() ? nullptr
                                                            : SelectPlanner(listed->second, destination));
  }
  if (planners.contains(nullptr)) {
    exchange->Respond(503, "no planner is up\n");
    return;
  }
  if (planners.size() > 1) {  // a batch is taken whole or not at all, which two planners can't promise
    exchange->Respond(400, "the batch's destinations belong to several planners: hand them in apart\n");
    return;
  }
  const auto passing = std::make_shared<ForwardedSubmission>(loop_, [this](ForwardedSubmission& p) {
    for (const auto& held : waiting_) {
      if (held.get() == &p) return Send(std::shared_ptr<ForwardedSubmission>(held));
    }
  });
  passing->exchange = exchange;
  passing->planner = {(*planners.begin())->host, (*planners.begin())->port};
  if (events.size() == 1) {
    passing->headers = BinaryHeaders(events.front());
    passing->body = events.front().data;
  } else {
    passing->headers = {{"Content-Type", "application/cloudevents-batch+json"}};
    passing->body = exchange->body();
  }
  ++out_;
  Send(passing);
}

void Forwarder::Send(const std::shared_ptr<ForwardedSubmission>& passing) {
  calls_.Send(passing->planner, EVHTTP_REQ_POST, "/", passing->headers, passing->body, kOneTry,
              [this, passing](const HttpResult& result) { Back(passing, result); });
}

void Forwarder::Back(const std::shared_ptr<ForwardedSubmission>& passing, const HttpResult& result) {
  if (result.status_code != 0) {
    Headers headers;
    for (const auto& [name, value] : result.headers) {
      if (evutil_ascii_strcasecmp(name.c_str(), "Retry-After") == 0) headers.emplace_back(name, value);
    }
    return End(passing, result.status_code, result.body, headers);
  }
  passing->may_be_taken = passing->may_be_taken || result.request_written;
  if (!passing->may_be_taken) return End(passing, 503, "the planner can't be reached\n", {});
  if (std::chrono::steady_clock::now() + kTryAgain >= passing->limit) {
    return End(passing, 504, "not known whether it was taken: hand it in again under the same id\n", {});
  }
  // The same planner and the same id: if it was taken, the answer is the same and there is no second message.
  waiting_.insert(passing);
  passing->timer.Schedule(kTryAgain);
}

void Forwarder::End(const std::shared_ptr<ForwardedSubmission>& passing, int code, const std::string& body,
                    const Headers& headers) {
  passing->exchange->Respond(code, body, headers);
  waiting_.erase(passing);
  --out_;
  EndIfDone();
}

void Forwarder::EndIfDone() {
  if (stopping_ && out_ == 0) end_.Schedule(milliseconds(400));  // new connections come for so long
}

void Forwarder::Shutdown() {
  if (std::exchange(stopping_, true)) return;
  log_.Info("stopping", {{"on_their_way", out_}});
  plain_->CloseBetweenRequests();
  events_->CloseBetweenRequests();
  end_.Schedule(kLongestStop);
  EndIfDone();
}

}  // namespace sagetally
