// The job store's configuration: queues, services and customers.
#include "vanillahatch/core/jobs/job_store.h"

#include <algorithm>

namespace vanillahatch {

namespace {

// Applies to jobs whose queue is not known.
constexpr uint32_t kDefaultMaxAttempts = 3;

} // namespace

QueueAddress AddressOf(const v1::QueueSpec& aQueue)
{
  return { .host_ = aQueue.host(), .pathPrefix_ = aQueue.path_prefix() };
}

void JobStore::PutConfig(const v1::FleetDocument& aConfig)
{
  if (aConfig.version() > config_.version()) {
    UpdateRemovedQueues(aConfig);
    UpdateRemovedCustomers(aConfig);
    config_ = aConfig;
    IndexConfig();
    ResolveQueuesOfJobs();
  }
}

void JobStore::UpdateRemovedQueues(const v1::FleetDocument& aNext)
{
  std::set<QueueAddress> queuesOfJobs;
  for (const auto& [id, job] : jobs_) {
    queuesOfJobs.insert(job->queueAddress_);
  }
  std::erase_if(removedQueues_, [&](const auto& aItem) {
    return !queuesOfJobs.contains(aItem.first);
  });
  // All of them: a job may be accepted that was proposed before.
  for (const v1::QueueSpec& queue : config_.queues()) {
    removedQueues_.insert_or_assign(AddressOf(queue), queue);
  }
  for (const v1::QueueSpec& queue : aNext.queues()) {
    removedQueues_.erase(AddressOf(queue));
  }
}

void JobStore::UpdateRemovedCustomers(const v1::FleetDocument& aNext)
{
  std::set<std::string_view> customersOfJobs;
  for (const auto& [id, job] : jobs_) {
    customersOfJobs.insert(job->customer_);
  }
  std::erase_if(removedCustomers_, [&](const auto& aItem) {
    return !customersOfJobs.contains(aItem.first);
  });
  // All of them: a job may be accepted that was proposed before.
  for (const v1::CustomerSpec& customer : config_.customers()) {
    v1::CustomerSpec& removed = removedCustomers_[customer.name()];
    removed = customer;
    removed.clear_keys();
  }
  for (const v1::CustomerSpec& customer : aNext.customers()) {
    removedCustomers_.erase(customer.name());
  }
}

void JobStore::IndexConfig()
{
  queuesByName_.clear();
  queuesByAddress_.clear();
  queuesByHost_.clear();
  for (const v1::QueueSpec& queue : config_.queues()) {
    queuesByName_.try_emplace(queue.name(), &queue);
    queuesByAddress_.try_emplace(AddressOf(queue), &queue);
    queuesByHost_.emplace(queue.host(), &queue);
  }
  customersByName_.clear();
  for (const v1::CustomerSpec& customer : config_.customers()) {
    customersByName_.try_emplace(customer.name(), &customer);
  }
  customers_ = CustomerDirectory(config_);
}

const v1::QueueSpec* JobStore::FindQueue(std::string_view aName) const
{
  const auto it = queuesByName_.find(aName);
  return it != queuesByName_.end() ? it->second : nullptr;
}

QueueAddress JobStore::AddressOfQueue(const std::string& aName) const
{
  if (const v1::QueueSpec* queue = FindQueue(aName)) {
    return AddressOf(*queue);
  }
  const auto removed = std::find_if(
    removedQueues_.begin(), removedQueues_.end(), [&](const auto& aItem) {
      return aItem.second.name() == aName;
    });
  return removed != removedQueues_.end() ? removed->first
                                         : QueueAddress{ .pathPrefix_ = aName };
}

QueueAddress JobStore::AddressOfQueue(const v1::AcceptJob& aJob) const
{
  return aJob.path_prefix().empty()
           ? AddressOfQueue(aJob.queue())
           : QueueAddress{ .host_ = aJob.host(),
                           .pathPrefix_ = aJob.path_prefix() };
}

const v1::QueueSpec* JobStore::FindQueueOf(const Job& aJob) const
{
  const auto configured = queuesByAddress_.find(aJob.queueAddress_);
  if (configured != queuesByAddress_.end()) {
    return configured->second;
  }
  const auto removed = removedQueues_.find(aJob.queueAddress_);
  return removed != removedQueues_.end() ? &removed->second
                                         : FindQueue(aJob.queue_);
}

void JobStore::ResolveQueuesOfJobs()
{
  for (const auto& [id, job] : jobs_) {
    job->queueSpec_ = FindQueueOf(*job);
  }
}

const v1::QueueSpec* JobStore::FindQueueFor(std::string_view aHost,
                                            std::string_view aPath) const
{
  const v1::QueueSpec* best = nullptr;
  const auto [first, last] = queuesByHost_.equal_range(aHost);
  for (auto it = first; it != last; ++it) {
    const v1::QueueSpec& queue = *it->second;
    const bool fits = aPath.starts_with(queue.path_prefix());
    if (fits && (best == nullptr ||
                 queue.path_prefix().size() > best->path_prefix().size())) {
      best = &queue;
    }
  }
  return best;
}

const v1::ServiceSpec* JobStore::FindService(std::string_view aName) const
{
  const auto& services = config_.services();
  const auto it =
    std::find_if(services.begin(), services.end(), [&](auto& aService) {
      return aService.name() == aName;
    });
  return it != services.end() ? &*it : nullptr;
}

const v1::CustomerSpec* JobStore::FindCustomer(std::string_view aName) const
{
  const auto configured = customersByName_.find(aName);
  if (configured != customersByName_.end()) {
    return configured->second;
  }
  const auto removed = removedCustomers_.find(aName);
  return removed != removedCustomers_.end() ? &removed->second : nullptr;
}

const std::string& JobStore::ServiceOf(const Job& aJob) const
{
  const v1::QueueSpec* queue = QueueOf(aJob);
  return queue != nullptr ? queue->service() : aJob.service_;
}

uint32_t JobStore::MaxAttempts(const Job& aJob) const
{
  const v1::QueueSpec* queue = QueueOf(aJob);
  return queue != nullptr ? std::max(queue->max_attempts(), 1U)
                          : kDefaultMaxAttempts;
}

} // namespace vanillahatch
