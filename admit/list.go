package admit

// list is a FIFO queue as a doubly linked list, from which a call can be removed at any position.
type list struct {
	first, last *Call
	length      int
}

func (l *list) push(call *Call) {
	call.queue = l
	call.prev = l.last
	call.next = nil
	if l.last == nil {
		l.first = call
	} else {
		l.last.next = call
	}
	l.last = call
	l.length++
}

func (l *list) remove(call *Call) {
	if call.prev == nil {
		l.first = call.next
	} else {
		call.prev.next = call.next
	}
	if call.next == nil {
		l.last = call.prev
	} else {
		call.next.prev = call.prev
	}
	call.prev, call.next, call.queue = nil, nil, nil
	l.length--
}
