#ifndef DAMASKGLADE_CELL_LEADER_H
#define DAMASKGLADE_CELL_LEADER_H

#include "cell/advice_desk.h"
#include "cell/context.h"
#include "cell/recorder.h"
#include "dispatch/dispatcher.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace damaskglade::cell {

/// Time to the next look at a worker whose ends are not recorded yet, when so
/// many workers have such ends.
Millis unrecordedLookDelay(std::size_t Workers);

/// Scheduling of a cell for one epoch. Loads all rows, takes hold of the
/// workers, and runs until a later epoch begins.
class Leader : public std::enable_shared_from_this<Leader> {
public:
  Leader(const CellPorts &Ports, const CellSettings &Settings, LeaderView View,
         std::function<void()> Lost);

  void start();
  /// Gives no more orders. Callbacks that are still open do nothing.
  void stop();
  bool active() const { return Loaded_ && !Stopped_; }
  const LeaderView &view() const { return View_; }
  void setConfig(const CellConfig &Config);
  /// Nodes that were heard of lately, and whether they are a majority.
  void setNodes(const std::vector<std::string> &Addresses, bool Majority) {
    Advice_.setNodes(Addresses);
    if (Majority)
      MajorityAt_ = now();
  }
  /// Whether another node should lead, because this one cannot write.
  bool shouldHandOver() const;

  // Calls of nodes. Errors: not_ready while loading.
  void submit(const dispatch::JobSpec &Spec, const RpcReply &Reply);
  void state(const std::string &Id, const RpcReply &Reply) const;
  void cancel(const std::string &Id, const RpcReply &Reply);
  void pending(const std::string &Queue, const RpcReply &Reply) const;

private:
  /// Long poll of one worker.
  struct Watch {
    bool Looking_ = false;  ///< The long poll is open.
    bool Probing_ = false;  ///< An extra look is open.
    bool Waiting_ = false;  ///< A look is scheduled.
    std::int64_t Seen_ = 0; ///< Highest end that was listed.
    std::int64_t Recorded_ = 0;
    std::int64_t Born_ = 0;
    int Failures_ = 0;
  };

  Millis now() const { return Ports_.Clock_.monotonic(); }
  bool confirmed() const;
  void load(const std::string &Table, const std::string &From);
  void loadRows(const std::string &Table, const RowPage &Page);
  void finishLoad();
  void tick();
  void readRegistry();
  void confirmLead();
  void takeWorkers();
  void watchWorkers();
  void look(const std::string &Worker, bool Probe);
  void looked(const std::string &Worker, bool Probe, Millis SentAt,
              const Result<LookReply> &Reply);
  void scheduleLook(const std::string &Worker, Millis Delay);
  void wake();
  void decide();
  void carryOut(const dispatch::Actions &Todo);
  void writeDecisions();
  void lose();

  const CellPorts Ports_;
  const CellSettings Settings_;
  const LeaderView View_;
  const std::function<void()> Lost_;
  dispatch::Dispatcher Dispatcher_;
  Recorder Recorder_;
  AdviceDesk Advice_;
  std::map<std::string, Watch> Watches_;
  std::set<std::string> Unrecorded_; ///< Workers with ends in no row yet.
  std::map<std::string, dispatch::JobSpec> LoadedSpecs_;
  std::map<std::string, dispatch::JobProgress> LoadedProgress_;
  int TablesLoading_ = 0;
  int LoadRows_ = 200; ///< 0.7 MB of jobs, 0.6 s on the slowest link.
  std::map<std::string, std::vector<RpcReply>> Submitting_;
  Millis MajorityAt_{};
  Millis ConfirmSentAt_{};
  Millis DecidedAt_{};
  Millis RegistryAskedAt_{};
  Millis ForgotAt_{};
  bool RegistryOpen_ = false;
  int ConfirmsOpen_ = 0;
  bool WakeScheduled_ = false;
  bool Loaded_ = false;
  bool Stopped_ = false;
};

} // namespace damaskglade::cell

#endif
