/* Who may give orders to the engines of one shard, where engines check no fencing
 * tokens (lease.Shards, internal/hosted/shards.go). A registry assigns the shard to
 * one entry VM after the other, without a word to the one before; a VM acts on its
 * assignment for HOLD ticks after it sent the join that brought it. An owner records
 * itself under the registry's generation, asks the owner before it to stop, and waits.
 * A VM may stop for any time between any two steps (a freeze) and may be restarted;
 * calls may fail, and a record may be written and its answer lost.
 *
 * Property: an order that arrives comes at least QUIET ticks after the newest order
 * of another VM ("turns"). That is why no order undoes one of another keeper, and why
 * an order that is carried out late is behind all that its keeper knows of.
 *
 * Naive variants, each of which must be found broken:
 *   AT_ONCE           an owner starts as soon as it is recorded
 *   TRUSTED_RETURN    an owner that the shard comes back to goes on, although another
 *                     VM recorded itself meanwhile
 *   UNSETTLED         an owner that still waits for its predecessor hands the shard on
 *                     as if it had settled
 *   WAIT_FROM_RECORD  the wait for an owner that told its last order counts from the
 *                     record and not from its answer
 *   BEFORE_TRUSTED    a restarted owner takes the owner before it for settled
 *   NO_HOLD           an assignment is acted on without an end
 * and WITNESS shows that the shard is taken over and ordered again ("ordered_by_two").
 */
#ifndef VMS
#define VMS 2
#endif
#ifndef GENERATIONS
#define GENERATIONS 4 /* the registry changes its mind so often, less one */
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef HOLD
#define HOLD 1
#endif
#define FLIGHT 1 /* ticks from the sending of an order to its arrival, at most */
#ifndef QUIET
#define QUIET 1
#endif
#define LONGEST (HOLD + FLIGHT + QUIET) /* the wait for an owner that can't be asked */
#define NOBODY VMS

/* The registry. */
byte generation = 1;
byte assigned_to = 0;

/* The record of the shard's owner. */
byte record_vm = NOBODY;
byte record_generation;
bool record_settled;
/* Whom an owner that is not settled waits for, and whether that one was settled. */
byte record_before = NOBODY;
bool record_before_settled;
bool unchanged[VMS]; /* since the VM read it */

/* A VM's state: lease.shard. Ages and waits are in ticks; an age stops where it
 * makes no difference any more. */
bool held[VMS];
bool stopped[VMS];
bool doubtful[VMS];
byte known[VMS];    /* newest generation */
byte since[VMS];    /* generation since which it is assigned without a break */
byte token[VMS];    /* generation of its record, 0 before */
byte start_in[VMS]; /* until the first order */
byte joined[VMS];   /* age of the newest answered join's sending */
byte asked[VMS];    /* age of the join under way, HOLD without one */
byte ordered[VMS];  /* age of the newest order's sending or answer */
byte started[VMS];  /* age of the process */

/* A former owner that did not tell and is asked again. */
byte again[VMS] = NOBODY;
bool again_settled[VMS];
byte again_under[VMS];
byte restarts;

/* Orders on their way: one a VM. */
bool sent[VMS];
byte order_age[VMS];

/* What the engines saw. */
byte newest_by = NOBODY;
byte newest_age;

#define older(age, most) if :: age < most -> age++ :: else fi

inline arrive(v) {
	assert(newest_by == NOBODY || newest_by == v || newest_age >= QUIET /* turns */);
#ifdef WITNESS
	assert(newest_by == NOBODY || newest_by == v /* ordered_by_two */);
#endif
	newest_by = v;
	newest_age = 0
}

active proctype clock() {
	byte v;
	do
	:: atomic {
		older(newest_age, QUIET);
		v = 0;
		do
		:: v < VMS ->
			older(joined[v], HOLD);
			older(asked[v], HOLD);
			older(ordered[v], QUIET);
			older(started[v], QUIET);
			if :: start_in[v] > 0 -> start_in[v]-- :: else fi;
			if
			:: sent[v] && order_age[v] >= FLIGHT -> sent[v] = false; order_age[v] = 0; ordered[v] = 0 /* lost */
			:: sent[v] && order_age[v] < FLIGHT -> order_age[v]++
			:: else
			fi;
			v++
		:: else -> break
		od;
		v = 0
	}
	od
}

active proctype registry() {
	byte v;
	do
	:: generation < GENERATIONS -> atomic {
		generation++;
		select(v : 0 .. (VMS - 1));
		assigned_to = v;
		v = 0
	}
	:: else -> break
	od
}

#ifdef NO_HOLD
#define fresh(v) (joined[v] <= HOLD)
#else
#define fresh(v) (joined[v] < HOLD)
#endif
#define may_order(v) (held[v] && !stopped[v] && !doubtful[v] && token[v] != 0 && start_in[v] == 0 && fresh(v))

/* The orders of a VM, beside its joins. */
proctype orders(byte v) {
	do
	:: atomic { !sent[v] && may_order(v) -> sent[v] = true; ordered[v] = 0 }
	:: atomic { sent[v] -> arrive(v); sent[v] = false; order_age[v] = 0; ordered[v] = 0 }
	od
}

/* Joined: the registry's answer, as it was sampled. */
inline take_join(v) {
	if
	:: sampled > known[v] && held[v] -> doubtful[v] = true
	:: else
	fi;
	known[v] = sampled;
	if :: asked[v] < joined[v] -> joined[v] = asked[v] :: else fi;
	asked[v] = HOLD;
	if
	:: !mine && held[v] -> stopped[v] = true
	:: !mine && !held[v]
	:: mine && held[v] && !stopped[v]
	:: mine && (!held[v] || stopped[v]) ->
		held[v] = true;
		stopped[v] = false;
		doubtful[v] = false;
		since[v] = sampled;
		token[v] = 0
	fi
}

/* Confirm: the record was read after the newest join. */
inline confirm(v) {
	unchanged[v] = true;
	former = record_vm;
	former_settled = record_settled;
	former_generation = record_generation;
	if
	:: record_vm == v ->
		ask = record_before;
#ifdef BEFORE_TRUSTED
		ask_settled = true
#else
		ask_settled = record_before_settled
#endif
	:: else -> ask = record_vm; ask_settled = record_settled
	fi;
	if
	:: held[v] && !stopped[v] && token[v] != 0 && doubtful[v] ->
		if
#ifdef TRUSTED_RETURN
		:: true -> doubtful[v] = false
#else
		:: record_vm == v && record_generation == token[v] -> doubtful[v] = false
		:: else -> since[v] = known[v]; token[v] = 0; doubtful[v] = false
#endif
		fi
	:: else
	fi
}

inline changed_by(v) {
	u = 0;
	do
	:: u < VMS -> if :: u != v -> unchanged[u] = false :: else fi; u++
	:: else -> break
	od;
	u = 0
}

#define wanting(v) (held[v] && !stopped[v] && token[v] == 0)
#define to_settle(v) (held[v] && !stopped[v] && token[v] != 0 && start_in[v] == 0 && record_vm == v && record_generation == token[v] && !record_settled)

/* Release by the former owner: how long ago it sent its newest order. ago is shifted
 * by FLIGHT, so that an order under way is 0. */
inline release(f) {
	told = false;
	if
	:: !held[f] -> if :: ask_settled -> told = true; ago = started[f] + FLIGHT :: else fi
	:: held[f] && !stopped[f] && since[f] >= recorded_under
	:: held[f] && (stopped[f] || since[f] < recorded_under) ->
		stopped[f] = true;
		if
#ifndef UNSETTLED
		:: !ask_settled && token[f] == 0
#endif
		:: else ->
			told = true;
			ago = ordered[f] + FLIGHT;
			if :: started[f] < ordered[f] -> ago = started[f] + FLIGHT :: else fi;
			if :: sent[f] -> ago = 0 :: else fi;
#ifndef UNSETTLED
			if
			:: !ask_settled && start_in[f] + ago > QUIET + FLIGHT ->
				/* it still waits for its own predecessor */
				if :: start_in[f] >= QUIET + FLIGHT -> told = false :: else -> ago = QUIET + FLIGHT - start_in[f] fi
			:: else
			fi
#endif
		fi
	fi
}

/* The wait for an owner that told how long ago its newest order was. */
inline wait_after() {
	if
	:: ago >= QUIET + FLIGHT -> wait = 0
	:: ago < QUIET + FLIGHT ->
		wait = QUIET + FLIGHT - ago;
#ifdef WAIT_FROM_RECORD
		if
		:: wait > LONGEST - start_in[v] -> wait = wait - (LONGEST - start_in[v])
		:: else -> wait = 0
		fi
#endif
	fi
}

/* Owned: the first order may go out after the wait. */
inline owned(v) {
	if
	:: held[v] && !stopped[v] && recorded_under >= since[v] ->
		token[v] = recorded_under;
		start_in[v] = wait;
		doubtful[v] = (recorded_under != known[v])
	:: else
	fi
}

/* The joins of a VM, one after the other. */
proctype joins(byte v) {
	byte sampled, former, former_generation, recorded_under, wait, ago, u, ask;
	bool mine, former_settled, told, ask_settled;
	do
	:: if
	   :: atomic { asked[v] = 0; sampled = generation; mine = (assigned_to == v) }
	      /* The answer may be late. */
	      atomic { take_join(v) }
	   :: atomic { to_settle(v) -> sampled = known[v] } /* recorded at once, without a join */
	   fi;
	   if
	   :: atomic { wanting(v) || (held[v] && !stopped[v] && doubtful[v]) || to_settle(v) -> confirm(v) }
	      if
	      :: atomic { wanting(v) && unchanged[v] && former_generation <= sampled ->
			changed_by(v);
			recorded_under = sampled;
			record_vm = v;
			record_generation = sampled;
			record_settled = (former == NOBODY || (former == v && former_settled));
			record_before = ask;
			record_before_settled = ask_settled;
			again[v] = NOBODY
		 }
		 if
		 :: skip /* the answer is lost */
		 :: atomic { start_in[v] = LONGEST }
		    /* start_in counts from the record's answer here; the wait of an owner
		     * that was asked is set below. */
		    atomic {
			if
			:: former == NOBODY || (former == v && former_settled) -> wait = 0
			:: former == v && !former_settled && ask == NOBODY -> wait = start_in[v]
			:: former != NOBODY && !(former == v && former_settled) && ask != NOBODY ->
				if
				:: skip -> /* it does not answer */
					wait = start_in[v];
					again[v] = ask; again_settled[v] = ask_settled; again_under[v] = recorded_under
				:: release(ask);
				   if
				   :: !told -> wait = start_in[v]
				   :: told -> wait_after()
				   fi
				fi
			fi;
#ifdef AT_ONCE
			wait = 0;
#endif
			owned(v);
			wait = 0; ago = 0; told = false
		    }
		 fi
	      :: atomic { to_settle(v) && unchanged[v] -> changed_by(v); record_settled = true }
	      :: skip
	      fi
	   :: else
	   fi;
	   atomic { ask = 0; ask_settled = false; former = 0; former_settled = false; former_generation = 0; sampled = 0; mine = false; recorded_under = 0 }
	/* A former owner that did not tell answers after all. */
	:: atomic { again[v] != NOBODY && held[v] && !stopped[v] && token[v] == again_under[v] && start_in[v] > 0 ->
		ask = again[v]; ask_settled = again_settled[v]; recorded_under = again_under[v];
		release(ask);
		if
		:: told -> wait_after(); if :: wait < start_in[v] -> start_in[v] = wait :: else fi; again[v] = NOBODY
		:: else
		fi;
		wait = 0; ago = 0; told = false; ask = 0; ask_settled = false; recorded_under = 0
	   }
	/* A restart: what the process knew is gone; an order that it sent arrives or is lost. */
	:: atomic { restarts < RESTARTS ->
		restarts++;
		if :: sent[v] -> arrive(v) :: skip fi;
		sent[v] = false;
		order_age[v] = 0;
		held[v] = false; stopped[v] = false; doubtful[v] = false;
		known[v] = 0; since[v] = 0; token[v] = 0; start_in[v] = 0;
		joined[v] = HOLD; ordered[v] = QUIET; started[v] = 0;
		again[v] = NOBODY; again_settled[v] = false; again_under[v] = 0
	   }
	od
}

init {
	byte v = 0;
	atomic {
		do
		:: v < VMS ->
			joined[v] = HOLD;
			asked[v] = HOLD;
			ordered[v] = QUIET;
			started[v] = QUIET;
			run orders(v);
			run joins(v);
			v++
		:: else -> break
		od
	}
}
