#ifndef DAMASKGLADE_TESTS_POLICY_FLEET_H
#define DAMASKGLADE_TESTS_POLICY_FLEET_H

#include "policy/ledger.h"
#include "tests/fakes/property.h"

#include <algorithm>
#include <rapidcheck.h>
#include <string>
#include <vector>

namespace damaskglade::policy {

using fakes::holds;

inline std::string workerId(int Number) {
  std::string Digits = std::to_string(Number);
  return "w" + std::string(4 - std::min<std::size_t>(4, Digits.size()), '0') +
         Digits;
}

/// Returns a worker of rack Number / 8; the racks alternate between three
/// zones.
inline WorkerInfo makeWorker(int Number, const Resources &Capacity = {
                                             16000, 65536, 0, 8, 64}) {
  WorkerInfo Info;
  Info.Id_ = workerId(Number);
  Info.Rack_ = "r" + std::to_string(Number / 8);
  Info.Zone_ = "z" + std::to_string(Number / 8 % 3);
  Info.Capacity_ = Capacity;
  Info.Listed_ = true;
  return Info;
}

inline Ledger makeFleet(int Workers) {
  Ledger Fleet;
  for (int Number = 0; Number < Workers; ++Number)
    (void)Fleet.putWorker(makeWorker(Number));
  return Fleet;
}

inline Reservation makeReservation(const std::string &Attempt,
                                   const std::string &Worker,
                                   const Resources &Size,
                                   TaskClass Class = TaskClass::Batch) {
  Reservation NewReservation;
  NewReservation.Attempt_ = Attempt;
  NewReservation.Worker_ = Worker;
  NewReservation.Size_ = Size;
  NewReservation.Class_ = Class;
  NewReservation.Team_ = "dock";
  return NewReservation;
}

/// Generates sizes from zero to slightly above the capacity of a default
/// worker.
inline rc::Gen<Resources> arbitrarySize() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(0, 17000), rc::gen::inRange(0, 70000),
                     rc::gen::inRange(0, 3), rc::gen::inRange(0, 9),
                     rc::gen::inRange(0, 66)),
      [](const std::tuple<int, int, int, int, int> &Amounts) {
        return Resources{std::get<0>(Amounts), std::get<1>(Amounts),
                         std::get<2>(Amounts), std::get<3>(Amounts),
                         std::get<4>(Amounts)};
      });
}

inline TaskClass randomClass() {
  return static_cast<TaskClass>(
      *rc::gen::inRange(0, static_cast<int>(TaskClassCount)));
}

} // namespace damaskglade::policy

#endif
