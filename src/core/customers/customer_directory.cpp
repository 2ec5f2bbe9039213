#include "vanillahatch/core/customers/customer_directory.h"

namespace vanillahatch {

bool Caller::MayAccess(std::string_view aOwner) const
{
  switch (kind_) {
    case CallerKind::kUnchecked:
      return true;
    case CallerKind::kUnauthorized:
      return false;
    case CallerKind::kCustomer:
    case CallerKind::kAnonymous:
      break;
  }
  return aOwner.empty() || aOwner == customer_;
}

CustomerDirectory::CustomerDirectory(const v1::FleetDocument& aConfig)
  : checksKeys_(aConfig.checks_keys())
{
  for (const v1::CustomerSpec& customer : aConfig.customers()) {
    for (const std::string& key : customer.keys()) {
      customersByKey_.try_emplace(key, customer.name());
    }
  }
}

Caller CustomerDirectory::Identify(const v1::QueueSpec& aQueue,
                                   const CallKey& aKey) const
{
  if (!checksKeys_) {
    return { .kind_ = CallerKind::kUnchecked };
  }
  if (aKey.isMalformed_) {
    return { .kind_ = CallerKind::kUnauthorized };
  }
  if (aKey.text_.empty()) {
    return { .kind_ = aQueue.allow_anonymous() ? CallerKind::kAnonymous
                                               : CallerKind::kUnauthorized };
  }
  const auto it = customersByKey_.find(aKey.text_);
  if (it == customersByKey_.end()) {
    return { .kind_ = CallerKind::kUnauthorized };
  }
  return { .kind_ = CallerKind::kCustomer, .customer_ = it->second };
}

} // namespace vanillahatch
