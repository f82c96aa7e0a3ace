// Case 10: a CloudEvent is refused and handed in again on the connection that its client keeps. See claim.txt.
#include "world.h"

namespace {

using namespace review;

std::string Event(const std::string& id, int destination) {
  const std::string body = "order " + id;
  return "POST / HTTP/1.1\r\nHost: backend.local\r\nce-specversion: 1.0\r\nce-id: " + id +
         "\r\nce-source: /orders\r\nce-type: br.varela.order\r\nce-messageclass: pagamento\r\nce-destination: " +
         std::to_string(destination) + "\r\nce-deadlinems: 5000\r\nContent-Type: text/plain\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Answer {
  int status = 0;
  int end_error = 0;
};

// Hands in on the client's connection and waits for longer than any client does.
Answer Ask(Client& client, const std::string& what, const std::string& request) {
  const double sent_at = Now();
  const int status = client.Ask(request, 5);
  Log().Write("client: %s: %s after %.1f ms", what.c_str(),
              status > 0    ? ("answered " + std::to_string(status)).c_str()
              : status == 0 ? "NO ANSWER, the dispatcher ended the connection"
                            : "NO ANSWER in 5 s",
              1000 * (Now() - sent_at));
  return {status, client.end_error()};
}

int Play(const Arguments& arguments) {
  Agent& agent = *new Agent;
  Partner& partner = *new Partner(0.08);
  const Target other = {"s-9", partner.port(), 9, "parceiro", "in_service"};
  const Target late = {"s-7", partner.port(), 7, "parceiro", "in_service"};
  // The disruption: the list comes late, so that the dispatcher does not know the partner yet and refuses.
  agent.SetList(arguments.trouble ? std::vector<Target>{other} : std::vector<Target>{other, late});
  Dispatcher dispatcher(arguments.root, agent);
  const int events_port = FreePort();
  Dispatcher::Start start =
      dispatcher.Run(Settings(), R"({"cloudevents":{"listen":"127.0.0.1:)" + std::to_string(events_port) + R"("}})");
  if (!WaitUntilReady(*start.process, start.admin_port, 30)) CouldNotRun("the process is not ready after 30 s");

  constexpr int kEvents = 10;
  std::vector<std::unique_ptr<Client>> clients;
  std::vector<int> first_answers;
  for (int i = 0; i < kEvents; ++i) {
    clients.push_back(std::make_unique<Client>(events_port));
    const std::string id = "e" + std::to_string(i);
    first_answers.push_back(Ask(*clients.back(), id, Event(id, 7)).status);
  }
  Client plain(dispatcher.port());
  const int plain_answer = Ask(plain, "plain p0", PlainRequest("p0", "pagamento", 7, 5000)).status;
  if (arguments.trouble) agent.SetList({other, late});
  Sleep(1);
  int handed_in_again = 0;
  int unanswered = 0;
  for (int i = 0; i < kEvents; ++i) {
    const int first = first_answers[static_cast<std::size_t>(i)];
    if (first != 429 && first != 503) continue;
    ++handed_in_again;
    const std::string id = "e" + std::to_string(i);
    if (Ask(*clients[static_cast<std::size_t>(i)], id + " again", Event(id, 7)).status <= 0) ++unanswered;
  }
  if (plain_answer == 429) Ask(plain, "plain p0 again, with a new id", PlainRequest("p1", "pagamento", 7, 5000));
  Sleep(1);
  for (int i = 0; i < kEvents; ++i) {
    Log().Write("event e%d: calls run: %d", i, partner.CallsOf("/orders|e" + std::to_string(i)));
  }
  start.process->Signal(SIGTERM);
  for (int i = 0; i < 80 && start.process->IsRunning(); ++i) Sleep(0.05);
  Log().Append("log of the process", start.process->log_path());
  if (arguments.trouble && handed_in_again == 0) CouldNotRun("no event was refused");
  Log().Write("%d of %d events that were handed in again after a refusal got no answer: %s", unanswered,
              handed_in_again, unanswered > 0 ? "the rule is broken" : "the rule held");
  return unanswered > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { Leave(Play(Begin(argc, argv))); }
