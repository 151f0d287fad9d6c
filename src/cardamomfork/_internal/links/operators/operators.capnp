# RPC for operators, served by each instance.
#
# The bootstrap interface of a connection is `Entrance`, which returns a
# `Session` for a valid operator's key. For compatibility, fields and methods
# are only added, never renumbered.

@0xcbf1b7a2d5c3e981;

enum Kind {
  service @0;
  account @1;
  drain @2;
  order @3;
}

struct Object {
  # A configuration object as stored.
  kind @0 :Kind;
  name @1 :Text;
  version @2 :UInt64;    # Store revision of its last change; 0 if absent.
  union {
    value @3 :Data;      # JSON.
    deleted @4 :Void;
  }
}

struct Change {
  # A requested change of one object.
  kind @0 :Kind;
  name @1 :Text;
  basedOn @2 :UInt64;    # Version it is based on; 0 if none.
  union {
    value @3 :Data;      # JSON.
    delete @4 :Void;
  }
}

struct Finding {
  # One fault in the input.
  source @0 :Text;       # `KIND/NAME`.
  path @1 :Text;         # JSON path within the object.
  line @2 :Int32;        # Counted from 1; 0 if not applicable.
  message @3 :Text;
}

struct Conflict {
  # A change rejected because it isn't based on the version in force.
  mine @0 :Change;
  theirs @1 :Object;
  inDoubt @2 :Bool;      # An answer was lost: `mine` may have been in force.
}

struct Unavailable {
  # A change that the store did not confirm.
  detail @0 :Text;
  indeterminate @1 :Bool;  # Whether it may have been written anyway.
  object @2 :Text;         # `KIND/NAME`.
}

struct ApplyAnswer {
  # All changes were accepted if the other lists are empty.
  accepted @0 :List(Object);         # Confirmed by the store, in write order.
  findings @1 :List(Finding);        # If there are any, nothing was written.
  conflicts @2 :List(Conflict);
  unavailable @3 :List(Unavailable);
  skipped @4 :UInt32;                # Number of changes not attempted.
}

struct InstanceStatus {
  # Configuration version of an instance, as last reported.
  instanceId @0 :Text;
  bootId @1 :Text;
  dataCentre @2 :Text;
  state @3 :Text;          # alive, suspect, leaving or dead.
  version @4 :UInt64;      # All changes up to it are in force.
  ageS @5 :Float64;        # Seconds since it was reported.
}

struct StatusReport {
  version @0 :UInt64;      # Version of the instance that answers.
  reached @1 :Bool;        # All instances that are not dead have it.
  instances @2 :List(InstanceStatus);
}

struct LoginAnswer {
  union {
    session @0 :Session;
    refused @1 :Text;
  }
}

interface Entrance {
  login @0 (key :Text) -> (answer :LoginAnswer);
}

interface Session {
  apply @0 (changes :List(Change), checkOnly :Bool) -> (answer :ApplyAnswer);
  # Checks the whole change set, then writes it one object at a time.

  get @1 (kind :Kind, name :Text) -> (found :List(Object));
  # Returns the object, or an empty list.

  list @2 (kinds :List(Kind)) -> (objects :List(Object), version :UInt64);
  # Returns all objects of these kinds; of all kinds if the list is empty.

  status @3 (waitVersion :UInt64, timeoutS :Float64) -> (report :StatusReport);
  # Returns once every live instance has the version, or after the timeout.

  dump @4 (tables :List(Text), maxRows :UInt32) -> (json :Data);
  # Returns the state dump; of all tables if the list is empty.
}
