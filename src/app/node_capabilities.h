// What a node can do by its operator's file.
#ifndef SAGETALLY_SRC_APP_NODE_CAPABILITIES_H_
#define SAGETALLY_SRC_APP_NODE_CAPABILITIES_H_

#include "config/node_file.h"

namespace sagetally {

// Whether the node can hand over to another process. A registration in a registry and the store of dead
// letters can't change hands while they are in use.
inline bool CanHandOver(const NodeFile& node_file) { return !node_file.dead_letters && !node_file.eureka; }

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_NODE_CAPABILITIES_H_
