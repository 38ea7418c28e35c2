# Messages between slipturn's own processes. Times are lengths, never points, so that no two
# clocks need to agree. Names are texts as in the published list.
@0xd8f2c1a47be35091;

struct Place {
  attempt @0 :Text;
  engine @1 :Text;
  entry @2 :Text;
  boot @3 :UInt64;
  customer @4 :Text;
  weight @5 :Float64;
  promptTokens @6 :UInt64;
  cachedTokens @7 :UInt64;
  outputTokens @8 :UInt64;
  memoryTokens @9 :UInt64;
  grouped @10 :Bool;
  deadlineMs @11 :UInt64;
  patienceMs @12 :UInt64;
}

struct Refusal {
  code @0 :Text;
  message @1 :Text;
  retryAfterMs @2 :UInt64;
}

struct OfferReply {
  union {
    offer :group {
      firstTokenUs @0 :UInt64;
      freeTokens @1 :UInt64;
      running @2 :UInt32;
      waiting @3 :UInt32;
    }
    refused @4 :Refusal;
  }
}

struct PlaceReply {
  union {
    # The priority to send to the engine.
    granted @0 :UInt8;
    refused @1 :Refusal;
  }
}

struct PortionReply {
  union {
    portion :group {
      tokens @0 :UInt64;
      lifeMs @1 :UInt64;
    }
    emptyMs @2 :UInt64;
  }
}

struct VoteReply {
  union {
    granted @0 :UInt32;
    abstained @1 :Void;
    taken @2 :Text;
  }
}

struct Documents {
  settingsVersion @0 :UInt64;
  settings @1 :Text;
  listRevision @2 :UInt64;
  list @3 :Text;
  ageMs @4 :UInt64;
}

interface Scheduler {
  # What the engine could do for a request.
  offer @0 (place :Place) -> (reply :OfferReply);
  # Waits for a place on an engine; answers when it may start or is refused.
  acquire @1 (place :Place) -> (reply :PlaceReply);
  # Gives a place back, or leaves the queue.
  release @2 (engine :Text, attempt :Text) -> ();
  # All attempts that one entry streams from engines of this scheduler.
  renew @3 (entry :Text, boot :UInt64, places :List(Place)) -> ();
  # A portion of a customer's budget.
  draw @4 (customer :Text, rate :Float64, burst :UInt64, want :UInt64) -> (reply :PortionReply);
  # Who asked first for an idempotency key.
  vote @5 (key :Text, asker :Text) -> (reply :VoteReply);
  # Documents newer than those named; waits until there is one, or answers empty after a while.
  watch @6 (settingsVersion :UInt64, listRevision :UInt64, waitMs :UInt64) -> (documents :Documents);
  # State for operators, as JSON.
  status @7 () -> (json :Text);
}
