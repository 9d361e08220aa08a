title  = "Notes that are lost, doubled, late and out of order"
about  = "Three in ten notes are lost, then doubled, then a fifth of them come 2 s late."
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

phase "lost" {
  for = "10s"
  links { lose = 0.3 }
  expect {
    from      = "1s"
    delivered = 0.85
  }
}

phase "doubled" {
  for = "8s"
  links { double = 0.5 }
  expect {
    from      = "1s"
    delivered = 0.90
  }
}

phase "late" {
  for = "8s"
  links {
    reorder = 0.2
    late    = "2s"
    jitter  = "30ms"
  }
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
