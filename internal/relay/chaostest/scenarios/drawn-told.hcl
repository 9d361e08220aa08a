title  = "Faults drawn by the seed, a told limit, and operators that drain"
about  = "Five relays of their own. Six times a fault or two at once, and often a drain for the fleet. Play it with many seeds."
form   = "appliance"
relays = 5
slots  = 64
held   = 512

partner "pay" {
  limit {
    rate  = 100
    burst = 20
  }
  host "a" { rate = 150 }
  host "b" { rate = 150 }
  load "job-order" {
    rate   = 200
    within = "3s"
  }
  load "payment" {
    rate   = 20
    within = "3s"
  }
}

phase "whole" { for = "5s" }

draw {
  phases = 6
  for    = "5s"
  calm   = "5s"
}

expect { delivered = 0.2 }
