#include "loadtest/stub/agent.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace sagetally::loadtest {
namespace {

using Json = nlohmann::json;
constexpr Duration kBeat = std::chrono::seconds(2);

Json AsJson(const Target& t) {
  return {{"uid", t.uid},
          {"endpoint", t.endpoint},
          {"az", t.zone},
          {"model", t.model},
          {"pod_group", t.destination},
          {"state", t.state},
          {"capacity_hint", t.rate},
          {"boot_ms", t.boot_ms}};
}

}  // namespace

std::string ToJson(const Target& target) { return AsJson(target).dump(); }

Agent::Agent(EventLoop& loop, const Address& at)
    : loop_(loop),
      beat_(loop, [this] { Beat(); }),
      listener_(loop, at, [this](const auto& call) { Asked(call); }) {
  beat_.Schedule(kBeat);
}
Agent::~Agent() = default;

std::string Agent::List(const std::map<std::string, Target>& targets, std::int64_t revision) const {
  Json list = {{"rev", revision}, {"all", true}, {"targets", Json::array()}};
  for (const auto& [uid, target] : targets) list["targets"].push_back(AsJson(target));
  return list.dump();
}

void Agent::Beat() {  // an empty line every 2 s
  std::erase_if(watches_, [](const auto& call) { return call->gone(); });
  if (!how.silent) {
    for (const auto& call : watches_) call->Chunk("\n");
  }
  beat_.Schedule(kBeat);
}

void Agent::Put(const Target& target) {
  ++revision_;
  targets_[target.uid] = target;
  if (watches_.empty() && asked.empty()) first_ = targets_;
  if (how.lost || how.silent) return;
  if (how.late_ms <= 0) return TellChange(target);
  late_.push_back(std::make_unique<Timer>(loop_, [this, target] { TellChange(target); }));
  late_.back()->Schedule(Duration(static_cast<std::int64_t>(how.late_ms * 1000)));
}

void Agent::SetState(const std::string& uid, const std::string& state) {
  const auto at = targets_.find(uid);
  if (at == targets_.end()) return;
  Target target = at->second;
  target.state = state;
  Put(target);
  if (state == "terminated") targets_.erase(uid);
}

void Agent::TellChange(const Target& target) {
  const Json change = {{"rev", revision_}, {"all", false}, {"targets", {AsJson(target)}}};
  bool told = false;
  for (const auto& call : watches_) told = call->Chunk(change.dump() + "\n") || told;
  if (told && on_told) on_told(target.uid, target.state);
}

void Agent::Say(const std::string& line) {
  if (watch) watch->Chunk(line + "\n");
}

void Agent::EndWatch() {
  if (watch) watch->EndChunks();
  watch.reset();
}

void Agent::Asked(const std::shared_ptr<Call>& call) {
  if (call->target.starts_with("/v1/servers")) {
    if (how.silent) return;  // as while discovery is down
    const bool watching = call->target.find("watch=1") != std::string::npos;
    if (!watching) {
      call->Answer(200, List(how.stale ? first_ : targets_, revision_));
      return;
    }
    asked.push_back(call->target);
    call->StartChunks();
    std::erase_if(watches_, [](const auto& old) { return old->gone(); });
    watches_.push_back(call);
    watch = call;
    if (!targets_.empty()) call->Chunk(List(how.stale ? first_ : targets_, revision_) + "\n");
    return;
  }
  if (call->target == "/v1/notices" && call->method == "POST") return Notices(*call);
  call->Answer(404);
}

void Agent::Notices(Call& call) {
  int code = 204;
  if (!script.empty()) {
    code = script.front();
    script.pop_front();
  }
  if (code == 204) {
    std::istringstream lines(call.body);
    for (std::string line; std::getline(lines, line);) {
      const Json notice = Json::parse(line, nullptr, false);
      if (!notice.is_object() || !notice.contains("id") || !notice.contains("status")) {
        ++malformed;
        code = 400;
        continue;
      }
      if (on_notice) on_notice(notice["id"].get<std::string>(), notice["status"].get<std::string>());
    }
    if (keep_notices) notices += call.body;
  }
  call.Answer(code);
}

}  // namespace sagetally::loadtest
