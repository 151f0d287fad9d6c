@0xb0a3f7e6c1d24985;

# What an instance tells its peers about itself, in one datagram.
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
}

# A request that the sender has placed.
struct Job {
  targetId @0 :Text;
  parts @1 :List(Part);
  promptTokens @2 :UInt32;
  outputTokens @3 :UInt32;
  maxGapMs @4 :UInt32;  # 0: any pause is on time.
  readingLeftMs @5 :Int32;  # Below 0: it is overdue for so long.
  endsInMs @6 :UInt32;
  isWriting @7 :Bool;
  lateInMs @8 :UInt32;  # 0: its first token is late, or there is none.
}

# What another target does for a request.
struct Part {
  targetId @0 :Text;
  reservedTokens @1 :UInt32;  # 0: it only reads.
}

# A target that crashed while it ran a request.
struct Death {
  fingerprint @0 :UInt64;
  targetId @1 :Text;
}

# A configuration as the platform's store holds it.
struct StoredConfiguration {
  revision @0 :UInt64;
  value @1 :Data;
}
