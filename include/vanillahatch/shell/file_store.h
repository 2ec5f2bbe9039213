// Stores the log records and a snapshot of one state machine in a folder.
//
// A log record is stored as length, CRC-32 of length and bytes, and the bytes.
// A record that was partly written when the process died is detected by its
// length or checksum at the end of the file and reported as a torn tail. It is
// truncated only when the next record is written, so a process that dies before
// it has handled the torn tail detects it again. A damaged record that is
// followed by an intact one is corruption and an error.
//
// Each generation of the store has one snapshot file and one log file.
// `Compact` writes the next generation beside the current one and then makes
// it current by renaming one small file, so a crash leaves one pair intact.
//
//   FileStore store({ .folder_ = "/var/lib/vanillahatch/control-1" });
//   auto contents = store.Load();   // kMissing: call Create()
//   store.Append(record);
//   store.Sync();                   // durable from here on
//
// Not thread-safe. A lock on the folder excludes a second process. After kIo
// the contents of the disk are unknown, so every later call fails.
#pragma once

#include "vanillahatch/core/stable_store.h"

#include <filesystem>

namespace vanillahatch {

// Owns one file descriptor.
class FileDescriptor
{
public:
  FileDescriptor() = default;
  explicit FileDescriptor(int aValue);
  ~FileDescriptor();
  FileDescriptor(FileDescriptor&& aOther) noexcept;
  FileDescriptor& operator=(FileDescriptor&& aOther) noexcept;

  int Value() const { return value_; }
  bool IsOpen() const { return value_ >= 0; }

private:
  int value_ = -1;
};

struct FileStoreOptions
{
  std::filesystem::path folder_;
  // False disables fsync; only for comparisons in benchmarks.
  bool sync_ = true;
};

class FileStore : public StableStore
{
public:
  explicit FileStore(FileStoreOptions aOptions);

  // kMissing if the folder holds no store. Must be called first.
  Result<StoreContents, StoreError> Load() override;

  // Creates the folder and an empty store in it, durable on return.
  Result<void, StoreError> Create();

  Result<void, StoreError> Append(std::string_view aRecord) override;
  Result<void, StoreError> Sync() override;
  Result<void, StoreError> Compact(
    std::string_view aSnapshot,
    std::span<const std::string> aRecords) override;

  // Length of the current log file in bytes, unsynced records included.
  uint64_t LogBytes() const { return logBytes_ + buffer_.size(); }

private:
  Result<void, StoreError> Lock();
  Result<uint64_t, StoreError> ReadCurrent() const;
  Result<std::string, StoreError> ReadSnapshot(uint64_t aGeneration) const;
  Result<void, StoreError> ReadLog(std::string_view aBytes,
                                   StoreContents& aContents);
  Result<void, StoreError> OpenLog();
  Result<void, StoreError> Flush();
  Result<void, StoreError> WriteFile(const std::filesystem::path& aFile,
                                     std::string_view aBytes);
  Result<void, StoreError> SyncFolder();
  Result<void, StoreError> TruncateTornTail();
  Result<void, StoreError> MakeCurrent(uint64_t aGeneration);
  void RemoveOtherGenerations(uint64_t aGeneration) const;
  StoreError Fail(std::string_view aWhat);

  std::filesystem::path SnapshotFile(uint64_t aGeneration) const;
  std::filesystem::path LogFile(uint64_t aGeneration) const;
  std::filesystem::path CurrentFile() const;

  FileStoreOptions options_;
  FileDescriptor lock_;
  FileDescriptor log_;
  uint64_t generation_ = 0;
  uint64_t logBytes_ = 0;
  std::string buffer_; // appended, but not written yet
  bool tornTail_ = false;
  bool failed_ = false;
};

} // namespace vanillahatch
