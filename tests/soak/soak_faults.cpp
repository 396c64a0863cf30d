// Faults of a soak run.

#include "tests/soak/soak.h"

#include <csignal>
#include <cstdio>

namespace damaskglade::soak {

namespace {

using stand_ins::LinkState;

constexpr Millis FaultTime{2500};

} // namespace

void Soak::scheduleFault() {
  constexpr std::size_t MostGap = 1500;
  Loop_.after(Millis{static_cast<std::int64_t>(200 + draw(MostGap))}, [this] {
    if (faultsOver())
      return;
    injectFault();
    scheduleFault();
  });
}

void Soak::disturb(const std::string &What, const std::function<void()> &Begin,
                   std::function<void()> End) {
  if (Disturbances_[What] > 0)
    return;
  ++Faults_;
  ++Disturbances_[What];
  std::printf("%6.2f s fault %s\n",
              static_cast<double>((Time_.monotonic() - StartedAt_).Value_) /
                  1000,
              What.c_str());
  Begin();
  const auto Length =
      Millis{static_cast<std::int64_t>(300 + draw(FaultTime.Value_))};
  Loop_.after(Length, [this, What, End = std::move(End)] {
    End();
    --Disturbances_[What];
  });
}

void Soak::faultNode(Node &Each) {
  switch (draw(4)) {
  case 0:
    return disturb(
        "kill " + Each.Name_,
        [&Each] {
          Each.Down_ = true;
          Each.Process_->kill();
        },
        [] {});
  case 1:
    return disturb(
        "stop " + Each.Name_,
        [&Each] {
          Each.Down_ = true;
          Each.Process_->signal(SIGTERM);
        },
        [] {});
  default:
    return disturb(
        "pause " + Each.Name_, [&Each] { Each.Process_->signal(SIGSTOP); },
        [&Each] { Each.Process_->signal(SIGCONT); });
  }
}

void Soak::injectFault() {
  static const std::vector<LinkState> Links = {
      LinkState::Cut, LinkState::Refuse, LinkState::Delayed, LinkState::OnlyIn,
      LinkState::OnlyOut};
  const auto FaultLink = [this](const std::string &Name) {
    const std::size_t Which = draw(Links.size());
    disturb(
        "link " + Name + " " + std::to_string(Which),
        [this, Name, Which] { Relay_->set(Name, Links[Which]); },
        [this, Name] { Relay_->set(Name, LinkState::Open); });
  };
  switch (draw(10)) {
  case 0:
  case 1:
  case 2:
    return faultNode(Nodes_[draw(Nodes_.size())]);
  case 3:
    return disturb(
        "kill all",
        [this] {
          for (Node &Each : Nodes_) {
            Each.Down_ = true;
            Each.Process_->kill();
          }
        },
        [] {});
  case 4:
  case 5: {
    const auto Fault = static_cast<StoreFault>(1 + draw(4));
    return disturb(
        "store " + std::to_string(static_cast<int>(Fault)),
        [this, Fault] { Platform_.setFault(Fault); },
        [this] { Platform_.setFault(StoreFault::None); });
  }
  case 6:
    return FaultLink("store" + std::to_string(draw(Nodes_.size())));
  case 7:
  case 8:
    return FaultLink(Workers_[draw(Workers_.size())]->id());
  default: {
    WorkerServer &Where = *Workers_[draw(Workers_.size())];
    if (draw(2) == 0)
      return disturb(
          "crash " + Where.id(), [&Where] { Where.crash(); }, [] {});
    return disturb(
        "late orders " + Where.id(), [&Where] { Where.setLateOrders(true); },
        [&Where] { Where.setLateOrders(false); });
  }
  }
}

} // namespace damaskglade::soak
