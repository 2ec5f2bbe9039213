// Finds out whose key a call carries, for one version of the configuration.
//
//   CustomerDirectory directory(config);
//   const Caller caller = directory.Identify(queue, key);
//   if (caller.MayAccess(job.customer_)) { ... }
//
// A state machine without I/O. The answer is only as recent as the
// configuration; see JobServiceImpl.
#pragma once

#include "jobs.pb.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace vanillahatch {

// The credentials of a call.
struct CallKey
{
  std::string text_; // empty: none
  // The call has credentials that are not one key.
  bool isMalformed_ = false;
};

enum class CallerKind : uint8_t
{
  kUnchecked, // the deployment has no customers
  kCustomer,
  kAnonymous, // of no customer, on a queue that allows it
  kUnauthorized,
};

struct Caller
{
  CallerKind kind_ = CallerKind::kUnchecked;
  std::string customer_; // name; empty unless `kCustomer`

  bool IsUnauthorized() const { return kind_ == CallerKind::kUnauthorized; }
  // Whether the caller may read and cancel a job of `aOwner`, which is empty
  // for a job of no customer.
  bool MayAccess(std::string_view aOwner) const;
};

class CustomerDirectory
{
public:
  // A directory that checks no keys.
  CustomerDirectory() = default;
  explicit CustomerDirectory(const v1::FleetDocument& aConfig);

  Caller Identify(const v1::QueueSpec& aQueue, const CallKey& aKey) const;

private:
  bool checksKeys_ = false;
  std::unordered_map<std::string, std::string> customersByKey_;
};

} // namespace vanillahatch
