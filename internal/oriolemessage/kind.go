package oriolemessage

// Kind returns the label of the frame in traffic counters. All messages about
// assignments share the label "table", and messages without their own label count
// as "other".
func (f *Frame) Kind() string {
	switch {
	case f.Ask != nil:
		return "ask"
	case f.Part != nil:
		return "part"
	case f.Reply != nil:
		return "reply"
	case f.Cancel != nil:
		return "cancel"
	case f.Pulse != nil:
		return "pulse"
	case f.Table != nil, f.Patch != nil, f.Want != nil:
		return "table"
	case f.Feed != nil:
		return "feed"
	case f.Load != nil:
		return "load"
	}
	return "other"
}
