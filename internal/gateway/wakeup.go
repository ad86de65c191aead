package gateway

// wake wakes the loop that receives from the channel, which has a buffer of one. A loop that has been woken and has not
// begun yet is not woken again.
func wake(wakeup chan<- struct{}) {
	select {
	case wakeup <- struct{}{}:
	default:
	}
}
