// Reads the row of a pool's lease in the platform's table. Its key is
// `lease/{pool}`, its value a JSON object whose member "fence" is the fencing
// number of the current holder.
#ifndef ACACIACHUTE_SRC_PROTOCOL_LEASE_CODEC_H_
#define ACACIACHUTE_SRC_PROTOCOL_LEASE_CODEC_H_

#include <optional>

#include "state/store.h"
#include "types.h"

namespace acaciachute {

// Returns zero for a lease that was never held, and nothing for a malformed
// row, which entitles nobody to send orders.
std::optional<FenceNumber> FenceOfLeaseRow(const StoreRow& row);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_LEASE_CODEC_H_
