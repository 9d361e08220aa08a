title  = "One relay takes ten times the mean"
about  = "A quarter of all messages come to one relay of 24, also while the fleet is cut in halves."
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
    hot    = 1
  }
}

phase "whole" {
  for = "10s"
}

phase "halves" {
  for = "8s"
  cut "sides" {}
  expect {
    from      = "1s"
    delivered = 0.80
  }
}

phase "healed" {
  for = "6s"
  expect {
    from      = "3s"
    delivered = 0.95
  }
}

# Nowhere more than the limit, what hosts take at once after a rest, and a quarter of the limit.
expect { offered = 1.25 }
