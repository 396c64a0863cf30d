#include "node/router.h"

#include "node/election.h"

#include <algorithm>
#include <set>

namespace damaskglade::node {

namespace {

// Three missed heartbeats.
constexpr Millis MaxHeartbeatAge{6000};

} // namespace

void Router::setNodes(const std::vector<ownership::NodeInfo> &Nodes) {
  const MutexLock Lock(Mutex_);
  std::set<std::string> Live;
  for (const ownership::NodeInfo &Node : Nodes) {
    if (Node.Id_ == Self_ || !Node.Live_)
      continue;
    Live.insert(Node.Id_);
    PeerState &Peer = Peers_[Node.Id_];
    Peer.Id_ = Node.Id_;
    Peer.Address_ = Node.Address_;
    Peer.Leaving_ = Peer.Leaving_ || Node.Leaving_;
  }
  // The list is empty while the table is unreachable. Peers are kept then,
  // since they may still answer.
  if (!Nodes.empty())
    std::erase_if(Peers_, [&](const auto &Entry) {
      return Live.count(Entry.first) == 0;
    });
}

void Router::setShards(const std::vector<ownership::ShardInfo> &Shards) {
  const MutexLock Lock(Mutex_);
  for (const ownership::ShardInfo &Shard : Shards)
    Shards_[Shard.Shard_] = Shard;
}

void Router::recordHeartbeat(const Heartbeat &Message, Millis Now) {
  const MutexLock Lock(Mutex_);
  const auto Found = Peers_.find(Message.Headroom_.Node_);
  if (Found == Peers_.end())
    return;
  Found->second.Headroom_ = Message.Headroom_;
  Found->second.Leaving_ = Message.Leaving_;
  Found->second.LastHeartbeat_ = Now;
}

void Router::recordUse(const std::string &Node, const Resources &Amount) {
  const MutexLock Lock(Mutex_);
  const auto Found = Peers_.find(Node);
  if (Found == Peers_.end())
    return;
  Resources &Free = Found->second.Headroom_.Free_;
  Free = largerOf(Free - Amount, Resources{});
}

void Router::recordRefusal(const std::string &Node) {
  const MutexLock Lock(Mutex_);
  const auto Found = Peers_.find(Node);
  if (Found != Peers_.end())
    Found->second.Headroom_.Largest_ = Resources{};
}

std::vector<PeerState> Router::peers() const {
  const MutexLock Lock(Mutex_);
  std::vector<PeerState> Peers;
  Peers.reserve(Peers_.size());
  for (const auto &[Id, Peer] : Peers_)
    Peers.push_back(Peer);
  return Peers;
}

std::string Router::addressOf(const std::string &Node) const {
  const MutexLock Lock(Mutex_);
  const auto Found = Peers_.find(Node);
  return Found == Peers_.end() ? std::string() : Found->second.Address_;
}

ownership::ShardInfo Router::ownerOf(const std::string &Shard) const {
  const MutexLock Lock(Mutex_);
  const auto Found = Shards_.find(Shard);
  return Found == Shards_.end() ? ownership::ShardInfo{Shard, "", 0}
                                : Found->second;
}

std::vector<std::string> Router::pickOwners(const Resources &Size,
                                            std::size_t Count, Millis Now) {
  const MutexLock Lock(Mutex_);
  std::vector<const PeerState *> Fitting;
  for (const auto &[Id, Peer] : Peers_)
    if (!Peer.Leaving_ && Now - Peer.LastHeartbeat_ < MaxHeartbeatAge &&
        fits(Size, Peer.Headroom_.Largest_) && fits(Size, Peer.Headroom_.Free_))
      Fitting.push_back(&Peer);
  std::shuffle(Fitting.begin(), Fitting.end(), Random_);
  const auto HasMoreFreeCapacity = [](const PeerState *A, const PeerState *B) {
    return dominantShare(A->Headroom_.Free_, A->Headroom_.Total_) >
           dominantShare(B->Headroom_.Free_, B->Headroom_.Total_);
  };
  // Always choosing the peer with the most free capacity would send all homes
  // to the same one between two heartbeats. The better of two random peers
  // spreads the load.
  constexpr std::size_t ComparedPeers = 2;
  const std::size_t Compared = std::min(ComparedPeers, Fitting.size());
  std::sort(Fitting.begin(),
            Fitting.begin() + static_cast<std::ptrdiff_t>(Compared),
            HasMoreFreeCapacity);
  std::vector<std::string> Picked;
  for (std::size_t Index = 0; Index < std::min(Count, Fitting.size()); ++Index)
    Picked.push_back(Fitting[Index]->Id_);
  return Picked;
}

std::string Router::pickCapableOwner(const std::string &Subject,
                                     const Resources &Size, bool SelfIsCapable,
                                     Millis Now) const {
  std::vector<std::string> Capable;
  if (SelfIsCapable)
    Capable.push_back(Self_);
  const MutexLock Lock(Mutex_);
  for (const auto &[Id, Peer] : Peers_)
    if (!Peer.Leaving_ && Now - Peer.LastHeartbeat_ < MaxHeartbeatAge &&
        fits(Size, Peer.Headroom_.LargestTotal_))
      Capable.push_back(Id);
  return elect(Subject, Capable);
}

Headroom Router::cellHeadroom(const Headroom &OwnHeadroom) const {
  const MutexLock Lock(Mutex_);
  Headroom Total = OwnHeadroom;
  for (const auto &[Id, Peer] : Peers_) {
    Total.Free_ = Total.Free_ + Peer.Headroom_.Free_;
    Total.Total_ = Total.Total_ + Peer.Headroom_.Total_;
    Total.Largest_ = largerOf(Total.Largest_, Peer.Headroom_.Largest_);
    Total.LargestTotal_ =
        largerOf(Total.LargestTotal_, Peer.Headroom_.LargestTotal_);
  }
  return Total;
}

} // namespace damaskglade::node
