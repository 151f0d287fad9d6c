@0xe1e8d276f2be096b;
# Calls between entry instances. What a section holds is its topic's own.

struct Instance {
  instanceId @0 :Text;
  bootId @1 :Text;
  dataCentre @2 :Text;
  host @3 :Text;
  port @4 :UInt16;
}

struct Section {
  topic @0 :UInt8;
  payload @1 :Data;
}

struct Envelope {
  sender @0 :Instance;
  sections @1 :List(Section);
}

interface PeerService {
  exchange @0 (envelope :Envelope) -> (answer :Envelope);
  # Takes the caller's news and answers with the callee's.

  probe @1 (subject :Instance) -> (reached :Bool);
  # Probes an instance that the caller does not reach.

  fetchPage @2 (request :Data) -> (page :Data);
  # Returns a part of the configuration's snapshot.

  ask @3 (question :UInt8, payload :Data) -> (answer :Data);
  # Answers a question of one of the parts; empty if it can't be given.
}
