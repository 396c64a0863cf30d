#include "tests/process/load.h"

namespace damaskglade::process_tests {

namespace {

// Enough for the arrivals of several seconds without any answer.
constexpr std::size_t ServerCount = 250;
constexpr double MillisPerSecond = 1000.0;

/// Share of a class in the mix, with what its requests look like.
struct ClassMix {
  TaskClass Class_;
  Urgency Urgency_;
  double Share_;
  bool Idempotent_;
  std::int64_t Tasks_;
  Millis Run_;
  Millis OnTime_;
};

constexpr std::array<ClassMix, 5> Mix = {{
    {TaskClass::Lookup, Urgency::Normal, 0.50, true, 1, Millis{40},
     Millis{2000}},
    {TaskClass::Request, Urgency::Urgent, 0.15, false, 1, Millis{100},
     Millis{5000}},
    {TaskClass::Request, Urgency::Normal, 0.10, true, 1, Millis{100},
     Millis{5000}},
    {TaskClass::Batch, Urgency::Low, 0.20, true, 1, Millis{600}, Millis{15000}},
    {TaskClass::Gang, Urgency::Normal, 0.05, true, 3, Millis{400},
     Millis{15000}},
}};

} // namespace

Load::Load(LoadOptions Options, EntryNodes &Nodes)
    : Options_(std::move(Options)), Caller_(Pool_, Nodes, Options_.Patience_) {
  Servers_.reserve(ServerCount);
  for (std::size_t Index = 0; Index < ServerCount; ++Index)
    Servers_.emplace_back([this] { serve(); });
  Arrivals_ = Thread([this] { arrive(); });
}

Load::~Load() { static_cast<void>(finish()); }

Load::Arrival Load::draw(std::mt19937_64 &Random, std::size_t Number) const {
  double Place = std::uniform_real_distribution<double>(0.0, 1.0)(Random);
  std::size_t Class = 0;
  while (Class + 1 < Mix.size() && Place >= Mix.at(Class).Share_)
    Place -= Mix.at(Class++).Share_;
  const ClassMix &Chosen = Mix.at(Class);
  Arrival Next;
  Next.Spec_.Team_ = "team-" + std::to_string(Number % 5);
  Next.Spec_.Key_ =
      "load-" + std::to_string(Options_.Seed_) + "-" + std::to_string(Number);
  Next.Spec_.Class_ = Chosen.Class_;
  Next.Spec_.Urgency_ = Chosen.Urgency_;
  Next.Spec_.Size_ = Resources{
      std::uniform_int_distribution<std::int64_t>(100, 2000)(Random),
      std::uniform_int_distribution<std::int64_t>(64, 4096)(Random), 0, 1, 1};
  Next.Spec_.Tasks_ = Chosen.Tasks_;
  Next.Spec_.Run_ = Chosen.Run_;
  Next.Spec_.Idempotent_ = Chosen.Idempotent_;
  // A payload of its own shows an answer that went to another caller.
  Next.Spec_.Payload_ = "crates of " + Next.Spec_.Key_;
  Next.Zone_ = Options_.Zones_.at(Random() % Options_.Zones_.size());
  Next.OnTime_ = Chosen.OnTime_;
  return Next;
}

void Load::arrive() {
  std::mt19937_64 Random(Options_.Seed_);
  std::exponential_distribution<double> Gap(Options_.Rate_ / MillisPerSecond);
  const Millis Start = Clock_.wall();
  double Offset = 0.0;
  for (std::size_t Number = 0;; ++Number) {
    Offset += Gap(Random);
    Arrival Next = draw(Random, Number);
    Next.Time_ = Start + Millis{static_cast<std::int64_t>(Offset)};
    const MutexLock Held(Mutex_);
    while (!Stopping_ && Clock_.wall() < Next.Time_)
      Changed_.waitFor(Mutex_, Next.Time_ - Clock_.wall());
    if (Stopping_)
      return;
    Waiting_.push_back(std::move(Next));
    Changed_.notifyAll();
  }
}

void Load::serve() {
  constexpr Millis Forever{60000};
  while (true) {
    Arrival Next;
    {
      const MutexLock Held(Mutex_);
      while (Waiting_.empty() && !Stopping_)
        Changed_.waitFor(Mutex_, Forever);
      if (Waiting_.empty())
        return;
      Next = std::move(Waiting_.front());
      Waiting_.pop_front();
    }
    JobResult Job =
        Caller_.run(Next.Spec_, Next.Zone_, Next.Time_, Next.OnTime_);
    const MutexLock Held(Mutex_);
    Results_.push_back(std::move(Job));
  }
}

std::vector<JobResult> Load::finish() {
  {
    const MutexLock Held(Mutex_);
    Stopping_ = true;
    Changed_.notifyAll();
  }
  Arrivals_.join();
  Servers_.clear();
  return Results_;
}

} // namespace damaskglade::process_tests
