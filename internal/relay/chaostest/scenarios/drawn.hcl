title  = "Faults drawn by the seed"
about  = "Six times a fault or two at once, drawn by the seed, and calm after each. Play it with many seeds."
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
  for = "8s"
}

draw {
  phases = 6
  for    = "5s"
  calm   = "5s"
}

expect { delivered = 0.5 }

# Nowhere more than the limit, what hosts take at once after a rest, and a quarter of the limit.
expect { offered = 1.25 }
