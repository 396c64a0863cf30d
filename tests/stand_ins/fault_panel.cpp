#include "tests/stand_ins/fault_panel.h"

#include "core/codec.h"

namespace damaskglade::stand_ins {

namespace {

// A hanging request is given up eventually, so that its thread ends.
constexpr Millis MaxHang{60000};

Millis millisOr0(const Json::Value &Value) {
  return Millis{Value.isNumeric() ? Value.asInt64() : 0};
}

double fractionOr0(const Json::Value &Value) {
  return Value.isNumeric() ? Value.asDouble() : 0.0;
}

bool flagOr0(const Json::Value &Value) {
  return Value.isBool() && Value.asBool();
}

} // namespace

HttpResponse FaultPanel::set(const std::string &Body) {
  const auto Parsed = parseJson(Body, "set faults");
  if (!Parsed)
    return jsonResponse(400, encodeError(Parsed.error()));
  const Json::Value &Value = Parsed.value();
  Faults Wanted;
  Wanted.Down_ = flagOr0(Value["down"]);
  Wanted.Hang_ = flagOr0(Value["hang"]);
  Wanted.Delay_ = millisOr0(Value["delay_ms"]);
  Wanted.DropAnswers_ = fractionOr0(Value["drop_answers"]);
  Wanted.Truncate_ = fractionOr0(Value["truncate"]);
  Wanted.Throttle_ = fractionOr0(Value["throttle"]);
  Wanted.LateWrite_ = millisOr0(Value["late_write_ms"]);
  set(Wanted);
  return jsonResponse(200, Json::Value(Json::objectValue));
}

void FaultPanel::set(const Faults &Value) {
  const MutexLock Held(Mutex_);
  Faults_ = Value;
  Changed_.notifyAll();
}

Faults FaultPanel::current() {
  const MutexLock Held(Mutex_);
  return Faults_;
}

bool FaultPanel::chance(double Fraction) {
  const MutexLock Held(Mutex_);
  return std::uniform_real_distribution<double>(0.0, 1.0)(Random_) < Fraction;
}

bool FaultPanel::admit() {
  const SystemClock Clock;
  const Millis GiveUp = Clock.monotonic() + MaxHang;
  Millis Delay;
  {
    const MutexLock Held(Mutex_);
    if (Faults_.Down_)
      return false;
    const bool Hung = Faults_.Hang_;
    while (Faults_.Hang_ && Clock.monotonic() < GiveUp)
      Changed_.waitFor(Mutex_, GiveUp - Clock.monotonic());
    if (Hung)
      return false;
    Delay = Faults_.Delay_;
  }
  if (Delay > Millis{})
    sleepFor(Delay);
  return true;
}

HttpResponse droppedAnswer() {
  HttpResponse Answer;
  Answer.Drop_ = true;
  return Answer;
}

} // namespace damaskglade::stand_ins
