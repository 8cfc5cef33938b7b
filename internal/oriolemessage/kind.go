package oriolemessage

// Kind returns the label of the frame in traffic counters. All messages about
// assignments share the label "table" and those about tokens the label "tokens", and messages without their own label count
// as "other".
func (f *Frame) Kind() string {
	switch {
	case f.Request != nil:
		return "ask"
	case f.Part != nil:
		return "part"
	case f.Response != nil:
		return "reply"
	case f.Cancel != nil:
		return "cancel"
	case f.Heartbeat != nil:
		return "pulse"
	case f.Assignment != nil, f.Patch != nil, f.AssignmentRequest != nil:
		return "table"
	case f.Feed != nil:
		return "feed"
	case f.Load != nil:
		return "load"
	case f.TokenRequest != nil, f.TokenGrant != nil:
		return "tokens"
	}
	return "other"
}
