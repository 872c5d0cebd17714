/* Rights, keepers and orders: the part of state/ and of the keeper that guarantees
 * "no more replicas than decided" and "engine memory is never overcommitted".
 *
 * The order of the steps below is the order of the log: a proposal takes effect at its
 * position in the log, and only if its preconditions hold there. No step waits for a
 * clock: others may end a session at any time, and an order may arrive at any time after
 * it was decided, repeatedly, in any order, also long after its sender lost the engine.
 * The sets late_load thereby cover an entry VM that is paused between check and send, one
 * that has applied only a prefix of the log, a delayed message, and a retry after a lost
 * answer. README.md lists what the model leaves out.
 *
 * Settings: UNITS, REPLICAS (decided for each unit), MEMORY (units that fit into an
 * engine), KIND0 and KIND1 (IGNORES, CHECKS or UPGRADES, for the two engines), TOKENS
 * (bound of the fencing tokens of one engine that checks them).
 *
 * Faulty variants, in each of which the check must find a violation:
 *   GONE_AT_EXPIRY      a right is freed once the former keepers' leases have expired
 *   SETTLE_AT_EXPIRY    an expired lease counts as settled
 *   SETTLE_AT_RESTART   a VM settles the session of its previous process, or other VMs
 *                       that of a dead VM, while messages of it may still arrive
 *   CLOSE_UNANSWERED    a session is closed with orders unanswered
 *   GIVE_UNANSWERED     an engine is released as settled with orders unanswered
 *   GIVE_LANDS_LATE     the keeper still sends orders after it proposed the release,
 *                       because the answer of the append was lost
 *   SEEN_BEFORE_SETTLED the engine was seen without the unit before the former
 *                       keepers were settled
 *   SEEN_BEFORE_ANSWERED ... before the keeper's own orders were answered
 *   NO_FENCE            an unload is confirmed on an engine that checks tokens, although
 *                       it has received no order with the Withdraw's token
 *   KEEPER_TOKEN        orders carry the keeper's token, not that of the newest change
 *   TOKEN_OF_RIGHTS     orders carry the newest token of the existing rights: it
 *                       decreases when a right is removed, and the engine refuses a
 *                       keeper whose view is up to date
 *   MOVE_AT_ONCE        the place of a withdrawn right is granted elsewhere at once
 *   MEET_TRUSTED        an unload is confirmed on an engine that was seen empty while it
 *                       ignored tokens, because it checks them now
 *   FORGETFUL           a checking engine forgets its token when it restarts
 *   DOWNGRADE           a checking engine ignores tokens after a restart
 *
 * WITNESS shows that the correct design makes progress: a keeper that took over an engine
 * frees a right that was granted before.
 */
#include "rights_state.pml"

/* The life of a session: its owner ends and settles it, or other VMs that no longer see
 * it renewed. */
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
	/* The owner reports that all its orders are answered. */
	:: d_step { session[s] == ENDED && !dead[s] && !UNANSWERED(s) -> settle(s) }
	:: d_step { session[s] != NEVER && !dead[s] -> dead[s] = true }
	/* The process has ended, which the next process of its VM knows or the VM list
	 * shows, and none of its messages can arrive any more. */
#ifdef SETTLE_AT_RESTART
	:: d_step { session[s] == ENDED && dead[s] -> settle(s) }
#else
	:: d_step { session[s] == ENDED && dead[s] && !UNANSWERED(s) -> settle(s) }
#endif
	od
}

/* KeeperAcquire and KeeperRelease of one session for one engine. */
proctype Keeper(byte s; byte e) {
	do
	:: d_step { session[s] == LIVE && !dead[s] && keeper[e] == 0 && MAY_LAND(e) ->
		next_token(e);
		note_token(taken_at[e], e);
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
	/* Released, either unsettled or settled. The keeper sends no orders between the
	 * proposal and its position in the log, so both are one step. */
	:: d_step { KEEPS(s, e) -> keeper[e] = 0 }
#ifdef GIVE_LANDS_LATE
	:: d_step { USES_SETTLING(e) && KEEPS(s, e) && !LATE(s, e) -> giving[e] = giving[e] | BIT(s) }
	:: d_step { KEEPS(s, e) && (giving[e] & BIT(s)) -> keeper[e] = 0; forgive(s, e); giving[e] = 0 }
#elif defined(GIVE_UNANSWERED)
	:: d_step { USES_SETTLING(e) && KEEPS(s, e) -> keeper[e] = 0; forgive(s, e) }
#else
	:: d_step { USES_SETTLING(e) && KEEPS(s, e) && !LATE(s, e) -> keeper[e] = 0; forgive(s, e) }
#endif
	/* EngineReport: the keeper records what the engine reports now. */
	:: d_step { KEEPS(s, e) && meets_checking[e] != checks[e] -> meets_checking[e] = checks[e] }
	od
}

/* Grant and Withdraw. Any VM may propose them if it names the current keeper. */
proctype Planner(byte e; byte u) {
	do
	:: d_step { keeper[e] != 0 && right[EU(e, u)] == NONE && MAY_CHANGE(e) &&
		DECIDED(u) < REPLICAS && MEMORY_GRANTED(e) < MEMORY ->
		change_token(e);
		note_token(granted_at[EU(e, u)], e);
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
	/* The freed place may also be granted on the same engine. */
	:: d_step { right[EU(e, u)] == WITHDRAWN -> right[EU(e, u)] = NONE; withdrawn_at[EU(e, u)] = 0;
		ordered_by[EU(e, u)] = 0; seen_without[EU(e, u)] = 0 }
#endif
	od
}

/* raise makes a checking engine remember the token of an order that it accepts. It
 * refuses orders with older tokens from then on, so late_load need not keep them. */
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

/* Loads for a checking engine are stored without their sender, as only the token
 * matters. */
#define SENDER(s, e) (KIND(e) == CHECKS -> 0 : s)

/* The conditions under which a keeper may conclude that no load of this unit can arrive
 * any more. */
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

/* Orders of one session for one unit on one engine, and the confirmation that the unit is
 * unloaded. */
proctype Orders(byte s; byte e; byte u) {
	byte t;
	do
	/* Decide on a load. It may arrive from now on. */
	:: d_step { KEEPS(s, e) && right[EU(e, u)] == STANDING &&
		!(late_load[SEU(SENDER(s, e), e, u)] & BIT(ORDER_TOKEN(e))) ->
		current_order_refused = checks[e] && ORDER_TOKEN(e) < highest[e];
		assert(!current_order_refused);
		late_load[SEU(SENDER(s, e), e, u)] = late_load[SEU(SENDER(s, e), e, u)] | BIT(ORDER_TOKEN(e)) }
	/* An order can't arrive any more: it was answered, lost, or never sent. */
	:: atomic { late_load[SEU(s, e, u)] != 0 ->
		pick(late_load[SEU(s, e, u)], t);
		late_load[SEU(s, e, u)] = late_load[SEU(s, e, u)] & ~BIT(t);
		t = 0 }
	/* A load arrives. A duplicate of it may arrive later. */
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
	/* See the engine without the unit, and decide to propose ConfirmUnload. */
	:: d_step { KEEPS(s, e) && right[EU(e, u)] == WITHDRAWN && !holds[EU(e, u)] &&
		!(seen_without[EU(e, u)] & BIT(s)) && PROVED_WHEN_SEEN(s, e, u) ->
		seen_without[EU(e, u)] = seen_without[EU(e, u)] | BIT(s) }
	/* The ConfirmUnload takes effect. */
	:: d_step { (seen_without[EU(e, u)] & BIT(s)) && keeper[e] == s + 1 &&
		right[EU(e, u)] == WITHDRAWN && PROVED_WHEN_LANDED(s, e, u) ->
#ifdef WITNESS
		assert(!taken_over[e]);
#endif
		right[EU(e, u)] = NONE;
		forget_token(granted_at[EU(e, u)]);
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
	/* An unload, or an order that only carries a token, arrives. It may be any that a
	 * keeper can have decided on so far, including late ones and duplicates. Allowing
	 * more of them than exist hides no violation. */
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
