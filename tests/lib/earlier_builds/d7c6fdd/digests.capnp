@0xb0a3f7e6c1d24985;

# State of an instance that it sends to its peers, in one datagram.
struct Digest {
  instanceId @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt32;
  host @3 :Text;
  port @4 :UInt16;
  configurationRevision @5 :UInt64;
  isLeaving @6 :Bool;
  jobs @7 :List(Job);
  deaths @8 :List(Death);
  dataCentre @9 :Text;
  targetsRevision @10 :UInt64;
  configurationVersion @11 :Int64 = -1;
  rateLimits @12 :List(RateLimit);
  reachesTargets @13 :Bool;  # Whether peers may send requests over the sender.
  openRequests @14 :UInt32;
  exchangesChanges @15 :Bool;  # Whether it reads `ChangeUpdate` datagrams.
  reachesStore @16 :Bool;  # Whether the store answers the sender.
  evacuations @17 :List(Evacuation);
  coldTargets @18 :List(ColdTarget);
  waiting @19 :List(WaitingClass);  # Queued requests, at most 64 classes.
}

# The newest known order to evacuate a data centre, or the end of one.
struct Evacuation {
  dataCentre @0 :Text;
  revision @1 :UInt64;  # Of the store, including its era.
  isActive @2 :Bool;
}

# Requests of one service that wait at the sender. Requests of accounts that
# use more than their share aren't counted: they take what these leave.
struct WaitingClass {
  service @0 :Text;
  isLong @1 :Bool;
  count @2 :UInt16;
  prefillMs @3 :UInt32;  # Sum of their prefill times on one idle engine.
}

# A request that the sender has placed on a target.
struct Job {
  targetId @0 :Text;
  parts @1 :List(Part);
  promptTokens @2 :UInt32;
  outputTokens @3 :UInt32;
  maxGapMs @4 :UInt32;  # 0: no limit on the gap between tokens.
  readingLeftMs @5 :Int32;  # Below 0: time by which it is overdue.
  endsInMs @6 :UInt32;
  isWriting @7 :Bool;
  lateInMs @8 :UInt32;  # 0: the first token is late, or none is expected.
  accountId @9 :UInt64;  # Fingerprint of the client account. 0: unknown.
}

# A part of a request that another target runs.
struct Part {
  targetId @0 :Text;
  reservedTokens @1 :UInt32;  # 0: the target only reads the prompt.
}

# A target that crashed while it ran a request.
struct Death {
  fingerprint @0 :UInt64;
  targetId @1 :Text;
  startedAtMs @2 :Int64;
  isRefuted @3 :Bool;
}

# A limit that a target has named on the rate of requests of all instances.
struct RateLimit {
  targetId @0 :Text;
  startedAtMs @1 :Int64;
  requestsPerS @2 :Float64;
  ageMs @3 :UInt32;  # Time since the answer that named it, or its end.
  hasEnded @4 :Bool;
}

# What a target has stated in an answer about the time for which it is cold.
struct ColdTarget {
  targetId @0 :Text;
  startedAtMs @1 :Int64;
  remainingMs @2 :UInt32;  # From the time of the answer; 0: it is not cold.
  ageMs @3 :UInt32;  # Time since the answer.
}

# Asks for a permit to send one request to a target.
struct PermitRequest {
  number @0 :UInt64;
  targetId @1 :Text;
  startedAtMs @2 :Int64;
  ratePerS @3 :Float64;
  maxWaitS @4 :Float64;
}

# The decision about a permit, sent to the address that asked for it.
struct PermitDecision {
  number @0 :UInt64;
  isGranted @1 :Bool;
  waitS @2 :Float64;
}

# All changes of targets' entries in the store within a range of revisions. Only
# for peers whose digests say `exchangesChanges`. Compressed by zlib.
struct ChangeUpdate {
  baseRevision @0 :UInt64;  # The range begins after it.
  revision @1 :UInt64;
  changes @2 :List(EntryChange);
}

# The newest change of a key.
struct EntryChange {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
  isRemoved @3 :Bool;
  mayReturn @4 :Bool;  # Whether a removed key may have lapsed in an outage.
}

# A configuration as it is kept in the platform's store.
struct StoredConfiguration {
  revision @0 :UInt64;
  value @1 :Data;
  evacuations @2 :List(Evacuation);
  knowsEvacuations @3 :Bool;  # Whether the sender has read all of them.
}
