// Tables of cases for what is read from outside, and the store's reading of a torn log.
#include <fstream>

#include "world.h"

namespace sagetally {
namespace {

void Deadlines() {
  const std::pair<const char*, long> table[] = {{"480m", 480'000}, {"480u", 480}, {"1.5m", 1500}, {"0m", 0},
                                                {"", -1},          {"480", -1},   {"m", -1},      {"-1m", -1},
                                                {"1s", -1},        {"nanm", -1},  {"1e99m", -1}};
  for (const auto& [text, us] : table) {
    const auto parsed = ParseDeadline(text);
    assert(us < 0 ? !parsed : parsed == Duration(us));
  }
}

void Destinations() {
  const std::pair<const char*, int> table[] = {
      {"dest=7", 7},  {"a=1,dest=0", 0}, {"a=1; dest=12", 12}, {"", -1},        {"dest=", -1},
      {"dest=x", -1}, {"dest=7x", -1},   {"dest=-3", -1},      {"adest=7", -1}, {"dest=99999999999", -1}};
  for (const auto& [text, number] : table) {
    const auto parsed = ParseDestination(text);
    assert(number < 0 ? !parsed : parsed == number);
  }
}

// Guards against a report that can't be read passing for a limit of nought.
void LoadReports() {
  const std::tuple<const char*, double, double> table[] = {
      {"x0=0.4,x1=25", 0.4, 25}, {"x1=25, x0=0.4", 0.4, 25}, {"x1=7", 0, 7},    {"", 0, 0},
      {"x0=0.4,x1=", 0, 0},      {"x0=0.4,x1=-3", 0, 0},     {"x1=nan", 0, 0},  {"x1=25x", 0, 0},
      {"x1=1e999", 0, 0},        {"\xff\xfe", 0, 0},         {"x1=25,,", 0, 0}, {"cpu=0.5,x1=3", 0, 3}};
  for (const auto& [text, left, limit] : table) {
    const LoadReport load = ReadLoad(text);
    assert(load.allowance_left == left && load.limit == limit);
  }
}

void ConfigurationsNameTheKeyAtFault() {
  const World w;
  const std::string good = w.ConfigText();
  const auto none = [](const char*) { return nullptr; };
  assert(ParseConfig(good, none).site.module.slots == 8);
  const std::tuple<const char*, const char*, const char*> table[] = {
      {"\"listen\":\"127.0.0.1:0\"", "\"listen\":\"nowhere\"", "listen"},
      {"\"listen\":\"127.0.0.1:0\"", "\"listen\":\"a.test:80\"", "listen"},
      {"\"discovery\":", "\"other\":", "discovery"},
      {"\"seed\":\"1f\"", "\"seed\":\"xyz\"", "seed"},
      {"\"disk_mb\":3", "\"disk_mb\":\"much\"", "disk_mb"},
      {"\"callsOut\":8", "\"callsOut\":null", "callsOut"},
      {"\"slo\":2000", "\"slo\":\"soon\"", "slo"},
      {"\"pure\"", "\"holy\"", "idempotency"},
      {"\"uid\":", "\"uib\":", "uid"},
      {"in_service", "asleep", "asleep"},
      {"{", "", "JSON"}};
  for (const auto& [from, to, key] : table) {
    std::string text = good;
    text.replace(text.find(from), std::string(from).size(), to);
    std::string said;
    try {
      ParseConfig(text, none);
    } catch (const std::exception& e) {
      said = e.what();
    }
    assert(said.find(key) != std::string::npos);
  }
}

void DeployFilesNameTheKeyAtFault() {
  assert(!ParseDeployFile("{}").cloudevents && ReadDeployFile("/nonexistent").role == Role::kBoth);
  const std::pair<const char*, const char*> table[] = {
      {R"({"role":"boss"})", "role"},
      {R"({"role":"planner"})", "cloudevents"},
      {R"({"cloudevents":{}})", "listen"},
      {R"({"cloudevents":{"listen":"x"}})",
       "/cloudevents/listen: expected an address, such as 127.0.0.1:9080, found \"x\""},
      {R"({"cloudevents":{"listen":"127.0.0.1:1","more":1}})", "/cloudevents/more: expected one of listen"},
      {R"({"cloudevents":{"listen":"999.0.0.1:1"}})", "/cloudevents/listen"},
      {R"({"kept":{"budget_mb":0}})", "/kept/budget_mb: expected a number from 1"},
      {R"({"kept":{"ends":["lost"]}})", "/kept/ends/0: expected undeliverable or deferred"},
      {R"({"cloudevents":{"listen":"127.0.0.1:1","sink":"y"}})", "/cloudevents/sink"},
      {R"({"eureka":{"registry":"127.0.0.1:1","renew_ms":0}})", "renew_ms"},
      {"[", "JSON"}};
  for (const auto& [text, key] : table) {
    std::string said;
    try {
      ParseDeployFile(text);
    } catch (const std::exception& e) {
      said = e.what();
    }
    assert(said.find(key) != std::string::npos);
  }
}

Message Held(std::uint64_t number, std::size_t body = 10) {
  Message m;
  m.number = number;
  m.request.id = "m" + std::to_string(number);
  m.request.body = std::string(body, '\0');
  m.deadline = Time(1'000'000);
  return m;
}

void ATornLastRecordIsCutOff() {
  const Folder folder;
  const std::string path = folder.path + "/log";
  {
    Ledger ledger;
    Store store(folder.path, 1'000'000, ledger);
    for (std::uint64_t n = 1; n <= 3; ++n) {
      const Message& m = ledger.Add(Held(n));
      const Message* one[] = {&m};
      assert(store.Taken(one));
    }
    Message& first = *ledger.Find(1);
    first.out = true;
    first.attempts = 1;
    first.out_at = "s-0";
    store.Attempted(first);
  }
  const auto whole = std::filesystem::file_size(path);
  for (std::uintmax_t cut = whole; cut-- > 0;) {  // wherever the end of the process cut it
    std::filesystem::resize_file(path, cut);
    Ledger ledger;
    Store store(folder.path, 1'000'000, ledger);
    assert(ledger.held() <= 3 && store.bytes() <= cut);
    if (cut < whole) assert(ledger.Find(1) == nullptr || !ledger.Find(1)->may_have_run);
  }
}

// What lives is counted anew only when the bound is reached: the verdict is as if it were counted each time.
void TheBoundOfWhatLivesGivesTheSameVerdict() {
  const Folder folder;
  Ledger ledger;
  Store store(folder.path, 100'000, ledger);
  int refused = 0;
  std::deque<std::uint64_t> live;
  for (std::uint64_t n = 1; n <= 600; ++n) {
    Message& m = ledger.Add(Held(n));
    const Message* one[] = {&m};
    const bool fits = store.LiveBytes() <= 45'000;
    assert(store.Taken(one) == fits);
    refused += fits ? 0 : 1;
    if (fits && n % 2 == 0) {
      m.history.push_back({});
      store.Attempted(m);
    }
    live.push_back(n);
    // Few end at first, then more than come.
    while (!live.empty() && (!fits || (n > 300 && live.size() > 10))) {
      Message& over = *ledger.Find(live.front());
      live.pop_front();
      ledger.End(over, End::kDelivered, Duration(0), Time(0));
      ledger.Settle(over);
      if (!fits && live.size() % 7 == 0) break;
    }
    assert(store.LiveBytes() <= store.live_bound());
  }
  assert(refused > 0 && refused < 300);
}

void AnAttemptOnRecordMayHaveRun() {
  const Folder folder;
  for (const bool ended : {false, true}) {
    Ledger ledger;
    Store store(folder.path, 1'000'000, ledger);
    if (!ended) {
      Message& m = ledger.Add(Held(1));
      const Message* one[] = {&m};
      assert(store.Taken(one));
      m.out = true;
      m.attempts = 1;
      m.out_since = Time(77);
      m.out_at = "s-0";
      store.Attempted(m);
    } else {
      const Message& m = *ledger.Find(1);
      assert(m.may_have_run == Time(77) && m.may_have_run_at == "s-0" && m.attempts == 1 && !m.out);
    }
  }
}

void TheLogStaysWithinItsShareOfTheDisk() {
  const Folder folder;
  const std::size_t most = 200'000;
  Ledger ledger;
  Store store(folder.path, most, ledger);
  for (std::uint64_t n = 1; n <= 3000; ++n) {
    Message& m = ledger.Add(Held(n, 500));
    const Message* one[] = {&m};
    assert(store.Taken(one));
    ledger.End(m, End::kDelivered, Duration(0), Time(0));
    store.Ended(m);
    ledger.Settle(m);
    assert(store.bytes() <= most / 2);
  }
  assert(ledger.size() == 0);
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  Deadlines();
  Destinations();
  LoadReports();
  ConfigurationsNameTheKeyAtFault();
  DeployFilesNameTheKeyAtFault();
  ATornLastRecordIsCutOff();
  TheBoundOfWhatLivesGivesTheSameVerdict();
  AnAttemptOnRecordMayHaveRun();
  TheLogStaysWithinItsShareOfTheDisk();
  std::puts("9 passed, 0 failed");
}
