package console

// helpLines returns the help of a screen.
func helpLines(s screen) []string {
	all := []string{boldStyle.Render("Everywhere"),
		"  1 2 3 4, tab   overview, partners, messages, fleet",
		"  D, U           drain the relay: it takes nothing on and delivers what it holds; undrain it",
		"  S              stop it in order; its next start takes up what is left",
		"  r, esc, q      ask again; back, or clear the line below; quit (the relay goes on)", ""}
	switch s {
	case partners:
		return append(all, boldStyle.Render("Partners"),
			"  A line for each partner, with what waits for it, and below it its endpoints.",
			"  healthy        as the relay's decisions see it: messages go there",
			"  suspect        it failed or stayed silent: single trials only",
			"  recovering     it is back, and gets only what a cold one can take",
			"  d, u           drain or undrain what is chosen: nothing new goes there, calls out are finished",
			"  enter          the messages for it")
	case fleet:
		return append(all, boldStyle.Render("Fleet"),
			"  there          some chain of links joins that relay to this one",
			"  part           what this relay has of a partner's limit, and to whom it is pledged now",
			"  grants here    what others have pledged to this relay: it grants calls on that",
			"  words          what was said for all relays: drain --fleet, fleet gone; and who has not heeded it yet")
	case messages, detail:
		return append(all, boldStyle.Render("Messages"),
			"  waiting        held, no call is out with it",
			"  out            a call with it is out",
			"  delivered      a partner said so",
			"  refused        it never ran, or may be repeated: handing it in again does no harm",
			"  failed         it may have run: nothing is promised",
			"  /              filter, such as: partner=pay state=waiting older=5s, or an id's beginning",
			"  e, s           held or ended; sort (the last two orders are of the page that is shown)",
			"  enter          one message with all its attempts")
	}
	return append(all, boldStyle.Render("Overview"),
		"  The lines draw the last minute, a mark a second, each as high as its share of the largest.",
		"  held           messages taken on that have not ended; oldest: how long one has been held",
		"  calls out      of the slots that the operator's file gives")
}
