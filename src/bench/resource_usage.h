#pragma once

namespace sycamoredrum {

/// Processor time that this process has used, in seconds. Source: CLOCK_PROCESS_CPUTIME_ID.
double ProcessorSeconds();

/// Heap memory in use by this process, in bytes. Source: mallinfo2.
double HeapBytes();

}  // namespace sycamoredrum
