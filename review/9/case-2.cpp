// Case 9: the process is replaced while a bad client sends hundreds of requests at once. See claim.txt.
#include "world.h"

namespace {

using namespace review;

constexpr int kRequestsAtOnce = 300;

// Sends hundreds of requests at once, each with a class that does not exist, and reads all answers. Sends further ones
// at full speed, so that from some hundred to twice as many are without an answer. After a close it connects again.
void PlayBadClient(int number, int port, const std::atomic<bool>& is_over, std::atomic<long>& answers) {
  long next_id = 0;
  while (!is_over) {
    const int fd = Connect(port);
    if (fd < 0) {
      Sleep(0.01);
      continue;
    }
    fcntl(fd, F_SETFL, O_NONBLOCK);
    std::string unsent;
    std::string tail;
    int outstanding = 0;
    bool is_open = true;
    while (is_open && !is_over) {
      if (outstanding <= kRequestsAtOnce && unsent.empty()) {
        for (int i = 0; i < kRequestsAtOnce; ++i) {
          unsent += "POST /nenhuma HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: bad-" + std::to_string(number) + "-" +
                    std::to_string(next_id++) +
                    "\r\nX-Class: nenhuma\r\nX-Deadline: 5000m\r\nX-Envelope: dest=7\r\nContent-Length: 1\r\n\r\nx";
        }
        outstanding += kRequestsAtOnce;
      }
      pollfd ready{fd, static_cast<short>(POLLIN | (unsent.empty() ? 0 : POLLOUT)), 0};
      if (poll(&ready, 1, 1000) < 0) is_open = false;
      if ((ready.revents & POLLOUT) != 0) {
        const ssize_t size = send(fd, unsent.data(), unsent.size(), MSG_NOSIGNAL);
        if (size > 0) unsent.erase(0, static_cast<std::size_t>(size));
      }
      if ((ready.revents & (POLLIN | POLLHUP | POLLERR)) == 0) continue;
      char bytes[65536];
      const ssize_t size = recv(fd, bytes, sizeof bytes, 0);
      if (size == 0 || (size < 0 && errno != EAGAIN)) is_open = false;
      if (size <= 0) continue;
      tail.append(bytes, static_cast<std::size_t>(size));
      std::size_t at = 0;
      while ((at = tail.find("HTTP/1.1 ")) != std::string::npos) {
        tail.erase(0, at + 9);
        --outstanding;
        ++answers;
      }
      if (tail.size() > 8) tail.erase(0, tail.size() - 8);
    }
    close(fd);
  }
}

int Play(const Arguments& arguments) {
  Agent& agent = *new Agent;
  Partner& partner = *new Partner(0.1);
  agent.SetList({{"s-7", partner.port(), 7, "parceiro", "in_service"}});
  Dispatcher dispatcher(arguments.root, agent);
  const Settings settings;
  Dispatcher::Start old_start = dispatcher.Run(settings);
  if (!WaitUntilReady(*old_start.process, old_start.admin_port, 30)) {
    CouldNotRun("the first process is not ready after 30 s");
  }
  std::atomic<bool> is_over = false;
  std::atomic<long> answers = 0;
  std::vector<std::thread> bad_clients;
  if (arguments.trouble) {
    for (int i = 0; i < 3; ++i) {
      bad_clients.emplace_back([&, i] { PlayBadClient(i, dispatcher.port(), is_over, answers); });
    }
  }
  Sleep(1);
  Log().Write("bad clients: %zu, answers until now: %ld", bad_clients.size(), answers.load());
  if (arguments.trouble && answers == 0) CouldNotRun("the bad clients got no answers");
  {
    Client client(dispatcher.port());
    HandIn(client, "m0", "aviso", 7, 5000);
  }
  Dispatcher::Start new_start = dispatcher.Run(settings);
  const bool is_ready = WaitUntilReady(*new_start.process, new_start.admin_port, 6);
  const bool has_ended = !new_start.process->IsRunning();
  Log().Write("new process: %s%s", is_ready ? "says yes" : "does not say yes", has_ended ? ", has ended by itself" : "");
  if (has_ended) Log().Write("new process: exit code %d", new_start.process->exit_code());
  Log().Write("bad clients: answers until now: %ld", answers.load());
  if (is_ready) {
    old_start.process->Signal(SIGTERM);
    Sleep(3.7);
    old_start.process->Signal(SIGKILL);
  }
  is_over = true;
  for (std::thread& thread : bad_clients) thread.join();
  Log().Append("log of the new process", new_start.process->log_path());
  std::ifstream old_log(old_start.process->log_path());
  std::string line;
  while (std::getline(old_log, line)) {
    if (line.find("handover") != std::string::npos) Log().Write("log of the old process: %s", line.c_str());
  }
  const bool is_broken = has_ended || !is_ready;
  Log().Write("%s", is_broken ? "the new process ended or was not ready within 6 s: the rule is broken"
                              : "the new process was ready within 6 s: the rule held");
  return is_broken ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { Leave(Play(Begin(argc, argv))); }
