#include "loadtest/stub/agent.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace sagetally::loadtest {
namespace {

using Json = nlohmann::json;

// The protocol demands an empty line at this interval, which shows the client that the watch is alive.
constexpr Duration kHeartbeatInterval = std::chrono::seconds(2);

Json EndpointToJson(const ListedEndpoint& endpoint) {
  return {{"uid", endpoint.uid},
          {"endpoint", endpoint.address},
          {"az", endpoint.zone},
          {"model", endpoint.model},
          {"pod_group", endpoint.destination},
          {"state", endpoint.state},
          {"capacity_hint", endpoint.rate},
          {"boot_ms", endpoint.boot_ms}};
}

}  // namespace

std::string ToJson(const ListedEndpoint& endpoint) { return EndpointToJson(endpoint).dump(); }

Agent::Agent(EventLoop& loop, const Address& listen_address)
    : loop_(loop),
      heartbeat_timer_(loop, [this] { SendHeartbeat(); }),
      listener_(loop, listen_address, [this](const auto& call) { OnRequest(call); }) {
  heartbeat_timer_.Schedule(kHeartbeatInterval);
}
Agent::~Agent() = default;

std::string Agent::ListJson() const {
  Json list = {{"rev", revision_}, {"all", true}, {"targets", Json::array()}};
  for (const auto& [uid, endpoint] : faults.stale ? initial_endpoints_ : endpoints_) {
    list["targets"].push_back(EndpointToJson(endpoint));
  }
  return list.dump();
}

void Agent::SendHeartbeat() {
  std::erase_if(watches_, [](const auto& call) { return call->gone(); });
  if (!faults.silent) {
    for (const auto& call : watches_) call->Chunk("\n");
  }
  heartbeat_timer_.Schedule(kHeartbeatInterval);
}

void Agent::Put(const ListedEndpoint& endpoint) {
  ++revision_;
  endpoints_[endpoint.uid] = endpoint;
  if (watches_.empty() && watch_requests.empty()) initial_endpoints_ = endpoints_;
  if (faults.lost || faults.silent) return;
  if (faults.late_ms <= 0) {
    SendChange(endpoint);
    return;
  }
  delayed_changes_.push_back(std::make_unique<Timer>(loop_, [this, endpoint] { SendChange(endpoint); }));
  delayed_changes_.back()->Schedule(Duration(static_cast<std::int64_t>(faults.late_ms * 1000)));
}

void Agent::SetState(const std::string& uid, const std::string& state) {
  const auto found = endpoints_.find(uid);
  if (found == endpoints_.end()) return;
  ListedEndpoint endpoint = found->second;
  endpoint.state = state;
  Put(endpoint);
  if (state == "terminated") endpoints_.erase(uid);
}

void Agent::SendChange(const ListedEndpoint& endpoint) {
  const Json change = {{"rev", revision_}, {"all", false}, {"targets", {EndpointToJson(endpoint)}}};
  bool was_sent = false;
  for (const auto& call : watches_) was_sent = call->Chunk(change.dump() + "\n") || was_sent;
  if (was_sent && on_state_announced) on_state_announced(endpoint.uid, endpoint.state);
}

void Agent::SendWatchLine(const std::string& line) {
  if (watch) watch->Chunk(line + "\n");
}

void Agent::EndWatch() {
  if (watch) watch->EndChunks();
  watch.reset();
}

void Agent::OnRequest(const std::shared_ptr<Call>& call) {
  if (call->target.starts_with("/v1/servers")) {
    OnListRequest(call);
  } else if (call->target == "/v1/notices" && call->method == "POST") {
    OnNotices(*call);
  } else {
    call->Answer(404);
  }
}

void Agent::OnListRequest(const std::shared_ptr<Call>& call) {
  if (faults.silent) return;
  const bool is_watch = call->target.find("watch=1") != std::string::npos;
  if (!is_watch) {
    call->Answer(200, ListJson());
    return;
  }
  watch_requests.push_back(call->target);
  call->StartChunks();
  std::erase_if(watches_, [](const auto& old) { return old->gone(); });
  watches_.push_back(call);
  watch = call;
  if (!endpoints_.empty()) call->Chunk(ListJson() + "\n");
}

void Agent::OnNotices(Call& call) {
  int status = 204;
  if (!notice_statuses.empty()) {
    status = notice_statuses.front();
    notice_statuses.pop_front();
  }
  if (status == 204) {
    if (!ReadNotices(call.body)) status = 400;
    if (keep_notices) notices += call.body;
  }
  call.Answer(status);
}

bool Agent::ReadNotices(const std::string& body) {
  bool is_well_formed = true;
  std::istringstream lines(body);
  for (std::string line; std::getline(lines, line);) {
    const Json notice = Json::parse(line, nullptr, false);
    if (!notice.is_object() || !notice.contains("id") || !notice.contains("status")) {
      ++malformed;
      is_well_formed = false;
      continue;
    }
    if (on_notice) on_notice(notice["id"].get<std::string>(), notice["status"].get<std::string>());
  }
  return is_well_formed;
}

}  // namespace sagetally::loadtest
