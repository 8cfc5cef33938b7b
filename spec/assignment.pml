/*
 * Model of the assignment of one range of keys: two servers that check fencing
 * tokens, two gateways of which either may be the leader, and the platform's
 * store.
 *
 * Time is counted in lease TTLs on one clock; the margins for clock drift and
 * message delay are left to the code. Every step is atomic, and a process that
 * takes no step is paused, partitioned or dead. A write may take effect at once,
 * later or never. A gateway learns the result only by reading the assignment, as
 * if all responses to writes were lost. A grant arrives within the TTL in which it
 * was sent, or never.
 *
 * Each guard of the protocol can be removed with -DNO_<GUARD>; the model must
 * then fail. README.md lists the guards and the bounds.
 */

#ifndef T_MAX
#define T_MAX 4		/* maximum number of lease TTLs */
#endif
#ifndef V_MAX
#define V_MAX 4		/* maximum number of writes to the store */
#endif
#ifndef L_MAX
#define L_MAX 2		/* maximum number of restarts of each server */
#endif
#define LEADER_LEASE 1		/* number of TTLs for which a leader may act after the store last confirmed its leadership */
#define NONE 3
#define NO_RELEASE 0
#define SENT 1	/* the release has not arrived */
#define ARRIVED 2	/* the release is not answered */
#define OTHER(x) (1 - (x))

typedef Assignment {
	byte version;	/* the store's version */
	byte term;
	byte leader;
	byte priorLeader;	/* a prior leader that may still renew leases, or NONE */
	byte owner;
	byte fence;
	byte priorOwner	/* a prior owner that may still hold the range, or NONE */
};

typedef Gateway {
	bit leading;
	Assignment assignment;	/* the assignment that it acts on */
	bit writePending;	/* a write may still take effect */
	Assignment write;	/* the pending write; write.version is the expected version */
	byte confirmedAt;	/* when the store last confirmed its leadership */
	byte lastSent0;	/* the last TTL in which a grant may have reached server 0 */
	byte lastSent1;
	bit attempted;	/* a grant with this fencing token was sent */
	byte connIncarnation;	/* the incarnation at the other end of the fencing token's connection */
	bit restarted;	/* it was killed while it led, and is another gateway since */
	bit fresh;	/* its move lease is valid */
	bit mayCall;	/* no prior leader moves the range any more */
	bit released;	/* a release may have been sent to the prior owner already */
	byte release;	/* the progress of its release call */
	bit releaseWaits;	/* the release waits for the server's request */
	byte releaseTo;
	byte releaseFence;
	bit inFlight;	/* a grant is in flight */
	byte grantTo;
	byte grantFence;
	byte grantIncarnation	/* the incarnation at the other end of its connection */
};

typedef Server {
	byte incarnation;
	byte seenFence;	/* the highest fencing token seen by this incarnation */
	bit held;
	bit busy;	/* a request is running that began while it held the range */
	byte leaseUntil	/* the last TTL of its lease, in which its requests end too */
};

Assignment store;
Gateway g[2];
Server s[2];
byte clk;
byte highest;		/* the highest fencing token that any incarnation has held */
byte holder = NONE;	/* the server that accepted a grant last */
byte holderIncarnation;
bit termKnown;		/* the gateway other than store.leader has learned of the term */

#ifdef NO_GIVER
#define NO_PRIOR_OWNER(i) true
#else
#define NO_PRIOR_OWNER(i) (g[i].assignment.priorOwner == NONE)
#endif
#ifdef NO_RIGHT
#define LEADER_LEASE_VALID(i) true
#else
#define LEADER_LEASE_VALID(i) (clk <= g[i].confirmedAt + LEADER_LEASE)
#endif
/* A fencing token is sent on one connection only, and first used while the leadership is confirmed. */
#ifdef NO_BIND
#define BOUND(i) true
#else
#define BOUND(i) ((g[i].attempted && s[g[i].assignment.owner].incarnation == g[i].connIncarnation) || (!g[i].attempted && MOVE_LEASE_VALID(i)))
#endif
#ifdef NO_MOVE_LEASE
#define MOVE_LEASE_VALID(i) true
#else
#define MOVE_LEASE_VALID(i) (g[i].fresh)
#endif
#ifdef NO_TAKEOVER_WAIT
#define MAY_CALL(i) true
#else
#define MAY_CALL(i) (g[i].mayCall)
#endif
#ifdef NO_REPEAT
#define FIRST_RELEASE(i) true
#else
#define FIRST_RELEASE(i) (!g[i].released)
#endif
#ifdef NO_STOP
#define CALLS_ARRIVED(i) true
#else
#define CALLS_ARRIVED(i) (!g[i].inFlight && g[i].release != SENT)
#endif
#ifdef NO_WAIT
#define LEASE_EXPIRED(i) true
#else
#define LEASE_EXPIRED(i) (clk > LAST_SENT(i, g[i].assignment.priorOwner) + 1 && !(g[i].inFlight && g[i].grantTo == g[i].assignment.priorOwner))
#endif

#define LAST_SENT(i, x) (x == 0 -> g[i].lastSent0 : g[i].lastSent1)

inline copy(to, from) {
	to.version = from.version; to.term = from.term; to.leader = from.leader; to.priorLeader = from.priorLeader;
	to.owner = from.owner; to.fence = from.fence; to.priorOwner = from.priorOwner
}

inline setLastSent(i, x, when) {
	if
	:: x == 0 -> g[i].lastSent0 = when
	:: else -> g[i].lastSent1 = when
	fi
}

/* becomeLeader makes gateway i the leader of a term that the store confirmed. */
inline becomeLeader(i) {
	g[i].leading = 1;
	g[i].confirmedAt = clk;
	g[i].fresh = 1;
	g[i].mayCall = (g[i].assignment.priorLeader == NONE);
	g[i].released = (g[i].assignment.priorOwner != NONE);
	g[i].attempted = 0;
#ifdef NO_HORIZON
	g[i].lastSent0 = clk; g[i].lastSent1 = clk;
#else
	g[i].lastSent0 = (g[i].assignment.priorLeader == NONE -> clk : clk + LEADER_LEASE);
	g[i].lastSent1 = g[i].lastSent0;
#endif
}

/* deliver delivers the grant that gateway i has in flight to its server. */
inline deliver(i) {
	if
	:: s[g[i].grantTo].incarnation != g[i].grantIncarnation -> skip	/* its connection is closed */
	:: else ->
		if
#ifndef NO_FENCE
		:: s[g[i].grantTo].seenFence > g[i].grantFence -> skip
#else
		:: false -> skip
#endif
		:: else ->
			assert(!((s[OTHER(g[i].grantTo)].held || s[OTHER(g[i].grantTo)].busy) && clk <= s[OTHER(g[i].grantTo)].leaseUntil));
			assert((holder == g[i].grantTo && holderIncarnation == g[i].grantIncarnation) || g[i].grantFence > highest || holder == NONE);
			s[g[i].grantTo].seenFence = g[i].grantFence;
			s[g[i].grantTo].held = 1;
			s[g[i].grantTo].leaseUntil = clk + 1;
			holder = g[i].grantTo;
			holderIncarnation = g[i].grantIncarnation;
			highest = (g[i].grantFence > highest -> g[i].grantFence : highest)
		fi
	fi;
	g[i].inFlight = 0
}

proctype gateway(byte i) {
	do
	/* Claim the leadership with a higher fencing token, so that servers refuse the old one. */
	:: atomic { !g[i].leading && !g[i].writePending && store.version < V_MAX && (store.leader != i || g[i].restarted) ->
		copy(g[i].write, store);
		g[i].write.priorLeader = (store.leader != i -> (store.term == 0 -> NONE : store.leader) : (store.priorLeader == OTHER(i) -> OTHER(i) : NONE));
		g[i].write.leader = i;
		g[i].write.term = store.term + 1;
#ifndef NO_REFENCE
		g[i].write.fence = store.fence + 1;
#endif
		g[i].writePending = 1 }
	/* Move the range to the other server. */
	:: atomic { g[i].leading && !g[i].writePending && g[i].assignment.priorOwner == NONE && g[i].assignment.version < V_MAX && clk <= g[i].confirmedAt + LEADER_LEASE ->
		copy(g[i].write, g[i].assignment);
		g[i].write.priorOwner = g[i].assignment.owner;
		g[i].write.owner = OTHER(g[i].assignment.owner);
		g[i].write.fence = g[i].assignment.fence + 1;
		g[i].writePending = 1 }
	/* The fencing token's connection is closed: the same owner gets a new fencing token. */
	:: atomic { g[i].leading && !g[i].writePending && g[i].attempted && s[g[i].assignment.owner].incarnation != g[i].connIncarnation && g[i].assignment.version < V_MAX ->
		copy(g[i].write, g[i].assignment);
		g[i].write.fence = g[i].assignment.fence + 1;
		g[i].writePending = 1 }
	/* The store applies the write if it has the expected version. */
	:: atomic { g[i].writePending && store.version == g[i].write.version ->
		g[i].writePending = 0;
		g[i].restarted = (g[i].write.term != store.term -> 0 : g[i].restarted);
		copy(store, g[i].write);
		store.version = store.version + 1;
		termKnown = (store.term != g[i].assignment.term -> 0 : termKnown) }
	:: atomic { g[i].writePending && store.version != g[i].write.version -> g[i].writePending = 0 }
	/* Read the assignment, after a write or to confirm the leadership. */
	:: atomic { store.leader == i && store.term > 0 && !g[i].restarted && (g[i].assignment.version != store.version || g[i].confirmedAt != clk || !g[i].leading || !g[i].fresh) ->
		if
		:: !g[i].leading && CALLS_ARRIVED(i) -> copy(g[i].assignment, store); becomeLeader(i)
		:: !g[i].leading && !CALLS_ARRIVED(i) -> skip
		:: else ->
			if
			:: g[i].assignment.fence != store.fence -> g[i].attempted = 0
			:: else -> skip
			fi;
			if
			:: g[i].assignment.fence != store.fence && g[i].assignment.priorOwner == NONE -> g[i].released = 0
			:: else -> skip
			fi;
			copy(g[i].assignment, store);
			g[i].confirmedAt = clk;
			g[i].fresh = 1
		fi }
	/* Learn that the other gateway leads: stop renewing leases, and report this to it. */
	:: atomic { store.leader != i && store.term > 0 && !termKnown ->
		g[i].leading = 0;
		g[i].fresh = 0;
		g[i].release = (g[i].release == SENT -> SENT : NO_RELEASE);
		termKnown = 1 }
	:: atomic { g[i].leading && termKnown && store.leader == i && g[i].assignment.term == store.term && g[i].assignment.priorLeader != NONE && CALLS_ARRIVED(OTHER(i)) ->
		g[i].assignment.priorLeader = NONE;
		g[i].mayCall = 1;
		g[i].lastSent0 = (g[i].lastSent0 > clk -> clk : g[i].lastSent0);
		g[i].lastSent1 = (g[i].lastSent1 > clk -> clk : g[i].lastSent1) }
	/* The prior leader was killed, and its calls have arrived before another gateway on its VM has started. */
	:: atomic { g[i].leading && store.leader == i && g[i].assignment.term == store.term && g[i].assignment.priorLeader != NONE && g[OTHER(i)].restarted && CALLS_ARRIVED(OTHER(i)) ->
		g[i].assignment.priorLeader = NONE;
		g[i].mayCall = 1;
		g[i].lastSent0 = (g[i].lastSent0 > clk -> clk : g[i].lastSent0);
		g[i].lastSent1 = (g[i].lastSent1 > clk -> clk : g[i].lastSent1) }
	/* The gateway is killed, and another one starts on its VM. */
	:: atomic { g[i].leading && !g[i].writePending && CALLS_ARRIVED(i) ->
		g[i].leading = 0;
		g[i].fresh = 0;
		g[i].release = NO_RELEASE;
		g[i].restarted = 1 }
	/* Or wait until it may move the range no more: its move lease, and the delay of its calls, have passed. */
	:: atomic { g[i].leading && !g[i].mayCall && !g[OTHER(i)].fresh -> g[i].mayCall = 1 }
	/* The move lease is over, and the calls that were sent within it have arrived. */
	:: atomic { g[i].fresh && CALLS_ARRIVED(i) -> g[i].fresh = 0 }
	/* Grant or renew the lease. */
	:: atomic { g[i].leading && MAY_CALL(i) && !g[i].inFlight && NO_PRIOR_OWNER(i) && LEADER_LEASE_VALID(i) && BOUND(i) ->
		g[i].inFlight = 1;
		g[i].grantTo = g[i].assignment.owner;
		g[i].grantFence = g[i].assignment.fence;
		g[i].grantIncarnation = s[g[i].assignment.owner].incarnation;
		g[i].attempted = 1;
		g[i].connIncarnation = g[i].grantIncarnation;
		if
		:: LAST_SENT(i, g[i].assignment.owner) < clk -> setLastSent(i, g[i].assignment.owner, clk)
		:: else -> skip
		fi }
	:: atomic { g[i].inFlight -> deliver(i) }
	:: atomic { g[i].inFlight -> g[i].inFlight = 0 }
	/* Release the range. The response waits for the server's request if this is the first release. */
	:: atomic { g[i].leading && MAY_CALL(i) && MOVE_LEASE_VALID(i) && g[i].assignment.priorOwner != NONE && g[i].release == NO_RELEASE ->
		g[i].release = SENT;
		g[i].releaseTo = g[i].assignment.priorOwner;
		g[i].releaseFence = g[i].assignment.fence }
	:: atomic { g[i].release == SENT ->
		g[i].releaseWaits = s[g[i].releaseTo].held;
		s[g[i].releaseTo].held = 0;
		if
		:: s[g[i].releaseTo].seenFence < g[i].releaseFence -> s[g[i].releaseTo].seenFence = g[i].releaseFence
		:: else -> skip
		fi;
		g[i].release = (g[i].leading -> ARRIVED : NO_RELEASE) }
	:: atomic { g[i].release == ARRIVED && !(g[i].releaseWaits && s[g[i].releaseTo].busy) ->
		g[i].release = NO_RELEASE;
		if
		:: FIRST_RELEASE(i) && g[i].releaseTo == g[i].assignment.priorOwner && g[i].releaseFence == g[i].assignment.fence -> g[i].assignment.priorOwner = NONE
		:: else -> skip
		fi;
		g[i].released = 1 }
	/* The response to the release is lost. */
	:: atomic { g[i].release == ARRIVED -> g[i].release = NO_RELEASE; g[i].released = 1 }
	/* The prior owner does not respond: wait until its lease has expired. */
	:: atomic { g[i].leading && g[i].assignment.priorOwner != NONE && LEASE_EXPIRED(i) -> g[i].assignment.priorOwner = NONE }
	od
}

proctype server(byte x) {
	do
	:: atomic { s[x].incarnation < L_MAX ->
		s[x].incarnation = s[x].incarnation + 1;
		s[x].seenFence = 0;
		s[x].held = 0;
		s[x].busy = 0 }
	/* A request begins and ends. */
	:: atomic { s[x].held && !s[x].busy && clk <= s[x].leaseUntil -> s[x].busy = 1 }
	:: atomic { s[x].busy -> s[x].busy = 0 }
	od
}

/* A TTL passes only when no grant is in flight, since a grant arrives within its TTL or never. */
proctype clock() {
	do
	:: atomic { clk < T_MAX && !g[0].inFlight && !g[1].inFlight && g[0].release != SENT && g[1].release != SENT -> clk = clk + 1 }
	od
}

init {
	atomic {
		store.leader = NONE; store.priorLeader = NONE; store.priorOwner = NONE;
		g[0].assignment.priorOwner = NONE; g[1].assignment.priorOwner = NONE; g[0].assignment.priorLeader = NONE; g[1].assignment.priorLeader = NONE;
		run gateway(0); run gateway(1); run server(0); run server(1); run clock()
	}
}
