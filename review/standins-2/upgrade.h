// The run of the cases about replacing the process: a clump of messages, a second process beside the first one as
// operation/DAYS.md describes it, and the ends of all messages.
#ifndef SAGETALLY_REVIEW_STANDINS_2_UPGRADE_H_
#define SAGETALLY_REVIEW_STANDINS_2_UPGRADE_H_

#include "world.h"

namespace review {

struct Upgrade {
  Settings old_settings;
  Settings new_settings;
  bool judges_payments = true;  // whether the messages of class pagamento are judged, too
};

constexpr int kClump = 40;
constexpr int kDeadlineMs = 10000;
constexpr double kServiceSeconds = 0.25;

// Plays the day and returns the exit code of the case.
inline int PlayUpgrade(const Arguments& arguments, const Upgrade& day) {
  Agent& agent = *new Agent;
  Partner& partner = *new Partner(kServiceSeconds);
  agent.SetList({{"s-7", partner.port(), 7, "parceiro", "in_service"}});
  Dispatcher dispatcher(arguments.root, agent);

  Dispatcher::Start old_start = dispatcher.Run(day.old_settings);
  Process& old_process = *old_start.process;
  if (!WaitUntilReady(old_process, old_start.admin_port, 30)) CouldNotRun("the first process is not ready after 30 s");

  std::vector<Handed> messages;
  Client client(dispatcher.port());
  for (int i = 0; i < kClump; ++i) {
    const std::string message_class = i % 2 == 0 ? "pedido" : "pagamento";
    messages.push_back(HandIn(client, "m" + std::to_string(i), message_class, 7, kDeadlineMs));
    if (messages.back().status != 202) CouldNotRun("a message of the clump was not taken on");
  }

  Sleep(0.1);
  Dispatcher::Start new_start = dispatcher.Run(day.new_settings);
  Process& new_process = *new_start.process;
  const bool is_ready = WaitUntilReady(new_process, new_start.admin_port, 6);
  Log().Write("new process: %s", is_ready ? "says yes" : "never said yes");
  double killed_at = 1e9;
  if (is_ready) {
    old_process.Signal(SIGTERM);
    killed_at = Now() + 3.7;
    Log().Write("old process: SIGTERM");
  }
  const double end = LatestDeadline(messages) + kEndSlack + 0.3;
  while (Now() < end) {
    if (Now() > killed_at) old_process.Signal(SIGKILL);
    Sleep(0.05);
  }
  for (auto* start : {&old_start, &new_start}) {
    const char* name = start == &old_start ? "old" : "new";
    if (start->process->IsRunning()) {
      Log().Write("%s process: running; STATUS: %s", name, AskAdmin(start->admin_port, "STATUS").c_str());
    } else {
      Log().Write("%s process: ended with %d", name, start->process->exit_code());
    }
  }
  Log().Write("GET /healthz at the clients' address: %d (0: no answer)", AskHealth(dispatcher.port()));

  if (!day.judges_payments) {
    std::erase_if(messages, [](const Handed& message) { return message.message_class == "pagamento"; });
  }
  const int lost = CountLost(messages, agent, {&partner});
  Log().Append("log of the old process", old_process.log_path());
  Log().Append("log of the new process", new_process.log_path());
  Log().Write("%d of %zu messages that were taken on were neither delivered nor ended by a notice: %s", lost,
              messages.size(), lost > 0 ? "the rule is broken" : "the rule held");
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace review

#endif  // SAGETALLY_REVIEW_STANDINS_2_UPGRADE_H_
