# What operators can ask of an instance.
#
# A connection begins with `Entrance`, which gives a `Session` for an
# operator's key. Fields and methods are only ever added, never renumbered.

@0xcbf1b7a2d5c3e981;

enum Kind {
  service @0;
  account @1;
  drain @2;
  order @3;
}

struct Object {
  # A configuration object as the store holds it.
  kind @0 :Kind;
  name @1 :Text;
  version @2 :UInt64;    # Store revision of its last change; 0 if absent.
  union {
    value @3 :Data;      # JSON.
    deleted @4 :Void;
  }
}

struct Change {
  # A wish to change one object.
  kind @0 :Kind;
  name @1 :Text;
  basedOn @2 :UInt64;    # Version that the operator saw; 0 if none.
  union {
    value @3 :Data;      # JSON.
    delete @4 :Void;
  }
}

struct Finding {
  # One thing wrong with the input.
  source @0 :Text;       # `KIND/NAME`.
  path @1 :Text;         # JSON path within the object.
  line @2 :Int32;        # From 1; 0 if lines mean nothing.
  message @3 :Text;
}

struct Conflict {
  # Another operator's change came first.
  mine @0 :Change;
  theirs @1 :Object;
  inDoubt @2 :Bool;      # An answer was lost: mine may have been in force.
}

struct Unavailable {
  # The store gave no answer.
  detail @0 :Text;
  indeterminate @1 :Bool;  # Whether the change may still have been written.
  object @2 :Text;         # `KIND/NAME`.
}

struct ApplyAnswer {
  # All were accepted if the other lists are empty.
  accepted @0 :List(Object);         # Confirmed by the store, in this order.
  findings @1 :List(Finding);        # If there are any, nothing was written.
  conflicts @2 :List(Conflict);
  unavailable @3 :List(Unavailable);
  skipped @4 :UInt32;                # Changes after these, not tried.
}

struct InstanceStatus {
  # What an instance has applied, as far as this one has heard.
  instanceId @0 :Text;
  bootId @1 :Text;
  dataCentre @2 :Text;
  state @3 :Text;          # alive, suspect, leaving or dead.
  version @4 :UInt64;      # Every change up to it is in force there.
  ageS @5 :Float64;        # Seconds since it was heard.
}

struct StatusReport {
  version @0 :UInt64;      # Of the instance that answers.
  reached @1 :Bool;        # Whether all that are not dead have the version.
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
  # Checks the whole change set, then writes it object by object.

  get @1 (kind :Kind, name :Text) -> (found :List(Object));
  # Gives the object, or nothing.

  list @2 (kinds :List(Kind)) -> (objects :List(Object), version :UInt64);
  # Gives all objects of these kinds; of all kinds if none is named.

  status @3 (waitVersion :UInt64, timeoutS :Float64) -> (report :StatusReport);
  # Answers once every instance has the version, or after the timeout.

  dump @4 (tables :List(Text), maxRows :UInt32) -> (json :Data);
  # Gives the state dump; of all tables if none is named.
}
