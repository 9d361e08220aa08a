title  = "Cuts of twenty-four relays that share what a destination takes"
about  = "Two hosts that take 100 calls a second each, 384 messages a second handed in at 24 relays: the fleet is cut in halves, thirds and sixths, one-way, and so that nobody hears anybody."
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
  for = "15s"
  expect {
    from      = "5s"
    delivered = 0.95
  }
}

phase "halves" {
  for = "8s"
  cut "sides" { number = 2 }
  expect {
    from      = "1s"
    delivered = 0.90
  }
}

phase "healed-halves" {
  for = "6s"
  expect {
    from      = "3s"
    delivered = 0.95
  }
}

phase "thirds" {
  for = "8s"
  cut "sides" { number = 3 }
  expect {
    from      = "1s"
    delivered = 0.85
  }
}

phase "healed-thirds" {
  for = "6s"
  expect {
    from      = "3s"
    delivered = 0.95
  }
}

phase "sixths" {
  for = "8s"
  cut "sides" { number = 6 }
  expect {
    from      = "1s"
    delivered = 0.80
  }
}

phase "healed-sixths" {
  for = "6s"
  expect {
    from      = "3s"
    delivered = 0.95
  }
}

phase "one-way" {
  for = "8s"
  cut "sides" {
    number  = 2
    one_way = true
  }
  expect {
    from      = "1s"
    delivered = 0.90
  }
}

phase "nobody" {
  for = "8s"
  cut "nobody" {}
  expect {
    from      = "1s"
    delivered = 0.70
  }
}

phase "healed-nobody" {
  for = "6s"
  expect {
    from      = "3s"
    delivered = 0.95
  }
}

# Nowhere more than the limit, what hosts take at once after a rest, and a quarter of the limit.
expect { offered = 1.25 }
