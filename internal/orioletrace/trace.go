package orioletrace

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/internal/oriolerouter/oriolelog"
	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// ErrRequestNotFound is returned if no line has the request's ID.
var ErrRequestNotFound = errors.New("no log line has this request ID")

// relatedWindow is how long before and after a request related lines are included.
// A failed upstream leaves the directory only after it has missed several
// heartbeats, and a change of owner that waits for a lease to expire takes up to
// 7 s.
const relatedWindow = 8 * time.Second

// Trace is the history of one request.
type Trace struct {
	ID string
	// Lines holds the request's lines in causal order.
	Lines []Line
	// Related holds lines from around the same time, in causal order: those about
	// the request's upstreams and dispatchers, and those about events that affect
	// all requests, such as a change of the configuration.
	Related []Line
	// Cause explains the request's outcome.
	Cause string
}

// Explain returns the history of the request, or [ErrRequestNotFound].
func Explain(lines []Line, id string) (trace Trace, err error) {
	trace.ID = id
	for _, l := range lines {
		if l.ID == id {
			trace.Lines = append(trace.Lines, l)
		}
	}
	if len(trace.Lines) == 0 {
		return trace, errors.Wrap(ErrRequestNotFound, id)
	}
	Sort(trace.Lines)
	trace.Related = relatedLines(lines, trace.Lines)
	trace.Cause = explainOutcome(trace.Lines, trace.Related)
	return trace, nil
}

// relatedLines returns the lines without a request ID that were logged within
// relatedWindow of the request's lines and are about an upstream that these name,
// the life cycle of a dispatcher that they name, or an event that affects all
// requests.
func relatedLines(all, lines []Line) []Line {
	first, last := lines[0].Time, lines[0].Time
	upstreams := make(map[string]bool)
	dispatcherVMs := make(map[string]bool)
	for _, l := range lines {
		if l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
		upstreams[upstreamOf(l)] = true
		dispatcherVMs[oriole.GatewayID(l.Fields["keeper"]).VM()] = true
	}
	delete(upstreams, "")
	var found []Line
	for _, l := range all {
		if l.ID != "" || l.Time.Before(first.Add(-relatedWindow)) || l.Time.After(last.Add(relatedWindow)) {
			continue
		}
		switch {
		case upstreams[l.Fields["upstream"]], dispatcherVMs[l.VM] && isLifecycle(l.Message), isGlobal(l.Message):
			found = append(found, l)
		}
	}
	Sort(found)
	return found
}

// upstreamOf returns the upstream that a line names, either in its upstream field
// or as the last part of its pool.
func upstreamOf(l Line) string {
	if u := l.Fields["upstream"]; u != "" {
		return u
	}
	pool := l.Fields["pool"]
	return pool[strings.LastIndexByte(pool, '/')+1:]
}

// isLifecycle reports whether the message is about the start, end or reachability
// of a gateway.
func isLifecycle(message string) bool {
	return slices.Contains([]string{
		oriolelog.MessageStarted, oriolelog.MessageDraining, oriolelog.MessageStopped,
		oriolelog.MessagePeerLost, oriolelog.MessagePeerHeard, oriolelog.MessageLinkEnded, oriolelog.MessageLinkReplaced, oriolelog.MessagePeerUnresponsive,
		oriolelog.MessageLeaderClaimed, oriolelog.MessageLeaderUnheard,
	}, message)
}

// isGlobal reports whether the message is about an event that affects all
// requests.
func isGlobal(message string) bool {
	return slices.Contains([]string{
		oriolelog.MessageConfigApplied, oriolelog.MessageZoneChanged, oriolelog.MessageDirectoryLost, oriolelog.MessageDirectoryRegained, oriolelog.MessageDirectoryRestored,
		oriolelog.MessageLeaderElected, oriolelog.MessageStepDown,
	}, message)
}

// explainOutcome returns the cause of the request's outcome. It reads the outcome
// from the last line that holds it or else from the request's last line.
func explainOutcome(lines, related []Line) string {
	end := lines[len(lines)-1]
	for _, l := range slices.Backward(lines) {
		if slices.Contains([]string{oriolelog.MessageRequestEnded, oriolelog.MessageAttemptFailed, oriolelog.MessageRejected}, l.Message) {
			end = l
			break
		}
	}
	if end.Message == oriolelog.MessageRejected {
		return explainRejection(related, end)
	}
	if cause := explainConfigChange(lines); cause != "" {
		return cause
	}
	reason := end.Fields["reason"]
	switch reason {
	case oriole.ReasonQueueFull.String(), oriole.ReasonDeadline.String():
		return explainOverload(lines, end)
	case oriole.ReasonConnection.String():
		return explainConnectionLoss(lines, related, end)
	case oriole.ReasonNoOwner.String(), oriole.ReasonMoved.String(), oriole.ReasonFenced.String():
		return explainNoOwner(lines, related)
	case oriole.ReasonNotDispatcher.String():
		return "dispatcher " + end.Fields["keeper"] + " could not be reached" + describeEvents(related, isLifecycle)
	case oriole.ReasonUnreachable.String():
		return "no gateway that was asked could connect to upstream " + upstreamOf(end) + "; the request has not run"
	case oriole.ReasonKeyReused.String():
		return "the caller has used the idempotency key for a request with another body; this one was rejected and has not run"
	case oriole.ReasonPaused.String():
		return "upstream " + upstreamOf(end) + " had asked to be left alone, and the request could not wait for the end of that time; it has not run, and the caller was asked to retry after " +
			end.Fields["retry"] + describeEvents(related, func(message string) bool { return message == oriolelog.MessageUpstreamPaused })
	case oriole.ReasonShed.String():
		return "upstream " + upstreamOf(end) + " rejected the request because it was at capacity; the request has not run"
	case oriole.ReasonBadResponse.String():
		return "upstream " + upstreamOf(end) + " sent a response that is incomplete, not valid HTTP, or belongs to another request"
	case oriole.ReasonCrash.String():
		return "requests with the same content have crashed three upstreams; the request was rejected and has not run"
	case oriole.ReasonDraining.String():
		return drainingCause
	case oriole.ReasonUnauthorized.String():
		return "the request's API key was revoked while the request was queued; it has not run" +
			describeEvents(related, func(message string) bool { return message == oriolelog.MessageConfigApplied })
	case oriole.ReasonCancelled.String():
		return "the caller disconnected"
	}
	if end.Fields["outcome"] == oriole.OutcomeAnswered.String() {
		return explainLatency(lines, end)
	}
	return "the log lines above do not show the cause"
}

// drainingCause is the cause of an outcome with oriole.ReasonDraining.
const drainingCause = "the gateway was being stopped, and the request could have outlasted it; it was not passed on"

// statusNotFound is the status of a request that matches no route.
const statusNotFound = "404"

func explainRejection(related []Line, end Line) string {
	if end.Fields["config"] == "" {
		return "the gateway had not loaded a configuration yet; the request has not run"
	}
	switch end.Fields["reason"] {
	case oriole.ReasonDraining.String():
		return drainingCause
	case oriole.ReasonOverLimit.String():
		return "the workspace of the request's API key has used up its rate limit; the request has not run"
	case oriole.ReasonStaleConfig.String():
		return "the gateway's configuration was too old to tell whether the request's API key is still valid; the request has not run"
	}
	cause := fmt.Sprintf("rejected with status %s under version %s of the configuration", end.Fields["status"], end.Fields["config"])
	if end.Fields["reason"] == oriole.ReasonUnauthorized.String() {
		cause = fmt.Sprintf("the request has no API key of a workspace of version %s of the configuration; that version had been in force on %s for %s",
			end.Fields["config"], end.VM, end.Fields["configage"])
	}
	if end.Fields["status"] == statusNotFound {
		cause = fmt.Sprintf("no route of version %s of the configuration matches host %s and path %s; that version had been in force on %s for %s",
			end.Fields["config"], end.Fields["host"], end.Fields["path"], end.VM, end.Fields["configage"])
	}
	return cause + describeEvents(related, func(message string) bool { return message == oriolelog.MessageConfigApplied })
}

func explainOverload(lines []Line, end Line) string {
	for _, l := range slices.Backward(lines) {
		if l.Message != oriolelog.MessagePoolFailed {
			continue
		}
		if l.Fields["outcome"] == oriole.OutcomeUnknown.String() {
			return fmt.Sprintf("upstream %s had not answered by the deadline; the request may have run", upstreamOf(l))
		}
		return fmt.Sprintf("overload: %s requests waited for %s at %s, the expected wait was %s, and %s remained until the deadline; the request has not run, and the caller was asked to retry after %s",
			l.Fields["waiting"], l.Fields["pool"], l.VM, l.Fields["wait"], l.Fields["left"], end.Fields["retry"])
	}
	return "the deadline passed before a dispatcher answered"
}

func explainConnectionLoss(lines, related []Line, end Line) string {
	upstream := upstreamOf(end)
	for _, l := range slices.Backward(lines) {
		if u := l.Fields["upstream"]; u != "" {
			upstream = u
			break
		}
	}
	ran := "the request may have run"
	if end.Fields["outcome"] == oriole.OutcomeNotRun.String() {
		ran = "the request has not run"
	}
	for _, l := range related {
		if l.Fields["upstream"] == upstream && (l.Message == oriolelog.MessageUpstreamGone || l.Message == oriolelog.MessageUpstreamEnded || l.Message == oriolelog.MessageUpstreamDown) {
			return fmt.Sprintf("upstream %s failed while it had the request (%q at %s on %s); %s", upstream, l.Message, l.Time.Format(time.TimeOnly), l.VM, ran)
		}
	}
	return fmt.Sprintf("the connection to upstream %s failed, but no gateway logged a failure of the upstream; %s", upstream, ran)
}

// lastWithMessage returns the last line with the message, or a zero Line.
func lastWithMessage(lines []Line, message string) Line {
	for _, l := range slices.Backward(lines) {
		if l.Message == message {
			return l
		}
	}
	return Line{}
}

func explainNoOwner(lines, related []Line) string {
	attempt := lastWithMessage(lines, oriolelog.MessageAttemptFailed)
	cause := fmt.Sprintf("shard key %s had no owner able to serve it after %s attempts, by version %s of the assignment in term %s, %s old",
		attempt.Fields["point"], attempt.Fields["try"], attempt.Fields["table"], attempt.Fields["term"], attempt.Fields["tableage"])
	return cause + describeEvents(related, func(message string) bool {
		return slices.Contains([]string{
			oriolelog.MessageLeaderElected, oriolelog.MessageStepDown, oriolelog.MessageUpstreamDown, oriolelog.MessageUpstreamEnded,
			oriolelog.MessageDirectoryLost, oriolelog.MessageUpstreamGone, oriolelog.MessageUpstreamLeaving,
		}, message)
	})
}

// explainConfigChange returns the cause if the request's attempts used different
// versions of the configuration, or an empty string.
func explainConfigChange(lines []Line) string {
	versions := make(map[string]bool)
	for _, l := range lines {
		if v := l.Fields["config"]; v != "" {
			versions[v] = true
		}
	}
	if len(versions) < 2 {
		return ""
	}
	return fmt.Sprintf("the configuration changed during the request: its attempts used %d versions", len(versions))
}

func explainLatency(lines []Line, end Line) string {
	duration := end.Duration("took")
	for _, l := range lines {
		if l.Message == oriolelog.MessagePoolFailed {
			return fmt.Sprintf("answered after %s; at %s %s requests waited for %s", duration, l.VM, l.Fields["waiting"], l.Fields["pool"])
		}
	}
	return fmt.Sprintf("answered after %s", duration)
}

// describeEvents returns text that lists the distinct events whose messages match,
// each with the first gateway that logged it and the number of others. It is empty
// if there are none.
func describeEvents(related []Line, matches func(message string) bool) string {
	var events []string
	gateways := make(map[string][]string)
	for _, l := range related {
		if !matches(l.Message) {
			continue
		}
		event := l.Message
		for _, name := range []string{"upstream", "feed", "version"} {
			if value := l.Fields[name]; value != "" {
				event += " (" + name + " " + value + ")"
			}
		}
		if !slices.Contains(events, event) {
			events = append(events, event)
		}
		if !slices.Contains(gateways[event], l.VM) {
			gateways[event] = append(gateways[event], l.VM)
		}
	}
	for i, event := range events {
		events[i] += " on " + gateways[event][0]
		if others := len(gateways[event]) - 1; others > 0 {
			events[i] += fmt.Sprintf(" and %d others", others)
		}
	}
	if len(events) == 0 {
		return ""
	}
	return "; at that time: " + strings.Join(events, ", ")
}

// RequestSummary summarizes a finished request.
type RequestSummary struct {
	ID       string
	Outcome  string
	Reason   string
	Duration time.Duration
}

// Failed returns the requests that were not answered, in the order of the lines.
func Failed(lines []Line) []RequestSummary {
	return summarize(lines, func(l Line) bool { return l.Fields["outcome"] != oriole.OutcomeAnswered.String() })
}

// Slow returns the requests that were answered, slowest first.
func Slow(lines []Line) []RequestSummary {
	found := summarize(lines, func(l Line) bool { return l.Fields["outcome"] == oriole.OutcomeAnswered.String() })
	slices.SortStableFunc(found, func(a, b RequestSummary) int { return int(b.Duration - a.Duration) })
	return found
}

func summarize(lines []Line, matches func(Line) bool) (found []RequestSummary) {
	for _, l := range lines {
		if (l.Message == oriolelog.MessageRequestEnded || l.Message == oriolelog.MessageRejected) && matches(l) {
			found = append(found, RequestSummary{l.ID, l.Fields["outcome"], l.Fields["reason"], l.Duration("took")})
		}
	}
	return found
}
