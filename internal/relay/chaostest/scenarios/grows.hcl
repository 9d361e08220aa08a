title  = "A fleet grows from three to five relays and shrinks again"
about  = "One after another is restarted with another list, under load; a told limit holds throughout."
form   = "appliance"
relays = 5
listed = 3
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
    rate   = 300
    within = "3s"
  }
}

phase "three" {
  for = "5s"
  expect {
    from      = "3s"
    delivered = 0.45
  }
}

phase "grows" {
  for = "12s"
  grow { to = 5 }
  expect {
    from      = "1s"
    delivered = 0.25
  }
}

phase "five" {
  for = "5s"
  expect {
    from      = "2s"
    delivered = 0.31
  }
}

phase "shrinks" {
  for = "12s"
  grow { to = 3 }
  expect {
    from      = "1s"
    delivered = 0.25
  }
}

# What was said of five is forgotten 5 s after the last was heard.
phase "three-again" {
  for = "8s"
  expect {
    from      = "5s"
    delivered = 0.45
  }
}
