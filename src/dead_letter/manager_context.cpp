#include "dead_letter/manager_context.h"

namespace sagetally::dead_letter {

const std::string& ManagerContext::ClassNameOf(const Message& message) const {
  static const std::string kRemovedClass = "(not configured any more)";  // stored, so it must not change
  const int message_class = message.request.message_class;
  if (message_class == kUnknownClass) return kRemovedClass;
  return settings.review->class_names[static_cast<std::size_t>(message_class)];
}

double ManagerContext::PriorityWeightOf(const Message& message) const {
  const int message_class = message.request.message_class;
  if (message_class == kUnknownClass) return 0;
  return settings.review->classes[static_cast<std::size_t>(message_class)].priority_weight;
}

}  // namespace sagetally::dead_letter
