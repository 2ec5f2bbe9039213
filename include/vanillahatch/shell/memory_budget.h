// Bounds the memory and the connections that the peers of one process hold
// together. All HTTP servers and clients of a process share one budget; it
// decides whose connection is closed when a peer asks for more than is left.
//
// Each connection has a `Holding`. A holding that waits for its peer to send or
// to read can be closed, the oldest first; one whose request is being served
// can't. Messages of up to `smallBytes_` may use `reservedBytes_` that larger
// ones may not, so that large messages never keep small ones out.
//
//   MemoryBudget::Holding holding(budget, [&] { stream.close(); });
//   if (!holding.Resize(buffer.capacity())) { ... refuse the request ... }
//
// The memory of a closed connection is freed only when its owner destroys the
// holding. Until then it may exceed `maxBytes_` by half; beyond that, nothing
// is granted.
//
// Not thread-safe. Holdings must not outlive their budget.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>

namespace vanillahatch {

struct MemoryBudgetOptions
{
  size_t maxBytes_ = size_t(256) << 20U;
  size_t reservedBytes_ = size_t(64) << 20U;
  size_t smallBytes_ = size_t(64) << 10U;
  size_t maxConnections_ = 4096;
};

class MemoryBudget
{
public:
  enum class Kind
  {
    kConnection, // accepted from a peer; counts towards `maxConnections_`
    kAnswer,     // read on a connection of our own
  };

  class Holding
  {
  public:
    // `aClose` must close the connection without destroying this holding.
    Holding(MemoryBudget& aBudget, Kind aKind, std::function<void()> aClose);
    ~Holding();
    Holding(const Holding&) = delete;
    Holding& operator=(const Holding&) = delete;

    // Sets the number of bytes that are held. Closes older holdings if there is
    // no room. Returns false, and changes nothing, if there still is none or if
    // this is the oldest one.
    bool Resize(size_t aBytes);
    // From now on it waits for its peer, as the youngest of those that do.
    void WaitForPeer();
    // From now on it can't be closed.
    void Serve();
    bool WasClosed() const { return state_ == State::kClosed; }

  private:
    friend class MemoryBudget;

    enum class State
    {
      kServing,
      kWaiting,
      kClosed,
    };

    MemoryBudget& budget_;
    const Kind kind_;
    const std::function<void()> close_;
    size_t bytes_ = 0;
    State state_ = State::kServing;
    uint64_t waitsSince_ = 0;
    std::list<Holding*>* list_; // of the budget; null once closed
    std::list<Holding*>::iterator position_;
  };

  explicit MemoryBudget(MemoryBudgetOptions aOptions = {});

  // Closes the connection that has waited longest if there are as many as there
  // may be. Returns false if all are being served.
  bool AdmitConnection();

  size_t BytesHeld() const { return bytesHeld_; }
  size_t Connections() const { return connections_; }
  uint64_t ClosedForMemory() const { return closedForMemory_; }
  uint64_t ClosedForConnections() const { return closedForConnections_; }
  uint64_t Refused() const { return refused_; }

private:
  bool IsSmall(size_t aBytes) const { return aBytes <= options_.smallBytes_; }
  // Updates the sums when one holding changes.
  void Add(size_t aBefore, size_t aAfter);
  // Closes holdings that have waited longer than `aAsking` until it may hold
  // `aBytes`. Closes none and returns false if that would not be enough. A
  // large message closes no small ones that fit the reserve.
  bool MakeRoom(const Holding& aAsking, size_t aBytes);
  static void MoveToEnd(Holding& aHolding, std::list<Holding*>& aList);
  void Release(Holding& aHolding);
  void Close(Holding& aHolding);

  const MemoryBudgetOptions options_;
  std::list<Holding*> serving_;
  // Those that wait, the oldest first: without bytes, and with bytes.
  std::list<Holding*> idle_;
  std::list<Holding*> unfinished_;
  uint64_t waits_ = 0;
  size_t bytesHeld_ = 0;
  size_t smallBytesHeld_ = 0; // of `bytesHeld_`, of small messages
  // Of holdings that were closed and not destroyed yet.
  size_t closingBytes_ = 0;
  size_t connections_ = 0;
  uint64_t closedForMemory_ = 0;
  uint64_t closedForConnections_ = 0;
  uint64_t refused_ = 0;
};

} // namespace vanillahatch
