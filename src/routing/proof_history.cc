#include "sycamoredrum/read_router.h"

namespace sycamoredrum {

void ProofHistory::Add(const FreshnessProof& proof) {
  if (!this->proofs.empty() && proof.proven_at <= this->proofs.back().proven_at) {
    return;
  }
  this->proofs.push_back(proof);
  if (this->proofs.size() > kMaxProofs) {
    this->proofs.pop_front();
  }
}

std::optional<FreshnessProof> ProofHistory::Find(TimePoint not_before) const {
  std::optional<FreshnessProof> best;
  for (const FreshnessProof& proof : this->proofs) {
    const bool eligible = proof.proven_at >= not_before;
    if (eligible && (!best || proof.position < best->position)) {
      best = proof;
    }
  }
  return best;
}

}  // namespace sycamoredrum
