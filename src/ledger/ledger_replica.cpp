#include "ledger/ledger_replica.h"

#include "vanillahatch/shell/log.h"
#include "vanillahatch/shell/program.h"
#include "vanillahatch/shell/system_clock.h"

#include <cstdlib>
#include <stdexcept>
#include <unistd.h>

namespace vanillahatch {

namespace {

constexpr Millis kRingWait = Millis(200);
constexpr Millis kMaintenanceInterval = Seconds(1);

} // namespace

LedgerReplica::LedgerReplica(LedgerReplicaOptions aOptions)
  : options_(std::move(aOptions))
  , store_({ .folder_ = options_.folder_, .sync_ = options_.sync_ })
  , register_(options_.register_)
  , ring_(options_.ringSize_)
{
  Load();
  isMember_ = register_.IsMember();
  storageThread_ = std::thread([this] { StorageLoop(); });
}

LedgerReplica::~LedgerReplica()
{
  ring_.Close();
  storageThread_.join();
}

void LedgerReplica::Load()
{
  const auto contents = store_.Load();
  if (contents) {
    const RestoreResult restoreResult = register_.Restore(contents.value());
    startMode_ = restoreResult == RestoreResult::kRestored
                   ? LedgerStartMode::kRestored
                   : LedgerStartMode::kStateLost;
    // A bootstrap file that a crash left behind must not start a new cluster
    // once the disk is lost.
    RemoveBootstrapFile();
    return;
  }
  if (contents.error().code_ != StoreErrorCode::kMissing) {
    throw std::runtime_error("the data folder cannot be read: " +
                             contents.error().detail_);
  }
  const bool hasBootstrapFile =
    std::filesystem::exists(options_.folder_ / kBootstrapFile);
  const auto created = store_.Create();
  if (!created) {
    throw std::runtime_error("the data folder cannot be written: " +
                             created.error().detail_);
  }
  if (!hasBootstrapFile) {
    startMode_ = LedgerStartMode::kStateLost;
    return;
  }
  startMode_ = LedgerStartMode::kBootstrapped;
  register_.Bootstrap();
  const auto stored = store_.Compact(register_.Snapshot(), {});
  if (!stored) {
    throw std::runtime_error("the data folder cannot be written: " +
                             stored.error().detail_);
  }
  RemoveBootstrapFile();
}

void LedgerReplica::RemoveBootstrapFile()
{
  std::error_code ignored;
  std::filesystem::remove(options_.folder_ / kBootstrapFile, ignored);
}

bool LedgerReplica::TryVote(const v1::VoteRequest* aRequest,
                            v1::VoteReply* aReply,
                            DoneCallback aDone)
{
  return ring_.TryPush(VoteWork{
    .request_ = aRequest, .reply_ = aReply, .done_ = std::move(aDone) });
}

bool LedgerReplica::TryCopy(const v1::CopyRequest* aRequest,
                            v1::CopyReply* aReply,
                            DoneCallback aDone)
{
  return ring_.TryPush(CopyWork{
    .request_ = aRequest, .reply_ = aReply, .done_ = std::move(aDone) });
}

void LedgerReplica::Install(v1::LedgerSnapshot aSnapshot)
{
  ring_.Push(InstallWork{
    .snapshot_ = std::make_unique<v1::LedgerSnapshot>(std::move(aSnapshot)) });
}

void LedgerReplica::StorageLoop()
{
  std::vector<Work> batch;
  for (;;) {
    std::optional<Work> work = ring_.PopFor(kRingWait);
    if (!work && ring_.IsClosed()) {
      return;
    }
    while (work) {
      batch.push_back(std::move(*work));
      work = batch.size() < options_.maxBatch_ ? ring_.PopFor(Millis(0))
                                               : std::nullopt;
    }
    if (!batch.empty()) {
      RunBatch(batch);
      batch.clear();
    }
    Maintain();
  }
}

void LedgerReplica::RunBatch(std::vector<Work>& aBatch)
{
  bool mustSync = false;
  for (Work& work : aBatch) {
    mustSync =
      std::visit([this](auto& aTyped) { return Perform(aTyped); }, work) ||
      mustSync;
  }
  if (mustSync) {
    ExitOnStoreError(store_.Sync());
    metrics_.Count("vh_ledger_syncs_total");
  }
  metrics_.Count("vh_ledger_requests_total", aBatch.size());
  for (Work& work : aBatch) {
    if (const auto* vote = std::get_if<VoteWork>(&work)) {
      vote->done_();
    } else if (const auto* copy = std::get_if<CopyWork>(&work)) {
      copy->done_();
    }
  }
}

bool LedgerReplica::Perform(VoteWork& aWork)
{
  VoteResult result = register_.Vote(*aWork.request_);
  *aWork.reply_ = std::move(result.reply_);
  Append(result.record_);
  return !result.record_.empty();
}

bool LedgerReplica::Perform(CopyWork& aWork)
{
  CopyResult result = register_.Copy(*aWork.request_);
  *aWork.reply_ = std::move(result.reply_);
  Append(result.record_);
  return !result.record_.empty();
}

bool LedgerReplica::Perform(InstallWork& aWork)
{
  register_.Install(*aWork.snapshot_);
  Compact();
  isMember_ = true;
  LogInfo(Event::kLedgerMember,
          { { "how", "caught-up" },
            { "identity", register_.Identity() },
            { "keys", static_cast<uint64_t>(register_.KeyCount()) } });
  return false;
}

void LedgerReplica::Maintain()
{
  const SystemClock clock;
  const Millis now = clock.Now();
  if (!register_.IsMember() || now < nextMaintenanceAt_) {
    return;
  }
  nextMaintenanceAt_ = now + kMaintenanceInterval;
  metrics_.Set("vh_ledger_keys", static_cast<double>(register_.KeyCount()));
  metrics_.Set("vh_ledger_bytes", static_cast<double>(register_.Bytes()));
  const size_t keysBefore = register_.KeyCount();
  const bool floorRose = register_.Expire(clock.UnixNow());
  const size_t removedKeys = keysBefore - register_.KeyCount();
  if (removedKeys > 0) {
    LogInfo(Event::kLedgerFloorRaised,
            { { "floor_unix_ms", register_.Floor().Count() },
              { "forgotten", static_cast<uint64_t>(removedKeys) } });
  }
  // A raised issue-time floor alone need not be stored: until the next
  // compaction, a restart restores the removed keys together with the lower
  // floor.
  const bool isLogTooLong = store_.LogBytes() > options_.maxLogBytes_;
  if (isLogTooLong || (floorRose && removedKeys > 0)) {
    Compact();
  }
}

void LedgerReplica::Compact()
{
  ExitOnStoreError(store_.Compact(register_.Snapshot(), {}));
  metrics_.Count("vh_ledger_compactions_total");
}

void LedgerReplica::Append(std::string_view aRecord)
{
  if (!aRecord.empty()) {
    ExitOnStoreError(store_.Append(aRecord));
  }
}

void LedgerReplica::ExitOnStoreError(const Result<void, StoreError>& aResult)
{
  if (aResult) {
    return;
  }
  LogError(Event::kLedgerStoreFailed,
           { { "detail", aResult.error().detail_ } });
  std::_Exit(kExitRuntime);
}

} // namespace vanillahatch
