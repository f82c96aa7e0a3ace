// Includes all interfaces (ports) through which the core uses its adapters, for code that implements or
// passes on several of them. Each interface also has its own header.
#ifndef SAGETALLY_SRC_CORE_PORTS_H_
#define SAGETALLY_SRC_CORE_PORTS_H_

#include "core/dead_letter_sink.h"
#include "core/endpoint_client.h"
#include "core/journal.h"
#include "core/metrics_recorder.h"
#include "core/notifier.h"
#include "core/scheduler.h"

#endif  // SAGETALLY_SRC_CORE_PORTS_H_
