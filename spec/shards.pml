/* Which entry VM may send orders to the engines of one shard if the engines check no
 * fencing tokens (lease.Shards, internal/hosted/shards.go). A registry assigns the shard
 * to one entry VM after another without notifying the former owner. A VM acts on its
 * assignment for HOLD ticks after it sent the join whose answer contained it. An owner
 * records itself under the registry's generation, asks the owner before it to stop, and
 * waits. A VM may freeze for any time between any two steps and may be restarted. Calls
 * may fail, and a record may be written although its answer is lost.
 *
 * Property: an order arrives at least QUIET ticks after the newest order of another VM
 * ("turns"). Therefore no order undoes one of another keeper, and an order that is carried
 * out late comes after all orders of former keepers.
 *
 * Faulty variants, in each of which the check must find a violation:
 *   AT_ONCE           an owner starts as soon as it is recorded
 *   TRUSTED_RETURN    an owner that gets the shard back continues although another VM
 *                     recorded itself in between
 *   UNSETTLED         an owner that still waits for its predecessor hands the shard over
 *                     as if it were settled itself
 *   WAIT_FROM_RECORD  the wait for an owner that reported its last order counts from the
 *                     record and not from its answer
 *   BEFORE_TRUSTED    a restarted owner assumes that the owner before it is settled
 *   NO_HOLD           a VM acts on an assignment without a time limit
 * WITNESS shows that the shard is taken over and receives orders again ("ordered_by_two").
 */
#ifndef VMS
#define VMS 2
#endif
#ifndef GENERATIONS
#define GENERATIONS 4 /* the registry reassigns the shard GENERATIONS - 1 times */
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#ifndef HOLD
#define HOLD 1
#endif
#define FLIGHT 1 /* maximum ticks from sending an order to its arrival */
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
/* The owner that an unsettled owner waits for, and whether it was settled. */
byte record_before = NOBODY;
bool record_before_settled;
bool unchanged[VMS]; /* whether the record is unchanged since the VM read it */

/* A VM's state: lease.shard. Ages and waits are in ticks. An age stops increasing once
 * further ticks make no difference. */
bool held[VMS];
bool stopped[VMS];
bool doubtful[VMS];
byte known[VMS];    /* newest generation */
byte since[VMS];    /* generation since which it is assigned without interruption */
byte token[VMS];    /* generation of its record, 0 before */
byte start_in[VMS]; /* until the first order */
byte joined[VMS];   /* age of the newest answered join, from its sending */
byte asked[VMS];    /* age of the join in flight, HOLD without one */
byte ordered[VMS];  /* age of the newest order, from its sending or its answer */
byte started[VMS];  /* age of the process */

/* A former owner that didn't report its newest order and is asked again. */
byte again[VMS] = NOBODY;
bool again_settled[VMS];
byte again_under[VMS];
byte restarts;

/* Orders in flight: at most one for each VM. */
bool sent[VMS];
byte order_age[VMS];

/* The newest order that arrived at the engines. */
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

/* The orders of a VM. They run concurrently with its joins. */
proctype orders(byte v) {
	do
	:: atomic { !sent[v] && may_order(v) -> sent[v] = true; ordered[v] = 0 }
	:: atomic { sent[v] -> arrive(v); sent[v] = false; order_age[v] = 0; ordered[v] = 0 }
	od
}

/* ApplyJoin: applies the registry's answer as it was sampled. */
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

/* ConfirmOwner: the record was read after the newest join. */
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

/* Release by the former owner: it stops and reports how long ago it sent its newest order.
 * ago is that time plus FLIGHT, so that an order in flight is 0. */
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
				/* the former owner still waits for its own predecessor */
				if :: start_in[f] >= QUIET + FLIGHT -> told = false :: else -> ago = QUIET + FLIGHT - start_in[f] fi
			:: else
			fi
#endif
		fi
	fi
}

/* The wait for an owner that reported how long ago its newest order was. */
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

/* MarkOwned: the first order may be sent after the wait. */
inline owned(v) {
	if
	:: held[v] && !stopped[v] && recorded_under >= since[v] ->
		token[v] = recorded_under;
		start_in[v] = wait;
		doubtful[v] = (recorded_under != known[v])
	:: else
	fi
}

/* The joins of a VM, sequentially. */
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
		    /* Here start_in counts from the record's answer. The wait for an owner
		     * that was asked is set below. */
		    atomic {
			if
			:: former == NOBODY || (former == v && former_settled) -> wait = 0
			:: former == v && !former_settled && ask == NOBODY -> wait = start_in[v]
			:: former != NOBODY && !(former == v && former_settled) && ask != NOBODY ->
				if
				:: skip -> /* the former owner does not answer */
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
	/* A former owner that didn't report its newest order answers when asked again. */
	:: atomic { again[v] != NOBODY && held[v] && !stopped[v] && token[v] == again_under[v] && start_in[v] > 0 ->
		ask = again[v]; ask_settled = again_settled[v]; recorded_under = again_under[v];
		release(ask);
		if
		:: told -> wait_after(); if :: wait < start_in[v] -> start_in[v] = wait :: else fi; again[v] = NOBODY
		:: else
		fi;
		wait = 0; ago = 0; told = false; ask = 0; ask_settled = false; recorded_under = 0
	   }
	/* A restart: the process loses its state, and an order that it sent arrives or is lost. */
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
