# Operator's file of a larchrouter that runs on its own: every setting, with its default where it has one.
# Check it with `larchrouter check deploy/appliance.hcl`; run it with `larchrouter run --config ...`.
# The smallest file has `listen` and one partner with one endpoint.

# Where clients connect. (needed)
listen = "127.0.0.1:8080"

# Folder that outlasts the process: journal, lock, control socket. Relative to this file's folder.
state = "larchrouter-state"

# An orderly stop (`larchrouter stop`, SIGTERM, SIGINT) delivers for no longer than this;
# what is left then is taken up by the next start. 1s to 1h.
stop_within = "10s"

limits {
  held        = 2000 # messages held at once; more are refused with 503
  slots       = 32   # calls out at once
  attempts    = 6    # for one message
  descriptors = 1024 # half for clients, 16 kept back, the rest for partners' connections: at least 2 * (slots + 16)
  memory_mb   = 256  # bodies held may take an eighth
  disk_mb     = 256  # the journal, of which about half may be messages and ends
  cores       = 0    # 0 for all
}

# How messages ended can be asked for, until there are too many or they are too old.
ends {
  keep = 10000
  for  = "24h"
}

# What is recorded before a message is taken on (202) and before each attempt outlasts the end of the process, or a
# loss of power too. "power" waits for the disk: messages that come together share one wait. See docs/operate/journal.md.
journal {
  durability = "process"
}

# The socket that the command line and the console use: mode 0600, relative to `state`.
control {
  enabled = true
  socket  = "control.sock"
}

# Figures of the rule on partners that return from an outage: one that comes back at cold_from of its
# capacity and is warm after cold is sent at most overload_factor times what it can take, over fall.
rules {
  overload_factor = 2
  fall            = "2s"
  cold_from       = 0.22
  cold            = "13s"
}

# Classes of messages. With none in the file, these three hold; with one, only those in the file.
class "job-order" {
  effect     = "keyed" # partners drop repeats of a key for the window
  window     = "15s"
  same_zone  = true # but only endpoints in the zone of the first attempt
  aim        = "2s" # delivered by then, it earns all its worth
  deadline   = "16s"
  worth      = 1
  late_share = 0.3 # what is left of the worth at the deadline
}

class "status-update" {
  effect     = "safe" # a repeat does no harm
  aim        = "3s"
  deadline   = "24s"
  worth      = 2
  late_share = 0.5
}

class "payment" {
  effect     = "unsafe" # a repeat must never happen
  aim        = "4s"
  deadline   = "20s"
  worth      = 5
  late_share = 0.3
}

# Places that endpoints are in. With none here, the endpoints' own are taken, at no fee.
zone "taller" {}

zone "oficinas" {
  fee = 0.05 # of a message's worth, for each attempt that goes there
}

# Kinds of partners, beside the built-in "separate" (each endpoint has limits of its own; the default)
# and "shared" (the endpoints share them).
kind "marketplace" {
  separate_limits = true
  per_call        = 5 # messages that one call carries at most
}

# The relays that share limits, and heed drains that an operator says for all (`larchrouter drain --fleet`). Every relay has the
# same block, but for `name` and `listen`. Addresses must be on loopback or in a private network: notes carry no keys.
# Left out, the relay shares nothing. See docs/operate/fleet.md.
fleet {
  name   = "norte"          # which of them this one is (needed)
  listen = "127.0.0.1:7946" # where it hears the others; its address below, if left out

  relay "norte" {
    address = "127.0.0.1:7946"
    weight  = 1
  }
  # relay "sur" {
  #   address = "10.0.0.2:7946"
  #   weight  = 2 # parts that it has of each limit, 1 to 100: more for one with more to do
  # }
}

partner "pay" {
  classes = ["payment"] # all, if left out

  # What it takes by contract, from all relays of the fleet together. Left out, relays find out what it takes.
  limit {
    rate    = 50 # calls a second (needed)
    burst   = 12 # calls at once after a rest; a quarter of the rate, at least 1, if left out
    at_once = 16 # calls under way; any number, if left out
  }

  endpoint "pay-1" {
    address = "127.0.0.1:9001"
    zone    = "oficinas"
  }
  endpoint "pay-2" {
    address = "127.0.0.1:9002"
    zone    = "taller"
  }
}

partner "courier" {
  kind    = "marketplace"
  classes = ["job-order", "status-update"]
  endpoint "courier-1" {
    address = "127.0.0.1:9003"
  }
}
