#include "service_registry/eureka_client.h"

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace sagetally {
namespace {

constexpr Duration kRequestTimeout = std::chrono::milliseconds(3000);
constexpr int kRenewalsPerLease = 3;  // a lease expires if this many renewals are missed

constexpr int kOk = 200;
constexpr int kNotFound = 404;

bool IsSuccess(int status_code) { return status_code >= 200 && status_code < 300; }
bool HasAnswered(int status_code) { return status_code != 0; }

}  // namespace

EurekaClient::EurekaClient(EventLoop& loop, const EurekaSettings& settings, Instance own_instance,
                           std::function<void(const Applications&)> on_changed, Logger& log)
    : settings_(settings),
      own_instance_(std::move(own_instance)),
      on_changed_(std::move(on_changed)),
      log_(log),
      renew_timer_(loop, [this] { Renew(); }),
      fetch_timer_(loop, [this] { Fetch(); }),
      http_client_(loop) {
  if (!own_instance_.id.empty()) Register();
  Fetch();
}

EurekaClient::~EurekaClient() = default;

void EurekaClient::SendRequest(evhttp_cmd_type method, const std::string& path, const std::string& body,
                               HttpClient::ResultCallback on_result) {
  std::vector<std::pair<std::string, std::string>> headers = {{"Accept", "application/json"}};
  if (!body.empty()) headers.emplace_back("Content-Type", "application/json");
  http_client_.Send(settings_.registry, method, settings_.path + path, headers, body, kRequestTimeout,
                    std::move(on_result));
}

std::string EurekaClient::OwnPath() const { return "/apps/" + own_instance_.app + "/" + own_instance_.id; }

void EurekaClient::SetReachable(bool is_reachable) {
  if (is_reachable == is_reachable_) return;
  is_reachable_ = is_reachable;
  log_.Warn(is_reachable ? "eureka.back" : "eureka.lost");
}

void EurekaClient::Register() {
  const std::chrono::seconds renewal = std::chrono::ceil<std::chrono::seconds>(settings_.renew_interval);
  const std::string body = FormatRegistration(own_instance_, {renewal, kRenewalsPerLease * renewal});
  SendRequest(EVHTTP_REQ_POST, "/apps/" + own_instance_.app, body,
              [this](const HttpResult& result) { OnRegistered(result.status_code); });
}

void EurekaClient::OnRegistered(int status_code) {
  is_registered_ = IsSuccess(status_code);
  SetReachable(HasAnswered(status_code));
  if (HasAnswered(status_code) && !is_registered_) {
    log_.Warn("eureka.not_registered", {{"answer", status_code}});
  }
  renew_timer_.Schedule(settings_.renew_interval);
}

void EurekaClient::Renew() {
  if (is_deregistered_) return;
  if (!is_registered_) {
    Register();
    return;
  }
  SendRequest(EVHTTP_REQ_PUT, OwnPath(), "",
              [this](const HttpResult& result) { OnRenewed(result.status_code); });
}

void EurekaClient::OnRenewed(int status_code) {
  SetReachable(HasAnswered(status_code));
  if (status_code == kNotFound) {  // the registry does not know this instance any more
    is_registered_ = false;
    Renew();
    return;
  }
  renew_timer_.Schedule(settings_.renew_interval);
}

void EurekaClient::Fetch() {
  const bool is_delta = has_full_list_;
  SendRequest(EVHTTP_REQ_GET, is_delta ? "/apps/delta" : "/apps", "",
              [this, is_delta](const HttpResult& result) { OnFetched(result, is_delta); });
}

void EurekaClient::OnFetched(const HttpResult& result, bool is_delta) {
  SetReachable(HasAnswered(result.status_code));
  fetch_timer_.Schedule(settings_.fetch_interval);
  if (result.status_code != kOk) {
    // The registry may have deltas disabled, so the next fetch is a full one.
    if (HasAnswered(result.status_code)) has_full_list_ = false;
    return;
  }
  try {  // a malformed response is logged and leaves the list unchanged
    UpdateApplications(result.body, is_delta);
  } catch (const std::exception& error) {
    has_full_list_ = false;
    log_.Warn("eureka.unreadable", {{"why", error.what()}});
  }
}

void EurekaClient::UpdateApplications(const std::string& response, bool is_delta) {
  Applications updated;
  std::vector<std::string> errors;
  if (is_delta) {
    updated = applications_;
    if (!ApplyDelta(response, updated, errors)) {
      has_full_list_ = false;
      fetch_timer_.Schedule(Duration(0));
      return;
    }
  } else {
    updated = ReadApplications(response, errors);
  }
  for (const std::string& error : errors) log_.Warn("eureka.instance_skipped", {{"why", error}});
  has_full_list_ = true;
  if (updated == applications_) return;
  applications_ = std::move(updated);
  on_changed_(applications_);
}

void EurekaClient::Deregister(std::function<void()> on_done) {
  is_deregistered_ = true;
  renew_timer_.Stop();
  fetch_timer_.Stop();
  if (own_instance_.id.empty()) {
    on_done();
    return;
  }
  SendRequest(EVHTTP_REQ_DELETE, OwnPath(), "",
              [on_done = std::move(on_done)](const HttpResult&) { on_done(); });
}

}  // namespace sagetally
