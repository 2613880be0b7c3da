#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sycamoredrum/byte_stream.h"
#include "sycamoredrum/event_loop.h"
#include "sycamoredrum/http.h"

namespace sycamoredrum {

/// The users' platform on loopback: its store, its promotion call, and one database with instances
/// that speak its wire and replicate at once. For tests of real relay processes. The public methods
/// may be called by any thread; everything runs on one worker.
class StandinUsersPlatform {
 public:
  /// Starts `instance_count` instances; the first one is the primary.
  explicit StandinUsersPlatform(int instance_count);
  ~StandinUsersPlatform();
  StandinUsersPlatform(const StandinUsersPlatform&) = delete;
  StandinUsersPlatform& operator=(const StandinUsersPlatform&) = delete;

  /// Address of the store and of the promotion call.
  Endpoint Address() const { return this->address; }

  /// Writes the operator's configuration. Each route is NAME=TYPE.
  void Configure(int version, const std::vector<std::string>& routes);
  /// The process of an instance ends.
  void KillInstance(int number);
  /// The instance says that it is about to stop.
  void DrainInstance(int number);
  /// Time that each statement takes at every instance.
  void SetWorkTime(Duration work);
  /// The store refuses all calls.
  void SetStoreDown(bool down);

  /// True if the store holds the key.
  bool HasKey(const std::string& key);
  int Primary();
  int Promotions();
  /// Value of an item at an instance; nothing if it was never written there.
  std::optional<std::string> ValueAt(int number, const std::string& item);
  /// How often a write with this data was committed.
  int CommitsOf(const std::string& data);

 private:
  struct State;
  Endpoint address;
  std::unique_ptr<State> state;
};

}  // namespace sycamoredrum
