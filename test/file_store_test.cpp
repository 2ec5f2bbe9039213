#define BOOST_TEST_MODULE file_store
#include "vanillahatch/shell/file_store.h"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>

using namespace vanillahatch;
namespace fs = std::filesystem;

namespace {

struct TemporaryFolder
{
  TemporaryFolder()
  {
    std::string name = (fs::temp_directory_path() / "vh-store-XXXXXX").string();
    path_ = mkdtemp(name.data());
  }
  ~TemporaryFolder() { fs::remove_all(path_); }

  fs::path LogFile() const
  {
    for (const auto& item : fs::directory_iterator(path_)) {
      if (item.path().stem() == "log") {
        return item.path();
      }
    }
    return {};
  }

  fs::path path_;
};

void WriteRecords(const TemporaryFolder& aFolder,
                  const std::vector<std::string>& aRecords)
{
  FileStore store({ .folder_ = aFolder.path_ });
  BOOST_REQUIRE(store.Create());
  for (const std::string& record : aRecords) {
    BOOST_REQUIRE(store.Append(record));
  }
  BOOST_REQUIRE(store.Sync());
}

void FlipByte(const fs::path& aFile, size_t aAt)
{
  std::fstream file(aFile, std::ios::in | std::ios::out | std::ios::binary);
  file.seekg(static_cast<std::streamoff>(aAt));
  const char old = static_cast<char>(file.get());
  file.seekp(static_cast<std::streamoff>(aAt));
  file.put(static_cast<char>(old ^ 0x40));
}

constexpr size_t kHeaderBytes = 8;

} // namespace

BOOST_AUTO_TEST_CASE(EmptyFolderIsReportedAsMissing)
{
  const TemporaryFolder folder;
  FileStore store({ .folder_ = folder.path_ });
  const auto contents = store.Load();
  BOOST_REQUIRE(!contents);
  BOOST_TEST((contents.error().code_ == StoreErrorCode::kMissing));
}

BOOST_AUTO_TEST_CASE(SyncedRecordsAreLoadedInOrder)
{
  const TemporaryFolder folder;
  WriteRecords(folder, { "one", "", "three" });
  FileStore store({ .folder_ = folder.path_ });
  const auto contents = store.Load();
  BOOST_REQUIRE(contents);
  const std::vector<std::string> expected = { "one", "", "three" };
  BOOST_TEST(contents.value().records_ == expected);
  BOOST_TEST(!contents.value().tornTail_);
}

BOOST_AUTO_TEST_CASE(EveryTruncationOfTheLastRecordIsATornTail)
{
  const std::string last = "the last record";
  for (size_t cut = 1; cut < kHeaderBytes + last.size(); ++cut) {
    const TemporaryFolder folder;
    WriteRecords(folder, { "first", last });
    fs::resize_file(folder.LogFile(), fs::file_size(folder.LogFile()) - cut);
    FileStore store({ .folder_ = folder.path_ });
    const auto contents = store.Load();
    BOOST_REQUIRE_MESSAGE(contents, "truncated by bytes: " << cut);
    BOOST_TEST(contents.value().tornTail_);
    BOOST_TEST(contents.value().records_.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(TornTailIsReportedUntilTheNextRecordIsWritten)
{
  const TemporaryFolder folder;
  WriteRecords(folder, { "first", "second" });
  fs::resize_file(folder.LogFile(), fs::file_size(folder.LogFile()) - 1);
  for (int start = 0; start < 2; ++start) {
    FileStore store({ .folder_ = folder.path_ });
    BOOST_TEST(store.Load().value().tornTail_);
  }
  {
    FileStore store({ .folder_ = folder.path_ });
    BOOST_REQUIRE(store.Load());
    BOOST_REQUIRE(store.Append("third"));
    BOOST_REQUIRE(store.Sync());
  }
  FileStore store({ .folder_ = folder.path_ });
  const auto contents = store.Load();
  const std::vector<std::string> expected = { "first", "third" };
  BOOST_TEST(contents.value().records_ == expected);
  BOOST_TEST(!contents.value().tornTail_);
}

BOOST_AUTO_TEST_CASE(DamageBeforeTheLastRecordIsCorruption)
{
  const std::string first = "first";
  for (size_t at = 0; at < kHeaderBytes + first.size(); ++at) {
    const TemporaryFolder folder;
    WriteRecords(folder, { first, "second" });
    FlipByte(folder.LogFile(), at);
    FileStore store({ .folder_ = folder.path_ });
    const auto contents = store.Load();
    BOOST_REQUIRE_MESSAGE(!contents, "flipped byte " << at);
    BOOST_TEST((contents.error().code_ == StoreErrorCode::kCorrupt));
  }
}

BOOST_AUTO_TEST_CASE(CompactReplacesSnapshotAndLogTogether)
{
  const TemporaryFolder folder;
  WriteRecords(folder, { "a", "b", "c" });
  {
    FileStore store({ .folder_ = folder.path_ });
    BOOST_REQUIRE(store.Load());
    const std::vector<std::string> kept = { "c" };
    BOOST_REQUIRE(store.Compact("snapshot of a b", kept));
    BOOST_REQUIRE(store.Append("d"));
    BOOST_REQUIRE(store.Sync());
  }
  FileStore store({ .folder_ = folder.path_ });
  const auto contents = store.Load();
  const std::vector<std::string> expected = { "c", "d" };
  BOOST_TEST(contents.value().snapshot_ == "snapshot of a b");
  BOOST_TEST(contents.value().records_ == expected);
}

BOOST_AUTO_TEST_CASE(CrashDuringCompactLeavesTheOldGeneration)
{
  const TemporaryFolder folder;
  WriteRecords(folder, { "a", "b" });
  std::ofstream(folder.path_ / "snapshot.2") << "half";
  std::ofstream(folder.path_ / "log.2") << "half";
  std::ofstream(folder.path_ / "current.new") << "half";
  FileStore store({ .folder_ = folder.path_ });
  const auto contents = store.Load();
  const std::vector<std::string> expected = { "a", "b" };
  BOOST_TEST(contents.value().records_ == expected);
  BOOST_TEST(!fs::exists(folder.path_ / "log.2"));
}

BOOST_AUTO_TEST_CASE(DamagedSnapshotIsCorruption)
{
  const TemporaryFolder folder;
  {
    FileStore store({ .folder_ = folder.path_ });
    BOOST_REQUIRE(store.Create());
    BOOST_REQUIRE(store.Compact("snapshot", {}));
  }
  FlipByte(folder.path_ / "snapshot.2", kHeaderBytes);
  FileStore store({ .folder_ = folder.path_ });
  const auto contents = store.Load();
  BOOST_REQUIRE(!contents);
  BOOST_TEST((contents.error().code_ == StoreErrorCode::kCorrupt));
}

BOOST_AUTO_TEST_CASE(SecondStoreOnTheSameFolderFailsToLoad)
{
  const TemporaryFolder folder;
  WriteRecords(folder, { "a" });
  FileStore first({ .folder_ = folder.path_ });
  BOOST_REQUIRE(first.Load());
  FileStore second({ .folder_ = folder.path_ });
  BOOST_TEST(!second.Load());
}
