// All interfaces through which the core reaches the outside, for those who implement or pass on several of
// them. Each has a header of its own.
#ifndef SAGETALLY_SRC_CORE_PORTS_H_
#define SAGETALLY_SRC_CORE_PORTS_H_

#include "core/dead_letter_sink.h"
#include "core/endpoint_client.h"
#include "core/journal.h"
#include "core/metrics_recorder.h"
#include "core/notifier.h"
#include "core/scheduler.h"

#endif  // SAGETALLY_SRC_CORE_PORTS_H_
