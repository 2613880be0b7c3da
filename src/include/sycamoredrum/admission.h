#pragma once

#include <map>
#include <string>

namespace sycamoredrum {

enum class AdmissionVerdict {
  kAdmitted,
  kGroupLimit,  ///< The caller group has `max_concurrent` requests in progress at this proxy.
  kTotalLimit,  ///< This proxy has its maximum total of requests in progress.
  kStopping,    ///< This proxy finishes the requests in progress and admits no new work.
};

enum class AdmissionKind {
  kNewWork,          ///< A single request or the begin of a transaction.
  kTransactionStep,  ///< A later step of a transaction; also admitted while stopping.
};

/// Counts the requests in progress at one proxy and bounds them, by caller group and in total. Not
/// thread-safe.
class Admission {
 public:
  /// At 16 KiB for each request, 10,000 requests in progress take 160 MB.
  static constexpr int kDefaultMaxTotal = 10000;

  explicit Admission(int max_total = kDefaultMaxTotal) : max_total(max_total) {}

  /// Admits a request and counts it, or returns the reason of the refusal. `max_concurrent` is the
  /// present limit of the caller group; a lowered limit does not end requests in progress.
  AdmissionVerdict TryEnter(const std::string& caller_group, int max_concurrent,
                            AdmissionKind kind);

  /// Ends an admitted request. Ignored if the group has none in progress.
  void Leave(const std::string& caller_group);

  /// Refuses new work from now on.
  void Stop() { this->stopping = true; }

  bool Stopping() const { return this->stopping; }
  int InProgress() const { return this->total; }
  int InProgress(const std::string& caller_group) const;

 private:
  int max_total;
  int total = 0;
  bool stopping = false;
  std::map<std::string, int> by_group;  ///< Only groups with requests in progress.
};

}  // namespace sycamoredrum
