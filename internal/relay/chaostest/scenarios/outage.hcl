title  = "A partner is out while the fleet is cut"
about  = "Both hosts go down in a cut and come back cold, one side first hears that they are well; 24 relays wait for them."
relays = 24
slots  = 64
rules { cold = "10s" }

partner "pay" {
  host "a" {
    rate = 100
    debt = 50
    wait = "500ms"
    cold = true
  }
  host "b" {
    rate = 100
    debt = 50
    wait = "500ms"
    cold = true
  }
  load "job-order" {
    rate   = 384
    within = "3s"
  }
}

phase "whole" {
  for = "10s"
}

phase "cut" {
  for = "10s"
  cut "sides" {}
  partner "pay" {
    at   = "2s"
    for  = "3s"
    down = true
  }
}

phase "healed" {
  for = "15s"
  expect {
    from      = "12s"
    delivered = 0.90
  }
}

# Nowhere more than the limit, what hosts take at once after a rest, and a quarter of the limit.
expect { offered = 1.25 }
