// Case 6: the answer to a payment is lost on its way, and the event comes again 1.9 s later. See claim.txt.
#include "world.h"

namespace {

using namespace review;

constexpr double kRate = 100;            // events a second from the other clients
constexpr double kClientWait = 1.9;      // until the client hands in again
constexpr std::size_t kOtherBody = 20480;

std::string Event(const std::string& id, const std::string& message_class, std::size_t body_bytes) {
  return "POST / HTTP/1.1\r\nHost: backend.local\r\nce-specversion: 1.0\r\nce-id: " + id +
         "\r\nce-source: /billing\r\nce-type: br.varela.payment\r\nce-messageclass: " + message_class +
         "\r\nce-destination: 7\r\nce-deadlinems: 10000\r\nContent-Type: text/plain\r\nContent-Length: " +
         std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x');
}

// Hands in on a new connection through a path that loses the answer: the dispatcher's answer is read and dropped, and
// the connection is ended.
void HandInAndLoseAnswer(int port, const std::string& request) {
  Client path(port);
  const int status = path.Ask(request, 2);
  Log().Write("path: the dispatcher answered %d; the answer is lost, the connection is ended", status);
  if (status != 202) CouldNotRun("the payment was not taken on");
}

int Play(const Arguments& arguments) {
  Agent& agent = *new Agent;
  Partner& partner = *new Partner(0.02);
  agent.SetList({{"s-7", partner.port(), 7, "parceiro", "in_service"}});
  Dispatcher dispatcher(arguments.root, agent);
  const int events_port = FreePort();
  Settings settings;
  settings.slots = 12;
  Dispatcher::Start start =
      dispatcher.Run(settings, R"({"cloudevents":{"listen":"127.0.0.1:)" + std::to_string(events_port) + R"("}})");
  if (!WaitUntilReady(*start.process, start.admin_port, 30)) CouldNotRun("the process is not ready after 30 s");

  const std::string payment = Event("pay1", "pagamento", 300);
  if (arguments.trouble) {
    HandInAndLoseAnswer(events_port, payment);
  } else {
    Client client(events_port);
    Log().Write("client: pagamento pay1 answered %d", client.Ask(payment));
  }
  // The other clients' traffic until the client has waited: notices, one connection for each client.
  constexpr int kClients = 4;
  std::atomic<int> taken = 0;
  std::atomic<int> others = 0;
  const double until = Now() + kClientWait;
  std::vector<std::thread> threads;
  for (int i = 0; i < kClients; ++i) {
    threads.emplace_back([&, i] {
      Client client(events_port);
      double next = Now();
      for (int k = 0; Now() < until; ++k) {
        const std::string id = "n" + std::to_string(i) + "-" + std::to_string(k);
        (client.Ask(Event(id, "aviso", kOtherBody)) == 202 ? taken : others) += 1;
        next += kClients / kRate;
        if (next > Now()) Sleep(next - Now());
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  Log().Write("other clients: %d notices of %zu bytes taken on, %d not", taken.load(), kOtherBody, others.load());
  if (arguments.trouble) {
    Client client(events_port);
    Log().Write("client: pagamento pay1, handed in again under the same id, answered %d", client.Ask(payment));
  }
  Sleep(2);
  const int calls = partner.CallsOf("/billing|pay1");
  start.process->Signal(SIGTERM);
  for (int i = 0; i < 80 && start.process->IsRunning(); ++i) Sleep(0.05);
  Log().Append("log of the process", start.process->log_path());
  if (calls == 0) CouldNotRun("the payment never ran");
  Log().Write("the payment ran %d times at its partner: %s", calls,
              calls > 1 ? "the rule is broken" : "the rule held");
  return calls > 1 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { Leave(Play(Begin(argc, argv))); }
