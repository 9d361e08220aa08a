title  = "Limits fall to a half while the fleet is cut"
about  = "Both hosts take half as much from the middle of a cut until 3 s after it has healed."
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

phase "halves" {
  for = "8s"
  cut "sides" {}
  partner "pay" {
    at     = "4s"
    for    = "7s"
    factor = 0.5
  }
}

phase "healed" {
  for = "10s"
  expect {
    from      = "7s"
    delivered = 0.90
  }
}

# Nowhere more than the limit, what hosts take at once after a rest, and a quarter of the limit.
expect { offered = 1.25 }
