@0xe1e8d276f2be096b;
# RPC between entry instances. The payload format of a section depends on its
# topic.

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
  # Delivers the caller's gossip and returns the callee's.

  probe @1 (subject :Instance) -> (reached :Bool);
  # Probes an instance that the caller can't reach.

  fetchPage @2 (request :Data) -> (page :Data);
  # Returns one page of the configuration snapshot.

  ask @3 (question :UInt8, payload :Data) -> (answer :Data);
  # Answers a peer request; the answer is empty if the callee has none.
}
