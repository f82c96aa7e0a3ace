#include "loadtest/cli.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "cli/flags.h"
#include "loadtest/demo/demo.h"
#include "loadtest/interrupt.h"
#include "loadtest/load/import.h"
#include "loadtest/load/limit.h"
#include "loadtest/load/trace.h"
#include "loadtest/report/html.h"
#include "loadtest/stub/stub_set.h"
#include "logging/logger.h"

namespace sagetally::loadtest {
namespace {

constexpr int kWrongUsage = 2;

struct LoadOptions {
  std::string scenario, record, output = "result.json", name;
  std::vector<std::string> observed;
  Overrides settings;
  int repeat = 1;
};
struct LimitChoice {
  std::string scenario;
  Overrides settings;
  LimitOptions search;
  double p99_ms = 10, lag_p99_ms = 1;
};
struct StandInOptions {
  std::vector<std::string> kinds;
  std::string file, record;
  Overrides settings;
};
struct TraceOptions {
  std::string in, out = "trace.jsonl", form = "csv";
  std::map<std::string, std::string> columns;
  ImportOptions import;
};
struct ReportOptions {
  std::vector<std::string> runs, with;
  std::string output = "report";
  bool json = false;
};

constexpr char kPrefix[] = "SAGETALLY_LAB_";

void ShowLoad(double seconds, const Progress& p) {
  static std::int64_t last = -1;
  if (static_cast<std::int64_t>(seconds) == last || seconds < 0) return;
  last = static_cast<std::int64_t>(seconds);
  std::cerr << last << " s: offered " << p.offered << ", taken " << p.taken << ", refused " << p.refused
            << ", unanswered " << p.unanswered << "\n";
}

int Load(const LoadOptions& o) {
  Interrupt interrupt;
  Scenario scenario = ReadScenario(o.scenario, o.settings);
  bool well = true;
  for (int i = 0; i < o.repeat && !interrupt.Asked(); ++i) {
    RunOptions options;
    options.record = o.record;
    options.stop = [&] { return interrupt.Asked(); };
    options.progress = ShowLoad;
    const RunRecords run = RunLoad(scenario, options);
    std::vector<Sighting> sightings;
    std::vector<FaultSpan> faults;
    for (const std::string& path : o.observed) {
      Observed more = ReadObserved(path);
      sightings.insert(sightings.end(), more.sightings.begin(), more.sightings.end());
      for (FaultSpan& fault : more.faults) {
        fault.from_ms -= static_cast<double>(run.start_us - more.started_us) / 1000;
        faults.push_back(fault);
      }
    }
    std::string name = o.name.empty() ? (o.scenario.empty() ? "load" : o.scenario) : o.name;
    std::string path = o.output;
    if (o.repeat > 1) {
      name += " " + std::to_string(i + 1);
      path.insert(path.size() - std::filesystem::path(path).extension().string().size(),
                  "-" + std::to_string(i + 1));
    }
    const Result result =
        MakeResult(name, scenario, run, sightings, !o.observed.empty(), Timeline(std::move(faults)));
    PrintResult(result, std::cout);
    WriteResult(result, path);
    std::cout << "result: " << path << std::endl;
    well = well && result.valid() && result.account.findings_count == 0;
  }
  return well ? 0 : 1;
}

// Held: the generator kept up, each message was taken at its first hand-in, and in time.
Probe Judge(const Scenario& scenario, const LimitChoice& o, double rate, double seconds,
            Interrupt& interrupt) {
  Scenario probe = scenario;
  probe.seconds = seconds;
  probe.arrivals["rate"] = rate;
  RunOptions options;
  options.stop = [&] { return interrupt.Asked(); };
  const Result r = MakeResult("probe", probe, RunLoad(probe, options), {}, false);
  Probe judged;
  judged.rate = rate;
  judged.seconds = seconds;
  judged.p99_ms = r.account.taken.Quantile(0.99) / 1000;
  judged.lag_p99_ms = r.account.lag.Quantile(0.99) / 1000;
  const std::int64_t missing = r.account.offered - r.account.taken.count();
  if (r.partial) {
    judged.why = "broken off";
  } else if (judged.lag_p99_ms > o.lag_p99_ms) {
    judged.why = "the generator lagged";
  } else if (missing > 0) {
    judged.why = std::to_string(missing) + " not taken";
  } else if (r.account.hand_ins > r.account.offered) {
    judged.why = "some handed in again";
  } else if (judged.p99_ms > o.p99_ms) {
    judged.why = "too slow";
  }
  judged.held = judged.why.empty();
  std::cout << fmt::format("{:8.0f}/s for {:3.0f} s: p99 {:9.3f} ms, own lag p99 {:8.3f} ms: {}", rate,
                           seconds, judged.p99_ms, judged.lag_p99_ms, judged.held ? "held" : judged.why)
            << std::endl;
  return judged;
}

int SearchLimit(const LimitChoice& o) {
  Interrupt interrupt;
  const Scenario scenario = ReadScenario(o.scenario, o.settings);
  const Limit limit = FindLimit(
      o.search, [&](double rate, double seconds) { return Judge(scenario, o, rate, seconds, interrupt); });
  std::cout << fmt::format("highest rate held for {:.0f} s: {:.0f}/s\n", o.search.confirm_s, limit.rate);
  return limit.rate > 0 ? 0 : 1;
}

int StandIn(const StandInOptions& o) {
  StandInSettings settings = ReadStandIns(o.file, o.settings);
  const auto wanted = [&](const char* kind) {
    return std::find(o.kinds.begin(), o.kinds.end(), kind) != o.kinds.end();
  };
  for (const auto& [kind, address] : {std::pair{"agent", &settings.agent},
                                      {"registry", &settings.registry},
                                      {"sink", &settings.sink},
                                      {"front", &settings.front}}) {
    if (!wanted(kind)) {
      address->reset();
    } else if (!*address) {
      *address = Address{"127.0.0.1", 0};
    }
  }
  if (wanted("partner") && settings.partners.empty()) settings.partners.emplace_back();
  settings.serve_partners = wanted("partner");
  Logger log;
  EventLoop loop;
  const Signal term(loop, SIGTERM, [&] { loop.Break(); });
  const Signal interrupt(loop, SIGINT, [&] { loop.Break(); });
  std::ofstream record;
  if (!o.record.empty()) {
    record.open(o.record, std::ios::trunc);
    if (!record) throw std::runtime_error(o.record + ": can't be written");
  }
  StandIns standins(loop, settings);
  if (record.is_open()) {
    WriteHead(record, standins.started_us(), settings.timeline);
    record.flush();
  }
  standins.on_sighting = [&](const Sighting& sighting) {
    if (record.is_open()) Write(record, sighting);
  };
  std::unique_ptr<Timer> flush;  // so that a reader need not wait for the end
  flush = std::make_unique<Timer>(loop, [&] {
    record.flush();
    flush->Schedule(std::chrono::milliseconds(200));
  });
  if (record.is_open()) flush->Schedule(std::chrono::milliseconds(200));
  for (const auto& p : standins.partners)
    log.Info("partner.ready",
             {{"uid", p->settings().uid}, {"destination", p->settings().destination}, {"port", p->port()}});
  if (standins.agent) log.Info("agent.ready", {{"port", standins.agent->port()}});
  if (standins.registry) log.Info("registry.ready", {{"port", standins.registry->port()}});
  if (standins.sink) log.Info("sink.ready", {{"port", standins.sink->port()}});
  if (standins.front) log.Info("front.ready", {{"port", standins.front->port()}});
  loop.Run();
  record.flush();
  for (const Finding& f : standins.checker.findings())
    log.Error("rule.broken", {{"rule", f.rule}, {"id", f.id}, {"detail", f.detail}});
  log.Info("stopped", {{"calls", standins.checker.calls()},
                       {"effects", standins.checker.effects()},
                       {"broken", standins.checker.count()}});
  return standins.checker.count() == 0 ? 0 : 1;
}

int Import(TraceOptions o) {
  static const std::map<std::string, TraceForm> kForms = {
      {"csv", TraceForm::kCsv}, {"jsonl", TraceForm::kJsonLines}, {"combined", TraceForm::kCombined}};
  o.import.form = kForms.at(o.form);
  for (const auto& [what, name] : o.columns) {
    if (!o.import.columns.contains(what))
      throw std::runtime_error("--column: expected one of time, class, destination, bytes, caller, found '" +
                               what + "'");
    o.import.columns[what] = name;
  }
  std::ifstream in(o.in);
  if (!in) throw std::runtime_error(o.in + ": can't be read");
  Imported imported;
  try {
    imported = ImportTrace(in, o.import);
  } catch (const std::exception& error) {
    throw std::runtime_error(o.in + ": " + error.what());
  }
  TraceWriter writer(o.out, imported.classes);
  for (const Planned& planned : imported.messages) writer.Write(planned);
  writer.Close();
  std::cout << o.in << ": " << imported.lines << " lines, " << imported.messages.size() << " messages, "
            << imported.malformed << " malformed\n";
  for (const ImportProblem& p : imported.problems)
    std::cout << o.in << ":" << p.line << ":" << p.column << ": expected " << p.expected << "\n";
  if (imported.went_back > 0) {
    std::cout << o.in << ": the clock goes back in " << imported.went_back << " lines, by up to "
              << imported.most_back_s << " s; sorted\n";
  }
  std::cout << "trace: " << o.out << "\n";
  return 0;
}

std::vector<Result> ReadAll(const std::vector<std::string>& paths) {
  std::vector<Result> all;
  for (const std::string& path : paths) all.push_back(ReadResult(path));
  return all;
}

int CompareRuns(const ReportOptions& o) {
  const nlohmann::json comparison = Compare(ReadAll(o.runs), ReadAll(o.with));
  if (o.json) {
    std::cout << comparison.dump(1) << "\n";
  } else {
    PrintComparison(comparison, std::cout);
  }
  return 0;
}

}  // namespace

int RunLab(int argc, const char* const* argv) {
  CLI::App app{"sagetally-loadtest: load, stand-ins, traces and reports round sagetally"};
  app.set_version_flag("--version", std::string("sagetally-loadtest ") + SAGETALLY_VERSION);
  app.require_subcommand(1);
  const auto option = [](CLI::App* sub, const std::string& names, auto& to, const std::string& text) {
    const std::string flag = names.substr(0, names.find(','));
    if (!flag.starts_with("--")) return sub->add_option(names, to, text);
    return sub->add_option(names, to, text)
        ->envname(VariableFor(kPrefix, flag.substr(2)))
        ->capture_default_str();
  };
  const auto with_version = [](CLI::App* sub) {
    sub->set_version_flag("--version", std::string("sagetally-loadtest ") + SAGETALLY_VERSION);
    return sub;
  };

  TryOptions try_options;
  std::string levels = "one";
  CLI::App* try_app = with_version(
      app.add_subcommand("try", "starts partners, an agent and a dispatcher, and shows them at work"));
  option(try_app, "--levels", levels, "one (a dispatcher) or two (forwarders and planners)")
      ->check(CLI::IsMember({"one", "two"}));
  option(try_app, "--seconds", try_options.seconds, "how long messages are offered")
      ->check(CLI::Range(1.0, 3600.0));
  option(try_app, "--rate", try_options.rate, "messages a second at the height of it")
      ->check(CLI::Range(1.0, 100000.0));
  option(try_app, "--seed", try_options.seed, "of all random numbers");
  option(try_app, "--forwarders", try_options.forwarders, "with two levels")->check(CLI::Range(1, 32));
  option(try_app, "--planners", try_options.planners, "with two levels")->check(CLI::Range(1, 32));
  option(try_app, "--program", try_options.program,
         "the sagetally to start; default: the one beside this program");
  option(try_app, "--output", try_options.output, "folder for the report");
  bool calm = false;
  try_app->add_flag("--calm", calm, "without the outage and the errors")->envname("SAGETALLY_LAB_CALM");

  LoadOptions load;
  CLI::App* load_app =
      with_version(app.add_subcommand("load", "offers a scenario's messages to running nodes"));
  option(load_app, "--scenario,scenario", load.scenario, "a JSON file; its settings may be flags instead");
  option(load_app, "--record", load.record, "a file for the plan as it was offered, to be replayed");
  option(load_app, "--observed", load.observed,
         "what stand-ins recorded; then deliveries and ends are accounted for");
  option(load_app, "--output", load.output, "the result, a JSON file");
  option(load_app, "--name", load.name, "for tables and plots; default: the scenario's file");
  option(load_app, "--repeat", load.repeat, "runs one after another, each with a result of its own")
      ->check(CLI::Range(1, 1000));
  AddSettings(*load_app, SettingNames(ScenarioSchema()), kPrefix, load.settings,
              "Settings of the scenario, which go before the file");

  LimitChoice limit;
  CLI::App* limit_app =
      with_version(app.add_subcommand("limit", "searches for the highest rate that a target holds"));
  option(limit_app, "--scenario,scenario", limit.scenario, "a JSON file; its rate is what is searched for");
  option(limit_app, "--from", limit.search.from, "messages a second to begin with")
      ->check(CLI::PositiveNumber);
  option(limit_app, "--to", limit.search.to, "messages a second to end with")->check(CLI::PositiveNumber);
  option(limit_app, "--within", limit.search.within, "relative width of the answer")
      ->check(CLI::Range(0.005, 1.0));
  option(limit_app, "--probe-s", limit.search.probe_s, "seconds of a probe")->check(CLI::PositiveNumber);
  option(limit_app, "--confirm-s", limit.search.confirm_s, "seconds for which the answer must hold")
      ->check(CLI::PositiveNumber);
  option(limit_app, "--p99-ms", limit.p99_ms, "the p99 from the intended start to the 202 that is still held")
      ->check(CLI::PositiveNumber);
  option(limit_app, "--lag-p99-ms", limit.lag_p99_ms, "the generator's own lag that is still trusted")
      ->check(CLI::PositiveNumber);
  AddSettings(*limit_app, SettingNames(ScenarioSchema()), kPrefix, limit.settings,
              "Settings of the scenario, which go before the file");

  StandInOptions standin;
  CLI::App* standin_app =
      with_version(app.add_subcommand("standin", "runs stand-ins until SIGTERM, and judges what they saw"));
  option(standin_app, "kinds", standin.kinds, "any of partner, agent, registry, sink, front")
      ->required()
      ->check(CLI::IsMember({"partner", "agent", "registry", "sink", "front"}));
  option(standin_app, "--file", standin.file, "a JSON file of deploy/schema/standin.schema.json");
  option(standin_app, "--record", standin.record, "a file for what was seen, for load --observed");
  AddSettings(*standin_app, SettingNames(StandInSchema()), kPrefix, standin.settings,
              "Settings of the file, which go before it");

  TraceOptions trace;
  CLI::App* trace_app = with_version(app.add_subcommand("trace", "recorded traces"));
  trace_app->require_subcommand(1);
  CLI::App* import_app =
      with_version(trace_app->add_subcommand("import", "makes a foreign trace one that load can offer"));
  option(import_app, "in", trace.in, "the trace")->required();
  option(import_app, "--output", trace.out, "the trace as load reads it");
  option(import_app, "--format", trace.form, "csv, jsonl or combined (access logs)")
      ->check(CLI::IsMember({"csv", "jsonl", "combined"}));
  import_app->add_option("--column", trace.columns,
                         "WHAT NAME: which column or key holds time, class, destination, bytes, caller");
  option(import_app, "--time-unit", trace.import.time_unit_s, "seconds of one unit of plain numbers")
      ->check(CLI::PositiveNumber);
  option(import_app, "--time-scale", trace.import.time_scale, "2: twice as slow")->check(CLI::PositiveNumber);
  option(import_app, "--rate-scale", trace.import.rate_scale,
         "0.5: half of the messages, drawn; 3: each three times")
      ->check(CLI::Range(1e-6, 1000.0));
  option(import_app, "--from", trace.import.from_s, "seconds of the scaled trace that are cut off its start")
      ->check(CLI::NonNegativeNumber);
  option(import_app, "--to", trace.import.to_s, "seconds of the scaled trace at which it is cut; 0: its end")
      ->check(CLI::NonNegativeNumber);
  option(import_app, "--classes", trace.import.classes, "known classes; messages of others become the first")
      ->delimiter(',');
  option(import_app, "--destinations", trace.import.destinations,
         "hash destinations into so many; 0: they are numbers")
      ->check(CLI::Range(0, 100000));
  option(import_app, "--bytes", trace.import.bytes, "body size where the trace has none")
      ->check(CLI::Range(1, 65536));
  option(import_app, "--seed", trace.import.seed, "of draws and of the hash that hides callers");
  import_app->add_flag("--strict", trace.import.strict, "the first malformed line ends it")
      ->envname("SAGETALLY_LAB_STRICT");

  ReportOptions report;
  CLI::App* report_app =
      with_version(app.add_subcommand("report", "one HTML page, plots and JSON of one run or several"));
  option(report_app, "runs", report.runs, "results of load or try")->required();
  option(report_app, "--output", report.output, "a folder");
  ReportOptions compare;
  CLI::App* compare_app =
      with_version(app.add_subcommand("compare", "ratios of two sets of runs, with intervals"));
  option(compare_app, "runs", compare.runs, "results of the first set")->required();
  option(compare_app, "--with", compare.with, "results of the second set")->required();
  compare_app->add_flag("--json", compare.json, "as JSON")->envname("SAGETALLY_LAB_JSON");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kWrongUsage;
  }
  if (try_app->parsed()) {
    try_options.two_levels = levels == "two";
    try_options.outage = !calm;
    Interrupt interrupt;
    try_options.stop = [&] { return interrupt.Asked(); };
    const Result result = Try(try_options, std::cout);
    return result.valid() && result.account.findings_count == 0 && !result.partial ? 0 : 1;
  }
  if (load_app->parsed()) return Load(load);
  if (limit_app->parsed()) return SearchLimit(limit);
  if (standin_app->parsed()) return StandIn(standin);
  if (import_app->parsed()) return Import(trace);
  if (report_app->parsed()) {
    WriteReport(ReadAll(report.runs), report.output);
    std::cout << "report: " << report.output << "/report.html\n";
    return 0;
  }
  return CompareRuns(compare);
}

}  // namespace sagetally::loadtest
