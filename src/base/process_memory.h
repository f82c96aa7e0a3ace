// The memory of a process as the system counts it.
#ifndef SAGETALLY_SRC_BASE_PROCESS_MEMORY_H_
#define SAGETALLY_SRC_BASE_PROCESS_MEMORY_H_

#include <sys/types.h>

#include <cstddef>

namespace sagetally {

// Returns the resident memory of a process in bytes, as /proc tells it; 0 if there is no such process.
std::size_t ResidentBytes(pid_t process);
// Does the same for this process.
std::size_t ResidentBytes();

// Sets up the allocator so that freed memory can be returned: one arena for all threads, and large blocks
// that are returned as soon as they are freed. To be called before the first thread starts.
void ConfigureAllocator();
// Returns what is free in the allocator to the system.
void ReturnFreeMemory();

}  // namespace sagetally

#endif  // SAGETALLY_SRC_BASE_PROCESS_MEMORY_H_
