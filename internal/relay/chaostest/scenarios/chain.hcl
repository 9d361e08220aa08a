title  = "Each relay hears only its neighbours"
about  = "Who is steward of whom, when each of 24 relays hears the one before it and the one after it?"
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

phase "chain" {
  for = "10s"
  cut "chain" {}
  expect {
    from      = "2s"
    delivered = 0.70
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
