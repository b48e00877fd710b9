package budget

// RelyOnNothing makes the window rely on no future calls, so that its bound is exact.
func (w *Window) RelyOnNothing() *Window {
	w.futureShare = 0
	return w
}
