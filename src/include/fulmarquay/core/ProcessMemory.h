#ifndef FULMARQUAY_CORE_PROCESSMEMORY_H
#define FULMARQUAY_CORE_PROCESSMEMORY_H

#include "fulmarquay/core/Units.h"

namespace fulmarquay {

/// The resident memory of this process; 0 when /proc/self/status does not give
/// it.
Bytes
ResidentMemory();

} // namespace fulmarquay

#endif
