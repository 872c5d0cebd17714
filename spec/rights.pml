/* Rights, keepers and orders: the part of state/ and of the keeper on which the
 * promises "no more replicas than decided" and "engine memory is never
 * overcommitted" rest.
 *
 * The log is the order of the steps below: a proposal takes effect where it lands
 * and only under its preconditions. No step waits for a clock: a session may be
 * ended by others at any time, and an order may arrive at any time after it was
 * decided, several times, in any order, also long after its sender lost the engine.
 * That one set, `late`, covers an entry VM that is paused between check and send,
 * one that has folded only a prefix of the log, a delayed message, and a retry
 * after a lost answer. README.md lists what is left out.
 *
 * Settings: UNITS, REPLICAS (decided for each unit), MEMORY (units an engine
 * holds), KIND0 and KIND1 (IGNORES, CHECKS or UPGRADES, of the two engines),
 * TOKENS (bound of the fencing tokens of one engine that looks at them).
 *
 * Naive variants, each of which must be found broken:
 *   GONE_AT_EXPIRY      a right is freed once the former keepers' leases are over
 *   SETTLE_AT_EXPIRY    a lease that is over counts as settled
 *   SETTLE_AT_RESTART   a VM settles its predecessor's session, or others a dead
 *                       VM's, before its messages died out
 *   CLOSE_UNANSWERED    a session is closed with orders unanswered
 *   GIVE_UNANSWERED     an engine is given back as settled with orders unanswered
 *   SEEN_BEFORE_SETTLED the engine was seen without the unit before the former
 *                       keepers were settled
 *   SEEN_BEFORE_ANSWERED ... before the keeper's own orders were answered
 *   NO_FENCE            an engine that checks is believed without an order at the
 *                       Withdraw's token
 *   KEEPER_TOKEN        orders carry the keeper's token, not the newest change's
 *   MOVE_AT_ONCE        the place of a withdrawn right is granted elsewhere at once
 *   MEET_TRUSTED        an engine seen empty while it ignored tokens is believed
 *                       because it checks them now
 *   FORGETFUL           a checking engine forgets its token when it restarts
 *   DOWNGRADE           a checking engine ignores tokens after a restart
 *
 * WITNESS shows that the real design gets as far as it should: a keeper that took
 * an engine over frees a right that stood before.
 */
#ifndef ENGINES
#define ENGINES  2
#endif
#ifndef SESSIONS
#define SESSIONS 3
#endif
/* Sessions 0 and 1 belong to two VMs; 2 and 3 are later ones of the same VMs. */

#define IGNORES  0
#define CHECKS   1
#define UPGRADES 2 /* ignores tokens until a restart, checks them afterwards */

#ifndef UNITS
#define UNITS    1
#endif
#ifndef REPLICAS
#define REPLICAS 1
#endif
#ifndef MEMORY
#define MEMORY   1
#endif
#ifndef KIND0
#define KIND0    IGNORES
#endif
#ifndef KIND1
#define KIND1    IGNORES
#endif
#ifndef TOKENS
#define TOKENS   6
#endif

#define KIND(e)      (e == 0 -> KIND0 : KIND1)
#define USES_TOKENS(e) (KIND(e) != IGNORES)
#define USES_SETTLING(e) (KIND(e) != CHECKS)
#define EU(e, u)     ((e) * UNITS + (u))
#define SEU(s, e, u) (((s) * ENGINES + (e)) * UNITS + (u))
#define BIT(n)       (1 << (n))

/* The fold. */
#define NEVER   0
#define LIVE    1
#define ENDED   2
#define SETTLED 3
byte session[SESSIONS];
byte keeper[ENGINES];         /* 1 + the session that keeps the engine, 0: none */
byte token[ENGINES];          /* revision of the engine's newest take, grant or withdrawal */
bool meets_checking[ENGINES]; /* ChecksTokens of the newest EngineMeet */

#define NONE      0
#define STANDING  1
#define WITHDRAWN 2
byte right[ENGINES * UNITS];
byte withdrawn_at[ENGINES * UNITS]; /* token of the Withdraw */
byte ordered_by[ENGINES * UNITS];   /* set of unsettled sessions that may have ordered the load */

/* Processes of the entry VMs: dead ones decide nothing more, but what they sent
 * may still arrive. */
bool dead[SESSIONS];

/* Load orders that may still arrive: sets of tokens (only 0 where nobody looks at
 * them). Unload orders need no such set: see Engine. */
short late_load[SESSIONS * ENGINES * UNITS];

/* Gone proposals that are decided and may land, by session. */
byte seen_without[ENGINES * UNITS];

/* The engines themselves. */
bool holds[ENGINES * UNITS]; /* loaded, loading or unloading */
bool checks[ENGINES];
byte highest[ENGINES];       /* highest token seen, as the engine remembers it */
byte newest[ENGINES];        /* the same, never forgotten, for the property */

#ifdef WITNESS
bool taken_over[ENGINES];
#endif

#define KEEPS(s, e) (keeper[e] == (s) + 1 && session[s] == LIVE && !dead[s])

#if UNITS == 1
#define LATE(s, e) (late_load[SEU(s, e, 0)] != 0)
#define MEMORY_USED(e) (holds[EU(e, 0)])
#define MEMORY_GRANTED(e) (COUNTED(EU(e, 0)))
#else
#define LATE(s, e) (late_load[SEU(s, e, 0)] != 0 || late_load[SEU(s, e, 1)] != 0)
#define MEMORY_USED(e) (holds[EU(e, 0)] + holds[EU(e, 1)])
#define MEMORY_GRANTED(e) (COUNTED(EU(e, 0)) + COUNTED(EU(e, 1)))
#endif
#ifdef MOVE_AT_ONCE
#define COUNTED(eu) (right[eu] == STANDING)
#else
#define COUNTED(eu) (right[eu] != NONE)
#endif
#if ENGINES == 1
#define UNANSWERED(s) (USES_SETTLING(0) && LATE(s, 0))
#define LOADED(u) (holds[EU(0, u)])
#define DECIDED(u) (COUNTED(EU(0, u)))
#else
#define UNANSWERED(s) (USES_SETTLING(0) && LATE(s, 0) || USES_SETTLING(1) && LATE(s, 1))
#define LOADED(u) (holds[EU(0, u)] + holds[EU(1, u)])
#define DECIDED(u) (COUNTED(EU(0, u)) + COUNTED(EU(1, u)))
#endif

/* What the users are promised. */
bool too_many_replicas;
bool memory_overcommitted;
inline check_promises(e, u) {
	too_many_replicas = LOADED(u) > REPLICAS;
	assert(!too_many_replicas);
	memory_overcommitted = MEMORY_USED(e) > MEMORY;
	assert(!memory_overcommitted)
}

/* What makes it hold, checked where STRICT is set: whatever an engine holds has a
 * right. The naive variants are checked without it, so that what they are found
 * breaking is a promise. */
#ifdef STRICT
bool held_without_right;
#endif
inline check_right(e, u) {
#ifdef STRICT
	held_without_right = holds[EU(e, u)] && right[EU(e, u)] == NONE;
	assert(!held_without_right)
#else
	skip
#endif
}

/* next_token stands for the revision of the proposal that lands now. */
inline next_token(e) {
	if
	:: USES_TOKENS(e) -> token[e]++
	:: else
	fi
}
#define MAY_LAND(e) (!USES_TOKENS(e) || token[e] < TOKENS)

#ifdef KEEPER_TOKEN
#define change_token(e) skip
#define MAY_CHANGE(e) true
#else
#define change_token(e) next_token(e)
#define MAY_CHANGE(e) MAY_LAND(e)
#endif

/* forgive takes a session that can send no load any more from the rights. */
inline forgive_unit(s, e, u) { ordered_by[EU(e, u)] = ordered_by[EU(e, u)] & ~BIT(s) }
inline forgive(s, e) {
	forgive_unit(s, e, 0);
#if UNITS > 1
	forgive_unit(s, e, 1)
#endif
}

inline leave(s, e) {
	if
	:: keeper[e] == s + 1 -> keeper[e] = 0
	:: else
	fi
}

inline end_session(s) {
	session[s] = ENDED;
	leave(s, 0);
#if ENGINES > 1
	leave(s, 1)
#endif
}

inline settle(s) {
	session[s] = SETTLED;
	forgive(s, 0);
#if ENGINES > 1
	forgive(s, 1)
#endif
}

/* A session's life: by its owner, and by others who no longer see it renewed. */
proctype Session(byte s) {
	do
	:: d_step { s >= 2 && session[s] == NEVER && session[s - 2] >= ENDED -> session[s] = LIVE }
	:: d_step { session[s] == LIVE -> end_session(s);
#ifdef SETTLE_AT_EXPIRY
		settle(s)
#endif
		}
#ifdef CLOSE_UNANSWERED
	:: d_step { session[s] == LIVE && !dead[s] -> end_session(s); settle(s) }
#else
	:: d_step { session[s] == LIVE && !dead[s] && !UNANSWERED(s) -> end_session(s); settle(s) }
#endif
	/* The owner's word that all its orders are answered. */
	:: d_step { session[s] == ENDED && !dead[s] && !UNANSWERED(s) -> settle(s) }
	:: d_step { session[s] != NEVER && !dead[s] -> dead[s] = true }
	/* The process is gone, seen by a successor on its VM or in the VM list, and
	 * its messages have died out. */
#ifdef SETTLE_AT_RESTART
	:: d_step { session[s] == ENDED && dead[s] -> settle(s) }
#else
	:: d_step { session[s] == ENDED && dead[s] && !UNANSWERED(s) -> settle(s) }
#endif
	od
}

/* KeeperTake and KeeperGiveBack of one session for one engine. */
proctype Keeper(byte s; byte e) {
	do
	:: d_step { session[s] == LIVE && !dead[s] && keeper[e] == 0 && MAY_LAND(e) ->
		next_token(e);
		keeper[e] = s + 1;
#ifdef WITNESS
		taken_over[e] = right[EU(e, 0)] == STANDING && holds[EU(e, 0)];
#endif
		if
		:: USES_SETTLING(e) && right[EU(e, 0)] == STANDING -> ordered_by[EU(e, 0)] = ordered_by[EU(e, 0)] | BIT(s)
		:: else
		fi;
#if UNITS > 1
		if
		:: USES_SETTLING(e) && right[EU(e, 1)] == STANDING -> ordered_by[EU(e, 1)] = ordered_by[EU(e, 1)] | BIT(s)
		:: else
		fi
#endif
		}
	:: d_step { KEEPS(s, e) -> keeper[e] = 0 }
#ifdef GIVE_UNANSWERED
	:: d_step { USES_SETTLING(e) && KEEPS(s, e) -> keeper[e] = 0; forgive(s, e) }
#else
	:: d_step { USES_SETTLING(e) && KEEPS(s, e) && !LATE(s, e) -> keeper[e] = 0; forgive(s, e) }
#endif
	/* EngineMeet: the keeper writes down what the engine says now. */
	:: d_step { KEEPS(s, e) && meets_checking[e] != checks[e] -> meets_checking[e] = checks[e] }
	od
}

/* Grant and Withdraw, proposed by anybody who names the current keeper. */
proctype Planner(byte e; byte u) {
	do
	:: d_step { keeper[e] != 0 && right[EU(e, u)] == NONE && MAY_CHANGE(e) &&
		DECIDED(u) < REPLICAS && MEMORY_GRANTED(e) < MEMORY ->
		change_token(e);
		right[EU(e, u)] = STANDING;
		if
		:: USES_SETTLING(e) -> ordered_by[EU(e, u)] = BIT(keeper[e] - 1)
		:: else
		fi }
	:: d_step { keeper[e] != 0 && right[EU(e, u)] == STANDING && MAY_CHANGE(e) ->
		change_token(e);
		right[EU(e, u)] = WITHDRAWN;
		withdrawn_at[EU(e, u)] = token[e] }
#ifdef MOVE_AT_ONCE
	/* The freed place may also be taken on the same engine. */
	:: d_step { right[EU(e, u)] == WITHDRAWN -> right[EU(e, u)] = NONE; withdrawn_at[EU(e, u)] = 0;
		ordered_by[EU(e, u)] = 0; seen_without[EU(e, u)] = 0 }
#endif
	od
}

/* raise makes a checking engine remember the token of an order that it obeys. What
 * is older is refused from here on, so it need not be kept among the late orders. */
inline drop_below(set, t) { set = set & ~(BIT(t) - 1) }
inline raise(e, t) {
	if
	:: checks[e] ->
		assert(t >= newest[e]);
		highest[e] = t;
		newest[e] = t;
#if !defined(FORGETFUL) && !defined(DOWNGRADE)
		drop_below(late_load[SEU(0, e, 0)], t);
#if UNITS > 1
		drop_below(late_load[SEU(0, e, 1)], t);
#endif
#endif
	:: else
	fi
}

/* pick chooses one token of a set. */
inline pick(set, t) {
	t = 0;
	do
	:: (set >> t) & 1 -> break
	:: (set >> (t + 1)) != 0 -> t++
	od
}

/* Loads of a checking engine need no sender: only their tokens matter there. */
#define SENDER(s, e) (KIND(e) == CHECKS -> 0 : s)

/* When a keeper may say that no load of this unit can arrive any more. */
#define PROVED_BY_TOKEN(e, u) (checks[e] && highest[e] >= withdrawn_at[EU(e, u)])
#define PROVED_BY_SETTLING(s, e, u) (OTHERS_SETTLED(s, e, u) && OWN_ANSWERED(s, e, u))
#define OWN_ANSWERED(s, e, u) (late_load[SEU(SENDER(s, e), e, u)] == 0)
#ifdef GONE_AT_EXPIRY
#define OTHERS_SETTLED(s, e, u) ( \
	(!(ordered_by[EU(e, u)] & 1) || s == 0 || session[0] != LIVE) && \
	(!(ordered_by[EU(e, u)] & 2) || s == 1 || session[1] != LIVE) && \
	(!(ordered_by[EU(e, u)] & ~3) || s >= 2))
#else
#define OTHERS_SETTLED(s, e, u) ((ordered_by[EU(e, u)] & ~BIT(s)) == 0)
#endif

#if defined(NO_FENCE)
#define PROVED_WHEN_SEEN(s, e, u) true
#define PROVED_WHEN_LANDED(s, e, u) true
#elif defined(SEEN_BEFORE_SETTLED)
#define PROVED_WHEN_SEEN(s, e, u) OWN_ANSWERED(s, e, u)
#define PROVED_WHEN_LANDED(s, e, u) OTHERS_SETTLED(s, e, u)
#elif defined(SEEN_BEFORE_ANSWERED)
#define PROVED_WHEN_SEEN(s, e, u) OTHERS_SETTLED(s, e, u)
#define PROVED_WHEN_LANDED(s, e, u) OWN_ANSWERED(s, e, u)
#elif defined(MEET_TRUSTED)
#define PROVED_WHEN_SEEN(s, e, u) OWN_ANSWERED(s, e, u)
#define PROVED_WHEN_LANDED(s, e, u) (meets_checking[e])
#else
#define PROVED_WHEN_SEEN(s, e, u) (PROVED_BY_TOKEN(e, u) || USES_SETTLING(e) && PROVED_BY_SETTLING(s, e, u))
#define PROVED_WHEN_LANDED(s, e, u) (meets_checking[e] || OTHERS_SETTLED(s, e, u))
#endif

/* Orders of one session for one unit on one engine, and the word that it is gone. */
proctype Orders(byte s; byte e; byte u) {
	byte t;
	do
	/* Decide on a load; from here on it may arrive. */
	:: d_step { KEEPS(s, e) && right[EU(e, u)] == STANDING &&
		!(late_load[SEU(SENDER(s, e), e, u)] & BIT(token[e])) ->
		late_load[SEU(SENDER(s, e), e, u)] = late_load[SEU(SENDER(s, e), e, u)] | BIT(token[e]) }
	/* An order dies out: it was answered, dropped on the way, or never sent. */
	:: atomic { late_load[SEU(s, e, u)] != 0 ->
		pick(late_load[SEU(s, e, u)], t);
		late_load[SEU(s, e, u)] = late_load[SEU(s, e, u)] & ~BIT(t);
		t = 0 }
	/* A load arrives; a duplicate of it may arrive later. */
	:: atomic { late_load[SEU(s, e, u)] != 0 ->
		pick(late_load[SEU(s, e, u)], t);
		if
		:: checks[e] && t < highest[e] /* refused */
		:: else ->
			raise(e, t);
			holds[EU(e, u)] = true;
			check_promises(e, u);
			check_right(e, u)
		fi;
		t = 0 }
	/* See the engine without the unit, and decide to say that it is gone. */
	:: d_step { KEEPS(s, e) && right[EU(e, u)] == WITHDRAWN && !holds[EU(e, u)] &&
		!(seen_without[EU(e, u)] & BIT(s)) && PROVED_WHEN_SEEN(s, e, u) ->
		seen_without[EU(e, u)] = seen_without[EU(e, u)] | BIT(s) }
	/* The Gone lands. */
	:: d_step { (seen_without[EU(e, u)] & BIT(s)) && keeper[e] == s + 1 &&
		right[EU(e, u)] == WITHDRAWN && PROVED_WHEN_LANDED(s, e, u) ->
#ifdef WITNESS
		assert(!taken_over[e]);
#endif
		right[EU(e, u)] = NONE;
		withdrawn_at[EU(e, u)] = 0;
		ordered_by[EU(e, u)] = 0;
		seen_without[EU(e, u)] = 0;
		check_right(e, u) }
	od
}

proctype Engine(byte e) {
	byte u;
	byte t;
	do
	/* An unload, or a bare fence, arrives. It may be any that a keeper can have
	 * decided on so far, late ones and duplicates included: allowing more of them
	 * than there are is safe here, for it can only hide nothing. */
	:: atomic { true ->
		select(u : 0 .. UNITS - 1);
		select(t : 0 .. token[e]);
		if
		:: checks[e] && t < highest[e] /* refused */
		:: else ->
			raise(e, t);
			if
			:: holds[EU(e, u)] = false
			:: skip
			fi
		fi;
		u = 0;
		t = 0 }
	/* The engine restarts empty. */
	:: d_step { true ->
		holds[EU(e, 0)] = false;
#if UNITS > 1
		holds[EU(e, 1)] = false;
#endif
#ifdef FORGETFUL
		highest[e] = 0;
#endif
#ifdef DOWNGRADE
		checks[e] = false;
#endif
		checks[e] = checks[e] || KIND(e) == UPGRADES }
	od
}

init {
	byte s;
	byte e;
	byte u;
	atomic {
		session[0] = LIVE;
		session[1] = LIVE;
		for (s : 0 .. SESSIONS - 1) {
			run Session(s);
			for (e : 0 .. ENGINES - 1) {
				run Keeper(s, e);
				for (u : 0 .. UNITS - 1) {
					run Orders(s, e, u)
				}
			}
		}
		for (e : 0 .. ENGINES - 1) {
			checks[e] = KIND(e) == CHECKS;
			meets_checking[e] = checks[e];
			run Engine(e);
			for (u : 0 .. UNITS - 1) {
				run Planner(e, u)
			}
		}
		s = 0;
		e = 0;
		u = 0
	}
}
