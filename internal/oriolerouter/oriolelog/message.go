package oriolelog

import "github.com/cespare/xxhash/v2"

// Field names common to several log lines.
const (
	// FieldClock is a logical (Lamport) timestamp: a line caused by another one
	// has a higher timestamp.
	FieldClock = "clock"
	// FieldVM is the VM of the gateway that wrote the line.
	FieldVM = "vm"
	// FieldRequestID is the request ID that the caller sent.
	FieldRequestID = "id"
)

// Messages of log lines about a single request, which carry its ID.
const (
	// MessageRouted gives the pool and the dispatcher that a request is sent to.
	// This and the next two messages are logged for a sample of the requests.
	MessageRouted = "routed"
	// MessageQueued says that the dispatcher queued the request.
	MessageQueued = "queued"
	// MessageSent says that the dispatcher sends the request to an upstream.
	MessageSent = "sent"
	// MessageAttemptFailed reports an attempt that got no response.
	MessageAttemptFailed = "try not answered"
	// MessagePoolFailed is the dispatcher's report of a request that got no
	// response, with the reason.
	MessagePoolFailed = "not answered by the pool"
	// MessageRejected says that the gateway that received a request rejected it
	// without forwarding it: the request is malformed, matches no route or exceeds
	// a limit, or the gateway has no configuration yet.
	MessageRejected = "refused by the entry"
	// MessageRequestEnded gives the final result of a request. It is logged for
	// every request that got no response, and for samples of the late responses
	// and of those in time.
	MessageRequestEnded = "request ended"
)

// Messages about changes to a gateway's view of the cluster.
const (
	MessageConfigApplied = "configuration in force"
	// MessageConfirmationLost says that the configuration may be older than the
	// revocation bound allows, so that requests with an API key are rejected.
	MessageConfirmationLost     = "configuration not confirmed"
	MessageConfirmationRegained = "configuration confirmed"
	// MessageUpstreamChanged reports a new or changed upstream. Of the first list
	// only the number of upstreams is logged, as MessageUpstreamsListed.
	MessageUpstreamChanged = "upstream"
	MessageUpstreamsListed = "upstreams listed"
	MessageUpstreamGone    = "upstream gone"
	// MessageUpstreamLeaving says that an upstream has stated in a response that it
	// leaves: to this gateway, or to the peer.
	MessageUpstreamLeaving = "upstream leaving"
	// MessageUpstreamPaused says that an upstream has asked to be left alone.
	MessageUpstreamPaused = "upstream paused"
	// MessageUpstreamLimited says that an upstream has named, changed or withdrawn the
	// rate at which it takes requests.
	MessageUpstreamLimited = "upstream limited"
	// MessageColdRequests gives the number of requests that the dispatcher has sent to a
	// cold or suspect upstream, and why it took itself for the dispatcher.
	MessageColdRequests      = "requests to cold upstream"
	MessageZoneChanged       = "zone"
	MessageDirectoryLost     = "directory lost"
	MessageDirectoryRegained = "directory regained"
	// MessageDirectoryRestored says that the directory came back from an older copy.
	MessageDirectoryRestored = "directory restored"
	MessagePeerHeard         = "peer heard"
	MessagePeerLost          = "peer lost"
	// MessageLinkEnded says why a link ended and how many requests were lost with it, and
	// MessagePeerUnresponsive that idempotent requests on a link were given up because
	// nothing arrived on it.
	MessageLinkEnded        = "link ended"
	MessagePeerUnresponsive = "peer unresponsive"
	// MessageUnheard says that peers may take this gateway for lost, or no longer do.
	MessageUnheard = "unheard by a peer"
	// MessageAccountantChanged says that another gateway keeps a workspace's rate limit.
	MessageAccountantChanged = "accountant changed"
	// MessageLocalShareBegins says that the accountant of a workspace does not reply, so
	// that the gateway spends its own share of the limit.
	MessageLocalShareBegins = "local share begins"
	MessageLocalShareEnds   = "local share ends"
	MessageCrashRecorded    = "request blamed for the end of its upstream"
)

// Messages about the life cycle of the gateway itself.
const (
	MessageStarted  = "started"
	MessageDraining = "leaving"
	// MessageClientBound says that a bound on what clients may hold has acted.
	MessageClientBound = "client bound reached"
	// MessageLinkReplaced says that a link was opened beside one that is silent.
	MessageLinkReplaced = "link replaced"
	// MessageClosedUnread says that a client's connection was closed while bytes of the
	// client were not read.
	MessageClosedUnread = "connection closed unread"
	MessageStopped      = "stopped"
	MessageLinesDropped = "log lines dropped"
)

// Messages of the leader of a sharded service. They must match the event names
// that package orioleassign logs.
const (
	MessageLeaderElected = "lead"
	MessageStepDown      = "step-down"
	// MessageLeaderClaimed says why a gateway asks for the leadership, and
	// MessageLeaderUnheard that it leaves a leader in place which it does not hear.
	MessageLeaderClaimed = "claim"
	MessageLeaderUnheard = "leader-unheard"
	// MessageUpstreamDown says that the leader's calls to an upstream failed
	// repeatedly, and MessageUpstreamEnded that its incarnation has ended.
	MessageUpstreamDown = "down"
	// MessageKeysWait says what the ranges of a leader wait for whose keys nobody serves.
	MessageKeysWait      = "keys wait"
	MessageUpstreamEnded = "ended"
)

// Sampling of request log lines: one request in SampleOneIn is logged, and the
// end of one late request in LateSampleOneIn. A request has about four lines,
// which take 8 us each to write (BenchmarkLine), so at these values logging takes
// less than 1% of the cost of a request.
const (
	SampleOneIn     = 64
	LateSampleOneIn = 8
)

// Sampled reports whether the request is in a sample of one request in n. The
// sample depends on the ID alone, so all gateways log the same requests.
func Sampled(id string, n uint64) bool { return xxhash.Sum64String(id)%n == 0 }
