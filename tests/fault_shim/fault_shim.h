// The fault shim, a library that makes system calls of a process under test fail. It is loaded by LD_PRELOAD
// or linked to a test, and never installed. Its functions may be called from any thread.
//
// A specification is a comma-separated list of rules CALL:EFFECT=PROBABILITY and settings NAME=VALUE, such as
//   writev:ENOBUFS=0.02,readv:short=0.1,fdatasync:EIO=0.05,clock:step=-3600@4,after=1,until=20,seed=7
// CALL is one of socket, connect, accept, readv, writev, recv, send, sendto and epoll_wait, or one of write
// (on regular files only), fdatasync, ftruncate and rename. EFFECT is the name of an errno value, `short`
// (only one byte is read or written) or `delay` (the call is delayed by 5 ms). PROBABILITY is the fraction of
// calls that the rule applies to, from 0 to 1. `clock:step=S@T` moves the wall clock by S seconds T seconds
// after the start. `after` and `until` limit the time in which the rules apply, in seconds from the start.
// `seed` seeds the random choice of calls.
#ifndef SAGETALLY_TESTS_FAULT_SHIM_FAULT_SHIM_H_
#define SAGETALLY_TESTS_FAULT_SHIM_FAULT_SHIM_H_

// The environment variable that contains the initial specification, and the one that contains the path of a
// file to which a line is appended for each injected fault.
#define SAGETALLY_FAULTS_VARIABLE "SAGETALLY_FAULTS"
#define SAGETALLY_FAULT_LOG_VARIABLE "SAGETALLY_FAULT_LOG"

extern "C" {
// Replaces all rules; times count from this call. Returns 0, or -1 if the specification is malformed, in
// which case the rules stay as they were.
int SagetallyConfigureFaults(const char* specification);
// Returns the number of faults injected so far.
long SagetallyInjectedFaults();
}

#endif  // SAGETALLY_TESTS_FAULT_SHIM_FAULT_SHIM_H_
