// Ledger replicas and claimants in virtual time, joined by a network that a
// test can cut, delay, repeat and reorder, and by disks that can be lost. It
// checks after every step that no key is dispatched twice and that a recorded
// outcome never changes.
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

// One operation of one claimant; killed when erased.
struct Operation
{
  std::string claimant_;
  std::string key_;
  ClaimOperation kind_ = ClaimOperation::kClaim;
  std::unique_ptr<ClaimProposer> proposer_;
};

struct Message
{
  Millis at_;
  std::function<void()> deliver_;
};

class Cluster
{
public:
  explicit Cluster(uint32_t aReplicas = 3, uint64_t aSeed = 1)
    : random_(aSeed)
    , replicas_(aReplicas)
  {
    for (uint32_t i = 0; i < aReplicas; ++i) {
      Replica& replica = replicas_[i];
      replica.register_ = Make(i);
      replica.register_->Found();
      BOOST_REQUIRE(
        replica.store_.Compact(replica.register_->Snapshot(), {}).has_value());
    }
  }

  uint64_t Begin(const std::string& aKey,
                 const std::string& aClaimant,
                 ClaimOperation aKind = ClaimOperation::kClaim,
                 Millis aWithin = Seconds(5),
                 int64_t aIssuedAt = 1000)
  {
    const uint64_t id = next_++;
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
                            .issuedAtUnixMs_ = aIssuedAt,
                            .operation_ = aKind,
                            .outcome_ = outcome,
                            .replicas_ = replicas_.size(),
                            .deadline_ = now_ + aWithin,
                            .lastRound_ = lastRound_[aClaimant],
                            .seed_ = id });
    Send(id, operation.proposer_->Start(now_));
    return id;
  }

  // The claimant's process dies; its messages may still arrive.
  void KillOperation(uint64_t aId) { operations_.erase(aId); }

  void KillReplica(size_t aReplica)
  {
    replicas_[aReplica].isUp_ = false;
    replicas_[aReplica].store_.Crash();
    replicas_[aReplica].register_ = nullptr;
    replicas_[aReplica].catchUp_ = nullptr;
  }

  void StartReplica(size_t aReplica)
  {
    Replica& replica = replicas_[aReplica];
    replica.isUp_ = true;
    replica.register_ = Make(aReplica);
    const auto contents = replica.store_.Load();
    const bool remembers =
      contents &&
      replica.register_->Restore(contents.value()) == RestoreVerdict::kMember;
    if (!remembers) {
      replica.catchUp_ = std::make_unique<ClaimCatchUp>(ClaimCatchUpOptions{
        .replica_ = static_cast<uint32_t>(aReplica),
        .replicas_ = static_cast<uint32_t>(replicas_.size()) });
      SendCopies(aReplica, replica.catchUp_->Start(now_));
    }
  }

  void LoseDisk(size_t aReplica)
  {
    KillReplica(aReplica);
    replicas_[aReplica].store_.Wipe();
    StartReplica(aReplica);
  }

  // Delivers what is due and ticks, one millisecond at a time.
  void Run(Millis aSpan)
  {
    const Millis end = now_ + aSpan;
    while (now_ < end) {
      Step();
    }
  }

  // Runs until the operation has its result.
  ClaimOutcome Await(uint64_t aId)
  {
    for (int i = 0; i < 60'000 && !results_.contains(aId); ++i) {
      Step();
    }
    BOOST_REQUIRE_MESSAGE(results_.contains(aId), "no result within 60 s");
    return results_[aId].outcome_;
  }

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
      if (it != operations_.end() && !frozen_.contains(id)) {
        Send(id, it->second.proposer_->OnTick(now_));
        Settle(id);
      }
    }
    for (size_t i = 0; i < replicas_.size(); ++i) {
      if (replicas_[i].catchUp_) {
        SendCopies(i, replicas_[i].catchUp_->OnTick(now_));
      }
    }
  }

  // What a claimant does once granted: at most one dispatch per key, ever.
  void Dispatch(const std::string& aKey, const std::string& aClaimant)
  {
    const auto [it, isFirst] = dispatched_.emplace(aKey, aClaimant);
    BOOST_REQUIRE_MESSAGE(isFirst,
                          aKey << " was dispatched by " << it->second
                               << " and again by " << aClaimant);
  }

  bool IsMember(size_t aReplica) const
  {
    return replicas_[aReplica].register_ &&
           replicas_[aReplica].register_->IsMember();
  }

  // A message takes 1 ms to `maxDelay_`; some are lost or arrive twice.
  int maxDelayMs_ = 1;
  double lossShare_ = 0;
  double repeatShare_ = 0;
  std::set<size_t> cut_;      // replicas that nobody reaches
  std::set<uint64_t> frozen_; // operations that take nothing in
  std::map<uint64_t, ClaimResult> results_;
  std::map<std::string, std::string> dispatched_; // key to claimant
  std::map<std::string, std::string> outcomes_;   // key to recorded body
  std::mt19937_64 random_;
  std::vector<Replica> replicas_;
  std::function<void(uint64_t)> onResult_;
  std::map<uint64_t, Operation> operations_;
  Millis now_;

private:
  std::unique_ptr<ClaimRegister> Make(size_t aReplica) const
  {
    return std::make_unique<ClaimRegister>(ClaimRegisterOptions{
      .replica_ = static_cast<uint32_t>(aReplica),
      .replicas_ = static_cast<uint32_t>(replicas_.size()) });
  }

  void Post(std::function<void()> aDeliver)
  {
    std::uniform_real_distribution<double> share(0, 1);
    std::uniform_int_distribution<int> delay(1, maxDelayMs_);
    if (share(random_) < lossShare_) {
      return;
    }
    const int copies = share(random_) < repeatShare_ ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      network_.push_back({ now_ + Millis(delay(random_)), aDeliver });
    }
  }

  void DeliverDue()
  {
    std::vector<Message> due;
    for (auto it = network_.begin(); it != network_.end();) {
      if (it->at_ <= now_) {
        due.push_back(std::move(*it));
        it = network_.erase(it);
      } else {
        ++it;
      }
    }
    std::shuffle(due.begin(), due.end(), random_);
    for (const Message& message : due) {
      message.deliver_();
    }
  }

  void Send(uint64_t aId, const std::vector<SendVote>& aSends)
  {
    for (const SendVote& send : aSends) {
      Post([this, aId, send] { Arrive(aId, send); });
    }
  }

  void Arrive(uint64_t aId, const SendVote& aSend)
  {
    Replica& replica = replicas_[aSend.replica_];
    if (!replica.isUp_ || cut_.contains(aSend.replica_)) {
      return;
    }
    const VoteResult voted = replica.register_->Vote(aSend.request_);
    Store(replica, voted.record_);
    Post([this, aId, aSend, reply = voted.reply_] {
      const auto it = operations_.find(aId);
      if (it != operations_.end() && !frozen_.contains(aId) &&
          !cut_.contains(aSend.replica_)) {
        Send(aId,
             it->second.proposer_->OnReply(
               aSend.replica_, aSend.serial_, reply, now_));
        Settle(aId);
      }
    });
  }

  static void Store(Replica& aReplica, const std::string& aRecord)
  {
    if (!aRecord.empty()) {
      BOOST_REQUIRE(aReplica.store_.Append(aRecord).has_value());
      BOOST_REQUIRE(aReplica.store_.Sync().has_value());
    }
  }

  void SendCopies(size_t aFrom, const std::vector<SendCopy>& aSends)
  {
    for (const SendCopy& send : aSends) {
      Post([this, aFrom, send] { ArriveCopy(aFrom, send); });
    }
  }

  void ArriveCopy(size_t aFrom, const SendCopy& aSend)
  {
    Replica& source = replicas_[aSend.replica_];
    if (!source.isUp_ || cut_.contains(aSend.replica_) ||
        cut_.contains(aFrom)) {
      return;
    }
    const CopyResult copied = source.register_->Copy(aSend.request_);
    Store(source, copied.record_);
    Post([this, aFrom, aSend, reply = copied.reply_] {
      Replica& replica = replicas_[aFrom];
      if (!replica.catchUp_) {
        return;
      }
      SendCopies(
        aFrom,
        replica.catchUp_->OnReply(aSend.replica_, aSend.request_, reply, now_));
      if (replica.catchUp_->Result()) {
        replica.register_->Install(*replica.catchUp_->Result());
        replica.catchUp_ = nullptr;
        BOOST_REQUIRE(replica.store_.Compact(replica.register_->Snapshot(), {})
                        .has_value());
      }
    });
  }

  void Settle(uint64_t aId)
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
      const auto [known, isFirst] = outcomes_.emplace(operation.key_, body);
      BOOST_REQUIRE_EQUAL(known->second, body);
    }
    finished_[aId] = operation.claimant_;
    if (onResult_) {
      current_ = &operation;
      onResult_(aId);
      current_ = nullptr;
    }
  }

public:
  // The operation whose result `onResult_` is told of.
  const Operation& Current() const { return *current_; }

private:
  const Operation* current_ = nullptr;
  std::map<uint64_t, std::string> finished_;
  std::map<std::string, uint64_t> lastRound_;
  std::deque<Message> network_;
  uint64_t next_ = 1;
};

} // namespace vanillahatch::testing
