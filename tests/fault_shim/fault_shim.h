// A library that is loaded into a process under test (LD_PRELOAD, or linked to a test) and lets system calls
// fail. Never installed.
//
// A specification is a list of rules separated by commas: CALL:EFFECT=CHANCE, such as
//   writev:ENOBUFS=0.02,readv:short=0.1,fdatasync:EIO=0.05,clock:step=-3600@4,after=1,until=20,seed=7
// CALL is one of socket, connect, accept, readv, writev, recv, send, sendto, epoll_wait (sockets only),
// write, fdatasync, ftruncate, rename (regular files only). EFFECT is an errno name, `short` (one byte is
// read or written) or `delay` (5 ms). CHANCE is the share of calls. `clock:step=S@T` moves the wall clock by
// S seconds T seconds after the start. `after` and `until` bound the time in which rules hold, in seconds
// from the start.
#ifndef SAGETALLY_TESTS_FAULT_SHIM_FAULT_SHIM_H_
#define SAGETALLY_TESTS_FAULT_SHIM_FAULT_SHIM_H_

// The environment variable with the specification that is read at the start, and the one with the path of a
// file to which a line is appended for each fault.
#define SAGETALLY_FAULTS_VARIABLE "SAGETALLY_FAULTS"
#define SAGETALLY_FAULT_LOG_VARIABLE "SAGETALLY_FAULT_LOG"

extern "C" {
// Replaces all rules; time counts from now. Returns 0, or -1 if the specification can't be read (no rule is
// set).
int SagetallyConfigureFaults(const char* specification);
// Faults injected so far.
long SagetallyInjectedFaults();
}

#endif  // SAGETALLY_TESTS_FAULT_SHIM_FAULT_SHIM_H_
