package sched

// chain is a doubly linked list of entries in order of arrival. The links live
// in the entries, at the place that of returns.
type chain struct {
	first, last *entry
	of          func(*entry) *links
}

func tierLinks(e *entry) *links { return &e.inTier }

func classLinks(e *entry) *links { return &e.inClass }

func (c *chain) push(e *entry) {
	l := c.of(e)
	l.prev, l.next = c.last, nil
	if c.last == nil {
		c.first = e
	} else {
		c.of(c.last).next = e
	}
	c.last = e
}

func (c *chain) pushFront(e *entry) {
	l := c.of(e)
	l.prev, l.next = nil, c.first
	if c.first == nil {
		c.last = e
	} else {
		c.of(c.first).prev = e
	}
	c.first = e
}

func (c *chain) remove(e *entry) {
	l := c.of(e)
	if l.prev == nil {
		c.first = l.next
	} else {
		c.of(l.prev).next = l.next
	}
	if l.next == nil {
		c.last = l.prev
	} else {
		c.of(l.next).prev = l.prev
	}
	l.prev, l.next = nil, nil
}
