title  = "Links that come and go"
about  = "Two halves hear each other for 300 ms, do not for 300 ms, and so on; then nobody hears anybody by turns."
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

phase "halves-flap" {
  for = "10s"
  cut "sides" { flap = "300ms" }
  expect {
    from      = "1s"
    delivered = 0.85
  }
}

phase "healed" {
  for = "6s"
  expect {
    from      = "3s"
    delivered = 0.95
  }
}

phase "nobody-flaps" {
  for = "10s"
  cut "nobody" { flap = "300ms" }
  expect {
    from      = "1s"
    delivered = 0.60
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
