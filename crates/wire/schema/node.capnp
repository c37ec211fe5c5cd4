@0xbce05aeac0587b7b;
# What the processes of one installation ask of each other.

enum Method {
  step @0;      # control to control: a message of the replicated log
  command @1;   # operator or entry to control: a command or a query
  renew @2;     # entry to control: heartbeat, lease, news of view and configuration
  claim @3;     # entry to entry: a claim of a request key, or its outcome
  ask @4;       # entry to entry: a place in a service's queue, or its release
  events @5;    # anyone to anyone: events of the time line
}

struct Reply {
  code @0 :UInt16;   # result code, 0 for success (docs/CODES.md)
  body @1 :Data;     # the method's answer, or the detail of a refusal as text
  stamp @2 :UInt64;  # the answerer's hybrid clock
}

interface Node {
  # The body is the method's question, encoded as docs/INTERFACES.md says; the stamp is the asker's
  # hybrid clock, so that events on both sides can be put in order.
  call @0 (method :Method, body :Data, stamp :UInt64) -> (reply :Reply);
}
