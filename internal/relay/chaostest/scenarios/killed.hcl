title  = "A third of the relays is killed, the steward among them"
about  = "They start again with their folders, then the same with empty ones."
relays = 24
slots  = 64

partner "pay" {
  host "a" {
    rate = 100
    debt = 50
    wait = "500ms"
  }
  host "b" {
    rate = 100
    debt = 50
    wait = "500ms"
  }
  load "job-order" {
    rate   = 384
    within = "3s"
  }
}

phase "whole" {
  for = "10s"
}

phase "killed" {
  for = "8s"
  kill {
    relays     = 8
    steward_of = "pay"
    again      = "1500ms"
  }
  expect {
    from      = "3s"
    delivered = 0.90
  }
}

phase "killed-emptied" {
  for = "8s"
  kill {
    relays     = 8
    steward_of = "pay"
    again      = "1500ms"
    empty      = true
  }
  expect {
    from      = "3s"
    delivered = 0.90
  }
}

# Nowhere more than the limit, what hosts take at once after a rest, and a quarter of the limit.
expect { offered = 1.25 }
