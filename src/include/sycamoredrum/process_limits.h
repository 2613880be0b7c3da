#pragma once

#include <cstddef>

namespace sycamoredrum {

/// Memory in bytes that this process may use: the smallest of the machine's memory, the limit of
/// its control group and its own resource limit, as far as the operating system reports them.
std::size_t AvailableMemory();

/// Limit of the process's open file descriptors.
std::size_t DescriptorLimit();

/// Makes the allocator return large blocks to the system when they are freed. By default it raises
/// the size from which it does so with each large block, so that the memory of a flood of large
/// messages stays with the process.
void ReturnFreedMemory();

}  // namespace sycamoredrum
