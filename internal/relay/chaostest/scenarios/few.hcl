title  = "Three relays share what they find out"
about  = "No limit is told. The others of a relay that is cut off, stopped or killed claim its part."
form   = "appliance"
relays = 3
slots  = 64
held   = 512

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
  for = "15s"
  expect {
    from      = "8s"
    delivered = 0.90
  }
}

phase "one-alone" {
  for = "8s"
  cut "alone" {}
  expect {
    from      = "2s"
    delivered = 0.85
  }
}

phase "healed" {
  for = "6s"
  expect {
    from      = "3s"
    delivered = 0.90
  }
}

phase "nobody" {
  for = "8s"
  cut "nobody" {}
  expect {
    from      = "2s"
    delivered = 0.85
  }
}

phase "healed-again" {
  for = "6s"
  expect {
    from      = "3s"
    delivered = 0.90
  }
}

phase "one-stands-still" {
  for = "6s"
  stop {
    relays     = 1
    steward_of = "pay"
    for        = "5s"
  }
  expect {
    from      = "2s"
    to        = "5s"
    delivered = 0.75
  }
}

phase "goes-on" {
  for = "6s"
  expect {
    from      = "2s"
    delivered = 0.90
  }
}

# Nowhere more than the limit, what hosts take at once after a rest, and a third of the limit.
expect { offered = 1.34 }
