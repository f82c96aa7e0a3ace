// Case 9: the new process can't listen at the address of the CloudEvents front. See claim.txt.
#include "upgrade.h"

int main(int argc, char** argv) {
  const review::Arguments arguments = review::Begin(argc, argv);
  const int other_program = review::Listen();
  const int port = arguments.trouble ? review::PortOf(other_program) : review::FreePort();
  review::Upgrade day;
  day.new_node_file = R"({"cloudevents":{"listen":"127.0.0.1:)" + std::to_string(port) + R"("}})";
  review::Leave(review::PlayUpgrade(arguments, day));
}
