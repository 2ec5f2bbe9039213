// Simulates ledger replicas and claimants in virtual time, over a network that
// can cut off replicas and delay, lose, duplicate and reorder messages, and
// with disks that can be lost. Fails the test if a key is dispatched twice or a
// recorded outcome changes.
//
//   ClaimCluster cluster;
//   const uint64_t claim = cluster.StartOperation("key", "claimant");
//   BOOST_TEST(cluster.Await(claim) == ClaimOutcome::kGranted);
#pragma once

#include "fake_store.h"
#include "vanillahatch/core/claim_catch_up.h"
#include "vanillahatch/core/claim_proposer.h"
#include "vanillahatch/core/claim_register.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace vanillahatch::testing {

struct Replica
{
  FakeStore store_;
  std::unique_ptr<ClaimRegister> register_;
  std::unique_ptr<ClaimCatchUp> catchUp_;
  bool isUp_ = true;
};

// An operation in progress; erasing it simulates the claimant's death.
struct Operation
{
  std::string claimant_;
  std::string key_;
  ClaimOperation kind_ = ClaimOperation::kClaim;
  std::unique_ptr<ClaimProposer> proposer_;
};

struct Message
{
  Millis deliverAt_;
  std::function<void()> deliver_;
};

class ClaimCluster
{
public:
  explicit ClaimCluster(uint32_t aReplicaCount = 3, uint64_t aSeed = 1)
    : random_(aSeed)
    , replicas_(aReplicaCount)
  {
    for (uint32_t i = 0; i < aReplicaCount; ++i) {
      Replica& replica = replicas_[i];
      replica.register_ = MakeRegister(i);
      replica.register_->Bootstrap();
      BOOST_REQUIRE(
        replica.store_.Compact(replica.register_->Snapshot(), {}).has_value());
    }
  }

  uint64_t StartOperation(const std::string& aKey,
                          const std::string& aClaimant,
                          ClaimOperation aKind = ClaimOperation::kClaim,
                          Millis aTimeout = Seconds(5),
                          int64_t aIssuedAtUnixMs = 1000)
  {
    const uint64_t id = nextId_++;
    Operation& operation = operations_[id];
    operation.claimant_ = aClaimant;
    operation.key_ = aKey;
    operation.kind_ = aKind;
    v1::RecordedOutcome outcome;
    outcome.set_http_status(200);
    outcome.set_body("answer for " + aClaimant);
    operation.proposer_ = std::make_unique<ClaimProposer>(
      ClaimProposerOptions{ .key_ = aKey,
                            .claimant_ = aClaimant,
                            .issuedAtUnixMs_ = aIssuedAtUnixMs,
                            .operation_ = aKind,
                            .outcome_ = outcome,
                            .replicaCount_ = replicas_.size(),
                            .deadline_ = now_ + aTimeout,
                            .lastRound_ = lastRound_[aClaimant],
                            .seed_ = id });
    Send(id, operation.proposer_->Start(now_));
    return id;
  }

  // Ends the claimant's process; messages that it sent may arrive later.
  void KillOperation(uint64_t aId) { operations_.erase(aId); }

  void KillReplica(size_t aReplicaIndex)
  {
    replicas_[aReplicaIndex].isUp_ = false;
    replicas_[aReplicaIndex].store_.Crash();
    replicas_[aReplicaIndex].register_ = nullptr;
    replicas_[aReplicaIndex].catchUp_ = nullptr;
  }

  void StartReplica(size_t aReplicaIndex)
  {
    Replica& replica = replicas_[aReplicaIndex];
    replica.isUp_ = true;
    replica.register_ = MakeRegister(aReplicaIndex);
    const auto contents = replica.store_.Load();
    const bool isRestored =
      contents &&
      replica.register_->Restore(contents.value()) == RestoreResult::kRestored;
    if (!isRestored) {
      replica.catchUp_ = std::make_unique<ClaimCatchUp>(ClaimCatchUpOptions{
        .replicaIndex_ = static_cast<uint32_t>(aReplicaIndex),
        .replicaCount_ = static_cast<uint32_t>(replicas_.size()) });
      SendCopies(aReplicaIndex, replica.catchUp_->Start(now_));
    }
  }

  void LoseDisk(size_t aReplicaIndex)
  {
    KillReplica(aReplicaIndex);
    replicas_[aReplicaIndex].store_.Wipe();
    StartReplica(aReplicaIndex);
  }

  // Runs for a span of virtual time, in steps of one millisecond.
  void Run(Millis aSpan)
  {
    const Millis end = now_ + aSpan;
    while (now_ < end) {
      Step();
    }
  }

  // Runs until the operation has a result; fails the test after 60 s.
  ClaimOutcome Await(uint64_t aId)
  {
    for (int i = 0; i < 60'000 && !results_.contains(aId); ++i) {
      Step();
    }
    BOOST_REQUIRE_MESSAGE(results_.contains(aId), "no result within 60 s");
    return results_[aId].outcome_;
  }

  // Advances by 1 ms: delivers the messages that are due, then ticks all
  // operations and catch-ups.
  void Step()
  {
    now_ = now_ + Millis(1);
    DeliverDue();
    std::vector<uint64_t> ids;
    for (const auto& [id, operation] : operations_) {
      ids.push_back(id);
    }
    for (const uint64_t id : ids) {
      const auto it = operations_.find(id);
      if (it != operations_.end() && !paused_.contains(id)) {
        Send(id, it->second.proposer_->OnTick(now_));
        ProcessResult(id);
      }
    }
    for (size_t i = 0; i < replicas_.size(); ++i) {
      if (replicas_[i].catchUp_) {
        SendCopies(i, replicas_[i].catchUp_->OnTick(now_));
      }
    }
  }

  // Records a dispatch by the claimant; fails the test on a key's second one.
  void Dispatch(const std::string& aKey, const std::string& aClaimant)
  {
    const auto [it, isFirst] = dispatchers_.emplace(aKey, aClaimant);
    BOOST_REQUIRE_MESSAGE(isFirst,
                          aKey << " was dispatched by " << it->second
                               << " and again by " << aClaimant);
  }

  bool IsMember(size_t aReplicaIndex) const
  {
    return replicas_[aReplicaIndex].register_ &&
           replicas_[aReplicaIndex].register_->IsMember();
  }

  // Every message takes 1 ms to `maxDelayMs_`.
  int maxDelayMs_ = 1;
  double lossProbability_ = 0;
  double duplicateProbability_ = 0;
  std::set<size_t> cutOff_;   // replicas that no request reaches
  std::set<uint64_t> paused_; // operations whose process is paused
  std::map<uint64_t, ClaimResult> results_;
  std::map<std::string, std::string> dispatchers_;    // key to claimant
  std::map<std::string, std::string> recordedBodies_; // key to recorded body
  std::mt19937_64 random_;
  std::vector<Replica> replicas_;
  std::function<void(uint64_t)> onResult_;
  std::map<uint64_t, Operation> operations_;
  Millis now_;

private:
  std::unique_ptr<ClaimRegister> MakeRegister(size_t aReplicaIndex) const
  {
    return std::make_unique<ClaimRegister>(ClaimRegisterOptions{
      .replicaIndex_ = static_cast<uint32_t>(aReplicaIndex),
      .replicaCount_ = static_cast<uint32_t>(replicas_.size()) });
  }

  void PostMessage(std::function<void()> aDeliver)
  {
    std::uniform_real_distribution<double> unit(0, 1);
    std::uniform_int_distribution<int> delay(1, maxDelayMs_);
    if (unit(random_) < lossProbability_) {
      return;
    }
    const int copies = unit(random_) < duplicateProbability_ ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      inFlight_.push_back({ now_ + Millis(delay(random_)), aDeliver });
    }
  }

  void DeliverDue()
  {
    std::vector<Message> due;
    for (auto it = inFlight_.begin(); it != inFlight_.end();) {
      if (it->deliverAt_ <= now_) {
        due.push_back(std::move(*it));
        it = inFlight_.erase(it);
      } else {
        ++it;
      }
    }
    std::shuffle(due.begin(), due.end(), random_);
    for (const Message& message : due) {
      message.deliver_();
    }
  }

  void Send(uint64_t aId, const std::vector<OutgoingVoteRequest>& aSends)
  {
    for (const OutgoingVoteRequest& send : aSends) {
      PostMessage([this, aId, send] { DeliverVote(aId, send); });
    }
  }

  void DeliverVote(uint64_t aId, const OutgoingVoteRequest& aSend)
  {
    Replica& replica = replicas_[aSend.replicaIndex_];
    if (!replica.isUp_ || cutOff_.contains(aSend.replicaIndex_)) {
      return;
    }
    const VoteResult voted = replica.register_->Vote(aSend.request_);
    AppendAndSync(replica, voted.record_);
    PostMessage([this, aId, aSend, reply = voted.reply_] {
      const auto it = operations_.find(aId);
      if (it != operations_.end() && !paused_.contains(aId) &&
          !cutOff_.contains(aSend.replicaIndex_)) {
        Send(aId,
             it->second.proposer_->OnReply(
               aSend.replicaIndex_, aSend.serial_, reply, now_));
        ProcessResult(aId);
      }
    });
  }

  static void AppendAndSync(Replica& aReplica, const std::string& aRecord)
  {
    if (!aRecord.empty()) {
      BOOST_REQUIRE(aReplica.store_.Append(aRecord).has_value());
      BOOST_REQUIRE(aReplica.store_.Sync().has_value());
    }
  }

  void SendCopies(size_t aSender,
                  const std::vector<OutgoingCopyRequest>& aSends)
  {
    for (const OutgoingCopyRequest& send : aSends) {
      PostMessage([this, aSender, send] { DeliverCopy(aSender, send); });
    }
  }

  void DeliverCopy(size_t aSender, const OutgoingCopyRequest& aSend)
  {
    Replica& source = replicas_[aSend.replicaIndex_];
    if (!source.isUp_ || cutOff_.contains(aSend.replicaIndex_) ||
        cutOff_.contains(aSender)) {
      return;
    }
    const CopyResult copied = source.register_->Copy(aSend.request_);
    AppendAndSync(source, copied.record_);
    PostMessage([this, aSender, aSend, reply = copied.reply_] {
      Replica& replica = replicas_[aSender];
      if (!replica.catchUp_) {
        return;
      }
      SendCopies(aSender,
                 replica.catchUp_->OnReply(
                   aSend.replicaIndex_, aSend.request_, reply, now_));
      if (replica.catchUp_->Result()) {
        replica.register_->Install(*replica.catchUp_->Result());
        replica.catchUp_ = nullptr;
        BOOST_REQUIRE(replica.store_.Compact(replica.register_->Snapshot(), {})
                        .has_value());
      }
    });
  }

  void ProcessResult(uint64_t aId)
  {
    const auto it = operations_.find(aId);
    if (it == operations_.end() || !it->second.proposer_->Result()) {
      return;
    }
    const Operation operation = std::move(it->second);
    operations_.erase(it);
    const ClaimResult result = *operation.proposer_->Result();
    results_[aId] = result;
    lastRound_[operation.claimant_] = result.lastRound_;
    if (result.outcome_ == ClaimOutcome::kRecorded) {
      const std::string& body = result.recorded_.body();
      const auto [entry, isFirst] =
        recordedBodies_.emplace(operation.key_, body);
      BOOST_REQUIRE_EQUAL(entry->second, body);
    }
    finished_[aId] = operation.claimant_;
    if (onResult_) {
      current_ = &operation;
      onResult_(aId);
      current_ = nullptr;
    }
  }

public:
  // The operation whose result `onResult_` is called for.
  const Operation& Current() const { return *current_; }

private:
  const Operation* current_ = nullptr;
  std::map<uint64_t, std::string> finished_;
  std::map<std::string, uint64_t> lastRound_;
  std::deque<Message> inFlight_;
  uint64_t nextId_ = 1;
};

} // namespace vanillahatch::testing
