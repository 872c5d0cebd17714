/* The state of rights.pml: its settings, the state machine that applies the log, the
 * orders in flight and the engines, and the state changes that several processes share. */
#ifndef ENGINES
#define ENGINES  2
#endif
#ifndef SESSIONS
#define SESSIONS 3
#endif
/* Sessions 0 and 1 belong to two VMs, and 2 and 3 are later sessions of the same VMs. */

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

/* The state machine that applies the log. */
#define NEVER   0
#define LIVE    1
#define ENDED   2
#define SETTLED 3
byte session[SESSIONS];
byte keeper[ENGINES];         /* 1 + the session that keeps the engine, 0: none */
byte token[ENGINES];          /* revision of the engine's newest acquire, grant or withdrawal */
bool meets_checking[ENGINES]; /* ChecksTokens of the newest EngineReport */

#define NONE      0
#define STANDING  1
#define WITHDRAWN 2
byte right[ENGINES * UNITS];
byte withdrawn_at[ENGINES * UNITS]; /* token of the Withdraw */
byte ordered_by[ENGINES * UNITS];   /* set of unsettled sessions that may have ordered the load */

/* Processes of the entry VMs. Dead ones make no more decisions, but messages that they
 * sent may still arrive. */
bool dead[SESSIONS];

/* Load orders that may still arrive, as sets of tokens (only 0 for engines that ignore
 * tokens). Unload orders need no such set: see Engine. */
short late_load[SESSIONS * ENGINES * UNITS];

/* Sets of sessions whose ConfirmUnload proposal is decided and may take effect. */
byte seen_without[ENGINES * UNITS];

/* The engines themselves. */
bool holds[ENGINES * UNITS]; /* loaded, loading or unloading */
bool checks[ENGINES];
byte highest[ENGINES];       /* highest token seen, as the engine remembers it */
byte newest[ENGINES];        /* the same, kept over restarts, for the property */

#ifdef WITNESS
bool taken_over[ENGINES];
#endif
#ifdef GIVE_LANDS_LATE
byte giving[ENGINES]; /* sessions that proposed to release the engine */
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

/* The guarantees to the users. */
bool too_many_replicas;
bool memory_overcommitted;
inline check_promises(e, u) {
	too_many_replicas = LOADED(u) > REPLICAS;
	assert(!too_many_replicas);
	memory_overcommitted = MEMORY_USED(e) > MEMORY;
	assert(!memory_overcommitted)
}

/* The invariant behind the guarantees, checked if STRICT is set: an engine holds only
 * units that have a right. The faulty variants are checked without it, so that the check
 * finds them violating a guarantee. */
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

/* next_token models the revision of the proposal that takes effect now. */
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

/* The token of an order that is decided now. */
bool current_order_refused;
#ifdef TOKEN_OF_RIGHTS
byte taken_at[ENGINES];
byte granted_at[ENGINES * UNITS];
#define MAX(a, b) ((a) > (b) -> (a) : (b))
#define NEWEST(eu) MAX(granted_at[eu], withdrawn_at[eu])
#define ORDER_TOKEN(e) MAX(taken_at[e], MAX(NEWEST(EU(e, 0)), NEWEST(EU(e, UNITS - 1))))
#define note_token(variable, e) variable = token[e]
#define forget_token(variable) variable = 0
#else
#define ORDER_TOKEN(e) token[e]
#define note_token(variable, e) skip
#define forget_token(variable) skip
#endif

/* forgive removes a session, of which no load can arrive any more, from the unsettled
 * sessions of the rights. */
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
