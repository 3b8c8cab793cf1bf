package pimentohttp

// AwaitWritten waits until nothing of the request is being written any more. It is called
// after Do has returned.
func (x *Exchange) AwaitWritten() {
	if x.writeDone != nil {
		<-x.writeDone
	}
}

// AfterWritten calls f once nothing of the request is being written any more, at once if that is
// so already. It is called after Do has returned.
func (x *Exchange) AfterWritten(f func()) {
	if x.writeDone == nil {
		f()
		return
	}
	select {
	case <-x.writeDone:
		f()
	default:
		go func() {
			x.AwaitWritten()
			f()
		}()
	}
}
