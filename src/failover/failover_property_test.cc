#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "simulation.h"

namespace sycamoredrum {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

struct Event {
  int kind;
  int node;
  int other;
  int pause_ms;
};

void showValue(const Event& event, std::ostream& out) {  // NOLINT: name required by RapidCheck
  out << "{" << event.kind << ", " << event.node << ", " << event.other << ", " << event.pause_ms
      << "}";
}

rc::Gen<Event> AnyEvent() {
  return rc::gen::build<Event>(rc::gen::set(&Event::kind, rc::gen::inRange(0, 12)),
                               rc::gen::set(&Event::node, rc::gen::inRange(0, 3)),
                               rc::gen::set(&Event::other, rc::gen::inRange(0, 3)),
                               rc::gen::set(&Event::pause_ms, rc::gen::inRange(0, 1500)));
}

void Apply(Simulation& simulation, const Event& event) {
  const std::string server = Simulation::ServerId(event.node);
  const std::string watcher = Simulation::WatcherId(event.node);
  const std::uint64_t next_term = simulation.HighestTerm() + 1 + event.other;
  switch (event.kind) {
    case 0:
      simulation.Kill(event.node);
      break;
    case 1:
      simulation.Restart(event.node);
      break;
    case 2:
      simulation.Freeze(server);
      break;
    case 3:
      simulation.Unfreeze(server);
      break;
    case 4:
      simulation.Freeze(watcher);
      break;
    case 5:
      simulation.Unfreeze(watcher);
      break;
    case 6:
      simulation.Cut(server, Simulation::ServerId(event.other));
      break;
    case 7:
      simulation.Cut(watcher, Simulation::ServerId(event.other));
      break;
    case 8:
      simulation.Heal();
      break;
    case 9:
      simulation.SetLeaving(event.node, event.other != 0);
      break;
    case 10:
      simulation.ForcePromotion(event.node, next_term, "");
      break;
    case 11:
      simulation.ForcePromotion(event.node, next_term, Simulation::ServerId(event.other));
      break;
    default:
      break;
  }
  simulation.Run(milliseconds(event.pause_ms));
}

// Guards against a term with two primaries, the loss of a write that a majority has confirmed, and
// a group that does not recover. Random faults, concurrent promotions and hand-overs are
// interleaved.
RC_GTEST_PROP(FailoverProperty, ConfirmedWritesSurviveAnyInterleaving, ()) {
  const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
  const auto events = *rc::gen::container<std::vector<Event>>(AnyEvent());
  SimulationOptions options;
  options.seed = seed;
  options.same_rank = true;
  options.loss = 0.05;
  options.jitter = milliseconds(*rc::gen::inRange(1, 100));
  Simulation simulation(options);
  simulation.Run(seconds(3));
  for (const Event& event : events) {
    Apply(simulation, event);
  }
  simulation.HealEverything();
  simulation.Run(seconds(10));  // Nodes that were frozen first process their queued messages.
  simulation.StopWrites();
  const auto recovered = [&] {
    return simulation.AllServersFollowPrimary() && simulation.AllServersHoldConfirmedWrites();
  };
  RC_ASSERT(simulation.RunUntil(recovered, minutes(2)));
  simulation.Run(seconds(10));
  RC_ASSERT(recovered());
  RC_ASSERT(simulation.Violations().empty());
}

}  // namespace
}  // namespace sycamoredrum
