// Identifiers of the entities of the fleet. Each kind has its own type, so that
// the compiler rejects a pool name where an instance name is expected.
//
//   PoolName pool("billing");
//   LogText(pool.View());
#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace vanillahatch {

template<class Tag>
class Name
{
public:
  Name() = default;
  explicit Name(std::string aValue)
    : value_(std::move(aValue))
  {
  }
  explicit Name(std::string_view aValue)
    : value_(aValue)
  {
  }
  explicit Name(const char* aValue)
    : value_(aValue)
  {
  }

  const std::string& Str() const { return value_; }
  std::string_view View() const { return value_; }
  bool Empty() const { return value_.empty(); }

  friend auto operator<=>(const Name&, const Name&) = default;
  friend std::ostream& operator<<(std::ostream& aOut, const Name& aName)
  {
    return aOut << aName.value_;
  }

private:
  std::string value_;
};

using ServiceName = Name<struct ServiceTag>;
using PoolName = Name<struct PoolTag>;
using InstanceName = Name<struct InstanceTag>; // an upstream instance
using WorkerName = Name<struct WorkerTag>;
using RackName = Name<struct RackTag>;
using DataCentreName = Name<struct DataCentreTag>;
using MemberName = Name<struct MemberTag>; // a customer
using NodeName = Name<struct NodeTag>;     // a vanillahatch process
using IdempotencyKey = Name<struct KeyTag>;

// Assigned by the entry that accepted the job.
enum class JobNumber : uint64_t
{
};
enum class AttemptNumber : uint64_t
{
};

} // namespace vanillahatch

template<class Tag>
struct std::hash<vanillahatch::Name<Tag>>
{
  size_t operator()(const vanillahatch::Name<Tag>& aName) const noexcept
  {
    return std::hash<std::string>()(aName.Str());
  }
};
