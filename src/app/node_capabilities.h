// What a node is able to do, given the operator's file.
#ifndef SAGETALLY_SRC_APP_NODE_CAPABILITIES_H_
#define SAGETALLY_SRC_APP_NODE_CAPABILITIES_H_

#include "config/node_file.h"

namespace sagetally {

// Returns whether the node can hand over to another process. A node with a registration in a registry, or
// with a store of dead letters, can't, because neither can pass to another process while it is in use.
inline bool CanHandOver(const NodeFile& node_file) { return !node_file.dead_letters && !node_file.eureka; }

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_NODE_CAPABILITIES_H_
