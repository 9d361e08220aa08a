title  = "A fleet that is asked for little"
about  = "Two messages a second for each relay, hosts that take 40 a second together; then the steward stands still."
relays = 24
slots  = 64

partner "pay" {
  host "a" {
    rate = 20
    debt = 10
    wait = "500ms"
  }
  host "b" {
    rate = 20
    debt = 10
    wait = "500ms"
  }
  load "job-order" {
    rate   = 48
    within = "3s"
  }
}

phase "whole" {
  for = "20s"
  expect {
    from      = "10s"
    delivered = 0.90
  }
}

phase "steward-stopped" {
  for = "5s"
  stop {
    relays     = 1
    steward_of = "pay"
  }
  expect {
    from      = "2s"
    delivered = 0.80
  }
}

phase "goes-on" {
  for = "5s"
  expect {
    from      = "2s"
    delivered = 0.85
  }
}

# Nowhere more than the limit, what hosts take at once after a rest, and a quarter of the limit.
expect { offered = 1.25 }
