#include "vanillahatch/shell/file_store.h"

#include <algorithm>
#include <array>
#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/outcome/try.hpp>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fcntl.h>
#include <optional>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace vanillahatch {

namespace fs = std::filesystem;

namespace {

constexpr size_t kHeaderBytes = 8; // length and CRC-32, little endian
constexpr uint32_t kMaxRecordBytes = 256U << 20U;
constexpr size_t kReadBytes = 64U << 10U;
constexpr size_t kFlushBytes = 256U << 10U;

uint32_t ChecksumOf(uint32_t aLength, std::string_view aBytes)
{
  std::array<unsigned char, 4> length{};
  boost::endian::store_little_u32(length.data(), aLength);
  boost::crc_32_type crc;
  crc.process_bytes(length.data(), length.size());
  crc.process_bytes(aBytes.data(), aBytes.size());
  return crc.checksum();
}

void AppendFrame(std::string& aOut, std::string_view aBytes)
{
  const auto length = static_cast<uint32_t>(aBytes.size());
  std::array<unsigned char, kHeaderBytes> header{};
  boost::endian::store_little_u32(header.data(), length);
  boost::endian::store_little_u32(header.data() + 4,
                                  ChecksumOf(length, aBytes));
  aOut.append(reinterpret_cast<const char*>(header.data()), header.size());
  aOut.append(aBytes);
}

// The first record of `aBytes`, or nothing if it is truncated or damaged.
std::optional<std::string_view> ReadFrame(std::string_view aBytes)
{
  if (aBytes.size() < kHeaderBytes) {
    return std::nullopt;
  }
  const auto* header = reinterpret_cast<const unsigned char*>(aBytes.data());
  const uint32_t length = boost::endian::load_little_u32(header);
  const uint32_t checksum = boost::endian::load_little_u32(header + 4);
  aBytes.remove_prefix(kHeaderBytes);
  if (length > kMaxRecordBytes || length > aBytes.size()) {
    return std::nullopt;
  }
  const std::string_view record = aBytes.substr(0, length);
  if (ChecksumOf(length, record) != checksum) {
    return std::nullopt;
  }
  return record;
}

// Whether an intact record starts anywhere after the first byte. If so, the
// damage at the first byte is corruption and not a torn tail.
bool HasFrameAfter(std::string_view aBytes)
{
  for (size_t at = 1; at + kHeaderBytes <= aBytes.size(); ++at) {
    const std::optional<std::string_view> frame = ReadFrame(aBytes.substr(at));
    if (frame && !frame->empty()) {
      return true;
    }
  }
  return false;
}

std::optional<std::string> ReadFile(const fs::path& aFile)
{
  const FileDescriptor file(::open(aFile.c_str(), O_RDONLY | O_CLOEXEC));
  if (!file.IsOpen()) {
    return std::nullopt;
  }
  std::string bytes;
  while (true) {
    const size_t before = bytes.size();
    bytes.resize(before + kReadBytes);
    const ssize_t bytesRead =
      ::read(file.Value(), bytes.data() + before, kReadBytes);
    bytes.resize(before + static_cast<size_t>(std::max<ssize_t>(bytesRead, 0)));
    if (bytesRead == 0) {
      return bytes;
    }
    if (bytesRead < 0 && errno != EINTR) {
      return std::nullopt;
    }
  }
}

bool WriteAll(int aFile, std::string_view aBytes)
{
  while (!aBytes.empty()) {
    const ssize_t bytesWritten = ::write(aFile, aBytes.data(), aBytes.size());
    if (bytesWritten < 0 && errno != EINTR) {
      return false;
    }
    aBytes.remove_prefix(
      static_cast<size_t>(std::max<ssize_t>(bytesWritten, 0)));
  }
  return true;
}

StoreError Corrupt(const fs::path& aFile, std::string_view aWhat)
{
  return { .code_ = StoreErrorCode::kCorrupt,
           .detail_ = aFile.string() + ": " + std::string(aWhat) };
}

} // namespace

FileDescriptor::FileDescriptor(int aValue)
  : value_(aValue)
{
}

FileDescriptor::~FileDescriptor()
{
  if (value_ >= 0) {
    ::close(value_);
  }
}

FileDescriptor::FileDescriptor(FileDescriptor&& aOther) noexcept
  : value_(std::exchange(aOther.value_, -1))
{
}

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& aOther) noexcept
{
  std::swap(value_, aOther.value_);
  return *this;
}

FileStore::FileStore(FileStoreOptions aOptions)
  : options_(std::move(aOptions))
{
}

fs::path FileStore::SnapshotFile(uint64_t aGeneration) const
{
  return options_.folder_ / ("snapshot." + std::to_string(aGeneration));
}

fs::path FileStore::LogFile(uint64_t aGeneration) const
{
  return options_.folder_ / ("log." + std::to_string(aGeneration));
}

fs::path FileStore::CurrentFile() const
{
  return options_.folder_ / "current";
}

StoreError FileStore::Fail(std::string_view aWhat)
{
  failed_ = true;
  return { .code_ = StoreErrorCode::kIo,
           .detail_ = std::string(aWhat) + " in " + options_.folder_.string() +
                      ": " + std::strerror(errno) };
}

Result<void, StoreError> FileStore::Lock()
{
  if (lock_.IsOpen()) {
    return success();
  }
  const fs::path file = options_.folder_ / "lock";
  lock_ =
    FileDescriptor(::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (!lock_.IsOpen() || ::flock(lock_.Value(), LOCK_EX | LOCK_NB) != 0) {
    return Fail("cannot lock the store");
  }
  return success();
}

Result<StoreContents, StoreError> FileStore::Load()
{
  std::error_code error;
  if (!fs::exists(CurrentFile(), error)) {
    return StoreError{ .code_ = StoreErrorCode::kMissing,
                       .detail_ = "no store in " + options_.folder_.string() };
  }
  BOOST_OUTCOME_TRYV(Lock());
  BOOST_OUTCOME_TRY(const uint64_t generation, ReadCurrent());
  generation_ = generation;
  StoreContents contents;
  BOOST_OUTCOME_TRY(contents.snapshot_, ReadSnapshot(generation));
  const std::optional<std::string> log = ReadFile(LogFile(generation));
  if (!log) {
    return Corrupt(LogFile(generation), "cannot be read");
  }
  BOOST_OUTCOME_TRYV(ReadLog(*log, contents));
  BOOST_OUTCOME_TRYV(OpenLog());
  RemoveOtherGenerations(generation);
  return contents;
}

Result<void, StoreError> FileStore::Create()
{
  std::error_code error;
  fs::create_directories(options_.folder_, error);
  if (error) {
    errno = error.value();
    return Fail("cannot create the folder");
  }
  BOOST_OUTCOME_TRYV(Lock());
  return Compact({}, {});
}

Result<uint64_t, StoreError> FileStore::ReadCurrent() const
{
  const std::optional<std::string> bytes = ReadFile(CurrentFile());
  const std::optional<std::string_view> text =
    bytes ? ReadFrame(*bytes) : std::nullopt;
  if (!text) {
    return Corrupt(CurrentFile(), "is damaged");
  }
  uint64_t generation = 0;
  const auto [end, error] =
    std::from_chars(text->data(), text->data() + text->size(), generation);
  if (error != std::errc() || end != text->data() + text->size()) {
    return Corrupt(CurrentFile(), "contains no valid generation number");
  }
  return generation;
}

Result<std::string, StoreError> FileStore::ReadSnapshot(
  uint64_t aGeneration) const
{
  const std::optional<std::string> bytes = ReadFile(SnapshotFile(aGeneration));
  const std::optional<std::string_view> snapshot =
    bytes ? ReadFrame(*bytes) : std::nullopt;
  if (!snapshot) {
    return Corrupt(SnapshotFile(aGeneration), "is damaged");
  }
  return std::string(*snapshot);
}

Result<void, StoreError> FileStore::ReadLog(std::string_view aBytes,
                                            StoreContents& aContents)
{
  logBytes_ = 0;
  while (!aBytes.empty()) {
    const std::optional<std::string_view> record = ReadFrame(aBytes);
    if (!record) {
      break;
    }
    aContents.records_.emplace_back(*record);
    const size_t frameBytes = kHeaderBytes + record->size();
    logBytes_ += frameBytes;
    aBytes.remove_prefix(frameBytes);
  }
  if (HasFrameAfter(aBytes)) {
    return Corrupt(LogFile(generation_),
                   "record at byte " + std::to_string(logBytes_) +
                     " is damaged, but intact records follow");
  }
  aContents.tornTail_ = !aBytes.empty();
  tornTail_ = aContents.tornTail_;
  return success();
}

Result<void, StoreError> FileStore::OpenLog()
{
  log_ = FileDescriptor(
    ::open(LogFile(generation_).c_str(), O_WRONLY | O_APPEND | O_CLOEXEC));
  if (!log_.IsOpen()) {
    return Fail("cannot open the log");
  }
  return success();
}

Result<void, StoreError> FileStore::Append(std::string_view aRecord)
{
  if (failed_ || aRecord.size() > kMaxRecordBytes) {
    errno = EIO;
    return Fail("cannot append a record");
  }
  AppendFrame(buffer_, aRecord);
  return buffer_.size() >= kFlushBytes ? Flush() : success();
}

Result<void, StoreError> FileStore::TruncateTornTail()
{
  if (tornTail_ &&
      ::ftruncate(log_.Value(), static_cast<off_t>(logBytes_)) != 0) {
    return Fail("cannot truncate the torn tail");
  }
  tornTail_ = false;
  return success();
}

Result<void, StoreError> FileStore::Flush()
{
  if (buffer_.empty()) {
    return success();
  }
  BOOST_OUTCOME_TRYV(TruncateTornTail());
  if (!WriteAll(log_.Value(), buffer_)) {
    return Fail("cannot write the log");
  }
  logBytes_ += buffer_.size();
  buffer_.clear();
  return success();
}

Result<void, StoreError> FileStore::Sync()
{
  if (failed_) {
    errno = EIO;
    return Fail("cannot sync after an earlier error");
  }
  BOOST_OUTCOME_TRYV(Flush());
  // After a failed fsync the kernel may have dropped the pages, so a retry
  // could succeed without the data on disk. Every later call fails instead.
  if (options_.sync_ && ::fdatasync(log_.Value()) != 0) {
    return Fail("cannot sync the log");
  }
  return success();
}

Result<void, StoreError> FileStore::Compact(
  std::string_view aSnapshot,
  std::span<const std::string> aRecords)
{
  if (failed_) {
    errno = EIO;
    return Fail("cannot compact after an earlier error");
  }
  const uint64_t next = generation_ + 1;
  std::string bytes;
  AppendFrame(bytes, aSnapshot);
  BOOST_OUTCOME_TRYV(WriteFile(SnapshotFile(next), bytes));
  bytes.clear();
  for (const std::string& record : aRecords) {
    AppendFrame(bytes, record);
  }
  BOOST_OUTCOME_TRYV(WriteFile(LogFile(next), bytes));
  BOOST_OUTCOME_TRYV(SyncFolder());
  BOOST_OUTCOME_TRYV(MakeCurrent(next));
  generation_ = next;
  logBytes_ = bytes.size();
  buffer_.clear();
  tornTail_ = false;
  BOOST_OUTCOME_TRYV(OpenLog());
  RemoveOtherGenerations(next);
  return success();
}

Result<void, StoreError> FileStore::MakeCurrent(uint64_t aGeneration)
{
  std::string bytes;
  AppendFrame(bytes, std::to_string(aGeneration));
  const fs::path newFile = options_.folder_ / "current.new";
  BOOST_OUTCOME_TRYV(WriteFile(newFile, bytes));
  if (::rename(newFile.c_str(), CurrentFile().c_str()) != 0) {
    return Fail("cannot rename current.new");
  }
  return SyncFolder();
}

Result<void, StoreError> FileStore::WriteFile(const fs::path& aFile,
                                              std::string_view aBytes)
{
  const FileDescriptor file(
    ::open(aFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  if (!file.IsOpen() || !WriteAll(file.Value(), aBytes)) {
    return Fail("cannot write " + aFile.filename().string());
  }
  if (options_.sync_ && ::fsync(file.Value()) != 0) {
    return Fail("cannot sync " + aFile.filename().string());
  }
  return success();
}

Result<void, StoreError> FileStore::SyncFolder()
{
  const FileDescriptor folder(
    ::open(options_.folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!folder.IsOpen() || (options_.sync_ && ::fsync(folder.Value()) != 0)) {
    return Fail("cannot sync the folder");
  }
  return success();
}

void FileStore::RemoveOtherGenerations(uint64_t aGeneration) const
{
  std::error_code error;
  for (const auto& item : fs::directory_iterator(options_.folder_, error)) {
    const fs::path& file = item.path();
    const std::string stem = file.stem().string();
    const bool isStoreFile = stem == "snapshot" || stem == "log";
    if (isStoreFile && file != SnapshotFile(aGeneration) &&
        file != LogFile(aGeneration)) {
      fs::remove(file, error);
    }
  }
}

} // namespace vanillahatch
