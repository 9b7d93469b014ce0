package sched

// entryList is an intrusive doubly linked list of entries in order of arrival.
// linksOf returns the links that an entry has for this list.
type entryList struct {
	first, last *entry
	linksOf     func(*entry) *links
}

func tierLinks(e *entry) *links { return &e.inTier }

func classLinks(e *entry) *links { return &e.inClass }

func (c *entryList) push(e *entry) {
	l := c.linksOf(e)
	l.prev, l.next = c.last, nil
	if c.last == nil {
		c.first = e
	} else {
		c.linksOf(c.last).next = e
	}
	c.last = e
}

func (c *entryList) pushFront(e *entry) {
	l := c.linksOf(e)
	l.prev, l.next = nil, c.first
	if c.first == nil {
		c.last = e
	} else {
		c.linksOf(c.first).prev = e
	}
	c.first = e
}

func (c *entryList) remove(e *entry) {
	l := c.linksOf(e)
	if l.prev == nil {
		c.first = l.next
	} else {
		c.linksOf(l.prev).next = l.next
	}
	if l.next == nil {
		c.last = l.prev
	} else {
		c.linksOf(l.next).prev = l.prev
	}
	l.prev, l.next = nil, nil
}
