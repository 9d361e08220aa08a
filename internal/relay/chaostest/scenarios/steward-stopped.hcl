title  = "A quarter of twenty-four relays stands still, the steward among them"
about  = "Six relays are stopped (SIGSTOP) for 10 s and go on without knowing it. One is the destination's steward; then the same without it."
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
  for = "12s"
}

phase "steward-stopped" {
  for = "10s"
  stop {
    relays     = 6
    steward_of = "pay"
  }
  expect {
    from      = "2s"
    delivered = 0.85
  }
}

phase "goes-on" {
  for = "10s"
  expect {
    from      = "2s"
    delivered = 0.95
  }
}

phase "others-stopped" {
  for = "10s"
  stop {
    relays           = 6
    spare_steward_of = "pay"
  }
  expect {
    from      = "1s"
    delivered = 0.85
  }
}

phase "go-on" {
  for = "10s"
  expect {
    from      = "2s"
    delivered = 0.95
  }
}

# Nowhere more than the limit, what hosts take at once after a rest, and a quarter of the limit.
expect { offered = 1.25 }
