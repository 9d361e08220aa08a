title  = "One relay is cut off, then a quarter of them"
about  = "The others must not notice; those that are alone go on with what is theirs."
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

phase "one-alone" {
  for = "8s"
  cut "alone" {}
  expect {
    from      = "1s"
    delivered = 0.90
  }
}

phase "healed" {
  for = "6s"
  expect {
    from      = "3s"
    delivered = 0.95
  }
}

phase "quarter-alone" {
  for = "8s"
  cut "alone" { number = 6 }
  expect {
    from      = "1s"
    delivered = 0.80
  }
}

phase "healed-again" {
  for = "6s"
  expect {
    from      = "3s"
    delivered = 0.95
  }
}

# Nowhere more than the limit, what hosts take at once after a rest, and a quarter of the limit.
expect { offered = 1.25 }
